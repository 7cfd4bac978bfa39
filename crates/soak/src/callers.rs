//! Callers, which keep using their open connections to an instance until its process is gone.

use std::error::Error;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::wire;
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

use crate::checks::{Key, Record, Route, EVENTS, EVENT_TOKENS, PROMPT_TOKENS, TIMEOUT_MS};
use crate::fleet::{Fleet, HOST};
use crate::schedule::REMOVABLE_KEYS;

/// Interval between two requests to an instance.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a caller gives up: an instance that was paused answers late.
const GIVE_UP: Duration = Duration::from_secs(8);
/// Of this many requests in a row, one each is by the customers with few prepaid tokens and by those with
/// priorities of their own, and two have removable keys.
const KEY_CYCLE: usize = 10;
/// The caller of one in this many requests leaves early. In a burst, so that requests of callers that have left
/// are among those that wait, more callers do. Both numbers have no factor in common with that of the routes.
const LEAVING_DIVISOR: usize = 23;
const BURST_LEAVING_DIVISOR: usize = 3;
/// Time after which these leave: most requests of a burst still wait, and most other streams have begun.
const LEAVE_AFTER: Duration = Duration::from_millis(120);

/// Numbers of different first and second segments of prompts, which others share. The numbers have no factor in
/// common, so that all combinations occur.
const FIRST_SEGMENTS: usize = 3;
const SECOND_SEGMENTS: usize = 16;
/// Sizes of the second segment and of the last one, which is its prompt's own, in tokens.
const SECOND_SEGMENT_TOKENS: u64 = 500;
const OWN_SEGMENT_TOKENS: u64 = 1_500;

/// A request that a caller sends.
struct Request {
    route: Route,
    key: Key,
    instance: usize,
    /// Whether its caller leaves early.
    leaves: bool,
    /// The segments of its prompt, if it is a stream.
    segments: String,
}

