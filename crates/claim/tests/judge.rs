//! Decisions on claims: every pair of what is found and what its holder says.

use claim::{check_id, judge, Answer, Claim, IdFault, Next, State, Word};
use uuid::{NoContext, Timestamp, Uuid};

const NOW: u64 = 1_800_000_000_000;
const DAY: u64 = 86_400_000;

fn claim(attempt: &str, body: &str, state: State) -> Claim {
    Claim {
        attempt: attempt.to_string(),
        entry: "a".to_string(),
        body: body.to_string(),
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
    let frees = |word| judge(&theirs, &mine, Some(word)) == Next::Replace;
    assert!(frees(Word::NotRun));
    assert!(!frees(Word::Running));
    assert!(!frees(Word::Unknown));
    assert!(!frees(Word::Silent));
    assert_eq!(judge(&theirs, &mine, None), Next::AskHolder);
}

/// Symptom: an order is refused although its claim was made.
/// Sequence: the claim's write takes effect, its answer is lost, and the same write is sent again.
/// Cause: the claim found in the way was not recognised as one's own.
#[test]
fn own_claim_is_known_again() {
    let mine = claim("mine", "x", State::Claimed);
    assert_eq!(judge(&mine, &mine, None), Next::Run);
}

#[test]
fn finished_request_answers_and_another_body_is_refused() {
    let answer = Answer {
        status: 200,
        media: "text/plain".to_string(),
        body: None,
    };
    let mine = claim("mine", "x", State::Claimed);
    let done = claim("theirs", "x", State::Done(answer.clone()));
    assert_eq!(judge(&done, &mine, None), Next::Answer(answer));
    let other = claim("theirs", "y", State::Claimed);
    assert_eq!(judge(&other, &mine, None), Next::Reused);
    let lost = claim("theirs", "x", State::Unknown);
    assert_eq!(judge(&lost, &mine, None), Next::OutcomeUnknown);
}

/// Symptom: an order runs a second time days later.
/// Sequence: its claim lapses in the platform, then its caller sends it again.
/// Cause: an id older than the retention was accepted.
#[test]
fn ids_bear_a_time_within_the_retention() {
    let check = |id: &str| check_id(id, NOW, DAY);
    assert_eq!(check("plain"), Err(IdFault::NoTime));
    assert_eq!(check(&Uuid::new_v4().to_string()), Err(IdFault::NoTime));
    assert_eq!(check(&id_at(NOW - DAY - 1_000)), Err(IdFault::TooOld));
    assert_eq!(check(&id_at(NOW - DAY + 1_000)), Ok(()));
    assert_eq!(
        check(&id_at(NOW + 10 * claim::SKEW_MS)),
        Err(IdFault::TooNew)
    );
    assert!(claim::lease_secs(DAY) * 1000 > DAY + claim::SKEW_MS);
}
