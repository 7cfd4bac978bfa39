//! Implementation of the `Store` trait with the etcd v3 JSON protocol.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client::{parse_key_values, Client, KeyValue, StoreError};
use crate::store::{Change, Consistency, Listing, Store, StoreFuture, Txn, TxnResult, WatchResult};
use crate::wire;

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>> {
        Box::pin(Client::get(self, key))
    }

    fn list<'a>(&'a self, prefix: &'a str, consistency: Consistency) -> StoreFuture<'a, Listing> {
        Box::pin(async move {
            let (entries, revision) = self.read_range(prefix, consistency).await?;
            Ok(Listing {
                entries,
                revision,
                has_more: false,
            })
        })
    }

    fn first_page<'a>(
        &'a self,
        prefix: &'a str,
        consistency: Consistency,
    ) -> StoreFuture<'a, Listing> {
        Store::list(self, prefix, consistency)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: i64,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchResult> {
        Box::pin(watch(self, prefix, after, wait_ms))
    }

    fn commit(&self, txn: Txn) -> StoreFuture<'_, TxnResult> {
        Box::pin(commit(self, txn))
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, i64> {
        Box::pin(self.create_lease(ttl_ms.div_ceil(1000)))
    }

    fn renew_lease(&self, lease: i64) -> StoreFuture<'_, bool> {
        Box::pin(self.keep_alive(lease))
    }

    fn revoke_lease(&self, lease: i64) -> StoreFuture<'_, ()> {
        Box::pin(async move {
            self.counts().writes.fetch_add(1, Ordering::Relaxed);
            let body = json!({"ID": lease.to_string()});
            self.call("/v3/lease/revoke", &body).await.map(|_| ())
        })
    }
}

/// Waits until something may have changed, then lists the keys. The protocol's watch is used as a signal
/// only; what it returns is not parsed. Deletions are therefore not reported.
async fn watch(
    client: &Client,
    prefix: &str,
    after: i64,
    wait_ms: u64,
) -> Result<WatchResult, StoreError> {
    let mut signals = Client::watch(client, prefix).await?;
    let listed = Client::list(client, prefix).await?;
    let changed = |entries: &[KeyValue]| entries.iter().any(|kv| kv.revision > after);
    let (entries, revision) = if changed(&listed.0) {
        listed
    } else {
        let wait = Duration::from_millis(wait_ms);
        // The first signal only confirms that the watch was created. A timeout is not an error.
        let _ = tokio::time::timeout(wait, signals.recv()).await;
        Client::list(client, prefix).await?
    };
    let newer = entries.into_iter().filter(|kv| kv.revision > after);
    let changes = newer.map(|kv| Change {
        key: kv.key.clone(),
        revision: kv.revision,
        current: Some(kv),
    });
    Ok(WatchResult::Changes {
        changes: changes.collect(),
        revision,
    })
}

async fn commit(client: &Client, txn: Txn) -> Result<TxnResult, StoreError> {
    client.counts().writes.fetch_add(1, Ordering::Relaxed);
    let res = client.call("/v3/kv/txn", &wire::txn(&txn)).await?;
    if res["succeeded"].as_bool() == Some(true) {
        let revision = wire::parse_int(&res["header"]["revision"]);
        return Ok(TxnResult::Done(revision));
    }
    let ranges = res["responses"].as_array().cloned().unwrap_or_default();
    let parse = |r: &Value| parse_key_values(&r["response_range"]["kvs"]);
    Ok(TxnResult::Conflict(ranges.iter().flat_map(parse).collect()))
}
