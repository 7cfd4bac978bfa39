//! The processes of a scenario, and what its requests got.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::task::JoinHandle;

const PROGRAM: &str = env!("CARGO_BIN_EXE_oriolehitch");
const LOG_SHOWN: usize = 3_000;

/// One process.
pub(crate) struct Process {
    pub(crate) child: Child,
    /// What it prints when it is ready, by its words: `ready URL admin URL peer ADDR id ID`.
    pub(crate) url: String,
    pub(crate) admin: String,
    pub(crate) peer: String,
    pub(crate) id: String,
    pub(crate) zone: String,
    args: Vec<String>,
}

/// What a request got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Got {
    pub(crate) id: String,
    /// None when the connection broke.
    pub(crate) status: Option<u16>,
    pub(crate) code: Option<String>,
    pub(crate) ran: Option<String>,
    pub(crate) retry_after: Option<String>,
    pub(crate) text: String,
    /// Whether the end mark came, or the whole body.
    pub(crate) ended: bool,
}

/// All that a scenario has started.
pub(crate) struct Stage {
    dir: PathBuf,
    pub(crate) processes: BTreeMap<String, Process>,
    /// Where each process listens now; requests under way look here, as behind a balancer.
    pub(crate) urls: Arc<Mutex<BTreeMap<String, String>>>,
    pub(crate) open: BTreeMap<String, JoinHandle<Got>>,
    pub(crate) got: BTreeMap<String, Got>,
    pub(crate) ids: BTreeMap<String, String>,
    pub(crate) loads: BTreeMap<String, Vec<String>>,
    pub(crate) http: reqwest::Client,
}

impl Stage {
    pub(crate) fn open() -> Result<Stage, String> {
        let unique = uuid::Uuid::new_v4().simple().to_string();
        let dir = std::env::temp_dir().join(format!("oriolehitch-{unique}"));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let http = reqwest::Client::builder().no_proxy().build();
        Ok(Stage {
            dir,
            processes: BTreeMap::new(),
            urls: Arc::default(),
            open: BTreeMap::new(),
            got: BTreeMap::new(),
            ids: BTreeMap::new(),
            loads: BTreeMap::new(),
            http: http.map_err(|e| e.to_string())?,
        })
    }

    /// Starts a process and waits until it is ready.
    pub(crate) fn start(
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
            return Err(format!("{name} did not get ready: {ready:?}"));
        }
        let url = process.url.clone();
        self.urls
            .lock()
            .expect("no panic inside")
            .insert(name.to_string(), url);
        self.processes.insert(name.to_string(), process);
        Ok(())
    }

    /// Starts a process again with what it was started with.
    pub(crate) fn restart(&mut self, name: &str) -> Result<(), String> {
        let old = self
            .processes
            .remove(name)
            .ok_or(format!("no process {name}"))?;
        self.start(name, &old.zone, old.args.clone())
    }

    /// Writes an instance's settings and starts it.
    pub(crate) fn instance(&mut self, name: &str, zone: &str, more: Value) -> Result<(), String> {
        let mut settings = json!({
            "name": name, "region": "reykjanes", "zone": zone, "faults": true,
            "platform": self.process("p")?.url, "request_secs": 60, "orphan_grace_ms": 2000,
        });
        for (field, value) in more.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).map_err(|e| e.to_string())?;
        let file = file.display().to_string();
        let args = ["serve", "--settings", &file, "--log", "json"];
        self.start(name, zone, args.iter().map(ToString::to_string).collect())
    }

    pub(crate) fn process(&self, name: &str) -> Result<&Process, String> {
        self.processes.get(name).ok_or(format!("no process {name}"))
    }

    pub(crate) fn signal(&self, name: &str, signal: Signal) -> Result<(), String> {
        let pid = Pid::from_child(&self.process(name)?.child);
        kill_process(pid, signal).map_err(|e| e.to_string())
    }

    /// Returns the instances' names.
    pub(crate) fn instances(&self) -> Vec<String> {
        let is = |p: &&Process| !p.admin.is_empty();
        let all = self.processes.iter().filter(|(_, p)| is(p));
        all.map(|(n, _)| n.clone()).collect()
    }

    /// Returns the ends of the processes' logs, for a failure's report.
    pub(crate) fn logs(&self) -> String {
        let mut out = String::new();
        for name in self.processes.keys() {
            let file = self.dir.join(format!("{name}.log"));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let mut from = text.len().saturating_sub(LOG_SHOWN);
            while !text.is_char_boundary(from) {
                from += 1;
            }
            out.push_str(&format!("--- {name}\n{}\n", &text[from..]));
        }
        out
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            // Ends also those that are stopped; one that has ended already is no fault.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
