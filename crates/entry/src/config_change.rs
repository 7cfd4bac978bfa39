//! Commits configuration changes by operators.

use std::sync::Arc;
use std::time::Duration;

use conf::bundle::Change;
use conf::{Bundle, Config};
use err::{Error, Kind};
use kv::{StoreError, SwapResult};
use tokio::time::timeout;

use crate::clock::wall_ms;
use crate::config_sync::{apply, read_head, CHUNK_KEY_PREFIX, HEAD_KEY};
use crate::event::Event;
use crate::gossip;
use crate::shared_state::SharedState;

/// Maximum number of attempts to write a chunk, or to find out whether a change was committed.
const MAX_ATTEMPTS: u32 = 5;
/// Pause between these attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Propagation of a change is measured for at most this time; a slower one is not observed.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
const PROPAGATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A configuration change that an operator requests.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// The complete new configuration.
    pub config: Config,
    /// The revision that the change is based on.
    pub expected_revision: u64,
    /// Id of the change: a repeated request with the same id is not committed twice.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Summary of the change, in one line.
    pub summary: String,
}

/// Commits a change; returns its revision.
///
/// # Errors
///
/// Returns `Conflict` if the expected revision is not the current one, `PlatformDown` if the change
/// was not written, and `OutcomeUnknown` if the response to the write was lost and the change is
/// not found afterwards.
pub async fn commit(shared: &Arc<SharedState>, request: ChangeRequest) -> Result<u64, Error> {
    let unreachable = |_| {
        Error::new(
            Kind::PlatformDown,
            "the platform's key-value store is unreachable",
        )
    };
    let (head, kv_revision) = read_head(shared)
        .await
        .map_err(unreachable)?
        .unwrap_or_default();
    if let Some(earlier) = head
        .history
        .iter()
        .find(|c| c.change_id == request.change_id)
    {
        return Ok(earlier.revision);
    }
    if head.revision != request.expected_revision {
        return Err(conflict_error(head.revision));
    }
    let change = Change {
        revision: head.revision + 1,
        change_id: request.change_id.clone(),
        who: request.operator,
        at_ms: wall_ms(),
        what: request.summary,
    };
    let bundle = Bundle::build(&head, &request.config, change);
    for (hash, text) in &bundle.chunks {
        if !head.chunks.contains(hash) {
            // If the key exists, it holds the same chunk, since the key is the hash of the value.
            let key = format!("{CHUNK_KEY_PREFIX}{hash}");
            put_chunk(shared, &key, text).await.map_err(unreachable)?;
        }
    }
    let value = serde_json::to_vec(&bundle.head).expect("a head serializes");
    match shared
        .kv
        .compare_and_swap(HEAD_KEY, kv_revision, &value, 0)
        .await
    {
        Ok(SwapResult::Done(_)) => Ok(finish_commit(shared, bundle)),
        Ok(SwapResult::Conflict(_)) => {
            find_committed(shared, &request.change_id, bundle, true).await
        }
        Err(StoreError::Refused(_)) => Err(Error::new(
            Kind::PlatformDown,
            "the platform's key-value store refused the change",
        )),
        Err(StoreError::Unknown(_)) => {
            find_committed(shared, &request.change_id, bundle, false).await
        }
    }
}

/// Writes a chunk, and retries failed writes: this is safe since the key is the hash of the value.
async fn put_chunk(shared: &SharedState, key: &str, text: &str) -> Result<(), StoreError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match shared.kv.compare_and_swap(key, 0, text.as_bytes(), 0).await {
            Ok(_) => return Ok(()),
            Err(failure) if attempts >= MAX_ATTEMPTS => return Err(failure),
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Looks in the store for a change whose write got no response, or lost a race with another write.
async fn find_committed(
    shared: &Arc<SharedState>,
    change_id: &str,
    bundle: Bundle,
    lost_race: bool,
) -> Result<u64, Error> {
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(Some((head, _))) = read_head(shared).await {
            if head.history.iter().any(|c| c.change_id == change_id) {
                return Ok(finish_commit(shared, bundle));
            }
            if lost_race || head.revision >= bundle.head.revision {
                return Err(conflict_error(head.revision));
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(Error::new(
        Kind::OutcomeUnknown,
        "the platform did not confirm the change: send it again with the same change id",
    ))
}

fn conflict_error(current: u64) -> Error {
    Error::new(Kind::Conflict, format!("the current revision is {current}"))
}

fn finish_commit(shared: &Arc<SharedState>, bundle: Bundle) -> u64 {
    let revision = bundle.head.revision;
    apply(shared, bundle);
    shared.log(Event::ConfigAccepted, format!("revision {revision}"));
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let started_at = shared.clock.now();
        gossip::broadcast(&shared, None).await;
        observe_propagation(&shared, revision, started_at).await;
    });
    revision
}

/// Measures the time until all live instances have applied a revision.
async fn observe_propagation(shared: &SharedState, revision: u64, started_at: u64) {
    let propagated = async {
        while shared
            .live_instances()
            .iter()
            .any(|m| m.revision < revision)
        {
            tokio::time::sleep(PROPAGATION_POLL_INTERVAL).await;
        }
    };
    if timeout(PROPAGATION_TIMEOUT, propagated).await.is_ok() {
        let elapsed_ms = shared.clock.now() - started_at;
        shared
            .metrics
            .config_spread_seconds
            .observe(elapsed_ms as f64 / 1000.0);
    }
}
