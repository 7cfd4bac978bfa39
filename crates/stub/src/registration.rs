//! Keeps an upstream's entry in the instance list.

use std::time::Duration;

use kv::{Client, SwapResult};
use serde_json::Value;
use tokio::sync::watch;

const TTL_SECS: u64 = 5;
const EVERY: Duration = Duration::from_millis(1000);

/// Lists an upstream under a key until the task ends; the value may change.
pub fn spawn(platform: &str, key: String, value: watch::Receiver<Value>) {
    let client = Client::open(platform);
    tokio::spawn(async move {
        let mut lease = None;
        let mut written = Value::Null;
        loop {
            let wanted = value.borrow().clone();
            let alive = match lease {
                Some(id) => client.keep_alive(id).await.unwrap_or(true),
                None => false,
            };
            if !alive {
                lease = client.create_lease(TTL_SECS).await.ok();
                written = Value::Null;
            }
            if let (Some(id), true) = (lease, written != wanted) {
                if put(&client, &key, &wanted, id).await {
                    written = wanted;
                }
            }
            tokio::time::sleep(EVERY).await;
        }
    });
}

/// Returns a name that no other start of the same upstream has.
///
/// An upstream that restarts has forgotten its requests: under its old name, its "unknown" would
/// read as a proof that a request did not run.
pub fn unique_id(name: &str) -> String {
    format!("{name}.{:08x}", rand::random::<u32>())
}

async fn put(client: &Client, key: &str, value: &Value, lease: i64) -> bool {
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
