//! Stub of the platform's key-value store, with the etcd v3 JSON protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kv::wire::{decode_base64, encode_base64, parse_int};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::broadcast::{self, error::RecvError};
use web::{Body, Req, Res};

use crate::store::{Entry, Store};

const MAX_BODY_BYTES: usize = 4 << 20;
/// Number of changes that are buffered for a watch that lags behind.
const CHANGE_BUFFER: usize = 1024;
/// Interval at which expired leases are deleted.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Faults that the stub injects. The field names are those of the JSON object that is posted to
/// `/fault`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call gets a 503 response.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of transactions that take effect but get a 504 response.
    pub lose_answers: u64,
    /// `lose_answers` applies only to transactions on keys with this prefix.
    pub lose_prefix: String,
    /// Watches stay open but report no changes.
    pub stall_watches: bool,
}

/// Numbers of executed calls.
#[derive(Debug, Default)]
struct CallCounts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// A running stub of the platform's key-value store.
pub struct StubPlatform {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counts: CallCounts,
    started: Instant,
    /// The changed keys; an empty key stands for any number of keys.
    changed: broadcast::Sender<Vec<u8>>,
}

impl StubPlatform {
    /// Binds the stub to an address.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> Result<web::ServerHandle, String> {
        let platform = Arc::new(StubPlatform {
            store: Mutex::default(),
            faults: Mutex::default(),
            counts: CallCounts::default(),
            started: Instant::now(),
            changed: broadcast::channel(CHANGE_BUFFER).0,
        });
        tokio::spawn(expire_leases(Arc::clone(&platform)));
        web::bind(addr, web::Limits::trusted(MAX_BODY_BYTES), platform).await
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn header(&self) -> Value {
        json!({"revision": self.store.lock().expect("lock not poisoned").revision().to_string()})
    }

    fn range(&self, body: &Value) -> Value {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let key = decode_base64(body["key"].as_str().unwrap_or_default());
        let end = decode_base64(body["range_end"].as_str().unwrap_or_default());
        let found = self
            .store
            .lock()
            .expect("lock not poisoned")
            .range(&key, &end);
        let count = found.len().to_string();
        let kvs: Vec<Value> = found.iter().map(key_value_json).collect();
        json!({"header": self.header(), "kvs": kvs, "count": count})
    }

    /// Runs a transaction that writes one key on condition of its revision.
    fn txn(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let compare = &body["compare"][0];
        let put = &body["success"][0]["request_put"];
        let key = decode_base64(put["key"].as_str().unwrap_or_default());
        let value = decode_base64(put["value"].as_str().unwrap_or_default());
        let revision = parse_int(&compare["mod_revision"]);
        let mut store = self.store.lock().expect("lock not poisoned");
        let succeeded = store.compare_and_swap(&key, revision, value, parse_int(&put["lease"]));
        let found = store.range(&key, &[]);
        let current_revision = store.revision();
        drop(store);
        if succeeded {
            let _ = self.changed.send(key);
        }
        let header = json!({"revision": current_revision.to_string()});
        if succeeded {
            return json!({"header": header, "succeeded": true});
        }
        let kvs: Vec<Value> = found.iter().map(key_value_json).collect();
        json!({"header": header, "responses": [{"response_range": {"kvs": kvs}}]})
    }

    fn grant_lease(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let ttl = parse_int(&body["TTL"]).max(1) as u64;
        let now_ms = self.now_ms();
        let mut store = self.store.lock().expect("lock not poisoned");
        let id = store.grant_lease(now_ms, ttl * 1000);
        json!({"ID": id.to_string(), "TTL": ttl.to_string()})
    }

    fn keep_alive(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let now_ms = self.now_ms();
        let mut store = self.store.lock().expect("lock not poisoned");
        let ttl = store.keep_alive(now_ms, parse_int(&body["ID"]));
        json!({"result": {"ID": body["ID"], "TTL": ttl.to_string()}})
    }

