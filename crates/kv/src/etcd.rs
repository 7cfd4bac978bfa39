//! The store's trait over the etcd v3 JSON protocol.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client::{found, Client, KeyValue, StoreError};
use crate::store::{Change, Consistency, Listing, Store, StoreFuture, Txn, TxnResult, WatchResult};
use crate::wire;

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>> {
        Box::pin(Client::get(self, key))
    }

    fn list<'a>(&'a self, prefix: &'a str, reading: Consistency) -> StoreFuture<'a, Listing> {
        Box::pin(async move {
            let (items, revision) = self.read_range(prefix, reading).await?;
            Ok(Listing {
                entries: items,
                revision,
                has_more: false,
            })
        })
    }

    fn first_page<'a>(&'a self, prefix: &'a str, reading: Consistency) -> StoreFuture<'a, Listing> {
        Store::list(self, prefix, reading)
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

/// Waits for the sign of a change, then lists: the protocol's watch is used as a bell only.
async fn watch(
    client: &Client,
    prefix: &str,
    after: i64,
    wait_ms: u64,
) -> Result<WatchResult, StoreError> {
    let mut bell = Client::watch(client, prefix).await?;
    let listed = Client::list(client, prefix).await?;
    let changed = |items: &[KeyValue]| items.iter().any(|f| f.revision > after);
    let (items, revision) = if changed(&listed.0) {
        listed
    } else {
        let wait = Duration::from_millis(wait_ms);
        // The first line says that the watch stands; the end of the wait is no fault.
        let _ = tokio::time::timeout(wait, bell.recv()).await;
        Client::list(client, prefix).await?
    };
    let newer = items.into_iter().filter(|f| f.revision > after);
    let changes = newer.map(|f| Change {
        key: f.key.clone(),
        revision: f.revision,
        current: Some(f),
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
    let one = |r: &Value| found(&r["response_range"]["kvs"]);
    Ok(TxnResult::Conflict(ranges.iter().flat_map(one).collect()))
}
