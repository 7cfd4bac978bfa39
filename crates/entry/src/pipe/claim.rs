//! Claims a request that may not be repeated, before it is sent anywhere.

use std::sync::Arc;
use std::time::Duration;

use claim::{AttemptStatus, Claim, IdError, Resolution, State, StoredResponse};
use err::{Error, Kind};
use kv::{KeyValue, StoreError, SwapResult};
use uuid::Uuid;
use web::Req;

use super::cx::Cx;
use crate::clock::wall_ms;
use crate::event::Event;
use crate::msg::method;
use crate::shared::Shared;

/// How long a claim may take; longer means that the platform is out.
const CLAIM_MS: u64 = 4_000;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// An instance binds its claims to one lease for this long, then makes another.
const LEASE_USE_MS: u64 = 3_600_000;
/// How long an answer waits until it is stored.
const STORE_WAIT: Duration = Duration::from_secs(1);
const STORE_EVERY: Duration = Duration::from_millis(500);
/// When to come back while the platform is out, in seconds.
const OUTAGE_RETRY_SECS: u32 = 5;

/// A claim that is this attempt's own.
#[derive(Clone, Debug)]
pub struct Held {
    key: String,
    claim: Claim,
    revision: i64,
}

/// What became of a claim.
pub enum Outcome {
    /// The request may run here, once.
    Run(Held),
    /// It ran before; this was its answer.
    Answer(StoredResponse),
}

/// Claims a request.
///
/// # Errors
///
/// Returns why it must not run: a bad or used id, another holder, or the platform being out.
pub async fn claim(cx: &Cx, req: &Req) -> Result<Outcome, Error> {
    check_id(cx)?;
    let shared = &cx.shared;
    let mine = Claim {
        attempt: Uuid::new_v4().to_string(),
        holder: shared.me.clone(),
        request_hash: claim::request_hash(&req.method, &req.path, &req.body),
        state: State::Claimed,
    };
    set_word(shared, &mine.attempt, AttemptStatus::Running);
    let outcome = contend(cx, &mine).await;
    if !matches!(outcome, Ok(Outcome::Run(_))) {
        // The write may still land. Whoever asks about it is told that it never runs.
        set_word(shared, &mine.attempt, AttemptStatus::NotRun);
    }
    outcome
}

fn check_id(cx: &Cx) -> Result<(), Error> {
    let retention = cx.shared.settings.claim_retention_ms();
    let wanted = "this request may not be repeated: an Idempotency-Key that is a UUID of version 7 is wanted";
    match claim::check_id(&cx.id, wall_ms(), retention) {
        Ok(()) if cx.keyed => Ok(()),
        Ok(()) | Err(IdError::NoTimestamp) => Err(Error::new(Kind::IdRequired, wanted)),
        Err(IdError::TooOld) => Err(Error::new(
            Kind::IdTooOld,
            "the request id is older than claims are kept",
        )),
        Err(IdError::InFuture) => Err(Error::new(
            Kind::BadRequest,
            "the request id lies in the future",
        )),
    }
}

/// Returns the key of a claim.
fn key(customer: &str, id: &str) -> String {
    format!("/oriolehitch/claim/{customer}/{id}")
}

