//! The cases of the review that are scripts: `review-standins CASE RECORD`, from the repository's root.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod fleet;
mod http;
mod json;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use fleet::{wait_for, Files, Instance, Record};
use store::Store;
use worker::{body_for, Worker};

const ZONES: [&str; 3] = ["hall-keflavik", "hall-grindavik", "hall-sandgerdi"];
/// Memory of a machine of the deployment, in MB.
const MEMORY_MB: u64 = 110;
const SIGTERM: i32 = 15;
/// Time between the start of the instances and the first request: more than `ContactMs` of any deployment.
const AFTER_START_MS: u64 = 4_500;

/// A small deployment: the store, one worker and one instance in each zone.
struct Deployment {
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    _store: Store,
    _files: Files,
}

impl Deployment {
    fn start(record: &Record, answer_bytes: usize, timeout_ms: u64) -> Option<Deployment> {
        let store = Store::start();
        let mut workers = Vec::new();
        for (i, zone) in ZONES.iter().enumerate() {
            let worker = Worker::start(&format!("i-desk{i}"), answer_bytes, record);
            store.put(
                &format!("servers/{}", worker.id),
                &worker.entry("order-desk", zone),
            );
            workers.push(worker);
        }
        let route = |name: &str, kind: &str, attempts: u32| {
            format!(
                r#"{{"Name":"{name}","Hostname":"desk.example","Prefix":"/{name}/","RouteType":"{kind}",
                "TimeoutMs":{timeout_ms},"TargetLatencyMs":300,"Priority":2,"Service":"order-desk",
                "MaxAttempts":{attempts},"Public":false}}"#
            )
        };
        let config = format!(
            r#"{{"Version":7,"Routes":[{},{}],
            "Services":[{{"Name":"order-desk","HealthPath":"/health","MaxConnections":110}}],
            "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
            "Tenants":[{{"Name":"grower","ApiKeys":["key-of-grower"],"Prepaid":1000000}}]}}"#,
            route("cancel", "idempotent", 2),
            route("reserve", "non_idempotent", 1)
        );
        store.put("op/config", &config);
        let files = Files::create();
        let start =
            |zone: &&str| files.start(&format!("edge-{zone}-1"), zone, store.addr, MEMORY_MB);
        let instances: Vec<Instance> = ZONES.iter().map(start).collect();
        let ready = wait_for(20, || instances.iter().all(Instance::is_ready));
        record.line(&format!(
            "{} instances started, ready: {ready}",
            instances.len()
        ));
        // The start is no longer within `ContactMs` (3,000) before the requests.
        thread::sleep(Duration::from_millis(AFTER_START_MS));
        ready.then_some(Deployment {
            instances,
            workers,
            _store: store,
            _files: files,
        })
    }

    fn runs(&self, id: &str) -> usize {
        let of = |w: &Worker| w.ran.lock().unwrap().iter().filter(|r| *r == id).count();
        self.workers.iter().map(of).sum()
    }
}

