//! The stand-in for the platform's key-value service, in the etcd v3 JSON protocol.

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

const BODY_LIMIT: usize = 4 << 20;
/// Changes kept for a watch that lags.
const CHANGES_KEPT: usize = 1024;
const EXPIRE_EVERY: Duration = Duration::from_millis(200);

/// The switches for faults.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Every call takes effect only after this time.
    pub slow_ms: u64,
    /// This many writes take effect without an answer.
    pub lose_answers: u64,
    /// Only writes of keys with this prefix lose their answers.
    pub lose_prefix: String,
    /// Watches stay open and say nothing.
    pub stall_watches: bool,
}

/// How many calls came.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// A running stand-in.
pub struct StubPlatform {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counts: Counts,
    started: Instant,
    changed: broadcast::Sender<Vec<u8>>,
}

impl StubPlatform {
    /// Binds the stand-in to an address.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> Result<web::Handle, String> {
        let platform = Arc::new(StubPlatform {
            store: Mutex::default(),
            faults: Mutex::default(),
            counts: Counts::default(),
            started: Instant::now(),
            changed: broadcast::channel(CHANGES_KEPT).0,
        });
        tokio::spawn(expire(Arc::clone(&platform)));
        web::bind(addr, BODY_LIMIT, platform).await
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn header(&self) -> Value {
        json!({"revision": self.store.lock().expect("no panic inside").revision().to_string()})
    }

    fn range(&self, body: &Value) -> Value {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let key = decode_base64(body["key"].as_str().unwrap_or_default());
        let end = decode_base64(body["range_end"].as_str().unwrap_or_default());
        let found = self
            .store
            .lock()
            .expect("no panic inside")
            .range(&key, &end);
        let count = found.len().to_string();
        let kvs: Vec<Value> = found.iter().map(row).collect();
        json!({"header": self.header(), "kvs": kvs, "count": count})
    }

    fn txn(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let compare = &body["compare"][0];
        let put = &body["success"][0]["request_put"];
        let key = decode_base64(put["key"].as_str().unwrap_or_default());
        let value = decode_base64(put["value"].as_str().unwrap_or_default());
        let revision = parse_int(&compare["mod_revision"]);
        let mut store = self.store.lock().expect("no panic inside");
        let succeeded = store.compare_and_swap(&key, revision, value, parse_int(&put["lease"]));
        let found = store.range(&key, &[]);
        let now = store.revision();
        drop(store);
        if succeeded {
            let _ = self.changed.send(key);
        }
        let header = json!({"revision": now.to_string()});
        if succeeded {
            return json!({"header": header, "succeeded": true});
        }
        let kvs: Vec<Value> = found.iter().map(row).collect();
        json!({"header": header, "responses": [{"response_range": {"kvs": kvs}}]})
    }

    fn lease(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let ttl = parse_int(&body["TTL"]).max(1) as u64;
        let now = self.now_ms();
        let mut store = self.store.lock().expect("no panic inside");
        let id = store.grant_lease(now, ttl * 1000);
        json!({"ID": id.to_string(), "TTL": ttl.to_string()})
    }

    fn keep_alive(&self, body: &Value) -> Value {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let now = self.now_ms();
        let mut store = self.store.lock().expect("no panic inside");
        let ttl = store.keep_alive(now, parse_int(&body["ID"]));
        json!({"result": {"ID": body["ID"], "TTL": ttl.to_string()}})
    }

    /// Streams a line for every change in a range; the client reads the range again.
    fn watch(self: &Arc<Self>, body: &Value) -> Res {
        let create = &body["create_request"];
        let from = decode_base64(create["key"].as_str().unwrap_or_default());
        let end = decode_base64(create["range_end"].as_str().unwrap_or_default());
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        let platform = Arc::clone(self);
        let (tx, mut res) = Res::events();
        res.headers = vec![("content-type", "application/json".to_string())];
        tokio::spawn(async move {
            let _ = tx.send("{\"result\":{\"created\":true}}\n".into()).await;
            loop {
                let key = match changed.recv().await {
                    Ok(key) => key,
                    Err(RecvError::Lagged(_)) => Vec::new(),
                    Err(RecvError::Closed) => return,
                };
                // An expired lease may take any key with it.
                let hit = key.is_empty() || (key >= from && key < end);
                let stalled = platform.faults().stall_watches;
                let line = "{\"result\":{\"events\":[{}]}}\n";
                if hit && !stalled && tx.send(line.into()).await.is_err() {
                    return;
                }
            }
        });
        res
    }

    fn faults(&self) -> Faults {
        self.faults.lock().expect("no panic inside").clone()
    }

    fn set_faults(&self, req: &Req) -> Res {
        match req.json::<Faults>() {
            Ok(faults) => {
                self.faults
                    .lock()
                    .expect("no panic inside")
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

    /// Takes one of the writes whose answers are lost.
    fn loses_answer(&self, body: &Value) -> bool {
        let key = decode_base64(body["compare"][0]["key"].as_str().unwrap_or_default());
        let mut faults = self.faults.lock().expect("no panic inside");
        let loses = faults.lose_answers > 0 && key.starts_with(faults.lose_prefix.as_bytes());
        faults.lose_answers -= u64::from(loses);
        loses
    }

    async fn serve(self: Arc<Self>, req: Req) -> Res {
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
                let answer = self.txn(&body);
                if self.loses_answer(&body) {
                    return Res::json(504, &json!({"error": "request timed out"}));
                }
                Res::json(200, &answer)
            }
            "/v3/lease/grant" => Res::json(200, &self.lease(&body)),
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
                // A slow call takes effect even when its client has hung up meanwhile.
                let served = tokio::spawn(self.serve(req)).await;
                served.unwrap_or_else(|_| Res {
                    status: 500,
                    headers: Vec::new(),
                    body: Body::Whole("fault".into()),
                })
            }
        }
    }
}

fn row((key, entry): &(Vec<u8>, Entry)) -> Value {
    json!({
        "key": encode_base64(key),
        "value": encode_base64(&entry.value),
        "mod_revision": entry.revision.to_string(),
        "lease": entry.lease.to_string(),
    })
}

async fn expire(platform: Arc<StubPlatform>) {
    let mut every = tokio::time::interval(EXPIRE_EVERY);
    loop {
        every.tick().await;
        let now = platform.now_ms();
        let mut store = platform.store.lock().expect("no panic inside");
        if store.expire_leases(now) {
            let _ = platform.changed.send(Vec::new());
        }
    }
}
