//! A run: starts the fleet and its callers, injects the faults of the schedule, and collects what was
//! seen.

use std::collections::HashMap;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use futures_util::future::{join_all, try_join_all};
use platform::stub::{Cut, Faults, Mode};
use platform::wire;
use rustix::process::Signal;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use crate::callers::Callers;
use crate::checks::{check, Evidence, Injected, Scope, VersionSeen, TIGHT};
use crate::coverage::{closed_unread, ms_between, time_of_day};
use crate::fleet::{Fleet, Process, Slot};
use crate::report::{describe, Report};
use crate::schedule::{Direction, Fault, PathKind, Plan, Step, StoreFault, BURST_REQUESTS};

/// Interval at which the version of the configuration is read from each instance, and the time that an
/// instance has to answer.
const DUMP_INTERVAL: Duration = Duration::from_millis(300);
const DUMP_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which the soak checks whether it is late, and the delay from which on it is: a request takes
/// several such delays on its way through callers, paths and upstreams.
const LATENESS_INTERVAL: Duration = Duration::from_millis(20);
const LATE_AFTER: Duration = Duration::from_millis(40);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the schedule.
    pub seed: u64,
    /// Duration, in seconds.
    pub seconds: u64,
    /// Number of instances.
    pub instances: usize,
    /// The program of the instances.
    pub program: PathBuf,
    /// Which faults are injected.
    pub plan: Plan,
}

struct Run {
    fleet: Arc<Fleet>,
    callers: Callers,
    began_at: Instant,
    /// The time of day at the start.
    began_time: u64,
    /// Number of faults of the store that have begun.
    store_faults: AtomicUsize,
    seen: Mutex<Evidence>,
}

