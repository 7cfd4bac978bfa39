//! The store's trait over the etcd v3 JSON protocol.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client::{found, Client, Failure, Found};
use crate::store::{Answer, Change, Commit, Listing, News, Reading, Store, Txn};
use crate::wire;

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Found>> {
        Box::pin(Client::get(self, key))
    }

    fn list<'a>(&'a self, prefix: &'a str, reading: Reading) -> Answer<'a, Listing> {
        Box::pin(async move {
            let (items, revision) = self.read_range(prefix, reading).await?;
            Ok(Listing {
                items,
                revision,
                more: false,
            })
        })
    }

    fn first_page<'a>(&'a self, prefix: &'a str, reading: Reading) -> Answer<'a, Listing> {
        Store::list(self, prefix, reading)
    }

    fn watch<'a>(&'a self, prefix: &'a str, after: i64, wait_ms: u64) -> Answer<'a, News> {
        Box::pin(watch(self, prefix, after, wait_ms))
    }

    fn commit(&self, txn: Txn) -> Answer<'_, Commit> {
        Box::pin(commit(self, txn))
    }

    fn grant_lease(&self, ttl_ms: u64) -> Answer<'_, i64> {
        Box::pin(self.lease(ttl_ms.div_ceil(1000)))
    }

    fn renew_lease(&self, lease: i64) -> Answer<'_, bool> {
        Box::pin(self.keep_alive(lease))
    }

    fn end_lease(&self, lease: i64) -> Answer<'_, ()> {
        Box::pin(async move {
            self.counts().writes.fetch_add(1, Ordering::Relaxed);
            let body = json!({"ID": lease.to_string()});
            self.call("/v3/lease/revoke", &body).await.map(|_| ())
        })
    }
}

/// Waits for the sign of a change, then lists: the protocol's watch is used as a bell only.
async fn watch(client: &Client, prefix: &str, after: i64, wait_ms: u64) -> Result<News, Failure> {
    let mut bell = Client::watch(client, prefix).await?;
    let listed = Client::list(client, prefix).await?;
    let changed = |items: &[Found]| items.iter().any(|f| f.revision > after);
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
        now: Some(f),
    });
    Ok(News::Changes {
        changes: changes.collect(),
        revision,
    })
}

async fn commit(client: &Client, txn: Txn) -> Result<Commit, Failure> {
    client.counts().writes.fetch_add(1, Ordering::Relaxed);
    let res = client.call("/v3/kv/txn", &wire::txn(&txn)).await?;
    if res["succeeded"].as_bool() == Some(true) {
        let revision = wire::number(&res["header"]["revision"]);
        return Ok(Commit::Done(revision));
    }
    let ranges = res["responses"].as_array().cloned().unwrap_or_default();
    let one = |r: &Value| found(&r["response_range"]["kvs"]);
    Ok(Commit::Lost(ranges.iter().flat_map(one).collect()))
}
