//! Orders engines to serve the model versions that the configuration names.
//!
//! The revision of the configuration is the fencing number of an order. Orders are level-triggered:
//! the versions that engines report are compared with the configuration at regular intervals. A
//! lost order is therefore sent again, and an engine that ignores fencing numbers and obeyed an
//! instance with an outdated configuration, such as one that was paused, is corrected after its
//! next report.

use std::sync::Arc;
use std::time::Duration;

use budget::placement::Candidate;
use route::{UpstreamKey, UpstreamKind};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::event::Event;
use crate::shared_state::{ActiveConfig, SharedState};

/// Interval between orders. They are sent one at a time, since the store that engines load weights
/// from is rate-limited.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an order.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An order to an engine to serve a version of a model.
struct VersionOrder {
    key: UpstreamKey,
    url: String,
    model: String,
    version: String,
    /// Fencing number.
    fence: u64,
}

/// Spawns the task.
pub fn spawn(shared: Arc<SharedState>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(ORDER_INTERVAL);
        loop {
            interval.tick().await;
            let Some(active) = shared.active_config() else {
                continue;
            };
            if let Some(order) = next_order(&shared, &active) {
                send_order(&shared, order).await;
            }
        }
    });
}

/// Returns the first order that this instance has to send, if there is one.
fn next_order(shared: &SharedState, active: &ActiveConfig) -> Option<VersionOrder> {
    let candidates = shared.home_candidates();
    let pool = shared.pool.lock().expect("lock not poisoned");
    for (key, upstream) in pool.iter() {
        let is_issuer = issuer(&upstream.spec.id, &candidates) == Some(shared.own_id.as_str());
        if upstream.spec.kind != UpstreamKind::Engine || upstream.leaving || !is_issuer {
            continue;
        }
        for (model, version) in &active.config.versions {
            let serves = upstream.spec.serves.contains(model);
            if serves && upstream.load_at.is_some() && upstream.versions.get(model) != Some(version)
            {
                return Some(VersionOrder {
                    key,
                    url: upstream.spec.url.clone(),
                    model: model.clone(),
                    version: version.clone(),
                    fence: active.bundle.head.revision,
                });
            }
        }
    }
    None
}

/// Returns the instance that sends an upstream its orders. If instances disagree about it, several
/// may send orders; the fencing numbers then decide.
fn issuer<'a>(upstream_id: &str, candidates: &'a [Candidate]) -> Option<&'a str> {
    let rank = |c: &&Candidate| xxh3_64(format!("{upstream_id}/{}", c.id).as_bytes());
    candidates.iter().max_by_key(rank).map(|c| c.id.as_str())
}

async fn send_order(shared: &Arc<SharedState>, order: VersionOrder) {
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
    let accepted = sent.is_ok_and(|r| r.status().is_success());
    if accepted {
        let detail = format!(
            "{} {}, configuration revision {}",
            order.model, order.version, order.fence
        );
        shared.log(Event::VersionOrdered, detail);
    }
    // The order counts as carried out only once the engine reports the version.
    crate::load_reports::fetch_report(Arc::clone(shared), order.key, order.url).await;
}
