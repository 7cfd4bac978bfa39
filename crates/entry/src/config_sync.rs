//! The configuration: accepted by a compare-and-swap of its head, spread by watch and by peers.

use std::sync::Arc;
use std::time::Duration;

use conf::{Bundle, Chunk, Head};
use kv::Failure;
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::event::Event;
use crate::messages::{method, PullConfigMsg, PullConfigReply};
use crate::shared_state::{ActiveConfig, SharedState};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "/oriolehitch/config/head";
/// Keys of the chunks that a head names.
pub(crate) const CHUNK_KEY_PREFIX: &str = "/oriolehitch/config/chunk/";
/// The head is read at least this often: a watch can stall without a sign.
const POLL_EVERY: Duration = Duration::from_secs(10);
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Spawns the tasks.
pub fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(follow(Arc::clone(shared)));
    for addr in shared.settings.peers.clone().unwrap_or_default() {
        spawn_pull(Arc::clone(shared), addr.to_string());
    }
}

async fn follow(shared: Arc<SharedState>) {
    loop {
        let mut watch = shared.kv.watch(HEAD_KEY).await.ok();
        loop {
            read(&shared).await;
            let Some(rx) = watch.as_mut() else {
                break;
            };
            if timeout(POLL_EVERY, rx.recv()).await == Ok(None) {
                watch = None;
            }
        }
        tokio::time::sleep(WATCH_RETRY).await;
    }
}

/// Reads the head, and what it names that is not here.
async fn read(shared: &Arc<SharedState>) {
    let Ok(Some((head, _))) = read_head(shared).await else {
        return;
    };
    if head.revision <= shared.config_revision() {
        return;
    }
    let mut bundle = start(shared, head);
    for hash in bundle.missing() {
        match shared.kv.get(&format!("{CHUNK_KEY_PREFIX}{hash}")).await {
            Ok(Some(found)) => {
                let text = String::from_utf8_lossy(&found.value).into_owned();
                bundle.add(Chunk { hash, text });
            }
            Ok(None) | Err(_) => return,
        }
    }
    apply(shared, bundle);
}

/// Starts a bundle with the chunks that are here already.
fn start(shared: &SharedState, head: Head) -> Bundle {
    let mut bundle = Bundle {
        head,
        chunks: Default::default(),
    };
    if let Some(active) = shared.active_config() {
        for (hash, text) in &active.bundle.chunks {
            if bundle.head.chunks.contains(hash) {
                bundle.chunks.insert(hash.clone(), text.clone());
            }
        }
    }
    bundle
}

pub(crate) async fn read_head(shared: &SharedState) -> Result<Option<(Head, i64)>, Failure> {
    let Some(found) = shared.kv.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    match serde_json::from_slice(&found.value) {
        Ok(head) => Ok(Some((head, found.revision))),
        Err(e) => {
            shared.log(Event::ConfigInvalid, &e);
            Err(Failure::Refused(e.to_string()))
        }
    }
}

/// Puts a whole bundle in force, unless a newer one is.
pub(crate) fn apply(shared: &Arc<SharedState>, bundle: Bundle) {
    let active = match ActiveConfig::from_bundle(bundle) {
        Ok(active) => Arc::new(active),
        Err(e) => {
            shared.log(Event::ConfigInvalid, e);
            return;
        }
    };
    let revision = active.bundle.head.revision;
    let at_ms = active.bundle.head.history.last().map_or(0, |c| c.at_ms);
    {
        let mut config = shared.config.write().expect("no panic inside");
        // Checked under the lock: a slow pull may come after a newer one.
        let current = config.as_ref().map_or(0, |a| a.bundle.head.revision);
        if revision <= current {
            return;
        }
        *config = Some(active);
        assert!(revision > current, "a configuration never goes back");
    }
    let lag = wall_ms().saturating_sub(at_ms);
    shared
        .metrics
        .config_lag_seconds
        .observe(lag as f64 / 1000.0);
    let mut members = shared.members.lock().expect("no panic inside");
    members.set_revision(revision);
    drop(members);
    shared.log(
        Event::ConfigApplied,
        format!("revision {revision} after {lag} ms"),
    );
}

/// Answers a peer that asks for the configuration.
pub fn handle_pull(shared: &SharedState, msg: &PullConfigMsg) -> PullConfigReply {
    let Some(active) = shared.active_config() else {
        return PullConfigReply {
            head: None,
            chunks: Vec::new(),
        };
    };
    let lacks = active
        .bundle
        .chunks
        .iter()
        .filter(|(h, _)| !msg.chunk_hashes.contains(h));
    let chunk = |(hash, text): (&String, &String)| Chunk {
        hash: hash.clone(),
        text: text.clone(),
    };
    PullConfigReply {
        head: Some(active.bundle.head.clone()),
        chunks: lacks.map(chunk).collect(),
    }
}

/// Fetches a peer's configuration in a task of its own.
pub fn spawn_pull(shared: Arc<SharedState>, addr: String) {
    tokio::spawn(async move {
        let active = shared.active_config();
        let have = active.map(|a| a.bundle.chunks.keys().cloned().collect());
        let msg = PullConfigMsg {
            chunk_hashes: have.unwrap_or_default(),
        };
        let reply = shared
            .peers
            .call::<_, PullConfigReply>(&shared.metrics, &addr, method::PULL_CONFIG, &msg)
            .await;
        let Ok(PullConfigReply {
            head: Some(head),
            chunks,
        }) = reply
        else {
            return;
        };
        if head.revision <= shared.config_revision() {
            return;
        }
        let mut bundle = start(&shared, head);
        for chunk in chunks {
            bundle.add(chunk);
        }
        if bundle.missing().is_empty() {
            apply(&shared, bundle);
        }
    });
}
