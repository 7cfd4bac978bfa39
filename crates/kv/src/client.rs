//! Client of the etcd v3 JSON protocol. Except for watches, calls have a timeout. Each call succeeds, is
//! refused, or has an unknown outcome.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::store::Consistency;
use crate::wire::{self, EncodedKeyValue};

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service could not be reached or refused the call: nothing took effect.
    Refused(String),
    /// The call failed, but may have taken effect.
    Unknown(String),
}

/// A key with its value and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of the last write to the key.
    pub revision: i64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect at this revision.
    Done(i64),
    /// The key was changed or deleted in the meantime; contains its current value.
    Conflict(Option<KeyValue>),
}

/// Number of calls by type.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads.
    pub reads: AtomicU64,
    /// Writes, including those of leases.
    pub writes: AtomicU64,
    /// Watches started.
    pub watches: AtomicU64,
    /// Failed calls, except for watches.
    pub failures: AtomicU64,
}

struct Inner {
    url: String,
    http: reqwest::Client,
    counts: CallCounts,
}

/// Handle on a client of the platform's key-value service; clones share it.
#[derive(Clone)]
pub struct Client(Arc<Inner>);

impl Client {
    /// Creates a client without connecting to the service.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be set up.
    pub fn open(url: &str) -> Client {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .expect("valid HTTP client settings");
        Client(Arc::new(Inner {
            url: url.to_string(),
            http,
            counts: CallCounts::default(),
        }))
    }

    /// Returns the number of calls by type.
    pub fn counts(&self) -> &CallCounts {
        &self.0.counts
    }

    pub(crate) async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let url = format!("{}{path}", self.0.url);
        let req = self.0.http.post(url).json(body).timeout(CALL_TIMEOUT);
        let res = match req.send().await {
            Ok(res) if res.status().is_success() => res.json::<Value>().await,
            Ok(res) if res.status().is_client_error() => {
                return self.fail(StoreError::Refused(format!("status {}", res.status())));
            }
            Ok(res) => {
                // The write may have taken effect although the status is 5xx: perhaps only the response
                // to it was lost.
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

    fn fail<T>(&self, error: StoreError) -> Result<T, StoreError> {
        self.0.counts.failures.fetch_add(1, Ordering::Relaxed);
        Err(error)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.0.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = json!({"key": wire::encode_base64(key.as_bytes())});
        let res = self.call("/v3/kv/range", &body).await?;
        Ok(parse_key_values(&res["kvs"]).pop())
    }

    /// Reads all keys with a prefix, and the store's revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, i64), StoreError> {
        self.read_range(prefix, Consistency::Linearizable).await
    }

    /// Reads all keys with a prefix at a consistency level, and the store's revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn read_range(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> Result<(Vec<KeyValue>, i64), StoreError> {
        self.0.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "key": wire::encode_base64(prefix.as_bytes()),
            "range_end": wire::encode_base64(&wire::prefix_end(prefix)),
            "serializable": consistency == Consistency::Serializable,
        });
        let res = self.call("/v3/kv/range", &body).await?;
        Ok((
            parse_key_values(&res["kvs"]),
            wire::parse_int(&res["header"]["revision"]),
        ))
    }

    /// Writes one key if its revision is still the given one; 0 means that the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails. After [`StoreError::Unknown`] the write may have taken
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
        let current = parse_key_values(&res["responses"][0]["response_range"]["kvs"]).pop();
        Ok(SwapResult::Conflict(current))
    }

    /// Creates a lease with a time to live, and returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn create_lease(&self, ttl_secs: u64) -> Result<i64, StoreError> {
        self.0.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"TTL": ttl_secs.to_string()});
        let res = self.call("/v3/lease/grant", &body).await?;
        Ok(wire::parse_int(&res["ID"]))
    }

    /// Renews a lease; returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn keep_alive(&self, lease: i64) -> Result<bool, StoreError> {
        self.0.counts.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({"ID": lease.to_string()});
        let res = self.call("/v3/lease/keepalive", &body).await?;
        Ok(wire::parse_int(&res["result"]["TTL"]) > 0)
    }

    /// Watches a prefix. The receiver gets a message whenever something may have changed, including one
    /// when the watch is created, and is closed when the watch breaks.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch can't be started.
    pub async fn watch(&self, prefix: &str) -> Result<mpsc::Receiver<()>, StoreError> {
        self.0.counts.watches.fetch_add(1, Ordering::Relaxed);
        let body = json!({"create_request": {
            "key": wire::encode_base64(prefix.as_bytes()),
            "range_end": wire::encode_base64(&wire::prefix_end(prefix)),
        }});
        let url = format!("{}/v3/watch", self.0.url);
        let res = self.0.http.post(url).json(&body).send().await;
        let res = res.map_err(|e| StoreError::Refused(e.to_string()))?;
        let (tx, rx) = mpsc::channel(1);
        let mut chunks = res.bytes_stream();
        tokio::spawn(async move {
            while let Some(Ok(_)) = chunks.next().await {
                // If the channel is full, a message is pending already.
                let _ = tx.try_send(());
                if tx.is_closed() {
                    return;
                }
            }
        });
        Ok(rx)
    }
}

/// Parses the keys in a response. One that is invalid is left out, so that it does not hide the others.
pub fn parse_key_values(kvs: &Value) -> Vec<KeyValue> {
    let list = kvs.as_array().into_iter().flatten();
    let list = list.filter_map(|kv| EncodedKeyValue::deserialize(kv).ok());
    let decode = |kv: EncodedKeyValue| KeyValue {
        key: String::from_utf8_lossy(&wire::decode_base64(&kv.key)).into_owned(),
        value: wire::decode_base64(&kv.value),
        revision: wire::parse_int(&kv.mod_revision),
    };
    list.map(decode).collect()
}
