//! A stand-in for the platform's store: keys, revisions, watches, transactions and leases, as the section
//! "The platform's metadata store" of PROTOCOL.md describes them. It injects no faults.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{base64, quote, Json};

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
    /// All changes: revision, key, and the item; none if it was removed.
    history: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (u64, Instant)>,
    last_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_string(), item.clone());
        self.history
            .push((self.revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        self.revision += 1;
        let of_lease = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = of_lease.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"Key":{},"Value":"{}","Revision":{},"CreatedRev":{},"Lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Store {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            addr,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = expiring.shared.0.lock().unwrap();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, (_, at))| *at <= now);
            let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
            for lease in &ended {
                state.end_lease(*lease);
            }
            drop(state);
            if !ended.is_empty() {
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let mut words = req.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, body) = self.answer(method, path, query, &req.body);
            if http::respond_json(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, String) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let lock = || self.shared.0.lock().unwrap();
        match (method, path) {
            ("GET", "/oriolehitch/kv-key") => {
                let (key, state) = (param(query, "Key"), lock());
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_string()),
                }
            }
            ("GET", "/oriolehitch/kv-range") => {
                let (prefix, after) = (param(query, "Prefix"), param(query, "After"));
                let state = lock();
                let items = state.items.iter();
                let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, i)| item_json(k, i)).collect();
                let text = items.join(",");
                let as_of = state.revision;
                (
                    200,
                    format!(r#"{{"Items":[{text}],"MorePages":false,"AsOf":{as_of}}}"#),
                )
            }
            ("GET", "/oriolehitch/kv-watch") => {
                let prefix = param(query, "Prefix");
                let after: i64 = param(query, "After").parse().unwrap_or(0);
                let wait: u64 = param(query, "WaitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = lock();
                loop {
                    let newer = state.history.iter();
                    let newer = newer.filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<String> = newer
                        .map(|(r, k, item)| match item {
                            Some(item) => item_json(k, item),
                            None => {
                                format!(r#"{{"Key":{},"Revision":{r},"Tombstone":true}}"#, quote(k))
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (text, as_of) = (events.join(","), state.revision);
                        return (200, format!(r#"{{"events":[{text}],"AsOf":{as_of}}}"#));
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/oriolehitch/kv-txn") => {
                let mut state = lock();
                let expected = body.get("ExpectedRevision").list();
                let current = |key: &str| state.items.get(key).map_or(0, |i| i.revision);
                let holds = expected
                    .iter()
                    .all(|e| current(e.get("Key").str()) == e.get("Revision").int());
                if !holds {
                    let items = expected.iter().filter_map(|e| {
                        let key = e.get("Key").str();
                        state.items.get(key).map(|i| item_json(key, i))
                    });
                    let items: Vec<String> = items.collect();
                    return (412, format!(r#"{{"Items":[{}]}}"#, items.join(",")));
                }
                let puts = body.get("SetKeys").list();
                if puts.iter().any(|p| {
                    p.get("Lease").int() != 0 && !state.leases.contains_key(&p.get("Lease").int())
                }) {
                    return (404, "{}".to_string());
                }
                state.revision += 1;
                for p in puts {
                    state.put(
                        p.get("Key").str(),
                        p.get("Value").str().to_string(),
                        p.get("Lease").int(),
                    );
                }
                for key in body.get("Remove").list() {
                    state.remove(key.str());
                }
                let revision = state.revision;
                drop(state);
                self.shared.1.notify_all();
                (200, format!(r#"{{"Revision":{revision}}}"#))
            }
            ("POST", "/oriolehitch/kv-lease") => {
                let ttl = (body.get("TtlMs").int().max(1_000) as u64).min(600_000);
                let mut state = lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state
                    .leases
                    .insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!(r#"{{"Lease":{lease},"TtlMs":{ttl}}}"#))
            }
            _ => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut state = lock();
                if path.starts_with("/oriolehitch/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some((ttl, at)) => {
                            *at = Instant::now() + Duration::from_millis(*ttl);
                            (200, format!(r#"{{"TtlMs":{ttl}}}"#))
                        }
                        None => (404, "{}".to_string()),
                    };
                }
                if path.starts_with("/oriolehitch/kv-lease-end/") {
                    let ended = state.end_lease(id);
                    drop(state);
                    self.shared.1.notify_all();
                    return (if ended { 200 } else { 404 }, "{}".to_string());
                }
                (404, "{}".to_string())
            }
        }
    }
}

/// Returns a parameter of a query, percent-decoded.
fn param(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let value = pairs
        .filter(|(n, _)| *n == name)
        .map(|(_, v)| v)
        .next()
        .unwrap_or("");
    let (bytes, mut out, mut i) = (value.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&value[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
