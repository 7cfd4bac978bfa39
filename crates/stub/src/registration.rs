//! Registers upstreams in the instance list.

use std::time::Duration;

use kv::{Client, SwapResult};
use serde_json::Value;
use tokio::sync::watch;

/// Lifetime of an entry without a renewal of its lease, in seconds.
const LEASE_TTL_SECS: u64 = 5;
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Spawns a task that writes an upstream's entry to the instance list, renews its lease, and
/// updates the entry when `value` changes.
pub fn spawn(platform: &str, key: String, value: watch::Receiver<Value>) {
    let client = Client::open(platform);
    tokio::spawn(async move {
        let mut lease = None;
        let mut written = Value::Null;
        loop {
            let current = value.borrow().clone();
            let is_valid = match lease {
                Some(id) => client.keep_alive(id).await.unwrap_or(true),
                None => false,
            };
            if !is_valid {
                lease = client.create_lease(LEASE_TTL_SECS).await.ok();
                written = Value::Null;
            }
            if let (Some(id), true) = (lease, written != current) {
                if put_entry(&client, &key, &current, id).await {
                    written = current;
                }
            }
            tokio::time::sleep(RENEW_INTERVAL).await;
        }
    });
}

/// Returns an id that is different for each start of an upstream.
///
/// An upstream that restarts has lost its requests. Under its previous id, its report that a
/// request is unknown would be taken as proof that the request did not run.
pub fn unique_id(name: &str) -> String {
    format!("{name}.{:08x}", rand::random::<u32>())
}

/// Writes an entry; returns whether that succeeded.
async fn put_entry(client: &Client, key: &str, value: &Value, lease: i64) -> bool {
    let Ok(found) = client.get(key).await else {
        return false;
    };
    let revision = found.map_or(0, |f| f.revision);
    let text = value.to_string();
    let swapped = client
        .compare_and_swap(key, revision, text.as_bytes(), lease)
        .await;
    matches!(swapped, Ok(SwapResult::Done(_)))
}
