//! Accepts operators' changes of the configuration.

use std::sync::Arc;
use std::time::Duration;

use conf::bundle::Change;
use conf::{Bundle, Config};
use err::{Error, Kind};
use kv::{Failure, Swap};
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::config_sync::{apply, read_head, CHUNK_KEY_PREFIX, HEAD_KEY};
use crate::event::Event;
use crate::gossip;
use crate::shared_state::SharedState;

/// How often a write without an answer is tried again, or looked for.
const LOOKS: u32 = 5;
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long the spread of a change is followed for its metric.
const SPREAD_MOST: Duration = Duration::from_secs(60);
const SPREAD_LOOK: Duration = Duration::from_millis(50);

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// The whole new configuration.
    pub config: Config,
    /// The revision that the operator has seen.
    pub expected_revision: u64,
    /// Names the change.
    pub change_id: String,
    /// Who wants it.
    pub operator: String,
    /// What changes, in a line.
    pub summary: String,
}

/// Accepts a change, or tells why not; returns the new revision.
///
/// # Errors
///
/// Returns a conflict when the expected revision is not the current one, and an error with an
/// unknown outcome when the platform's answer was lost and can't be found.
pub async fn commit(shared: &Arc<SharedState>, request: ChangeRequest) -> Result<u64, Error> {
    let down = |_| {
        Error::new(
            Kind::PlatformDown,
            "the platform's service can't be reached",
        )
    };
    let (head, kv_revision) = read_head(shared).await.map_err(down)?.unwrap_or_default();
    if let Some(done) = head
        .history
        .iter()
        .find(|c| c.change_id == request.change_id)
    {
        return Ok(done.revision);
    }
    if head.revision != request.expected_revision {
        return Err(conflict(head.revision));
    }
    let change = Change {
        revision: head.revision + 1,
        change_id: request.change_id.clone(),
        who: request.operator,
        at_ms: wall_ms(),
        what: request.summary,
    };
    let bundle = Bundle::next(&head, &request.config, change);
    for (hash, text) in &bundle.chunks {
        if !head.chunks.contains(hash) {
            // A chunk that is there already is the same: its key is its hash.
            let key = format!("{CHUNK_KEY_PREFIX}{hash}");
            put_chunk(shared, &key, text).await.map_err(down)?;
        }
    }
    let text = serde_json::to_vec(&bundle.head).expect("a head is JSON");
    match shared.kv.swap(HEAD_KEY, kv_revision, &text, 0).await {
        Ok(Swap::Done(_)) => Ok(accepted(shared, bundle)),
        Ok(Swap::Lost(_)) => find_again(shared, &request.change_id, bundle, true).await,
        Err(Failure::Refused(_)) => Err(Error::new(
            Kind::PlatformDown,
            "the platform's service refused the change",
        )),
        Err(Failure::Unknown(_)) => find_again(shared, &request.change_id, bundle, false).await,
    }
}

/// Writes a chunk, again where an answer is lost: its key is its hash, so that harms nothing.
async fn put_chunk(shared: &SharedState, key: &str, text: &str) -> Result<(), Failure> {
    let mut tries = 0;
    loop {
        tries += 1;
        match shared.kv.swap(key, 0, text.as_bytes(), 0).await {
            Ok(_) => return Ok(()),
            Err(failure) if tries >= LOOKS => return Err(failure),
            Err(_) => tokio::time::sleep(LOOK_EVERY).await,
        }
    }
}

/// Looks for a change whose write had no answer, or lost a race.
async fn find_again(
    shared: &Arc<SharedState>,
    change_id: &str,
    bundle: Bundle,
    lost: bool,
) -> Result<u64, Error> {
    for _ in 0..LOOKS {
        if let Ok(Some((head, _))) = read_head(shared).await {
            if head.history.iter().any(|c| c.change_id == change_id) {
                return Ok(accepted(shared, bundle));
            }
            if lost || head.revision >= bundle.head.revision {
                return Err(conflict(head.revision));
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Err(Error::new(
        Kind::OutcomeUnknown,
        "the platform did not say whether the change was accepted: send it again with the same change id",
    ))
}

fn conflict(current: u64) -> Error {
    Error::new(Kind::Conflict, format!("the current revision is {current}"))
}

fn accepted(shared: &Arc<SharedState>, bundle: Bundle) -> u64 {
    let revision = bundle.head.revision;
    apply(shared, bundle);
    shared.log(Event::ConfigAccepted, format!("revision {revision}"));
    let cx = Arc::clone(shared);
    tokio::spawn(async move {
        let began = cx.clock.now();
        gossip::broadcast(&cx, None).await;
        follow_spread(&cx, revision, began).await;
    });
    revision
}

/// Measures when the last living instance has a revision in force.
async fn follow_spread(shared: &SharedState, revision: u64, began: u64) {
    let look = async {
        while shared
            .live_instances()
            .iter()
            .any(|m| m.revision < revision)
        {
            tokio::time::sleep(SPREAD_LOOK).await;
        }
    };
    if timeout(SPREAD_MOST, look).await.is_ok() {
        let ms = shared.clock.now() - began;
        shared
            .metrics
            .config_spread_seconds
            .observe(ms as f64 / 1000.0);
    }
}
