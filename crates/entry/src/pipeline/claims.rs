//! Claims of requests that must not be repeated.
//!
//! Such a request is claimed in the store before it is sent to an upstream.

use std::sync::Arc;
use std::time::Duration;

use claim::{AttemptStatus, Claim, IdError, Resolution, State, StoredResponse};
use err::{Error, Kind};
use kv::{KeyValue, StoreError, SwapResult};
use uuid::Uuid;
use web::Req;

use super::context::RequestContext;
use crate::clock::wall_ms;
use crate::event::Event;
use crate::messages::method;
use crate::shared_state::SharedState;

/// Time in which a claim must succeed; otherwise the platform counts as unavailable.
const CLAIM_TIMEOUT_MS: u64 = 4_000;
/// Pause before a failed write of a claim is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// An instance binds its new claims to the same lease for this time, then creates another one.
const LEASE_ROTATION_MS: u64 = 3_600_000;
/// Maximum time that a response is delayed until the result of its request is stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a failed write of the result is retried.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// `Retry-After` while the platform is unavailable, in seconds.
const OUTAGE_RETRY_AFTER_SECS: u32 = 5;

/// A claim that this attempt has acquired.
#[derive(Clone, Debug)]
pub struct OwnedClaim {
    key: String,
    claim: Claim,
    revision: i64,
}

/// The outcome of claiming a request.
pub enum ClaimOutcome {
    /// The request may run here, once.
    Run(OwnedClaim),
    /// The request has already run and returned this response.
    Replay(StoredResponse),
}

/// Claims a request.
///
/// # Errors
///
/// Returns why the request must not run: its id is invalid or was used for another request, another
/// instance holds the claim, or the platform is unavailable.
pub async fn acquire(cx: &RequestContext, req: &Req) -> Result<ClaimOutcome, Error> {
    check_id(cx)?;
    let shared = &cx.shared;
    let own = Claim {
        attempt: Uuid::new_v4().to_string(),
        holder: shared.own_id.clone(),
        request_hash: claim::request_hash(&req.method, &req.path, &req.body),
        state: State::Claimed,
    };
    set_status(shared, &own.attempt, AttemptStatus::Running);
    let outcome = write_claim(cx, &own).await;
    if !matches!(outcome, Ok(ClaimOutcome::Run(_))) {
        // A write may still take effect. Instances that ask for its status learn that this attempt
        // never runs the request.
        set_status(shared, &own.attempt, AttemptStatus::NotRun);
    }
    outcome
}

fn check_id(cx: &RequestContext) -> Result<(), Error> {
    let retention = cx.shared.settings.claim_retention_ms();
    let message = "this request must not be repeated: the Idempotency-Key must be a version 7 UUID";
    match claim::check_id(&cx.id, wall_ms(), retention) {
        Ok(()) if cx.has_caller_id => Ok(()),
        Ok(()) | Err(IdError::NoTimestamp) => Err(Error::new(Kind::IdRequired, message)),
        Err(IdError::TooOld) => Err(Error::new(
            Kind::IdTooOld,
            "the request id is older than the retention period of claims",
        )),
        Err(IdError::InFuture) => Err(Error::new(
            Kind::BadRequest,
            "the timestamp of the request id is in the future",
        )),
    }
}

/// Returns the store key of a claim.
fn claim_key(customer: &str, id: &str) -> String {
    format!("/oriolehitch/claim/{customer}/{id}")
}