async fn contend(cx: &Cx, mine: &Claim) -> Result<Outcome, Error> {
    let shared = &cx.shared;
    let key = key(&cx.customer, &cx.id);
    let text = serde_json::to_vec(mine).expect("a claim is JSON");
    let until = (shared.clock.now() + CLAIM_MS).min(cx.deadline);
    let mut base = 0;
    while shared.clock.now() < until {
        let Some(lease) = lease(shared).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let found = match shared.kv.compare_and_swap(&key, base, &text, lease).await {
            Ok(SwapResult::Done(revision)) => return Ok(run(&key, mine, revision)),
            Ok(SwapResult::Conflict(Some(found))) => found,
            Ok(SwapResult::Conflict(None)) => {
                base = 0;
                continue;
            }
            Err(StoreError::Refused(_) | StoreError::Unknown(_)) => {
                // The same write again is safe: it carries this attempt's own name.
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match judge(cx, mine, &found).await? {
            Resolution::Run => return Ok(run(&key, mine, found.revision)),
            Resolution::Replay(answer) => return Ok(Outcome::Answer(answer)),
            Resolution::Replace => base = found.revision,
            next => return Err(refusal(&next)),
        }
    }
    let message = "the platform's service does not answer, and the request needs its claim";
    Err(Error::new(Kind::PlatformDown, message).retry_after(OUTAGE_RETRY_SECS))
}

fn run(key: &str, mine: &Claim, revision: i64) -> Outcome {
    Outcome::Run(Held {
        key: key.to_string(),
        claim: mine.clone(),
        revision,
    })
}

async fn judge(cx: &Cx, mine: &Claim, found: &KeyValue) -> Result<Resolution, Error> {
    let broken = |e: serde_json::Error| Error::new(Kind::Internal, format!("a broken claim: {e}"));
    let theirs: Claim = serde_json::from_slice(&found.value).map_err(broken)?;
    match claim::resolve(&theirs, mine, None) {
        Resolution::AskHolder => {
            let word = ask_holder(&cx.shared, &theirs).await;
            cx.step(format!("claimed by {}, which says {word:?}", theirs.holder));
            Ok(claim::resolve(&theirs, mine, Some(word)))
        }
        next => Ok(next),
    }
}

fn refusal(next: &Resolution) -> Error {
    match next {
        Resolution::IdReused => Error::new(
            Kind::IdReused,
            "this request id came before with another request",
        ),
        Resolution::InProgress => {
            Error::new(Kind::InProgress, "the request runs at another instance")
        }
        _ => Error::new(
            Kind::OutcomeUnknown,
            "the request's holder is gone: it may or may not have run, and is not run again",
        ),
    }
}

async fn ask_holder(shared: &Shared, theirs: &Claim) -> AttemptStatus {
    if theirs.holder == shared.me {
        let attempts = shared.attempts.lock().expect("no panic inside");
        return attempts
            .get(&theirs.attempt)
            .copied()
            .unwrap_or(AttemptStatus::Unknown);
    }
    let Some(addr) = shared.peer_addr(&theirs.holder) else {
        return AttemptStatus::Silent;
    };
    let asked = shared
        .peers
        .call(&shared.metrics, &addr, method::ATTEMPT, &theirs.attempt);
    asked.await.unwrap_or(AttemptStatus::Silent)
}

/// Remembers how far an attempt is.
pub fn set_word(shared: &Shared, attempt: &str, word: AttemptStatus) {
    let mut attempts = shared.attempts.lock().expect("no panic inside");
    attempts.insert(attempt.to_string(), word);
}

/// Returns the lease that claims are bound to now.
///
/// One lease serves an hour's claims, and lives longer than any id of that hour is accepted.
async fn lease(shared: &Shared) -> Option<i64> {
    let now = shared.clock.now();
    let mut current = shared.claim_lease.lock().await;
    if let Some((id, until)) = *current {
        if now < until {
            return Some(id);
        }
    }
    let keep = claim::lease_ttl_secs(shared.settings.claim_retention_ms());
    let id = shared
        .kv
        .create_lease(keep + LEASE_USE_MS / 1000)
        .await
        .ok()?;
    *current = Some((id, now + LEASE_USE_MS));
    Some(id)
}

/// Stores the end of a claimed request; goes on in the background when the platform is out.
pub async fn end(shared: &Arc<Shared>, held: Held, state: State) {
    let word = match state {
        State::NotRun => AttemptStatus::NotRun,
        _ => AttemptStatus::Unknown,
    };
    let cx = Arc::clone(shared);
    let busy = shared.begin();
    let stored = tokio::spawn(async move {
        store(&cx, held, state, word).await;
        drop(busy);
    });
    // The caller gets its answer anyway; a retry before the store asks this holder.
    let _ = tokio::time::timeout(STORE_WAIT, stored).await;
}

async fn store(shared: &Shared, mut held: Held, state: State, word: AttemptStatus) {
    let attempt = held.claim.attempt.clone();
    if word == AttemptStatus::NotRun {
        set_word(shared, &attempt, word);
    }
    held.claim.state = state;
    let text = serde_json::to_vec(&held.claim).expect("a claim is JSON");
    let mut late = false;
    loop {
        let Some(lease) = lease(shared).await else {
            tokio::time::sleep(STORE_EVERY).await;
            continue;
        };
        let swapped = shared
            .kv
            .compare_and_swap(&held.key, held.revision, &text, lease)
            .await;
        match swapped {
            Ok(SwapResult::Done(_)) => break,
            Ok(SwapResult::Conflict(Some(found))) if found.value == text => break,
            // Another attempt replaced a claim that this one called not run, or the key lapsed.
            Ok(SwapResult::Conflict(_)) => break,
            Err(_) => {}
        }
        if !late {
            shared.log(Event::ClaimLate, &held.key);
            late = true;
        }
        tokio::time::sleep(STORE_EVERY).await;
    }
    shared
        .attempts
        .lock()
        .expect("no panic inside")
        .remove(&attempt);
}
