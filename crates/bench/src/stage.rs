//! Processes under measurement: the program's own, started beside this one.

use std::process::Stdio;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Ticks of processor time a second, as Linux counts them.
const TICKS: f64 = 100.0;
const READY_TRIES: u32 = 600;
const READY_LOOK: Duration = Duration::from_millis(100);

/// A process under measurement; it ends with this value.
pub(crate) struct Process {
    child: Child,
    pub(crate) url: String,
    pub(crate) admin: String,
}

impl Process {
    pub(crate) async fn start(args: &[&str]) -> Result<Process> {
        let mut program = std::env::current_exe()?;
        program.set_file_name("oriolehitch");
        let mut child = Command::new(&program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: build it with --release first", program.display()))?;
        let out = child.stdout.take().context("no standard output")?;
        let line = BufReader::new(out).lines().next_line().await?;
        let line = line.context("the process ended at once")?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let after = |key: &str| {
            let at = words.iter().position(|w| *w == key);
            at.and_then(|at| words.get(at + 1))
                .map(|w| (*w).to_string())
        };
        Ok(Process {
            child,
            url: after("ready").context("not ready")?,
            admin: after("admin").unwrap_or_default(),
        })
    }

    fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Returns the processor time used so far, in seconds.
    pub(crate) fn cpu_secs(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid()));
        let stat = stat.unwrap_or_default();
        let rest = stat.rsplit_once(')').map_or("", |r| r.1);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS
    }

    /// Returns the resident memory, in bytes.
    pub(crate) fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }
}

/// A platform, engines and instances with a configuration in force.
pub(crate) struct Stage {
    pub(crate) http: reqwest::Client,
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) instances: Vec<Process>,
}

/// How many of what a stage has.
pub(crate) struct Size {
    pub(crate) engines: usize,
    pub(crate) instances: usize,
    pub(crate) step_ms: u64,
    pub(crate) slots: u64,
}

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

impl Stage {
    pub(crate) async fn open(size: Size) -> Result<Stage> {
        let http = reqwest::Client::builder().no_proxy().build()?;
        let platform = Process::start(&["stub", "platform"]).await?;
        let mut engines = Vec::new();
        for i in 0..size.engines {
            let name = format!("engine-{i}");
            let (step, slots) = (size.step_ms.to_string(), size.slots.to_string());
            let args = [
                "stub",
                "engine",
                "--name",
                &name,
                "--zone",
                ZONES[i % 3],
                "--models",
                "m",
                "--platform",
                &platform.url,
                "--step-ms",
                &step,
                "--slots",
                &slots,
            ];
            engines.push(Process::start(&args).await?);
        }
        let mut stage = Stage {
            http,
            platform,
            engines,
            instances: Vec::new(),
        };
        for i in 0..size.instances {
            let instance = stage.instance(i).await?;
            stage.instances.push(instance);
        }
        stage.prepare().await?;
        Ok(stage)
    }

    async fn instance(&self, i: usize) -> Result<Process> {
        let settings = json!({
            "name": format!("i{i}"), "region": "r", "zone": ZONES[i % 3],
            "platform": self.platform.url,
        });
        let unique = format!("oriolehitch-bench-{}-{i}.json", std::process::id());
        let file = std::env::temp_dir().join(unique);
        std::fs::write(&file, settings.to_string())?;
        let path = file.display().to_string();
        let started = Process::start(&["serve", "--settings", &path, "--log", "json"]).await;
        std::fs::remove_file(&file)?;
        started
    }

    /// Puts a configuration in force, fills a budget, and waits until all are ready.
    async fn prepare(&self) -> Result<()> {
        let Some(first) = self.instances.first() else {
            return Ok(());
        };
        let config = json!({
            "templates": {"t": {"models": ["m"], "max_tokens": 1_000_000}},
            "customers": {"c": {"template": "t", "key_hashes": [conf::customer::hash_key("k")]}},
        });
        let body = json!({"config": config, "change_id": "1", "who": "bench", "what": "all"});
        let url = format!("{}/admin/v1/config", first.admin);
        let put = self
            .http
            .put(url)
            .header("if-match", "0")
            .json(&body)
            .send()
            .await?;
        if !put.status().is_success() {
            bail!("{}", put.text().await?);
        }
        let url = format!("{}/admin/v1/budgets/c/topups", first.admin);
        let body = json!({"id": "1", "tokens": 1_u64 << 45});
        self.http.post(url).json(&body).send().await?;
        for instance in &self.instances {
            self.wait_ready(instance).await?;
        }
        Ok(())
    }

    async fn wait_ready(&self, instance: &Process) -> Result<()> {
        for _ in 0..READY_TRIES {
            let dump = self.get(&format!("{}/dump", instance.admin)).await?;
            let ups = dump["upstreams"].as_array().map_or(0, Vec::len);
            if dump["ready"] == true && ups == self.engines.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_LOOK).await;
        }
        bail!("an instance did not get ready");
    }

    pub(crate) async fn get(&self, url: &str) -> Result<Value> {
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns one number of an instance's metrics.
    pub(crate) async fn metric(&self, instance: &Process, name: &str) -> Result<f64> {
        let text = self
            .http
            .get(format!("{}/metrics", instance.admin))
            .send()
            .await?;
        let text = text.text().await?;
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        let number = line.and_then(|l| l.trim().parse().ok());
        Ok(number.unwrap_or(0.0))
    }
}
