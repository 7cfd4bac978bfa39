//! Orders to engines: they follow from the configuration, whose revision is the fencing number.
//!
//! Level-triggered: what an engine reports is compared with what the configuration wants, again and
//! again. So an order that was lost is sent again, and an engine that ignores fencing numbers and
//! obeyed a paused, older issuer is put right when it reports so.

use std::sync::Arc;
use std::time::Duration;

use budget::placement::Candidate;
use route::{UpstreamKey, UpstreamKind};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::event::Event;
use crate::shared::{Active, Shared};

/// One order at a time: the weight store is rate-limited.
const EVERY: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(5);

/// An order that an engine needs.
struct Order {
    key: UpstreamKey,
    url: String,
    model: String,
    version: String,
    fence: u64,
}

/// Spawns the task.
pub fn spawn(shared: Arc<Shared>) {
    tokio::spawn(async move {
        let mut every = tokio::time::interval(EVERY);
        loop {
            every.tick().await;
            let Some(active) = shared.active() else {
                continue;
            };
            if let Some(order) = next(&shared, &active) {
                send(&shared, order).await;
            }
        }
    });
}

/// Returns the first order that this instance has to give.
fn next(shared: &Shared, active: &Active) -> Option<Order> {
    let candidates = shared.candidates();
    let pool = shared.pool.lock().expect("no panic inside");
    for (key, up) in pool.iter() {
        let mine = issuer(&up.spec.id, &candidates) == Some(shared.me.as_str());
        if up.spec.kind != UpstreamKind::Engine || up.leaving || !mine {
            continue;
        }
        for (model, version) in &active.config.versions {
            let serves = up.spec.serves.contains(model);
            if serves && up.load_at.is_some() && up.versions.get(model) != Some(version) {
                return Some(Order {
                    key,
                    url: up.spec.url.clone(),
                    model: model.clone(),
                    version: version.clone(),
                    fence: active.bundle.head.revision,
                });
            }
        }
    }
    None
}

/// Returns the instance that gives an upstream its orders: two may think so, and both are fenced.
fn issuer<'a>(upstream: &str, candidates: &'a [Candidate]) -> Option<&'a str> {
    let rank = |c: &&Candidate| xxh3_64(format!("{upstream}/{}", c.id).as_bytes());
    candidates.iter().max_by_key(rank).map(|c| c.id.as_str())
}

async fn send(shared: &Arc<Shared>, order: Order) {
    let body = json!({
        "model": order.model, "version": order.version, "fence": order.fence,
    });
    let url = format!("{}/orders", order.url);
    let sent = shared
        .http
        .post(url)
        .json(&body)
        .timeout(TIMEOUT)
        .send()
        .await;
    let done = sent.is_ok_and(|r| r.status().is_success());
    if done {
        let detail = format!(
            "{} {} by revision {}",
            order.model, order.version, order.fence
        );
        shared.log(Event::Ordered, detail);
    }
    // What it reports counts, not what it answered.
    crate::loads::ask(Arc::clone(shared), order.key, order.url).await;
}