/// The callers of all instances, and what came of their requests.
#[derive(Clone)]
pub struct Callers {
    fleet: Arc<Fleet>,
    began_at: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Callers {
    /// Returns callers that count the time from `began_at`.
    pub fn new(fleet: Arc<Fleet>, began_at: Instant) -> Callers {
        Callers {
            fleet,
            began_at,
            records: Arc::default(),
        }
    }

    /// Returns the requests that have ended.
    pub fn take_records(&self) -> Vec<Record> {
        std::mem::take(&mut *self.records.lock().expect("lock not poisoned"))
    }

    /// Sends requests to an instance until `until`, and waits for their ends.
    pub async fn run(self, instance: usize, until: Instant) {
        let client = new_client();
        let mut pending = JoinSet::new();
        let mut due_at = Instant::now();
        for i in 0.. {
            if due_at >= until {
                break;
            }
            sleep_until(due_at).await;
            due_at += SEND_INTERVAL;
            let request = Request {
                route: Route::ALL[i % Route::ALL.len()],
                key: key(i / Route::ALL.len()),
                instance,
                leaves: i % LEAVING_DIVISOR == 0,
                segments: segments(i),
            };
            self.begin(&mut pending, &client, request);
        }
        pending.join_all().await;
    }

    /// Sends this number of streams to an instance at once, and waits for their ends.
    pub async fn burst(&self, instance: usize, count: usize) {
        let client = new_client();
        let mut pending = JoinSet::new();
        let keys = [Key::Large, Key::Urgent, Key::Patient];
        for i in 0..count {
            let request = Request {
                route: [Route::Read, Route::Talk][i % 2],
                key: keys[i / 2 % keys.len()],
                instance,
                leaves: i % BURST_LEAVING_DIVISOR == 0,
                segments: segments(i),
            };
            self.begin(&mut pending, &client, request);
        }
        pending.join_all().await;
    }

    /// Begins to send a request, if callers reach the instance.
    fn begin(&self, pending: &mut JoinSet<()>, client: &Client, request: Request) {
        let Some(addresses) = self.fleet.slots[request.instance].addresses() else {
            return;
        };
        let (client, callers) = (client.clone(), self.clone());
        pending.spawn(async move {
            let url = format!(
                "http://{}/{}/x",
                addresses.callers.addr(),
                request.route.name()
            );
            let record = send(&client, &url, &request, callers.began_at).await;
            let mut records = callers.records.lock().expect("lock not poisoned");
            records.push(record);
        });
    }
}

fn new_client() -> Client {
    // The machine's settings for proxies don't apply on loopback.
    Client::builder().no_proxy().build().unwrap_or_default()
}

/// Returns the key of the n-th request of a route.
fn key(n: usize) -> Key {
    match n % KEY_CYCLE {
        0 => Key::Small,
        1 | 2 => Key::Removable(n / KEY_CYCLE % REMOVABLE_KEYS),
        3 => Key::Urgent,
        4 => Key::Patient,
        5 => Key::Tight,
        _ => Key::Large,
    }
}

/// Returns the segments of the n-th prompt: one that many share, one that some share, and its own.
fn segments(n: usize) -> String {
    let (first, second) = (n / 2 % FIRST_SEGMENTS, n / 2 % SECOND_SEGMENTS);
    let first_tokens = PROMPT_TOKENS - SECOND_SEGMENT_TOKENS - OWN_SEGMENT_TOKENS;
    let own: u64 = rand::random();
    format!(
        "a{first:x}:{first_tokens},b{second:x}:{SECOND_SEGMENT_TOKENS},{own:x}:{OWN_SEGMENT_TOKENS}"
    )
}

fn api_key(key: Key) -> String {
    match key {
        Key::Large => "Bearer key-large".to_string(),
        Key::Small => "Bearer key-small".to_string(),
        Key::Tight => "Bearer key-tight".to_string(),
        Key::Urgent => "Bearer key-urgent".to_string(),
        Key::Patient => "Bearer key-patient".to_string(),
        Key::Removable(n) => format!("Bearer key-r{n}"),
    }
}

async fn send(client: &Client, url: &str, request: &Request, began_at: Instant) -> Record {
    let now_ms = || began_at.elapsed().as_millis() as u64;
    let id = format!("{:016x}", rand::random::<u64>());
    let mut record = Record {
        id: id.clone(),
        route: request.route,
        key: request.key,
        instance: request.instance,
        sent_at: now_ms(),
        ended_at: 0,
        left: false,
        reset: false,
        status: 0,
        complete: false,
        events: Vec::new(),
        answered_by: None,
        mismatch: None,
    };
    let mut builder = client
        .post(url)
        .header("host", HOST)
        .header(wire::REQUEST_ID, &id)
        .header(wire::DEADLINE_MS, TIMEOUT_MS)
        .header("authorization", api_key(request.key))
        .timeout(GIVE_UP)
        .body(id.clone());
    if request.route.is_streamed() {
        let response_tokens = EVENT_TOKENS * u64::from(EVENTS);
        builder = builder
            .header(wire::MODEL, "m")
            .header(
                wire::TOKEN_USAGE,
                format!("{PROMPT_TOKENS},{response_tokens}"),
            )
            .header(wire::PREFIX_HASH, &request.segments);
    }
    let received = receive(builder, &mut record);
    if request.leaves {
        record.left = timeout(LEAVE_AFTER, received).await.is_err();
    } else {
        received.await;
    }
    record.ended_at = now_ms();
    record
}

/// Sends a request and reads its response to the end, or until the connection breaks.
async fn receive(builder: reqwest::RequestBuilder, record: &mut Record) {
    let mut res = match builder.send().await {
        Ok(res) => res,
        Err(e) => {
            record.reset = is_reset(&e);
            return;
        }
    };
    record.status = res.status().as_u16();
    let answered_id = res.headers().get(wire::REQUEST_ID);
    if answered_id.is_some_and(|v| v.as_bytes() != record.id.as_bytes()) {
        record.mismatch = Some(format!("the answer has the id {answered_id:?}"));
    }
    let mut body = Vec::new();
    loop {
        match res.chunk().await {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => {
                record.complete = true;
                break;
            }
            Err(_) => break,
        }
    }
    let body = String::from_utf8_lossy(&body);
    let answered_by = body.strip_prefix("ran at ").filter(|_| record.complete);
    record.answered_by = answered_by.map(str::to_string);
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    // The last event may be cut off within its id.
    record.events = ids.flat_map(|id| id.parse()).collect();
}

/// Returns whether an error means that the connection was refused or reset.
fn is_reset(error: &reqwest::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(e) = cause.downcast_ref::<std::io::Error>() {
            return matches!(
                e.kind(),
                ErrorKind::ConnectionReset | ErrorKind::ConnectionRefused | ErrorKind::BrokenPipe
            );
        }
        source = cause.source();
    }
    false
}