/// Writes a claim, after resolving an existing one.
async fn write_claim(cx: &RequestContext, own: &Claim) -> Result<ClaimOutcome, Error> {
    let shared = &cx.shared;
    let key = claim_key(&cx.customer, &cx.id);
    let value = serde_json::to_vec(own).expect("a claim serializes");
    let give_up_at = (shared.clock.now() + CLAIM_TIMEOUT_MS).min(cx.deadline);
    let mut base_revision = 0;
    while shared.clock.now() < give_up_at {
        let Some(lease) = current_lease(shared).await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let found = match shared
            .kv
            .compare_and_swap(&key, base_revision, &value, lease)
            .await
        {
            Ok(SwapResult::Done(revision)) => return Ok(owned_claim(&key, own, revision)),
            Ok(SwapResult::Conflict(Some(found))) => found,
            Ok(SwapResult::Conflict(None)) => {
                base_revision = 0;
                continue;
            }
            Err(StoreError::Refused(_) | StoreError::Unknown(_)) => {
                // Repeating the write is safe, since the claim contains the id of this attempt.
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
        };
        match resolve_existing(cx, own, &found).await? {
            Resolution::Run => return Ok(owned_claim(&key, own, found.revision)),
            Resolution::Replay(response) => return Ok(ClaimOutcome::Replay(response)),
            Resolution::Replace => base_revision = found.revision,
            resolution => return Err(refusal_error(&resolution)),
        }
    }
    let message = "the platform's key-value store did not respond, and the request needs a claim";
    Err(Error::new(Kind::PlatformDown, message).retry_after(OUTAGE_RETRY_AFTER_SECS))
}

fn owned_claim(key: &str, own: &Claim, revision: i64) -> ClaimOutcome {
    ClaimOutcome::Run(OwnedClaim {
        key: key.to_string(),
        claim: own.clone(),
        revision,
    })
}

async fn resolve_existing(
    cx: &RequestContext,
    own: &Claim,
    found: &KeyValue,
) -> Result<Resolution, Error> {
    let invalid = |e: serde_json::Error| {
        Error::new(Kind::Internal, format!("invalid claim in the store: {e}"))
    };
    let existing: Claim = serde_json::from_slice(&found.value).map_err(invalid)?;
    match claim::resolve(&existing, own, None) {
        Resolution::AskHolder => {
            let status = fetch_holder_status(&cx.shared, &existing).await;
            cx.record_step(format!("claimed by {}, status {status:?}", existing.holder));
            Ok(claim::resolve(&existing, own, Some(status)))
        }
        resolution => Ok(resolution),
    }
}

fn refusal_error(resolution: &Resolution) -> Error {
    match resolution {
        Resolution::IdReused => Error::new(
            Kind::IdReused,
            "this request id was already used for a different request",
        ),
        Resolution::InProgress => {
            Error::new(Kind::InProgress, "the request is already in progress")
        }
        _ => Error::new(
            Kind::OutcomeUnknown,
            "it is unknown whether the request ran; it is not run again",
        ),
    }
}

/// Returns the status of the attempt that holds a claim, as its holder reports it.
async fn fetch_holder_status(shared: &SharedState, existing: &Claim) -> AttemptStatus {
    if existing.holder == shared.own_id {
        let attempts = shared.claim_attempts.lock().expect("lock not poisoned");
        return attempts
            .get(&existing.attempt)
            .copied()
            .unwrap_or(AttemptStatus::Unknown);
    }
    let Some(peer) = shared.peer(&existing.holder) else {
        return AttemptStatus::Silent;
    };
    let reply = shared.peers.call(
        &shared.metrics,
        &peer,
        method::ATTEMPT_STATUS,
        &existing.attempt,
    );
    reply.await.unwrap_or(AttemptStatus::Silent)
}

/// Sets the status of an attempt of this instance.
pub fn set_status(shared: &SharedState, attempt: &str, status: AttemptStatus) {
    let mut attempts = shared.claim_attempts.lock().expect("lock not poisoned");
    attempts.insert(attempt.to_string(), status);
}

/// Returns the lease that new claims are bound to; none if it could not be created.
///
/// A lease is used for an hour, and outlives the time in which the ids of that hour are accepted.
async fn current_lease(shared: &SharedState) -> Option<i64> {
    let now = shared.clock.now();
    let mut current = shared.claim_lease.lock().await;
    if let Some((id, use_until)) = *current {
        if now < use_until {
            return Some(id);
        }
    }
    let ttl_secs = claim::lease_ttl_secs(shared.settings.claim_retention_ms());
    let id = shared
        .kv
        .create_lease(ttl_secs + LEASE_ROTATION_MS / 1000)
        .await
        .ok()?;
    *current = Some((id, now + LEASE_ROTATION_MS));
    Some(id)
}

/// Stores the result of a claimed request. If the platform is unavailable, this continues in the
/// background.
pub async fn finish(shared: &Arc<SharedState>, owned: OwnedClaim, state: State) {
    let status = match state {
        State::NotRun => AttemptStatus::NotRun,
        _ => AttemptStatus::Unknown,
    };
    let task_shared = Arc::clone(shared);
    let in_flight = shared.track_in_flight();
    let stored = tokio::spawn(async move {
        store_state(&task_shared, owned, state, status).await;
        drop(in_flight);
    });
    // The caller gets its response in any case. Until the result is stored, instances that receive
    // the request again ask this one for the status.
    let _ = tokio::time::timeout(STORE_TIMEOUT, stored).await;
}

async fn store_state(
    shared: &SharedState,
    mut owned: OwnedClaim,
    state: State,
    status: AttemptStatus,
) {
    let attempt = owned.claim.attempt.clone();
    if status == AttemptStatus::NotRun {
        set_status(shared, &attempt, status);
    }
    owned.claim.state = state;
    let value = serde_json::to_vec(&owned.claim).expect("a claim serializes");
    let mut logged = false;
    loop {
        let Some(lease) = current_lease(shared).await else {
            tokio::time::sleep(STORE_RETRY_INTERVAL).await;
            continue;
        };
        let swapped = shared
            .kv
            .compare_and_swap(&owned.key, owned.revision, &value, lease)
            .await;
        match swapped {
            Ok(SwapResult::Done(_)) => break,
            Ok(SwapResult::Conflict(Some(found))) if found.value == value => break,
            // Another attempt replaced the claim, since it was reported as not run, or the key
            // expired.
            Ok(SwapResult::Conflict(_)) => break,
            Err(_) => {}
        }
        if !logged {
            shared.log(Event::ClaimNotStored, &owned.key);
            logged = true;
        }
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    }
    shared
        .claim_attempts
        .lock()
        .expect("lock not poisoned")
        .remove(&attempt);
}
