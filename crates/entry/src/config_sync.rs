//! Keeps the configuration up to date.
//!
//! A change is committed by a compare-and-swap of the head in the platform's key-value store. Other
//! instances learn of it from a watch, from polling the head, and from peers.

use std::sync::Arc;
use std::time::Duration;

use conf::{Bundle, Chunk, Head};
use kv::StoreError;
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::event::Event;
use crate::messages::{method, PullConfigMsg, PullConfigReply};
use crate::peer_clients::PeerRef;
use crate::shared_state::{ActiveConfig, SharedState};

/// Store key of the head.
pub(crate) const HEAD_KEY: &str = "/oriolehitch/config/head";
/// Prefix of the store keys of the chunks, before their hash.
pub(crate) const CHUNK_KEY_PREFIX: &str = "/oriolehitch/config/chunk/";
/// Interval at which the head is read in any case, since a watch can stall without an error.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before a failed watch is started again.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Spawns the tasks. A configuration is also fetched from the peers in the settings, since the
/// platform may be down.
pub fn spawn(shared: &Arc<SharedState>) {
    tokio::spawn(watch_head(Arc::clone(shared)));
    for addr in shared.settings.peers.clone().unwrap_or_default() {
        let peer = PeerRef {
            addr: addr.to_string(),
            id: None,
        };
        spawn_pull(Arc::clone(shared), peer);
    }
}

async fn watch_head(shared: Arc<SharedState>) {
    loop {
        let mut watch = shared.kv.watch(HEAD_KEY).await.ok();
        loop {
            refresh(&shared).await;
            let Some(rx) = watch.as_mut() else {
                break;
            };
            if timeout(POLL_INTERVAL, rx.recv()).await == Ok(None) {
                watch = None;
            }
        }
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
    }
}

/// Reads the head and the missing chunks from the store, and applies the configuration if it is
/// newer.
async fn refresh(shared: &Arc<SharedState>) {
    let Ok(Some((head, _))) = read_head(shared).await else {
        return;
    };
    if head.revision <= shared.config_revision() {
        return;
    }
    let mut bundle = bundle_with_known_chunks(shared, head);
    for hash in bundle.missing_chunks() {
        match shared.kv.get(&format!("{CHUNK_KEY_PREFIX}{hash}")).await {
            Ok(Some(found)) => {
                let text = String::from_utf8_lossy(&found.value).into_owned();
                bundle.add_chunk(Chunk { hash, text });
            }
            Ok(None) | Err(_) => return,
        }
    }
    apply(shared, bundle);
}

/// Creates a bundle for a head, with those of its chunks that the active configuration has.
fn bundle_with_known_chunks(shared: &SharedState, head: Head) -> Bundle {
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

pub(crate) async fn read_head(shared: &SharedState) -> Result<Option<(Head, i64)>, StoreError> {
    let Some(found) = shared.kv.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    match serde_json::from_slice(&found.value) {
        Ok(head) => Ok(Some((head, found.revision))),
        Err(e) => {
            shared.log(Event::ConfigInvalid, &e);
            Err(StoreError::Refused(e.to_string()))
        }
    }
}

/// Applies a complete bundle, unless the active configuration is as new or newer.
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
        let mut config = shared.config.write().expect("lock not poisoned");
        // Checked under the lock, since a slow pull may finish after a newer one was applied.
        let current = config.as_ref().map_or(0, |a| a.bundle.head.revision);
        if revision <= current {
            return;
        }
        *config = Some(active);
        assert!(
            revision > current,
            "the revision of the active configuration only increases"
        );
    }
    let lag_ms = wall_ms().saturating_sub(at_ms);
    shared
        .metrics
        .config_lag_seconds
        .observe(lag_ms as f64 / 1000.0);
    let mut members = shared.members.lock().expect("lock not poisoned");
    members.set_revision(revision);
    drop(members);
    shared.log(
        Event::ConfigApplied,
        format!("revision {revision} after {lag_ms} ms"),
    );
}

/// Returns the active configuration to a peer, without the chunks that the peer has.
pub fn handle_pull(shared: &SharedState, msg: &PullConfigMsg) -> PullConfigReply {
    let Some(active) = shared.active_config() else {
        return PullConfigReply {
            head: None,
            chunks: Vec::new(),
        };
    };
    let missing = active
        .bundle
        .chunks
        .iter()
        .filter(|(h, _)| !msg.chunk_hashes.contains(h));
    let to_chunk = |(hash, text): (&String, &String)| Chunk {
        hash: hash.clone(),
        text: text.clone(),
    };
    PullConfigReply {
        head: Some(active.bundle.head.clone()),
        chunks: missing.map(to_chunk).collect(),
    }
}

/// Fetches the configuration of a peer in a separate task, and applies it if it is newer.
pub fn spawn_pull(shared: Arc<SharedState>, peer: PeerRef) {
    tokio::spawn(async move {
        let active = shared.active_config();
        let chunk_hashes = active.map(|a| a.bundle.chunks.keys().cloned().collect());
        let msg = PullConfigMsg {
            chunk_hashes: chunk_hashes.unwrap_or_default(),
        };
        let reply = shared
            .peers
            .call::<_, PullConfigReply>(&shared.metrics, &peer, method::PULL_CONFIG, &msg)
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
        let mut bundle = bundle_with_known_chunks(&shared, head);
        for chunk in chunks {
            bundle.add_chunk(chunk);
        }
        if bundle.missing_chunks().is_empty() {
            apply(&shared, bundle);
        }
    });
}
