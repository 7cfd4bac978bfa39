//! The processes, the stubs of the platform, and the proxies between them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use platform::stub::{Link, StoreView, StubStore, StubWorker};
use platform::wire;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::checks::{Budget, EVENTS, RETRY_PERCENT, RETRY_SLACK, RETRY_WINDOW_SECS};
use crate::peer_paths::{PeerAddrs, PeerPaths};
use crate::schedule::{REMOVABLE_KEYS, UPSTREAMS, UPSTREAMS_PER_SERVICE};

/// Host name of all routes.
pub const HOST: &str = "h.example";
/// A loopback address with a port that the system assigns.
const ANY_PORT: &str = "127.0.0.1:0";
/// Time between the events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 15;
/// Version of the software of all upstreams: requests may go on at each of them.
const VERSION: &str = "v1";
/// The service of engines, and the slots of each: few, so that requests wait for them.
const ENGINES: &str = "pool";
const ENGINE_SLOTS: usize = 5;
/// Time in which an engine reads a prompt, in milliseconds: instances ask the owners of accounts only about prompts
/// that take some time.
const PREFILL_MS: u64 = 40;
/// Prepaid tokens of the customer `small`: its callers ask for them within some seconds. Those of `tight` last for
/// most of a run of a minute, so that an instance holds some of them when the store is lost. The others have more
/// than they ask for.
const SMALL_PREPAID: u64 = 130_000;
const TIGHT_PREPAID: u64 = 480_000;
const LARGE_PREPAID: u64 = 1_000_000_000;
/// Priorities of the customers that have one of their own; the others have those of the routes.
const URGENT_PRIORITY: u8 = 0;
const PATIENT_PRIORITY: u8 = 9;
/// Time that a process has to log its start, and then to be ready. The store may have a fault.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum duration of a planned stop, as the settings say, and what a busy machine takes in addition.
const STOP_SECS: u64 = 8;
const EXIT_TIMEOUT: Duration = Duration::from_secs(STOP_SECS + 6);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running instance, which is killed on drop.
pub struct Process {
    child: Child,
    ready_addr: SocketAddr,
    metrics_addr: SocketAddr,
    /// The path from its callers. Dropping it resets their connections.
    callers: Arc<Link>,
}

