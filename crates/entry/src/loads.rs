//! Asks upstreams for their load: those in use often, the others now and then.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use route::{Load, UpstreamKey};
use serde_json::Value;

use crate::event::Event;
use crate::shared::Shared;

const EVERY: Duration = Duration::from_millis(250);
/// Rounds after which one unused upstream is asked.
const IDLE_ROUNDS: u64 = 8;
const TIMEOUT: Duration = Duration::from_secs(1);

/// Spawns the task.
pub fn spawn(shared: Arc<Shared>) {
    tokio::spawn(run(shared));
}

async fn run(shared: Arc<Shared>) {
    let mut every = tokio::time::interval(EVERY);
    let mut round = 0;
    loop {
        every.tick().await;
        round += 1;
        for (key, url) in due(&shared, round) {
            tokio::spawn(ask(Arc::clone(&shared), key, url));
        }
        crate::admission::wake(&shared);
    }
}

fn due(shared: &Shared, round: u64) -> Vec<(UpstreamKey, String)> {
    let active = shared.active();
    let wanted = active
        .map(|a| a.config.versions.clone())
        .unwrap_or_default();
    let pool = shared.pool.lock().expect("no panic inside");
    let all: Vec<_> = pool.iter().filter(|(_, u)| !u.leaving).collect();
    if all.is_empty() {
        return Vec::new();
    }
    let turn = (round / IDLE_ROUNDS) as usize % all.len();
    let idle_turn = round % IDLE_ROUNDS == 0;
    let mut due = Vec::new();
    for (i, (key, up)) in all.iter().enumerate() {
        // One that does not report the wanted version yet gets no requests until it does.
        let changing = wanted.iter().any(|(model, version)| {
            up.spec.serves.contains(model) && up.versions.get(model) != Some(version)
        });
        let used = up.inflight > 0 || up.since_report > 0 || up.load_at.is_none() || changing;
        if used || (idle_turn && i == turn) {
            due.push((*key, up.spec.url.clone()));
        }
    }
    due
}

/// Asks one upstream.
pub async fn ask(shared: Arc<Shared>, key: UpstreamKey, url: String) {
    let sent = shared
        .http
        .get(format!("{url}/load"))
        .timeout(TIMEOUT)
        .send();
    let Ok(res) = sent.await else {
        return;
    };
    let Ok(value) = res.json::<Value>().await else {
        return;
    };
    let load = Load {
        slots: number(&value["slots"]),
        running: number(&value["running"]),
        waiting: number(&value["waiting"]),
        draining: value["draining"] == true,
    };
    let now = shared.clock.now();
    let mut pool = shared.pool.lock().expect("no panic inside");
    let left = pool.get(key).leaving;
    pool.record_load(now, key, load);
    pool.get_mut(key).versions = versions(&value["versions"]);
    let id = pool.get(key).spec.id.clone();
    drop(pool);
    if load.draining && !left {
        shared.log(Event::UpstreamLeaving, format!("{id}, by its load report"));
    }
}

fn versions(value: &Value) -> BTreeMap<String, String> {
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

fn number(value: &Value) -> u32 {
    value.as_u64().unwrap_or_default() as u32
}
