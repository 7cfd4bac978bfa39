//! The processes under measurement: a stub platform, stub engines and instances.

use std::process::Stdio;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Clock ticks per second in `/proc` on Linux.
const TICKS_PER_SEC: f64 = 100.0;
const READY_ATTEMPTS: u32 = 600;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A process of the program `oriolehitch`; it is killed when this value is dropped.
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
        let stdout = child
            .stdout
            .take()
            .context("standard output is not piped")?;
        let line = BufReader::new(stdout).lines().next_line().await?;
        let line = line.context("process exited before it was ready")?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let word_after = |key: &str| {
            let index = words.iter().position(|w| *w == key);
            index
                .and_then(|i| words.get(i + 1))
                .map(|w| (*w).to_string())
        };
        Ok(Process {
            child,
            url: word_after("ready").context("process did not print its address")?,
            admin: word_after("admin").unwrap_or_default(),
        })
    }

    fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Returns the CPU time used so far, in seconds.
    pub(crate) fn cpu_secs(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid()));
        let stat = stat.unwrap_or_default();
        // The process name, in parentheses, may contain spaces. `utime` and `stime` are the 12th
        // and 13th fields after it.
        let rest = stat.rsplit_once(')').map_or("", |r| r.1);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SEC
    }

    /// Returns the resident memory, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }
}

/// A stub platform, stub engines and instances that have a configuration in force.
pub(crate) struct Cluster {
    pub(crate) http: reqwest::Client,
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) instances: Vec<Process>,
}

/// Size of a cluster, and the speed of its engines.
pub(crate) struct ClusterSize {
    pub(crate) engines: usize,
    pub(crate) instances: usize,
    pub(crate) step_ms: u64,
    pub(crate) slots: u64,
}

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

impl Cluster {
    pub(crate) async fn start(size: ClusterSize) -> Result<Cluster> {
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
        let mut cluster = Cluster {
            http,
            platform,
            engines,
            instances: Vec::new(),
        };
        for i in 0..size.instances {
            let instance = cluster.start_instance(i).await?;
            cluster.instances.push(instance);
        }
        cluster.configure().await?;
        Ok(cluster)
    }

    async fn start_instance(&self, i: usize) -> Result<Process> {
        let settings = json!({
            "name": format!("i{i}"), "region": "r", "zone": ZONES[i % 3],
            "platform": self.platform.url,
        });
        let file_name = format!("oriolehitch-bench-{}-{i}.json", std::process::id());
        let file = std::env::temp_dir().join(file_name);
        std::fs::write(&file, settings.to_string())?;
        let path = file.display().to_string();
        let started = Process::start(&["serve", "--settings", &path, "--log", "json"]).await;
        std::fs::remove_file(&file)?;
        started
    }

    /// Puts a configuration in force, tops up a budget, and waits until all instances are ready.
    async fn configure(&self) -> Result<()> {
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
        for _ in 0..READY_ATTEMPTS {
            let dump = self.get_json(&format!("{}/dump", instance.admin)).await?;
            let upstream_count = dump["upstreams"].as_array().map_or(0, Vec::len);
            if dump["ready"] == true && upstream_count == self.engines.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        bail!("an instance was not ready after {READY_ATTEMPTS} attempts");
    }

    pub(crate) async fn get_json(&self, url: &str) -> Result<Value> {
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns the value of a metric of an instance, which must not have labels.
    pub(crate) async fn metric(&self, instance: &Process, name: &str) -> Result<f64> {
        let text = self
            .http
            .get(format!("{}/metrics", instance.admin))
            .send()
            .await?;
        let text = text.text().await?;
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        let value = line.and_then(|l| l.trim().parse().ok());
        Ok(value.unwrap_or(0.0))
    }
}