/// Runs the schedule of a seed and checks the guarantees. Processes are killed if the future is
/// dropped.
///
/// # Errors
///
/// Returns what could not be started or signalled.
pub async fn run(options: &Options) -> Result<Report> {
    let fleet = Arc::new(Fleet::start(&options.program, options.instances).await?);
    let began_at = Instant::now();
    let run = Arc::new(Run {
        fleet: Arc::clone(&fleet),
        callers: Callers::new(Arc::clone(&fleet), began_at),
        began_at,
        began_time: time_of_day(),
        store_faults: AtomicUsize::new(0),
        seen: Mutex::default(),
    });
    let until = run.began_at + Duration::from_secs(options.seconds);
    let mut callers = JoinSet::new();
    for instance in 0..options.instances {
        callers.spawn(run.callers.clone().run(instance, until));
    }
    let mut watch = JoinSet::new();
    watch.spawn(Arc::clone(&run).watch_versions());
    watch.spawn(Arc::clone(&run).watch_lateness());
    let steps = options
        .plan
        .steps(options.seed, options.seconds, options.instances);
    try_join_all(steps.into_iter().map(|step| run.inject_at(step))).await?;
    callers.join_all().await;
    watch.shutdown().await;
    run.stop_all().await?;
    let evidence = run.collect(options.seconds);
    let violations = check(&evidence);
    let text = describe(options.seed, &evidence, &violations, fleet.dir());
    let dir = fleet.dir().to_path_buf();
    if violations.is_empty() {
        std::fs::remove_dir_all(&dir)?;
    }
    Ok(Report {
        violations,
        text,
        dir,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("lock not poisoned")
}

impl Run {
    fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    fn record(&self, scope: Scope, span: Range<u64>, is_stop: bool) {
        lock(&self.seen).injected.push(Injected {
            scope,
            span,
            is_stop,
        });
    }

    /// Injects a fault when it is due.
    async fn inject_at(&self, step: Step) -> Result<()> {
        sleep_until(self.began_at + Duration::from_millis(step.at)).await;
        self.inject(step).await
    }

    async fn inject(&self, step: Step) -> Result<()> {
        let from = self.now_ms();
        let duration = Duration::from_millis(step.duration);
        let is_stop = matches!(step.fault, Fault::Stop { .. });
        let scope = match step.fault {
            Fault::Pause { instance } | Fault::Kill { instance } | Fault::Stop { instance } => {
                let slot = &self.fleet.slots[instance];
                // While another fault of the same process goes on, this one is left out.
                let Ok(mut process) = slot.process.try_lock() else {
                    return Ok(());
                };
                match step.fault {
                    Fault::Pause { .. } => pause(process.as_ref(), duration).await?,
                    Fault::Kill { .. } => self.kill(slot, &mut process, duration).await?,
                    _ => self.stop(slot, &mut process).await?,
                }
                Scope::Instance(instance)
            }
            Fault::KillHolder | Fault::KillOwner | Fault::PauseOwner => {
                let size = match step.fault {
                    Fault::KillHolder => held_tokens,
                    _ => account_entries,
                };
                let Some(instance) = self.instance_with_most(size).await else {
                    return Ok(());
                };
                let slot = &self.fleet.slots[instance];
                let Ok(mut process) = slot.process.try_lock() else {
                    return Ok(());
                };
                match step.fault {
                    Fault::PauseOwner => pause(process.as_ref(), duration).await?,
                    _ => self.kill(slot, &mut process, duration).await?,
                }
                Scope::Instance(instance)
            }
            Fault::Cut {
                instance,
                path,
                cut,
            } => {
                self.cut(instance, path, cut, duration).await;
                Scope::Instance(instance)
            }
            Fault::CutPeers {
                instance,
                other,
                direction,
                cut,
            } => {
                let others = match other {
                    Some(other) => other..other + 1,
                    None => 0..self.fleet.slots.len(),
                };
                let set_cut = |cut| {
                    for other in others.clone() {
                        self.set_peer_cut(instance, other, direction, cut);
                    }
                };
                set_cut(Some(cut));
                sleep(duration).await;
                set_cut(None);
                Scope::Peers
            }
            Fault::Store(fault) => {
                self.store_fault(fault, duration).await;
                Scope::All
            }
            Fault::Upstream { upstream, mode } => {
                let target = Arc::clone(&self.fleet.running_upstreams()[upstream]);
                target.set_mode(mode);
                sleep(duration).await;
                target.set_mode(Mode::Normal);
                Scope::Upstream
            }
            Fault::SuspendUpstream { upstream } => {
                let target = Arc::clone(&self.fleet.running_upstreams()[upstream]);
                target.set_suspended(true);
                sleep(duration).await;
                target.set_suspended(false);
                Scope::Upstream
            }
            Fault::Grey {
                upstream,
                mode,
                percent,
            } => {
                let target = Arc::clone(&self.fleet.running_upstreams()[upstream]);
                target.set_partial_mode(mode, percent);
                sleep(duration).await;
                target.set_mode(Mode::Normal);
                Scope::Upstream
            }
            Fault::RestartUpstream { upstream } => {
                if !self.fleet.crash_upstream(upstream) {
                    return Ok(());
                }
                sleep(duration).await;
                self.fleet.restart_upstream(upstream).await?;
                Scope::Upstream
            }
            Fault::TakeOverAddress { upstream } => {
                let Some(other) = self.fleet.take_over_address(upstream).await? else {
                    return Ok(());
                };
                sleep(duration).await;
                self.fleet.give_back_address(upstream, &other).await?;
                Scope::Address
            }
            Fault::FalseMisdirects { upstream } => {
                let target = Arc::clone(&self.fleet.running_upstreams()[upstream]);
                target.set_misdirects(true);
                sleep(duration).await;
                target.set_misdirects(false);
                Scope::Address
            }
            Fault::Burst { instance } => {
                self.callers.burst(instance, BURST_REQUESTS).await;
                return Ok(());
            }
            Fault::OlderConfig => {
                // It must change nothing, so it is no fault for the checks.
                if self.fleet.put_older_config() {
                    sleep(duration).await;
                    self.fleet.put_config();
                }
                return Ok(());
            }
            Fault::RemoveKey(key) => {
                self.fleet.remove_key(key);
                lock(&self.seen).removed_at.insert(key, from);
                return Ok(());
            }
            Fault::KillAll => {
                self.kill_all().await?;
                Scope::All
            }
        };
        self.record(scope, from..self.now_ms(), is_stop);
        Ok(())
    }

    async fn kill(&self, slot: &Slot, process: &mut Option<Process>, down: Duration) -> Result<()> {
        slot.set_addresses(None);
        if let Some(running) = process {
            running.kill()?;
        }
        *process = None;
        sleep(down).await;
        self.restart(slot, process).await
    }

    async fn stop(&self, slot: &Slot, process: &mut Option<Process>) -> Result<()> {
        if let Some(running) = process {
            if !running.stop().await? {
                let failure = "an instance has not exited in time after a planned stop";
                lock(&self.seen).failures.push(failure.to_string());
            }
        }
        slot.set_addresses(None);
        *process = None;
        self.restart(slot, process).await
    }

    async fn restart(&self, slot: &Slot, process: &mut Option<Process>) -> Result<()> {
        let started = self.fleet.spawn(slot).await?;
        self.fleet.wait_process_ready(slot, &started).await;
        *process = Some(started);
        Ok(())
    }

    async fn kill_all(&self) -> Result<()> {
        let mut locked = Vec::new();
        for slot in &self.fleet.slots {
            locked.push((slot, slot.process.lock().await));
        }
        for (slot, process) in &mut locked {
            slot.set_addresses(None);
            if let Some(running) = &mut **process {
                running.kill()?;
            }
            **process = None;
        }
        for (slot, process) in &mut locked {
            **process = Some(self.fleet.spawn(slot).await?);
        }
        lock(&self.seen).returned_at = Some(self.now_ms());
        drop(locked);
        for slot in &self.fleet.slots {
            self.fleet.wait_ready(slot).await;
        }
        Ok(())
    }

    async fn cut(&self, instance: usize, path: PathKind, cut: Cut, duration: Duration) {
        let slot = &self.fleet.slots[instance];
        // The process may be replaced meanwhile; the path to the next one is not cut.
        let callers = slot.addresses().map(|a| a.callers);
        let set_cut = |cut: Option<Cut>| match path {
            PathKind::Callers => {
                if let Some(callers) = &callers {
                    callers.set_cut(cut);
                }
            }
            PathKind::Store => slot.store_link.set_cut(cut),
            PathKind::Upstreams => {
                for link in lock(&slot.upstream_links).iter() {
                    link.set_cut(cut);
                }
            }
        };
        set_cut(Some(cut));
        sleep(duration).await;
        set_cut(None);
    }

    fn set_peer_cut(&self, instance: usize, other: usize, direction: Direction, cut: Option<Cut>) {
        let paths = &self.fleet.peer_paths;
        if matches!(direction, Direction::Out | Direction::Both) {
            paths.set_cut(instance, other, cut);
        }
        if matches!(direction, Direction::In | Direction::Both) {
            paths.set_cut(other, instance, cut);
        }
    }

    async fn store_fault(&self, fault: StoreFault, duration: Duration) {
        if fault == StoreFault::Compacted {
            return self.fleet.store.compact();
        }
        // A fault that begins later replaces this one, and its end is the end of both.
        let number = self.store_faults.fetch_add(1, Ordering::Relaxed) + 1;
        self.fleet.store.set_faults(fault.faults());
        sleep(duration).await;
        if self.store_faults.load(Ordering::Relaxed) == number {
            self.fleet.store.set_faults(Faults::default());
        }
    }

    /// Returns the instance whose dump shows the largest size; none if all are 0.
    async fn instance_with_most(&self, size: fn(&Value) -> u64) -> Option<usize> {
        let mut most = None;
        for (instance, slot) in self.fleet.slots.iter().enumerate() {
            let dump = dump(slot).await.unwrap_or_default();
            most = most.max(Some((size(&dump), instance)));
        }
        most.filter(|(size, _)| *size > 0).map(|(_, i)| i)
    }

    /// Records when this process is late.
    async fn watch_lateness(self: Arc<Self>) {
        loop {
            let due_at = Instant::now() + LATENESS_INTERVAL;
            sleep_until(due_at).await;
            if due_at.elapsed() >= LATE_AFTER {
                let due_ms = (due_at - self.began_at).as_millis() as u64;
                lock(&self.seen).late.push(due_ms..self.now_ms());
            }
        }
    }

    /// Reads the version of the configuration from each instance again and again.
    async fn watch_versions(self: Arc<Self>) {
        loop {
            sleep(DUMP_INTERVAL).await;
            for slot in &self.fleet.slots {
                let Some(dump) = dump(slot).await else {
                    continue;
                };
                if let (Some(id), Some(version)) = (dump["id"].as_str(), dump["version"].as_u64()) {
                    lock(&self.seen).versions.push(VersionSeen {
                        incarnation: id.to_string(),
                        version,
                    });
                }
            }
        }
    }

    /// Stops all instances as planned, at the same time.
    async fn stop_all(&self) -> Result<()> {
        let stop = async |slot: &Slot| {
            let mut process = slot.process.lock().await;
            match &mut *process {
                Some(running) => running.stop().await,
                None => Ok(true),
            }
        };
        for exited in join_all(self.fleet.slots.iter().map(stop)).await {
            if !exited? {
                let failure = "an instance has not exited in time at the end";
                lock(&self.seen).failures.push(failure.to_string());
            }
        }
        Ok(())
    }

    /// Returns all that was seen.
    fn collect(&self, seconds: u64) -> Evidence {
        let mut records = self.callers.take_records();
        let mut evidence = std::mem::take(&mut *lock(&self.seen));
        let mut runs_at: HashMap<(String, String), usize> = HashMap::new();
        for upstream in self.fleet.all_upstreams() {
            for (id, at) in upstream.received_requests() {
                let at = at.saturating_duration_since(self.began_at).as_millis() as u64;
                evidence.arrivals.entry(id).or_default().push(at);
            }
            for request in upstream.misdirected_requests() {
                if let Some(id) = request.header(wire::REQUEST_ID) {
                    *evidence.misdirects.entry(id.to_string()).or_default() += 1;
                }
            }
            for request in upstream.executed_requests() {
                let Some(id) = request.header(wire::REQUEST_ID) else {
                    continue;
                };
                *evidence.runs.entry(id.to_string()).or_default() += 1;
                if let Some(at) = request.received_at {
                    let at = at.saturating_duration_since(self.began_at).as_millis() as u64;
                    let last = evidence.last_arrivals.entry(id.to_string()).or_default();
                    *last = (*last).max(at);
                }
                let at = (id.to_string(), upstream.id().to_string());
                *runs_at.entry(at).or_default() += 1;
            }
        }
        for record in &mut records {
            let Some(upstream) = &record.answered_by else {
                continue;
            };
            let at = (record.id.clone(), upstream.clone());
            if !runs_at.contains_key(&at) {
                record.mismatch = Some(format!("answered by {upstream}, which did not run it"));
            }
        }
        for instance in 0..self.fleet.slots.len() {
            for log in self.fleet.logs(instance) {
                for line in log.lines() {
                    evidence.coverage.add_line(line);
                    let Some(closed) = closed_unread(line) else {
                        continue;
                    };
                    let logged_at = ms_between(self.began_time, closed.logged_at);
                    evidence
                        .closed_unread
                        .push((instance, logged_at, closed.count));
                }
            }
        }
        evidence.coverage.misdirected = evidence.misdirects.len();
        evidence.coverage.datagrams = self.fleet.peer_paths.datagram_counts();
        evidence.seconds = seconds;
        evidence.records = records;
        evidence.budgets = self.fleet.budgets();
        evidence.failures.extend(self.fleet.panics());
        evidence
    }
}

/// Returns the dump of an instance; none of one that was killed or is paused.
async fn dump(slot: &Slot) -> Option<Value> {
    let url = format!("http://{}/dump", slot.addresses()?.metrics);
    let request = reqwest::Client::new().get(url).timeout(DUMP_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}

/// Returns the tokens that an instance holds of the customer whose tokens last for most of a run.
fn held_tokens(dump: &Value) -> u64 {
    let balance = dump["budgets"][TIGHT]["balance"].as_u64();
    balance.unwrap_or_default()
}

/// Returns how many attempts are in the accounts of engines that an instance keeps.
fn account_entries(dump: &Value) -> u64 {
    let entries = dump["engine_accounts"]["entries"].as_u64();
    entries.unwrap_or_default()
}

async fn pause(process: Option<&Process>, duration: Duration) -> Result<()> {
    let Some(process) = process else {
        return Ok(());
    };
    process.signal(Signal::STOP)?;
    sleep(duration).await;
    process.signal(Signal::CONT)
}
