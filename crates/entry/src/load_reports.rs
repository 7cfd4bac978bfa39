//! Polls the load reports of upstreams: those in use in every round, the others in turn.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use route::{Load, UpstreamKey};
use serde_json::Value;

use crate::event::Event;
use crate::shared_state::SharedState;
use crate::upstream_body;

/// Interval between two rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Once in this many rounds, one more upstream is polled, in turn.
const IDLE_POLL_ROUNDS: u64 = 8;
/// Timeout of a poll.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Spawns the task.
pub fn spawn(shared: Arc<SharedState>) {
    tokio::spawn(run(shared));
}

async fn run(shared: Arc<SharedState>) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    let mut round = 0;
    loop {
        interval.tick().await;
        round += 1;
        for (key, url) in due_upstreams(&shared, round) {
            tokio::spawn(fetch_report(Arc::clone(&shared), key, url));
        }
        crate::admission::admit_waiting(&shared);
    }
}

/// Returns the upstreams to poll in a round, with their URLs.
fn due_upstreams(shared: &SharedState, round: u64) -> Vec<(UpstreamKey, String)> {
    let active = shared.active_config();
    let configured = active
        .map(|a| a.config.versions.clone())
        .unwrap_or_default();
    let pool = shared.pool.lock().expect("lock not poisoned");
    let all: Vec<_> = pool.iter().filter(|(_, u)| !u.leaving).collect();
    if all.is_empty() {
        return Vec::new();
    }
    let idle_index = (round / IDLE_POLL_ROUNDS) as usize % all.len();
    let is_idle_round = round % IDLE_POLL_ROUNDS == 0;
    let mut due = Vec::new();
    for (i, (key, upstream)) in all.iter().enumerate() {
        // No requests are sent to an upstream until it reports the configured version.
        let is_switching = configured.iter().any(|(model, version)| {
            upstream.spec.serves.contains(model) && upstream.versions.get(model) != Some(version)
        });
        let is_used = upstream.inflight > 0
            || upstream.since_report > 0
            || upstream.load_at.is_none()
            || is_switching;
        if is_used || (is_idle_round && i == idle_index) {
            due.push((*key, upstream.spec.url.clone()));
        }
    }
    due
}

/// Fetches the load report of an upstream and passes it to the pool.
pub async fn fetch_report(shared: Arc<SharedState>, key: UpstreamKey, url: String) {
    let sent = shared
        .http
        .get(format!("{url}/load"))
        .timeout(TIMEOUT)
        .send();
    let Ok(res) = sent.await else {
        return;
    };
    let Some(value) = upstream_body::read_reply::<Value>(res).await else {
        return;
    };
    let load = Load {
        slots: parse_count(&value["slots"]),
        running: parse_count(&value["running"]),
        waiting: parse_count(&value["waiting"]),
        draining: value["draining"] == true,
    };
    let now = shared.clock.now();
    let mut pool = shared.pool.lock().expect("lock not poisoned");
    let was_leaving = pool.get(key).leaving;
    pool.record_load(now, key, load);
    pool.get_mut(key).versions = parse_versions(&value["versions"]);
    let id = pool.get(key).spec.id.clone();
    drop(pool);
    if load.draining && !was_leaving {
        shared.log(
            Event::UpstreamLeaving,
            format!("{id}, according to its load report"),
        );
    }
}

fn parse_versions(value: &Value) -> BTreeMap<String, String> {
    let row = |(model, v): (&String, &Value)| {
        let version = v["version"].as_str()?;
        Some((model.clone(), version.to_string()))
    };
    value
        .as_object()
        .into_iter()
        .flatten()
        .filter_map(row)
        .collect()
}

fn parse_count(value: &Value) -> u32 {
    value.as_u64().unwrap_or_default() as u32
}