    /// Streams a line for each change in a range. It does not say what changed, so the client has
    /// to read the range again.
    fn watch(self: &Arc<Self>, body: &Value) -> Res {
        let create = &body["create_request"];
        let from = decode_base64(create["key"].as_str().unwrap_or_default());
        let end = decode_base64(create["range_end"].as_str().unwrap_or_default());
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        let platform = Arc::clone(self);
        let (tx, mut res) = Res::event_stream();
        res.headers = vec![("content-type", "application/json".to_string())];
        tokio::spawn(async move {
            let _ = tx.send("{\"result\":{\"created\":true}}\n".into()).await;
            loop {
                let key = match changed.recv().await {
                    Ok(key) => key,
                    Err(RecvError::Lagged(_)) => Vec::new(),
                    Err(RecvError::Closed) => return,
                };
                let in_range = key.is_empty() || (key >= from && key < end);
                let stalled = platform.faults().stall_watches;
                let line = "{\"result\":{\"events\":[{}]}}\n";
                if in_range && !stalled && tx.send(line.into()).await.is_err() {
                    return;
                }
            }
        });
        res
    }

    fn faults(&self) -> Faults {
        self.faults.lock().expect("lock not poisoned").clone()
    }

    fn set_faults(&self, req: &Req) -> Res {
        match req.json::<Faults>() {
            Ok(faults) => {
                self.faults
                    .lock()
                    .expect("lock not poisoned")
                    .clone_from(&faults);
                Res::json(200, &faults)
            }
            Err(e) => Res::json(400, &json!({"error": e})),
        }
    }

    fn ledger(&self) -> Res {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Res::json(
            200,
            &json!({
                "reads": load(&self.counts.reads),
                "writes": load(&self.counts.writes),
                "watches": load(&self.counts.watches),
            }),
        )
    }

    /// Returns whether the response to a transaction is to be lost, and counts the fault down.
    fn take_lost_response(&self, body: &Value) -> bool {
        let key = decode_base64(body["compare"][0]["key"].as_str().unwrap_or_default());
        let mut faults = self.faults.lock().expect("lock not poisoned");
        let lost = faults.lose_answers > 0 && key.starts_with(faults.lose_prefix.as_bytes());
        faults.lose_answers -= u64::from(lost);
        lost
    }

    async fn handle(self: Arc<Self>, req: Req) -> Res {
        let faults = self.faults();
        if faults.down {
            return Res::json(503, &json!({"error": "down"}));
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let body: Value = match req.json() {
            Ok(body) => body,
            Err(e) => return Res::json(400, &json!({"error": e})),
        };
        match req.path.as_str() {
            "/v3/kv/range" => Res::json(200, &self.range(&body)),
            "/v3/kv/txn" => {
                let response = self.txn(&body);
                if self.take_lost_response(&body) {
                    return Res::json(504, &json!({"error": "request timed out"}));
                }
                Res::json(200, &response)
            }
            "/v3/lease/grant" => Res::json(200, &self.grant_lease(&body)),
            "/v3/lease/keepalive" => Res::json(200, &self.keep_alive(&body)),
            "/v3/watch" => self.watch(&body),
            _ => Res::json(404, &json!({"error": "not found"})),
        }
    }
}

impl web::Service for StubPlatform {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        match req.path.as_str() {
            "/fault" => self.set_faults(&req),
            "/ledger" => self.ledger(),
            _ => {
                // In a task of its own, so that a delayed call takes effect even if its client
                // disconnects meanwhile.
                let handled = tokio::spawn(self.handle(req)).await;
                handled.unwrap_or_else(|_| Res {
                    status: 500,
                    headers: Vec::new(),
                    body: Body::Full("fault".into()),
                })
            }
        }
    }
}

fn key_value_json((key, entry): &(Vec<u8>, Entry)) -> Value {
    json!({
        "key": encode_base64(key),
        "value": encode_base64(&entry.value),
        "mod_revision": entry.revision.to_string(),
        "lease": entry.lease.to_string(),
    })
}

async fn expire_leases(platform: Arc<StubPlatform>) {
    let mut interval = tokio::time::interval(LEASE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let now_ms = platform.now_ms();
        let mut store = platform.store.lock().expect("lock not poisoned");
        if store.expire_leases(now_ms) {
            // Any keys may have expired with the leases.
            let _ = platform.changed.send(Vec::new());
        }
    }
}
