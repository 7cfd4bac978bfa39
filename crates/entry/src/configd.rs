//! The configuration: accepted by a compare-and-swap of its head, spread by watch and by peers.

use std::sync::Arc;
use std::time::Duration;

use conf::{Bundle, Chunk, Head};
use kv::StoreError;
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::event::Event;
use crate::msg::{method, PullMsg, PullReply};
use crate::shared::{Active, Shared};

/// Key of the head.
pub(crate) const HEAD: &str = "/oriolehitch/config/head";
/// Keys of the chunks that a head names.
pub(crate) const CHUNK: &str = "/oriolehitch/config/chunk/";
/// The head is read at least this often: a watch can stall without a sign.
const POLL_EVERY: Duration = Duration::from_secs(10);
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Spawns the tasks.
pub fn spawn(shared: &Arc<Shared>) {
    tokio::spawn(follow(Arc::clone(shared)));
    for addr in shared.settings.peers.clone().unwrap_or_default() {
        pull_from(Arc::clone(shared), addr.to_string());
    }
}

async fn follow(shared: Arc<Shared>) {
    loop {
        let mut watch = shared.kv.watch(HEAD).await.ok();
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
async fn read(shared: &Arc<Shared>) {
    let Ok(Some((head, _))) = read_head(shared).await else {
        return;
    };
    if head.revision <= shared.revision() {
        return;
    }
    let mut bundle = start(shared, head);
    for hash in bundle.missing_chunks() {
        match shared.kv.get(&format!("{CHUNK}{hash}")).await {
            Ok(Some(found)) => {
                let text = String::from_utf8_lossy(&found.value).into_owned();
                bundle.add_chunk(Chunk { hash, text });
            }
            Ok(None) | Err(_) => return,
        }
    }
    put_in_force(shared, bundle);
}

/// Starts a bundle with the chunks that are here already.
fn start(shared: &Shared, head: Head) -> Bundle {
    let mut bundle = Bundle {
        head,
        chunks: Default::default(),
    };
    if let Some(active) = shared.active() {
        for (hash, text) in &active.bundle.chunks {
            if bundle.head.chunks.contains(hash) {
                bundle.chunks.insert(hash.clone(), text.clone());
            }
        }
    }
    bundle
}

pub(crate) async fn read_head(shared: &Shared) -> Result<Option<(Head, i64)>, StoreError> {
    let Some(found) = shared.kv.get(HEAD).await? else {
        return Ok(None);
    };
    match serde_json::from_slice(&found.value) {
        Ok(head) => Ok(Some((head, found.revision))),
        Err(e) => {
            shared.log(Event::ConfigBroken, &e);
            Err(StoreError::Refused(e.to_string()))
        }
    }
}

/// Puts a whole bundle in force, unless a newer one is.
pub(crate) fn put_in_force(shared: &Arc<Shared>, bundle: Bundle) {
    let active = match Active::join(bundle) {
        Ok(active) => Arc::new(active),
        Err(e) => {
            shared.log(Event::ConfigBroken, e);
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
    shared.metrics.config_lag.observe(lag as f64 / 1000.0);
    let mut members = shared.members.lock().expect("no panic inside");
    members.set_revision(revision);
    drop(members);
    shared.log(
        Event::ConfigInForce,
        format!("revision {revision} after {lag} ms"),
    );
}

/// Answers a peer that asks for the configuration.
pub fn answer(shared: &Shared, msg: &PullMsg) -> PullReply {
    let Some(active) = shared.active() else {
        return PullReply {
            head: None,
            chunks: Vec::new(),
        };
    };
    let lacks = active
        .bundle
        .chunks
        .iter()
        .filter(|(h, _)| !msg.have.contains(h));
    let chunk = |(hash, text): (&String, &String)| Chunk {
        hash: hash.clone(),
        text: text.clone(),
    };
    PullReply {
        head: Some(active.bundle.head.clone()),
        chunks: lacks.map(chunk).collect(),
    }
}

/// Fetches a peer's configuration in a task of its own.
pub fn pull_from(shared: Arc<Shared>, addr: String) {
    tokio::spawn(async move {
        let active = shared.active();
        let have = active.map(|a| a.bundle.chunks.keys().cloned().collect());
        let msg = PullMsg {
            have: have.unwrap_or_default(),
        };
        let reply = shared
            .peers
            .call::<_, PullReply>(&shared.metrics, &addr, method::PULL, &msg)
            .await;
        let Ok(PullReply {
            head: Some(head),
            chunks,
        }) = reply
        else {
            return;
        };
        if head.revision <= shared.revision() {
            return;
        }
        let mut bundle = start(&shared, head);
        for chunk in chunks {
            bundle.add_chunk(chunk);
        }
        if bundle.missing_chunks().is_empty() {
            put_in_force(&shared, bundle);
        }
    });
}
