//! The processes and requests of a scenario.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::task::JoinHandle;

use crate::kept_logs;

const PROGRAM: &str = env!("CARGO_BIN_EXE_oriolehitch");
/// Bytes at the end of each process's log that a failure shows.
const MAX_LOG_BYTES: usize = 3_000;

/// A process of the scenario.
pub(crate) struct Process {
    pub(crate) child: Child,
    /// This and the next three are read from the line that a process prints when it is ready:
    /// `ready URL admin URL peer ADDR id ID`. All but the first are empty for stubs.
    pub(crate) url: String,
    pub(crate) admin: String,
    pub(crate) peer: String,
    pub(crate) id: String,
    pub(crate) zone: String,
    args: Vec<String>,
}

/// The result of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestResult {
    pub(crate) id: String,
    /// Status of the response; none if the connection broke before.
    pub(crate) status: Option<u16>,
    pub(crate) code: Option<String>,
    pub(crate) ran: Option<String>,
    pub(crate) retry_after: Option<String>,
    pub(crate) text: String,
    /// Whether the response is complete: a stream has its `[DONE]` event, any other response its whole body.
    pub(crate) ended: bool,
}

/// The processes that a scenario has started, and its requests.
pub(crate) struct TestEnv {
    dir: PathBuf,
    pub(crate) processes: BTreeMap<String, Process>,
    /// Current URL of each process. Requests read it for each attempt, as if they were sent through a load balancer.
    pub(crate) urls: Arc<Mutex<BTreeMap<String, String>>>,
    pub(crate) in_flight: BTreeMap<String, JoinHandle<RequestResult>>,
    pub(crate) results: BTreeMap<String, RequestResult>,
    pub(crate) request_ids: BTreeMap<String, String>,
    /// Names of the requests of each load.
    pub(crate) loads: BTreeMap<String, Vec<String>>,
    pub(crate) http: reqwest::Client,
}

impl TestEnv {
    pub(crate) fn new() -> Result<TestEnv, String> {
        let unique = uuid::Uuid::new_v4().simple().to_string();
        let dir = std::env::temp_dir().join(format!("oriolehitch-{unique}"));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let http = reqwest::Client::builder().no_proxy().build();
        Ok(TestEnv {
            dir,
            processes: BTreeMap::new(),
            urls: Arc::default(),
            in_flight: BTreeMap::new(),
            results: BTreeMap::new(),
            request_ids: BTreeMap::new(),
            loads: BTreeMap::new(),
            http: http.map_err(|e| e.to_string())?,
        })
    }

    /// Starts a process and waits until it is ready.
    pub(crate) fn start_process(
        &mut self,
        name: &str,
        zone: &str,
        args: Vec<String>,
    ) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let mut child = Command::new(PROGRAM)
            .args(&args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let out = child.stdout.take().ok_or("no standard output")?;
        let mut ready = String::new();
        BufReader::new(out)
            .read_line(&mut ready)
            .map_err(|e| e.to_string())?;
        let words: Vec<&str> = ready.split_whitespace().collect();
        let after = |key: &str| {
            let at = words.iter().position(|w| *w == key);
            let word = at.and_then(|at| words.get(at + 1));
            word.map(|w| (*w).to_string()).unwrap_or_default()
        };
        let process = Process {
            url: after("ready"),
            admin: after("admin"),
            peer: after("peer"),
            id: after("id"),
            zone: zone.to_string(),
            args,
            child,
        };
        if process.url.is_empty() {
            return Err(format!("{name} did not become ready: {ready:?}"));
        }
        let url = process.url.clone();
        self.urls
            .lock()
            .expect("lock not poisoned")
            .insert(name.to_string(), url);
        self.processes.insert(name.to_string(), process);
        Ok(())
    }

    /// Starts a process again, with the same arguments.
    pub(crate) fn restart(&mut self, name: &str) -> Result<(), String> {
        let old = self
            .processes
            .remove(name)
            .ok_or(format!("no process {name}"))?;
        self.start_process(name, &old.zone, old.args.clone())
    }

    /// Writes an instance's settings and starts it.
    pub(crate) fn start_instance(
        &mut self,
        name: &str,
        zone: &str,
        more_settings: Value,
    ) -> Result<(), String> {
        let mut settings = json!({
            "name": name, "region": "reykjanes", "zone": zone, "faults": true,
            "platform": self.process("p")?.url, "request_secs": 60, "orphan_grace_ms": 2000,
        });
        for (field, value) in more_settings.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).map_err(|e| e.to_string())?;
        let file = file.display().to_string();
        let args = ["serve", "--settings", &file, "--log", "json"];
        self.start_process(name, zone, args.iter().map(ToString::to_string).collect())
    }

    pub(crate) fn process(&self, name: &str) -> Result<&Process, String> {
        self.processes.get(name).ok_or(format!("no process {name}"))
    }

    pub(crate) fn signal(&self, name: &str, signal: Signal) -> Result<(), String> {
        let pid = Pid::from_child(&self.process(name)?.child);
        kill_process(pid, signal).map_err(|e| e.to_string())
    }

    /// Returns the names of the instances.
    pub(crate) fn instance_names(&self) -> Vec<String> {
        let is_instance = |p: &&Process| !p.admin.is_empty();
        let instances = self.processes.iter().filter(|(_, p)| is_instance(p));
        instances.map(|(n, _)| n.clone()).collect()
    }

    /// Keeps the whole logs of the processes after a failure; returns where they are, and their ends.
    pub(crate) fn keep_logs(&self) -> String {
        let mut out = match kept_logs::keep(&self.dir) {
            Ok(dir) => format!("whole logs: {}\n", dir.display()),
            Err(e) => format!("whole logs not kept: {e}\n"),
        };
        for name in self.processes.keys() {
            let file = self.dir.join(format!("{name}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let mut from = text.len().saturating_sub(MAX_LOG_BYTES);
            while !text.is_char_boundary(from) {
                from += 1;
            }
            out.push_str(&format!("--- {name}\n{}\n", &text[from..]));
        }
        out
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            // SIGKILL also ends frozen processes. A process that has ended already is no error.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
