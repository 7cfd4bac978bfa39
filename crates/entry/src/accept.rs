//! Accepts operators' changes of the configuration.

use std::sync::Arc;
use std::time::Duration;

use conf::bundle::Change;
use conf::{Bundle, Config};
use err::{Error, Kind};
use kv::{StoreError, SwapResult};
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::configd::{put_in_force, read_head, CHUNK, HEAD};
use crate::event::Event;
use crate::gossip;
use crate::shared::Shared;

/// How often a write without an answer is tried again, or looked for.
const LOOKS: u32 = 5;
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long the spread of a change is followed for its metric.
const SPREAD_MOST: Duration = Duration::from_secs(60);
const SPREAD_LOOK: Duration = Duration::from_millis(50);

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The whole new configuration.
    pub config: Config,
    /// The revision that the operator has seen.
    pub expected: u64,
    /// Names the change.
    pub change_id: String,
    /// Who wants it.
    pub who: String,
    /// What changes, in a line.
    pub what: String,
}

/// Accepts a change, or tells why not; returns the new revision.
///
/// # Errors
///
/// Returns a conflict when the expected revision is not the current one, and an error with an
/// unknown outcome when the platform's answer was lost and can't be found.
pub async fn accept(shared: &Arc<Shared>, wish: Wish) -> Result<u64, Error> {
    let down = |_| {
        Error::new(
            Kind::PlatformDown,
            "the platform's service can't be reached",
        )
    };
    let (head, kv_revision) = read_head(shared).await.map_err(down)?.unwrap_or_default();
    if let Some(done) = head.history.iter().find(|c| c.change_id == wish.change_id) {
        return Ok(done.revision);
    }
    if head.revision != wish.expected {
        return Err(conflict(head.revision));
    }
    let change = Change {
        revision: head.revision + 1,
        change_id: wish.change_id.clone(),
        who: wish.who,
        at_ms: wall_ms(),
        what: wish.what,
    };
    let bundle = Bundle::build(&head, &wish.config, change);
    for (hash, text) in &bundle.chunks {
        if !head.chunks.contains(hash) {
            // A chunk that is there already is the same: its key is its hash.
            let key = format!("{CHUNK}{hash}");
            put_chunk(shared, &key, text).await.map_err(down)?;
        }
    }
    let text = serde_json::to_vec(&bundle.head).expect("a head is JSON");
    match shared
        .kv
        .compare_and_swap(HEAD, kv_revision, &text, 0)
        .await
    {
        Ok(SwapResult::Done(_)) => Ok(accepted(shared, bundle)),
        Ok(SwapResult::Conflict(_)) => find_again(shared, &wish.change_id, bundle, true).await,
        Err(StoreError::Refused(_)) => Err(Error::new(
            Kind::PlatformDown,
            "the platform's service refused the change",
        )),
        Err(StoreError::Unknown(_)) => find_again(shared, &wish.change_id, bundle, false).await,
    }
}

/// Writes a chunk, again where an answer is lost: its key is its hash, so that harms nothing.
async fn put_chunk(shared: &Shared, key: &str, text: &str) -> Result<(), StoreError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match shared.kv.compare_and_swap(key, 0, text.as_bytes(), 0).await {
            Ok(_) => return Ok(()),
            Err(failure) if tries >= LOOKS => return Err(failure),
            Err(_) => tokio::time::sleep(LOOK_EVERY).await,
        }
    }
}

/// Looks for a change whose write had no answer, or lost a race.
async fn find_again(
    shared: &Arc<Shared>,
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

fn accepted(shared: &Arc<Shared>, bundle: Bundle) -> u64 {
    let revision = bundle.head.revision;
    put_in_force(shared, bundle);
    shared.log(Event::ConfigAccepted, format!("revision {revision}"));
    let cx = Arc::clone(shared);
    tokio::spawn(async move {
        let began = cx.clock.now();
        gossip::tell_all(&cx, None).await;
        follow_spread(&cx, revision, began).await;
    });
    revision
}

/// Measures when the last living instance has a revision in force.
async fn follow_spread(shared: &Shared, revision: u64, began: u64) {
    let look = async {
        while shared.live().iter().any(|m| m.revision < revision) {
            tokio::time::sleep(SPREAD_LOOK).await;
        }
    };
    if timeout(SPREAD_MOST, look).await.is_ok() {
        let ms = shared.clock.now() - began;
        shared.metrics.config_spread.observe(ms as f64 / 1000.0);
    }
}
