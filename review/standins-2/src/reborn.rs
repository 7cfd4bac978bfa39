//! A worker starts again under its Id after the clock of its machine has stepped back. Later it drains.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{call, Call};
use crate::fleet::{free_addr, listens, stand_in, wait_for, Fleet, Process};
use crate::worker::wall_ms;

/// How far the clock is ahead until it steps back, in milliseconds.
const STEP_MS: u128 = 3_130;
const DRAIN_MS: u128 = 2_000;
/// How long the worker serves on after the store has accepted that it drains.
const SERVES_ON: Duration = Duration::from_millis(6_000);
const PER_S: u64 = 60;

fn config() -> &'static str {
    r#"{"Version":1,"Routes":[{"Name":"order","Hostname":"h.example","Prefix":"/order/",
"RouteType":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":300,"MaxAttempts":1,"Priority":2,
"Public":true,"Service":"order-desk"}],
"Services":[{"Name":"order-desk","MaxConnections":110,"HealthPath":"/health"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000}}"#
}

fn entry(addr: SocketAddr, state: &str, born: u128, sequence: u32) -> String {
    format!(
        r#"{{"Service":"order-desk","Address":"{addr}","Zone":"z","Version":"v1","Slots":6,
"State":"{state}","ColdRemainingMs":0,"Sequence":{sequence},"born":{born}}}"#
    )
}

fn start(addr: SocketAddr, id: &str, file: &Path) -> Process {
    let args = [
        "worker",
        &addr.to_string(),
        id,
        "6",
        "150",
        &file.display().to_string(),
    ];
    let process = stand_in(&args.map(str::to_string));
    wait_for("worker", Duration::from_secs(5), || listens(addr));
    process
}

/// Returns what the workers wrote about the requests that they ran.
fn notes(files: &[std::path::PathBuf]) -> String {
    files
        .iter()
        .map(|f| fs::read_to_string(f).unwrap_or_default())
        .collect()
}

/// Plays the scenario; returns the exit status.
pub fn play(folder: &Path) -> i32 {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("review-reborn-{}", std::process::id()));
    let fleet = Fleet::start(dir.clone());
    fleet.put("op/config", Some(config()));
    let ahead = if trouble { STEP_MS } else { 0 };
    let (addrs, ids) = (
        [free_addr(), free_addr(), free_addr(), free_addr()],
        ["i-0", "i-1", "i-2", "i-3"],
    );
    let files: Vec<_> = ids.iter().map(|id| dir.join(format!("w-{id}"))).collect();
    let mut workers: Vec<Process> = Vec::new();
    for i in 1..4 {
        workers.push(start(addrs[i], ids[i], &files[i]));
        fleet.put(
            &format!("servers/{}", ids[i]),
            Some(&entry(addrs[i], "ready", wall_ms(), 1)),
        );
    }
    let controls: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let instances = controls.iter().enumerate();
    let instances: Vec<_> = instances
        .map(|(i, c)| fleet.instance(&format!("edge-{}", i + 1), &controls, *c))
        .collect();
    instances.iter().for_each(|i| fleet.wait_ready(i));
    workers.insert(0, start(addrs[0], ids[0], &files[0]));
    fleet.put(
        "servers/i-0",
        Some(&entry(addrs[0], "ready", wall_ms() + ahead, 1)),
    );
    thread::sleep(Duration::from_secs(1));
    // The clock steps back; the worker crashes, and starts again under its Id.
    drop(workers.remove(0));
    workers.insert(0, start(addrs[0], ids[0], &files[0]));
    let born = wall_ms();
    fleet.put("servers/i-0", Some(&entry(addrs[0], "ready", born, 1)));
    thread::sleep(Duration::from_secs(4));
    let lines = Arc::new(Mutex::new(String::new()));
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.front).collect();
    let mut threads = Vec::new();
    let mut n = 0;
    let mut burst = |for_s: Duration| {
        let until = Instant::now() + for_s;
        while Instant::now() < until {
            n += 1;
            let (to, id, lines) = (fronts[n % 3], format!("o{n:04}"), Arc::clone(&lines));
            threads.push(thread::spawn(move || {
                let sent = wall_ms();
                let (path, key, usage) = ("/order/x", "", None);
                let answer = call(&Call {
                    to,
                    path,
                    id: &id,
                    key,
                    deadline_ms: 1_500,
                    usage,
                });
                let _ = writeln!(
                    lines.lock().unwrap(),
                    "order {id} sent={sent}: status={} ms={} text={}",
                    answer.status,
                    answer.took_ms,
                    answer.text
                );
            }));
            thread::sleep(Duration::from_millis(1_000 / PER_S));
        }
    };
    burst(Duration::from_secs(3));
    fleet.put("servers/i-0", Some(&entry(addrs[0], "draining", born, 2)));
    let acked = wall_ms();
    let flag = |name: &str| fs::write(format!("{}.{name}", files[0].display()), "");
    let _ = flag("draining");
    burst(SERVES_ON);
    // It ends what it runs, and exits.
    let _ = flag("leave");
    burst(Duration::from_millis(300));
    fleet.put("servers/i-0", None);
    burst(Duration::from_millis(700));
    for thread in threads {
        let _ = thread.join();
    }
    let text = fs::read_to_string(&files[0]).unwrap_or_default();
    let at = |line: &&str| line.split(' ').next().and_then(|t| t.parse::<u128>().ok());
    let runs: Vec<u128> = text.lines().filter_map(|l| at(&l)).collect();
    let late = runs.iter().filter(|t| **t > acked + DRAIN_MS).count();
    let lines = lines.lock().unwrap();
    let failed = lines.lines().filter(|l| !l.contains("status=200")).count();
    let summary = format!(
        "trouble={trouble} orders={n} run by i-0={} draining acked at {acked}; run by i-0 later than \
         {DRAIN_MS} ms after it={late}; orders without success={failed}\n",
        runs.len()
    );
    print!("{summary}");
    let _ = fs::write(
        folder.join("record.txt"),
        format!("{summary}{lines}{}", notes(&files)),
    );
    drop(workers);
    drop(instances);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    if runs.iter().all(|t| *t > acked) {
        return 2;
    }
    i32::from(late > 0)
}