/// MIXED: the answer to a requester that reads slowly is cut at its route's `TimeoutMs`, and looks complete.
fn cut_answer(record: &Record, trouble: bool) -> u8 {
    const BYTES: usize = 2_000_000;
    const TIMEOUT_MS: u64 = 2_000;
    const DEADLINE_MS: u64 = 10_000;
    const SLOW_PER_SEC: usize = 200_000;
    let Some(deployment) = Deployment::start(record, BYTES, TIMEOUT_MS) else {
        return 2;
    };
    let per_sec = if trouble { SLOW_PER_SEC } else { 0 };
    let (mut broken, mut answered) = (0, 0);
    let mut reading = Vec::new();
    for (n, instance) in deployment.instances.iter().enumerate() {
        let (id, front) = (format!("slow{n:012x}"), instance.front);
        let (method, path) = [("GET", "/cancel/2f"), ("POST", "/reserve/2f")][n % 2];
        record.line(&format!(
            "requester sends {id} ({method} {path}, Deadline-Ms {DEADLINE_MS}) to {}, reads {per_sec} bytes a second (0: at once)",
            instance.name
        ));
        reading.push((
            id.clone(),
            thread::spawn(move || {
                client::request(front, method, path, &id, DEADLINE_MS, b"", per_sec)
            }),
        ));
    }
    for (id, reading) in reading {
        let answer = match reading.join().expect("no panic") {
            Ok(answer) => answer,
            Err(e) => {
                record.line(&format!("{id}: {e}"));
                continue;
            }
        };
        let whole = answer.body == body_for(&id, BYTES);
        record.line(&format!(
            "{id}: {}; the worker's whole body ({BYTES} bytes): {}; runs: {}",
            answer.describe(),
            if whole { "yes" } else { "no" },
            deployment.runs(&id)
        ));
        answered += usize::from(answer.status == 200);
        let success = (200..300).contains(&answer.status) && answer.seal && answer.complete;
        if success && !whole {
            broken += 1;
            record.line(&format!(
                "MIXED: {id} got a success that looks complete and isn't the worker's whole body"
            ));
        }
    }
    record.line(&format!(
        "answers with status 200: {answered} of 3; MIXED broken by {broken} of 3"
    ));
    match (broken, answered) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// LOST: a machine that gets SIGTERM ends while a requester still reads its answer.
fn cut_by_stop(record: &Record, trouble: bool) -> u8 {
    const BYTES: usize = 900_000;
    const TIMEOUT_MS: u64 = 10_000;
    const SLOW_PER_SEC: usize = 150_000;
    const GRACE_MS: u64 = 8_000;
    let Some(mut deployment) = Deployment::start(record, BYTES, TIMEOUT_MS) else {
        return 2;
    };
    let id = "reserve00000001";
    let instance = &deployment.instances[0];
    let front = instance.front;
    record.line(&format!(
        "requester sends {id} to {}, reads {SLOW_PER_SEC} bytes a second",
        instance.name
    ));
    let reading = thread::spawn(move || {
        client::request(
            front,
            "POST",
            "/reserve/2f",
            id,
            10_000,
            b"{\"pallets\":2}",
            SLOW_PER_SEC,
        )
    });
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line(&format!("SIGTERM to {}", deployment.instances[0].name));
        deployment.instances[0].signal(SIGTERM);
    }
    let began = std::time::Instant::now();
    let mut ended_ms = None;
    while !reading.is_finished() {
        if ended_ms.is_none() {
            if let Some(status) = deployment.instances[0].exited() {
                let ms = began.elapsed().as_millis() as u64;
                ended_ms = Some(ms);
                record.line(&format!(
                    "the process has ended by itself {ms} ms after the SIGTERM: {status}"
                ));
            }
        }
        if trouble && began.elapsed().as_millis() as u64 >= GRACE_MS && ended_ms.is_none() {
            record.line("GraceS is over: SIGKILL");
            deployment.instances[0].signal(9);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answer = match reading.join().expect("no panic") {
        Ok(answer) => answer,
        Err(e) => {
            record.line(&format!("{id}: {e}"));
            return 2;
        }
    };
    let whole = answer.body == body_for(id, BYTES);
    record.line(&format!(
        "{id}: {}; the worker's whole body ({BYTES} bytes): {}; runs: {}",
        answer.describe(),
        if whole { "yes" } else { "no" },
        deployment.runs(id)
    ));
    if deployment.runs(id) == 0 {
        return 2;
    }
    if answer.complete && whole {
        return 0;
    }
    record.line(&format!(
        "LOST: {id} was passed on to a worker, and its channel ended without a complete answer"
    ));
    1
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(path));
    record.line(&format!(
        "case {case}, disruption: {}",
        if trouble { "on" } else { "off" }
    ));
    let code = match case.as_str() {
        "cut-answer" => cut_answer(&record, trouble),
        "cut-by-stop" => cut_by_stop(&record, trouble),
        _ => 2,
    };
    record.line(&format!("exit status {code}"));
    ExitCode::from(code)
}
