//! The client: bounded calls, each with one of three ends — done, refused, or unknown.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::store::Consistency;
use crate::wire::{self, EncodedKeyValue};

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service was not reached, or refused: nothing took effect.
    Refused(String),
    /// The call may have taken effect.
    Unknown(String),
}

/// A value with the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of the last write to the key.
    pub revision: i64,
}

/// The end of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// It took effect and made this revision.
    Done(i64),
    /// The key has changed meanwhile, or is gone.
    Conflict(Option<KeyValue>),
}

/// How many calls of each sort were made.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads.
    pub reads: AtomicU64,
    /// Writes.
    pub writes: AtomicU64,
    /// Watches started.
    pub watches: AtomicU64,
    /// Calls without an answer.
    pub failures: AtomicU64,
}

struct Inner {
    url: String,
    http: reqwest::Client,
    counts: CallCounts,
}

/// A handle on the platform's service; clones share it.
#[derive(Clone)]
pub struct Client(Arc<Inner>);

impl Client {
    /// Opens a client; nothing is sent yet.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP library can't be set up.
    pub fn open(url: &str) -> Client {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("a plain HTTP client");
        Client(Arc::new(Inner {
            url: url.to_string(),
            http,
            counts: CallCounts::default(),
        }))
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> &CallCounts {
        &self.0.counts
    }

    pub(crate) async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let url = format!("{}{path}", self.0.url);
        let sent = self.0.http.post(url).json(body).timeout(CALL_TIMEOUT);
        let res = match sent.send().await {
            Ok(res) if res.status().is_success() => res.json::<Value>().await,
            Ok(res) if res.status().is_client_error() => {
                return self.fail(StoreError::Refused(format!("status {}", res.status())));
            }
            Ok(res) => {
                // The service may have lost the answer only: a 5xx says nothing about the write.
                return self.fail(StoreError::Unknown(format!("status {}", res.status())));
            }
            Err(e) if e.is_connect() => return self.fail(StoreError::Refused(e.to_string())),
            Err(e) => Err(e),
        };
        match res {
            Ok(value) => Ok(value),
            Err(e) => self.fail(StoreError::Unknown(e.to_string())),
        }
    }

    fn fail<T>(&self, failure: StoreError) -> Result<T, StoreError> {
        self.0.counts.failures.fetch_add(1, Ordering::Relaxed);
        Err(failure)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns the failure when there is no answer.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.0.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = json!({"key": wire::encode_base64(key.as_bytes())});
        let res = self.call("/v3/kv/range", &body).await?;
        Ok(found(&res["kvs"]).pop())
    }

    /// Reads all keys with a prefix, and the store's revision.
    ///
    /// # Errors
    ///
    /// Returns the failure when there is no answer.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, i64), StoreError> {
        self.read_range(prefix, Consistency::Linearizable).await
    }

    /// Reads all keys with a prefix, as new as is wanted.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn read_range(
        &self,
        prefix: &str,
        reading: Consistency,
    ) -> Result<(Vec<KeyValue>, i64), StoreError> {
        self.0.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "key": wire::encode_base64(prefix.as_bytes()),
            "range_end": wire::encode_base64(&wire::prefix_end(prefix)),
            "serializable": reading == Consistency::Serializable,
        });
        let res = self.call("/v3/kv/range", &body).await?;
        Ok((
            found(&res["kvs"]),
            wire::parse_int(&res["header"]["revision"]),
        ))
    }

    /// Writes one key if its revision is still the given one; 0 means absent.
    ///
    /// # Errors
    ///
    /// Returns the failure when there is no answer; after `Unknown` the write may have taken
    /// effect, or may still do so.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        revision: i64,
        value: &[u8],
        lease: i64,
    ) -> Result<SwapResult, StoreError> {
        self.0.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = wire::compare_and_swap(key, revision, value, lease);
        let res = self.call("/v3/kv/txn", &body).await?;
        if res["succeeded"].as_bool() == Some(true) {
            return Ok(SwapResult::Done(wire::parse_int(
                &res["header"]["revision"],
            )));
        }
        let now = found(&res["responses"][0]["response_range"]["kvs"]).pop();
        Ok(SwapResult::Conflict(now))
    }

    /// Makes a lease of some seconds.
    ///
    /// # Errors
    ///
    /// Returns the failure when there is no answer.
    pub async fn create_lease(&self, ttl_secs: u64) -> Result<i64, StoreError> {
        self.0.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"TTL": ttl_secs.to_string()});
        let res = self.call("/v3/lease/grant", &body).await?;
        Ok(wire::parse_int(&res["ID"]))
    }

    /// Renews a lease; returns whether it still lives.
    ///
    /// # Errors
    ///
    /// Returns the failure when there is no answer.
    pub async fn keep_alive(&self, lease: i64) -> Result<bool, StoreError> {
        self.0.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"ID": lease.to_string()});
        let res = self.call("/v3/lease/keepalive", &body).await?;
        Ok(wire::parse_int(&res["result"]["TTL"]) > 0)
    }

    /// Watches a prefix: each message says that something changed, until the watch breaks.
    ///
    /// # Errors
    ///
    /// Returns the failure when the watch can't be started.
    pub async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<()>, StoreError> {
        self.0.counts.watches.fetch_add(1, Ordering::Relaxed);
        let body = json!({"create_request": {
            "key": wire::encode_base64(prefix.as_bytes()),
            "range_end": wire::encode_base64(&wire::prefix_end(prefix)),
        }});
        let url = format!("{}/v3/watch", self.0.url);
        let sent = self.0.http.post(url).json(&body).send().await;
        let res = sent.map_err(|e| StoreError::Refused(e.to_string()))?;
        let (tx, rx) = mpsc::channel(1);
        let mut lines = res.bytes_stream();
        tokio::spawn(async move {
            while let Some(Ok(_)) = lines.next().await {
                // A full channel already holds a sign of change.
                let _ = tx.try_send(());
                if tx.is_closed() {
                    return;
                }
            }
        });
        Ok(rx)
    }
}

/// Reads the keys of an answer.
pub(crate) fn found(kvs: &Value) -> Vec<KeyValue> {
    let list: Vec<EncodedKeyValue> = serde_json::from_value(kvs.clone()).unwrap_or_default();
    let one = |kv: EncodedKeyValue| KeyValue {
        key: String::from_utf8_lossy(&wire::decode_base64(&kv.key)).into_owned(),
        value: wire::decode_base64(&kv.value),
        revision: wire::parse_int(&kv.mod_revision),
    };
    list.into_iter().map(one).collect()
}
