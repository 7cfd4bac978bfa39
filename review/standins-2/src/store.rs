//! The platform's store: items with revisions, transactions, leases and watches, as PROTOCOL.md tells.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::{quote, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// All changes; none for a removal.
    history: Vec<(String, i64, Option<Item>)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

impl State {
    fn remove(&mut self, key: &str, revision: i64) {
        if self.items.remove(key).is_some() {
            self.history.push((key.to_string(), revision, None));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            keys.iter().for_each(|k| self.remove(k, revision));
        }
    }
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":{},\"Revision\":{},\"CreatedRev\":{},\"Lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Serves the store until the process ends.
pub fn run(addr: SocketAddr) {
    let listener = TcpListener::bind(addr).expect("a free port");
    let shared: Shared = Arc::default();
    let expiring = Arc::clone(&shared);
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let mut state = expiring.0.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| state.end_lease(*id));
        if !ended.is_empty() {
            expiring.1.notify_all();
        }
    });
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || serve(stream, &shared));
    }
}

fn decoded(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn serve(stream: TcpStream, shared: &Shared) {
    let mut conn = Conn::new(stream);
    while let Ok(req) = conn.message() {
        let target = req.first.split(' ').nth(1).unwrap_or_default().to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let query: BTreeMap<String, String> =
            pairs.map(|(k, v)| (k.to_string(), decoded(v))).collect();
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let (status, body) = answer(shared, path, &query, &body);
        let sent = conn.respond(status, "content-type: application/json\r\n", &body);
        if sent.is_err() {
            return;
        }
    }
}

fn answer(
    shared: &Shared,
    path: &str,
    query: &BTreeMap<String, String>,
    body: &str,
) -> (&'static str, String) {
    let (lock, changed) = &**shared;
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let call = path.strip_prefix("/oriolehitch/").unwrap_or_default();
    let mut state = lock.lock().unwrap();
    match call.split('/').next().unwrap_or_default() {
        "kv-key" => {
            let key = text("Key");
            match state.items.get(&key) {
                Some(item) => ("200 OK", shown(&key, item)),
                None => ("404 Not Found", "{}".to_string()),
            }
        }
        "kv-range" => {
            let (prefix, after) = (text("Prefix"), text("After"));
            let items = state.items.iter();
            let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let items: Vec<String> = items.map(|(k, i)| shown(k, i)).collect();
            let body = format!(
                "{{\"Items\":[{}],\"MorePages\":false,\"AsOf\":{}}}",
                items.join(","),
                state.revision
            );
            ("200 OK", body)
        }
        "kv-watch" => {
            let (prefix, after) = (text("Prefix"), text("After").parse().unwrap_or(0));
            let wait = Duration::from_millis(text("WaitMs").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                let news = state.history.iter();
                let news = news.filter(|(k, r, _)| *r > after && k.starts_with(&prefix));
                let news: Vec<String> = news
                    .map(|(key, revision, item)| match item {
                        Some(item) => shown(key, item),
                        None => format!(
                            "{{\"Key\":{},\"Revision\":{revision},\"Tombstone\":true}}",
                            quote(key)
                        ),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !news.is_empty() || left.is_zero() {
                    let as_of = state.revision.max(after);
                    let body = format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", news.join(","));
                    return ("200 OK", body);
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        "kv-txn" => {
            let txn = Json::parse(body).unwrap_or(Json::Null);
            let expected = txn.get("ExpectedRevision").list();
            let revision_of =
                |s: &State, key: &str| s.items.get(key).map_or(0, |item| item.revision);
            let holds = expected
                .iter()
                .all(|e| revision_of(&state, e.get("Key").str()) == e.get("Revision").int());
            if !holds {
                let items = expected.iter().filter_map(|e| {
                    let key = e.get("Key").str();
                    state.items.get(key).map(|item| shown(key, item))
                });
                let items: Vec<String> = items.collect();
                let body = format!("{{\"Items\":[{}]}}", items.join(","));
                return ("412 Precondition Failed", body);
            }
            let leases = txn
                .get("SetKeys")
                .list()
                .iter()
                .map(|p| p.get("Lease").int());
            if leases
                .filter(|l| *l != 0)
                .any(|l| !state.leases.contains_key(&l))
            {
                return ("404 Not Found", "{}".to_string());
            }
            state.revision += 1;
            let revision = state.revision;
            for put in txn.get("SetKeys").list() {
                let key = put.get("Key").str().to_string();
                let created = state.items.get(&key).map_or(revision, |i| i.created);
                let item = Item {
                    value: put.get("Value").str().to_string(),
                    revision,
                    created,
                    lease: put.get("Lease").int(),
                };
                state.items.insert(key.clone(), item.clone());
                state.history.push((key, revision, Some(item)));
            }
            for key in txn.get("Remove").list() {
                state.remove(key.str(), revision);
            }
            changed.notify_all();
            ("200 OK", format!("{{\"Revision\":{revision}}}"))
        }
        "kv-lease" => {
            let ttl_ms = Json::parse(body)
                .map_or(0, |b| b.get("TtlMs").int())
                .max(1000) as u64;
            let ttl = Duration::from_millis(ttl_ms);
            let id = state.leases.keys().last().copied().unwrap_or(0) + 1;
            state.leases.insert(id, (Instant::now() + ttl, ttl));
            ("200 OK", format!("{{\"Lease\":{id},\"TtlMs\":{ttl_ms}}}"))
        }
        "kv-keep" => {
            let id = call
                .split('/')
                .nth(1)
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    ("200 OK", "{}".to_string())
                }
                None => ("404 Not Found", "{}".to_string()),
            }
        }
        "kv-lease-end" => {
            let id = call
                .split('/')
                .nth(1)
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            state.end_lease(id);
            changed.notify_all();
            ("200 OK", "{}".to_string())
        }
        _ => ("404 Not Found", "{}".to_string()),
    }
}
