//! Decisions on claims: every pair of what is found and what its holder says.

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

/// Symptom: a request that may not be repeated runs twice.
/// Sequence: another attempt finds a claim in its way and takes it over.
/// Cause: a claim was taken over although its holder may still act.
#[test]
fn only_a_holders_own_word_frees_a_claim() {
    let mine = claim("mine", "x", State::Claimed);
    let theirs = claim("theirs", "x", State::Claimed);
    let frees = |word| resolve(&theirs, &mine, Some(word)) == Resolution::Replace;
    assert!(frees(AttemptStatus::NotRun));
    assert!(!frees(AttemptStatus::Running));
    assert!(!frees(AttemptStatus::Unknown));
    assert!(!frees(AttemptStatus::Silent));
    assert_eq!(resolve(&theirs, &mine, None), Resolution::AskHolder);
}

/// Symptom: an order is refused although its claim was made.
/// Sequence: the claim's write takes effect, its answer is lost, and the same write is sent again.
/// Cause: the claim found in the way was not recognised as one's own.
#[test]
fn own_claim_is_known_again() {
    let mine = claim("mine", "x", State::Claimed);
    assert_eq!(resolve(&mine, &mine, None), Resolution::Run);
}

#[test]
fn finished_request_answers_and_another_body_is_refused() {
    let answer = StoredResponse {
        status: 200,
        media: "text/plain".to_string(),
        body: None,
    };
    let mine = claim("mine", "x", State::Claimed);
    let done = claim("theirs", "x", State::Done(answer.clone()));
    assert_eq!(resolve(&done, &mine, None), Resolution::Replay(answer));
    let other = claim("theirs", "y", State::Claimed);
    assert_eq!(resolve(&other, &mine, None), Resolution::IdReused);
    let lost = claim("theirs", "x", State::Unknown);
    assert_eq!(resolve(&lost, &mine, None), Resolution::OutcomeUnknown);
}

/// Symptom: an order runs a second time days later.
/// Sequence: its claim lapses in the platform, then its caller sends it again.
/// Cause: an id older than the retention was accepted.
#[test]
fn ids_bear_a_time_within_the_retention() {
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