impl Process {
    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns why it can't be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.child), signal).context("the process can't be signalled")
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns why it can't be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process as planned; returns whether it has exited in time.
    ///
    /// # Errors
    ///
    /// Returns why it can't be stopped.
    pub async fn stop(&mut self) -> Result<bool> {
        self.signal(Signal::TERM)?;
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if self.child.try_wait()?.is_some() {
                return Ok(true);
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses of an instance's present process.
#[derive(Clone)]
pub struct Addresses {
    /// The path from its callers.
    pub callers: Arc<Link>,
    /// For the dump.
    pub metrics: SocketAddr,
}

/// An instance over all its incarnations.
pub struct Slot {
    number: usize,
    /// Its process; locked while a fault of the process goes on.
    pub process: tokio::sync::Mutex<Option<Process>>,
    /// Where callers reach it; none while no process accepts their requests.
    addresses: RwLock<Option<Addresses>>,
    /// The path to the store.
    pub store_link: Link,
    view: StoreView,
    /// The paths to the upstreams.
    pub upstream_links: Mutex<Vec<Link>>,
    /// The paths to addresses that they had before: another upstream may still use one.
    former_links: Mutex<Vec<Link>>,
}

/// All instances and what they talk to.
pub struct Fleet {
    /// The store.
    pub store: StubStore,
    /// The running upstreams.
    upstreams: Mutex<Vec<Arc<StubWorker>>>,
    /// Those that have crashed, and those at the addresses of others: they know what they ran.
    former: Mutex<Vec<Arc<StubWorker>>>,
    /// The instances.
    pub slots: Vec<Slot>,
    /// The paths between the instances.
    pub peer_paths: PeerPaths,
    removed_keys: Mutex<Vec<usize>>,
    dir: PathBuf,
    program: PathBuf,
}

impl Fleet {
    /// Starts the stubs and all instances, and waits until these are ready.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn start(program: &Path, instances: usize) -> Result<Fleet> {
        let dir = std::env::temp_dir().join(format!("soak-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir)?;
        let store = StubStore::bind().await.map_err(anyhow::Error::msg)?;
        let mut fleet = Fleet {
            store,
            upstreams: Mutex::default(),
            former: Mutex::default(),
            slots: Vec::new(),
            peer_paths: PeerPaths::bind(Vec::new(), &[]).await?,
            removed_keys: Mutex::default(),
            dir,
            program: program.to_path_buf(),
        };
        for upstream in 0..UPSTREAMS {
            let started = fleet.start_upstream(upstream).await?;
            fleet.lock_upstreams().push(started);
        }
        fleet.put_config();
        for number in 0..instances {
            let view = fleet.store.bind_view().await.map_err(anyhow::Error::msg)?;
            let store_link = Link::bind(view.addr()).await?;
            let mut links = Vec::new();
            for upstream in fleet.running_upstreams() {
                links.push(new_path(&view, &upstream).await?);
            }
            fleet.slots.push(Slot {
                number,
                process: tokio::sync::Mutex::default(),
                addresses: RwLock::default(),
                store_link,
                view,
                upstream_links: Mutex::new(links),
                former_links: Mutex::default(),
            });
        }
        let mut addrs = Vec::new();
        for _ in 0..instances {
            addrs.push(PeerAddrs::choose().await?);
        }
        let views: Vec<&StoreView> = fleet.slots.iter().map(|slot| &slot.view).collect();
        fleet.peer_paths = PeerPaths::bind(addrs, &views).await?;
        for slot in &fleet.slots {
            fleet.start_process(slot).await?;
        }
        for slot in &fleet.slots {
            fleet.wait_ready(slot).await;
        }
        Ok(fleet)
    }

    fn lock_upstreams(&self) -> std::sync::MutexGuard<'_, Vec<Arc<StubWorker>>> {
        self.upstreams.lock().expect("lock not poisoned")
    }

    /// Returns the running upstreams.
    pub fn running_upstreams(&self) -> Vec<Arc<StubWorker>> {
        self.lock_upstreams().clone()
    }

    /// Returns all upstreams that ever ran.
    pub fn all_upstreams(&self) -> Vec<Arc<StubWorker>> {
        let mut all = self.running_upstreams();
        all.extend(self.former.lock().expect("lock not poisoned").clone());
        all
    }

    /// Returns the folder of logs and settings.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    async fn start_upstream(&self, upstream: usize) -> Result<Arc<StubWorker>> {
        let service = service(upstream);
        let id = format!("{service}-{upstream}");
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let started =
            StubWorker::bind_version(addr, &id, VERSION, EVENTS, EVENT_INTERVAL_MS).await?;
        make_engine(&started, service);
        let entry = started.list_entry(service, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        Ok(Arc::new(started))
    }

    /// Crashes an upstream; returns whether it was running.
    pub fn crash_upstream(&self, upstream: usize) -> bool {
        let crashed = Arc::clone(&self.lock_upstreams()[upstream]);
        if crashed.has_crashed() {
            return false;
        }
        crashed.crash();
        self.add_former(crashed);
        true
    }

    fn add_former(&self, upstream: Arc<StubWorker>) {
        let mut former = self.former.lock().expect("lock not poisoned");
        former.push(upstream);
    }

    /// Crashes an upstream and starts another one of its service at its address, while the list still shows the
    /// first one there; returns the other one, and nothing if the first one was not running.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be bound.
    pub async fn take_over_address(&self, upstream: usize) -> Result<Option<Arc<StubWorker>>> {
        let addr = self.lock_upstreams()[upstream].addr();
        if !self.crash_upstream(upstream) {
            return Ok(None);
        }
        let (id, service) = (format!("x{upstream}"), service(upstream));
        let other = bind_released(addr, &id).await?;
        make_engine(&other, service);
        let entry = other.list_entry(service, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        let other = Arc::new(other);
        self.add_former(Arc::clone(&other));
        Ok(Some(other))
    }

    /// Starts an upstream whose address another one uses again, at a new address. The other one leaves; what
    /// it still runs goes on, so that the end of this fault is no crash.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn give_back_address(&self, upstream: usize, other: &StubWorker) -> Result<()> {
        let entry = other.list_entry(service(upstream), "draining");
        self.store.put(&format!("servers/{}", other.id()), &entry);
        other.set_leaving(true);
        self.restart_upstream(upstream).await
    }

    /// Starts a crashed upstream again under its id, at another address.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn restart_upstream(&self, upstream: usize) -> Result<()> {
        let started = self.start_upstream(upstream).await?;
        for slot in &self.slots {
            let path = new_path(&slot.view, &started).await?;
            let mut links = slot.upstream_links.lock().expect("lock not poisoned");
            let former = std::mem::replace(&mut links[upstream], path);
            drop(links);
            let mut former_links = slot.former_links.lock().expect("lock not poisoned");
            former_links.push(former);
        }
        self.lock_upstreams()[upstream] = started;
        Ok(())
    }

    /// Removes a key from the configuration.
    pub fn remove_key(&self, key: usize) {
        let mut removed = self.removed_keys.lock().expect("lock not poisoned");
        removed.push(key);
        drop(removed);
        self.put_config();
    }

    /// Writes the latest version of the configuration to the store.
    pub fn put_config(&self) {
        self.store
            .put("op/config", &config_document(&self.removed_keys()));
    }

    /// Writes the version before the latest one, as an operator does by mistake; returns whether there is one.
    pub fn put_older_config(&self) -> bool {
        let mut removed = self.removed_keys();
        let exists = removed.pop().is_some();
        if exists {
            self.store.put("op/config", &config_document(&removed));
        }
        exists
    }

    fn removed_keys(&self) -> Vec<usize> {
        self.removed_keys.lock().expect("lock not poisoned").clone()
    }

    /// Starts the process of an instance, which has none.
    ///
    /// # Errors
    ///
    /// Returns why it has not started.
    pub async fn start_process(&self, slot: &Slot) -> Result<()> {
        let started = self.spawn(slot).await?;
        *slot.process.lock().await = Some(started);
        Ok(())
    }

    /// Runs the program for an instance, and waits until it has logged its start.
    ///
    /// # Errors
    ///
    /// Returns why it has not started.
    pub async fn spawn(&self, slot: &Slot) -> Result<Process> {
        let name = format!("n{}", slot.number);
        let settings = self.dir.join(format!("{name}.json"));
        let addrs = self.peer_paths.addrs(slot.number);
        let document = settings_document(&name, slot, addrs);
        std::fs::write(&settings, document.to_string())?;
        let log = self.unused_log_file(&name);
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.stderr")))?;
        let mut child = Command::new(&self.program)
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdout(File::create(&log)?)
            .stderr(stderr)
            .spawn()
            .with_context(|| format!("{} can't be run", self.program.display()))?;
        let started = match wait_for_start(&log, &mut child).await {
            Ok(started) => started,
            Err(e) => {
                // The process may have exited by itself.
                let _ = child.kill();
                let _ = child.wait();
                return Err(e);
            }
        };
        let callers = logged_addr(&started, "callers=")?;
        Ok(Process {
            ready_addr: logged_addr(&started, "ready=")?,
            metrics_addr: logged_addr(&started, "metrics=")?,
            callers: Arc::new(Link::bind(callers).await?),
            child,
        })
    }

    fn unused_log_file(&self, name: &str) -> PathBuf {
        let files = (0..).map(|n| self.dir.join(format!("{name}-start-{n}.log")));
        let mut unused = files.filter(|f| !f.exists());
        unused.next().expect("an unused name")
    }

    /// Waits until an instance is ready, and lets callers use it then; after a time it is used in any
    /// case.
    pub async fn wait_ready(&self, slot: &Slot) {
        let process = slot.process.lock().await;
        if let Some(process) = &*process {
            self.wait_process_ready(slot, process).await;
        }
    }

    /// As [`Fleet::wait_ready`], for a process that is already locked.
    pub async fn wait_process_ready(&self, slot: &Slot, process: &Process) {
        let url = format!("http://{}{}", process.ready_addr, wire::READINESS_PATH);
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if reqwest::get(&url).await.is_ok_and(|r| r.status() == 200) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        slot.set_addresses(Some(Addresses {
            callers: Arc::clone(&process.callers),
            metrics: process.metrics_addr,
        }));
    }

    /// Returns the sums in the customers' records.
    pub fn budgets(&self) -> Vec<Budget> {
        let removable = (0..REMOVABLE_KEYS).map(|k| (format!("r{k}"), LARGE_PREPAID));
        let fixed = [
            ("small", SMALL_PREPAID),
            ("tight", TIGHT_PREPAID),
            ("large", LARGE_PREPAID),
            ("urgent", LARGE_PREPAID),
            ("patient", LARGE_PREPAID),
        ];
        let fixed = fixed.map(|(name, prepaid)| (name.to_string(), prepaid));
        let budget = |(customer, prepaid): (String, u64)| {
            let record = self.store.get(&format!("oriolehitch/budgets/{customer}"));
            let total = |f: &str| record.as_ref().and_then(|r| r[f].as_u64()).unwrap_or(0);
            Budget {
                prepaid,
                charged: total("c"),
                spent: total("s"),
                customer,
            }
        };
        fixed.into_iter().chain(removable).map(budget).collect()
    }

    /// Returns the logs of all incarnations of an instance.
    pub fn logs(&self, instance: usize) -> Vec<String> {
        let prefix = format!("n{instance}-start-");
        let entries = std::fs::read_dir(&self.dir).into_iter().flatten().flatten();
        let own = entries.filter(|e| e.file_name().to_string_lossy().starts_with(&prefix));
        own.map(|e| std::fs::read_to_string(e.path()).unwrap_or_default())
            .collect()
    }

    /// Returns the instances that wrote a panic to their standard error stream.
    pub fn panics(&self) -> Vec<String> {
        let file = |slot: &Slot| self.dir.join(format!("n{}.stderr", slot.number));
        let panicked = self.slots.iter().filter(|slot| {
            let text = std::fs::read_to_string(file(slot)).unwrap_or_default();
            text.contains("panicked at")
        });
        panicked
            .map(|slot| format!("panic: {}", file(slot).display()))
            .collect()
    }
}

impl Slot {
    /// Sets where callers reach the instance.
    pub fn set_addresses(&self, addresses: Option<Addresses>) {
        *self.addresses.write().expect("lock not poisoned") = addresses;
    }

    /// Returns where callers reach the instance.
    pub fn addresses(&self) -> Option<Addresses> {
        let addresses = self.addresses.read().expect("lock not poisoned");
        addresses.clone()
    }
}

/// Returns the service of an upstream.
fn service(upstream: usize) -> &'static str {
    if upstream < UPSTREAMS_PER_SERVICE {
        "desk"
    } else {
        ENGINES
    }
}

/// Makes an upstream of the service of engines behave as one.
fn make_engine(upstream: &StubWorker, service: &str) {
    if service == ENGINES {
        upstream.set_slots(ENGINE_SLOTS);
        upstream.set_prefill(PREFILL_MS);
    }
}

/// Binds an upstream to the address of one that has just crashed, as soon as that one has released it.
async fn bind_released(addr: SocketAddr, id: &str) -> Result<StubWorker> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match StubWorker::bind_version(addr, id, VERSION, EVENTS, EVENT_INTERVAL_MS).await {
            Err(e) if Instant::now() >= deadline => return Err(e.into()),
            Err(_) => sleep(POLL_INTERVAL).await,
            Ok(bound) => return Ok(bound),
        }
    }
}

