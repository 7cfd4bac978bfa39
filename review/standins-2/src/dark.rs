//! One of six model workers is lost for good: it is stopped, and never runs what it is sent from then on.
//! Afterwards a tenant asks until it is refused.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{call, Answer, Call};
use crate::fleet::{free_addr, listens, stand_in, wait_for, Fleet, Process};
use crate::worker::STRIDE;

const PREPAID: u64 = 900_000;
const PROMPT: u64 = 4_000;
const MOST: u64 = 40;
const WORKERS: usize = 6;
/// Requests a second before and after the loss.
const PER_S: u64 = 20;
/// How long these go on after the worker's entry was removed.
const AFTER: Duration = Duration::from_millis(900);
/// Three status report intervals.
const ENTRY_LEFT: Duration = Duration::from_millis(3_600);
const DEADLINE_MS: u64 = 5_000;
/// False refusals that the rule allows: 5, and one in 500 of all requests.
const ALLOWED: usize = 5;

fn config() -> String {
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"reply","Hostname":"h.example","Prefix":"/reply/",
"RouteType":"streaming","TimeoutMs":5000,"TargetLatencyMs":600,"MaxAttempts":1,"Priority":0,
"GapAimMs":300,"StickySessions":true,"Service":"llm"}}],
"Services":[{{"Name":"llm","MaxConnections":370,"HealthPath":"/health",
"Engine":{{"Stride":{STRIDE},"KvCapacity":384268}}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000}},
"Tenants":[{{"Name":"c","ApiKeys":["key"],"Prepaid":{PREPAID}}}]}}"#
    )
}

#[derive(Default)]
struct Record {
    lines: String,
    /// Events received in all answers.
    events: u64,
    sent: usize,
}

fn ask(fronts: &[SocketAddr], n: usize, record: &Mutex<Record>) -> Answer {
    let id = format!("r{n:04}");
    let answer = call(&Call {
        to: fronts[n % fronts.len()],
        path: "/reply/x",
        id: &id,
        key: "key",
        deadline_ms: DEADLINE_MS,
        usage: Some((PROMPT, MOST)),
    });
    let mut record = record.lock().unwrap();
    record.sent += 1;
    record.events += answer.events;
    let _ = writeln!(
        record.lines,
        "request {id} tokens={PROMPT},{MOST}: status={} events={} whole={} ms={}",
        answer.status, answer.events, answer.whole, answer.took_ms
    );
    answer
}

/// Returns the ids of the requests that a worker ran, by what the workers wrote.
fn ran(files: &[std::path::PathBuf]) -> usize {
    let texts = files
        .iter()
        .map(|f| fs::read_to_string(f).unwrap_or_default());
    texts
        .map(|t| t.lines().filter(|l| l.contains(" ran ")).count())
        .sum()
}

/// Plays the scenario; returns the exit status.
pub fn play(folder: &Path) -> i32 {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("review-dark-{}", std::process::id()));
    let fleet = Fleet::start(dir.clone());
    fleet.put("op/config", Some(&config()));
    let mut workers: Vec<Process> = Vec::new();
    let mut files = Vec::new();
    for i in 0..WORKERS {
        let (addr, id, file) = (free_addr(), format!("i-{i}"), dir.join(format!("w{i}")));
        let args = [
            "worker",
            &addr.to_string(),
            &id,
            "64",
            "15",
            &file.display().to_string(),
        ];
        workers.push(stand_in(&args.map(str::to_string)));
        wait_for("worker", Duration::from_secs(5), || listens(addr));
        let entry = format!(
            r#"{{"Service":"llm","Address":"{addr}","Zone":"z","Version":"v1","Slots":64,
"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
        );
        fleet.put(&format!("servers/{id}"), Some(&entry));
        files.push(file);
    }
    let controls: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let instances = controls.iter().enumerate();
    let instances: Vec<_> = instances
        .map(|(i, c)| fleet.instance(&format!("edge-{}", i + 1), &controls, *c))
        .collect();
    instances.iter().for_each(|i| fleet.wait_ready(i));
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.front).collect();
    let record = Arc::new(Mutex::new(Record::default()));
    let mut n = 0;
    let mut threads = Vec::new();
    let mut burst = |for_s: Duration, n: &mut usize| {
        let until = Instant::now() + for_s;
        while Instant::now() < until {
            *n += 1;
            let (fronts, record, n) = (fronts.clone(), Arc::clone(&record), *n);
            threads.push(thread::spawn(move || ask(&fronts, n, &record)));
            thread::sleep(Duration::from_millis(1_000 / PER_S));
        }
    };
    burst(Duration::from_secs(2), &mut n);
    // The one that has run most so far is lost: an idle one would not be missed.
    let runs = |i: &usize| ran(std::slice::from_ref(&files[*i]));
    let lost = (0..WORKERS).max_by_key(runs).unwrap_or(0);
    if trouble {
        workers[lost].signal("STOP");
    }
    burst(ENTRY_LEFT, &mut n);
    if trouble {
        fleet.put(&format!("servers/i-{lost}"), None);
    }
    burst(AFTER, &mut n);
    for thread in threads {
        let _ = thread.join();
    }
    // The tenant goes on, one request after the other, while its tokens last.
    let mut denied = 0;
    let mut false_denials = 0;
    let until = Instant::now() + Duration::from_secs(60);
    while denied < 30 && Instant::now() < until {
        n += 1;
        let answer = ask(&fronts, n, &record);
        let consumed = {
            let record = record.lock().unwrap();
            ran(&files) as u64 * PROMPT + record.events * STRIDE
        };
        let mut record = record.lock().unwrap();
        let _ = writeln!(record.lines, "  consumed so far {consumed} of {PREPAID}");
        if answer.status == 402 {
            denied += 1;
            let covered = consumed + PROMPT + MOST <= PREPAID;
            false_denials += usize::from(covered);
            let _ = writeln!(record.lines, "  402, though covered: {covered}");
        } else if answer.status != 200 {
            thread::sleep(Duration::from_millis(300));
        }
    }
    let record = record.lock().unwrap();
    let allowed = ALLOWED + record.sent / 500;
    let summary = format!(
        "trouble={trouble} sent={} ran={} consumed={} prepaid={PREPAID} denied={denied} \
         falsely={false_denials} allowed={allowed}\n",
        record.sent,
        ran(&files),
        ran(&files) as u64 * PROMPT + record.events * STRIDE
    );
    let notes: String = files
        .iter()
        .map(|f| fs::read_to_string(f).unwrap_or_default())
        .collect();
    print!("{summary}");
    let _ = fs::write(
        folder.join("record.txt"),
        format!("{summary}{}{notes}", record.lines),
    );
    drop(workers);
    drop(instances);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    if denied == 0 {
        return 2;
    }
    i32::from(false_denials > allowed)
}
