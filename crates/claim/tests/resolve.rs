//! How an attempt proceeds when its claim key already exists, and which request ids are accepted.

use claim::{check_id, resolve, AttemptStatus, Claim, IdError, Resolution, State, StoredResponse};
use uuid::{NoContext, Timestamp, Uuid};

const NOW: u64 = 1_800_000_000_000;
const DAY: u64 = 86_400_000;

fn claim(attempt: &str, request_hash: &str, state: State) -> Claim {
    Claim {
        attempt: attempt.to_string(),
        holder: "a".to_string(),
        request_hash: request_hash.to_string(),
        state,
    }
}

fn id_at(ms: u64) -> String {
    let nanos = (ms % 1000) as u32 * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, ms / 1000, nanos)).to_string()
}

/// Guards against running a request twice: a second attempt took over a claim whose holder could
/// still run the request.
#[test]
fn claim_is_replaced_only_if_its_holder_did_not_run_the_request() {
    let own = claim("own", "x", State::Claimed);
    let theirs = claim("theirs", "x", State::Claimed);
    let replaces = |status| resolve(&theirs, &own, Some(status)) == Resolution::Replace;
    assert!(replaces(AttemptStatus::NotRun));
    assert!(!replaces(AttemptStatus::Running));
    assert!(!replaces(AttemptStatus::Unknown));
    assert!(!replaces(AttemptStatus::Silent));
    assert_eq!(resolve(&theirs, &own, None), Resolution::AskHolder);
}

/// Guards against refusing a request because of its own claim: the write of the claim took effect
/// but its response was lost, and the repeated write found the claim already there.
#[test]
fn own_claim_is_recognized() {
    let own = claim("own", "x", State::Claimed);
    assert_eq!(resolve(&own, &own, None), Resolution::Run);
}

#[test]
fn stored_response_is_replayed_and_a_reused_id_is_refused() {
    let response = StoredResponse {
        status: 200,
        media: "text/plain".to_string(),
        body: None,
    };
    let own = claim("own", "x", State::Claimed);
    let done = claim("theirs", "x", State::Done(response.clone()));
    assert_eq!(resolve(&done, &own, None), Resolution::Replay(response));
    let other = claim("theirs", "y", State::Claimed);
    assert_eq!(resolve(&other, &own, None), Resolution::IdReused);
    let unknown = claim("theirs", "x", State::Unknown);
    assert_eq!(resolve(&unknown, &own, None), Resolution::OutcomeUnknown);
}

/// Guards against running a request again days later: its claim had expired in the store, and the
/// caller sent it again with an id older than the retention period, which was accepted.
#[test]
fn id_needs_a_timestamp_within_the_retention_period() {
    let check = |id: &str| check_id(id, NOW, DAY);
    assert_eq!(check("plain"), Err(IdError::NoTimestamp));
    assert_eq!(
        check(&Uuid::new_v4().to_string()),
        Err(IdError::NoTimestamp)
    );
    assert_eq!(check(&id_at(NOW - DAY - 1_000)), Err(IdError::TooOld));
    assert_eq!(check(&id_at(NOW - DAY + 1_000)), Ok(()));
    assert_eq!(
        check(&id_at(NOW + 10 * claim::MAX_CLOCK_SKEW_MS)),
        Err(IdError::InFuture)
    );
    assert!(claim::lease_ttl_secs(DAY) * 1000 > DAY + claim::MAX_CLOCK_SKEW_MS);
}