/// Binds a path to an upstream, which the clients of a view see instead of its address.
async fn new_path(view: &StoreView, upstream: &StubWorker) -> Result<Link> {
    let link = Link::bind(upstream.addr()).await?;
    view.set_address(upstream.addr(), link.addr());
    Ok(link)
}

/// Returns an address of a listener that a process has logged at its start.
fn logged_addr(started: &str, name: &str) -> Result<SocketAddr> {
    let mut values = started.split(' ').filter_map(|v| v.strip_prefix(name));
    Ok(values.next().context("an address is not logged")?.parse()?)
}

/// Waits until a process has logged its start; returns the detail of that line.
async fn wait_for_start(log: &Path, child: &mut Child) -> Result<String> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let text = std::fs::read_to_string(log)?;
        let lines = text.lines().map(serde_json::from_str::<Value>);
        let mut starts = lines.flatten().filter(|l| l["event"] == 2001);
        if let Some(line) = starts.next() {
            return Ok(line["detail"].as_str().unwrap_or_default().to_string());
        }
        if let Some(status) = child.try_wait()? {
            bail!(
                "the program has exited at its start: {status}, {}",
                log.display()
            );
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("the program has not started in time: {}", log.display())
}

fn settings_document(name: &str, slot: &Slot, addrs: PeerAddrs) -> Value {
    let zone = if slot.number % 2 == 0 { "z" } else { "y" };
    json!({
        "name": name, "region": "r", "zone": zone,
        "platform": format!("http://{}", slot.store_link.addr()),
        "listen": ANY_PORT, "peer_listen": addrs.calls, "peers": [], "log": "json", "dialect": "platform",
        "fleet": {
            "transit_listen": addrs.transit,
            "ready_listen": ANY_PORT, "metrics_listen": ANY_PORT, "stop_secs": STOP_SECS,
            "retry_ratio": RETRY_PERCENT as f64 / 100.0, "retry_window_secs": RETRY_WINDOW_SECS,
            "retry_slack": RETRY_SLACK, "lease_least_ms": 1000, "cold_over": 1.5, "cold_slack": 5,
            "zones": {"z": "r", "y": "r"},
        },
    })
}

/// Returns the configuration without some removable keys. Its version grows with each of them.
fn config_document(removed: &[usize]) -> Value {
    // Requests that may not be repeated have a second attempt as well, for when the first one has not run.
    let route = |name: &str, kind: &str, service: &str, priority: u8| {
        json!({
            "Name": name, "Hostname": HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
            "TimeoutMs": 4_000, "TargetLatencyMs": 300, "Priority": priority, "Service": service,
            "MaxAttempts": 2, "Public": false, "Resumable": name == "read",
        })
    };
    let customer = |name: &str, key: String, prepaid: u64| json!({"Name": name, "ApiKeys": [key], "Prepaid": prepaid});
    let mut customers = vec![
        customer("large", "key-large".to_string(), LARGE_PREPAID),
        customer("small", "key-small".to_string(), SMALL_PREPAID),
        customer("tight", "key-tight".to_string(), TIGHT_PREPAID),
        customer("urgent", "key-urgent".to_string(), LARGE_PREPAID),
        customer("patient", "key-patient".to_string(), LARGE_PREPAID),
    ];
    for (name, priority) in [("urgent", URGENT_PRIORITY), ("patient", PATIENT_PRIORITY)] {
        let mut named = customers.iter_mut().filter(|c| c["Name"] == name);
        named.next().expect("a customer")["Priority"] = priority.into();
    }
    for key in 0..REMOVABLE_KEYS {
        let suffix = if removed.contains(&key) { "-new" } else { "" };
        let name = format!("r{key}");
        customers.push(customer(
            &name,
            format!("key-{name}{suffix}"),
            LARGE_PREPAID,
        ));
    }
    json!({
        "Version": 1 + removed.len(),
        "Routes": [
            route("safe", "idempotent", "desk", 1),
            route("once", "non_idempotent", "desk", 1),
            route("talk", "streaming", ENGINES, 2),
            route("read", "streaming", ENGINES, 4),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100},
            {"Name": ENGINES, "HealthPath": "/health", "MaxConnections": 100, "ColdStartS": 1.0, "ColdPerS": 8.0,
             "Engine": {"Slots": ENGINE_SLOTS, "KvCapacity": 100_000, "Stride": 4}},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": customers,
    })
}
