//! At-most-once claims of requests that may not be repeated.
//!
//! A claim is a key in the platform's service, made before the dispatch and never taken over while
//! its holder may still act. The decisions here have no I/O.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

/// Clocks of callers and instances may differ by this much, in milliseconds.
pub const SKEW_MS: u64 = 60_000;

/// What is wrong with a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdFault {
    /// It bears no time: a UUID of version 7 is wanted.
    NoTime,
    /// It is older than the retention, so an earlier run may be forgotten.
    TooOld,
    /// It lies in the future by more than clocks may differ.
    TooNew,
}

/// Checks that a request id bears a time within the retention.
///
/// # Errors
///
/// Returns what is wrong with the id.
pub fn check_id(id: &str, now_ms: u64, retention_ms: u64) -> Result<(), IdFault> {
    let uuid = Uuid::parse_str(id).map_err(|_| IdFault::NoTime)?;
    if uuid.get_version_num() != 7 {
        return Err(IdFault::NoTime);
    }
    let (secs, nanos) = uuid.get_timestamp().ok_or(IdFault::NoTime)?.to_unix();
    let at_ms = secs * 1000 + u64::from(nanos) / 1_000_000;
    if at_ms + retention_ms < now_ms {
        return Err(IdFault::TooOld);
    }
    if at_ms > now_ms + SKEW_MS {
        return Err(IdFault::TooNew);
    }
    Ok(())
}

/// Returns how long the platform must keep a claim, in seconds.
///
/// Longer than any id of it is accepted: when the key lapses, the id is refused by its age.
pub fn lease_secs(retention_ms: u64) -> u64 {
    (retention_ms + 3 * SKEW_MS) / 1000
}

/// The answer of a finished run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Body, in base64; none when it was too large to keep.
    pub body: Option<String>,
}

/// How far a claimed request is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its holder may run it, or has.
    Claimed,
    /// It ran.
    Done(Answer),
    /// Its holder says that it did not run and never will.
    NotRun,
    /// Its holder lost track of it.
    Unknown,
}

/// A claim as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds it.
    pub attempt: String,
    /// The entry that made it, an incarnation.
    pub entry: String,
    /// Hash of the request.
    pub body: String,
    /// How far it is.
    pub state: State,
}

/// What the holder of a claim says of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// It runs.
    Running,
    /// It did not run and never will.
    NotRun,
    /// The holder does not know it.
    Unknown,
    /// The holder did not answer.
    Silent,
}

/// What follows for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Run it: the claim is this attempt's own.
    Run,
    /// Answer with what was stored.
    Answer(Answer),
    /// The id was used for another request.
    Reused,
    /// Ask the holder, then judge again.
    AskHolder,
    /// Replace the claim by a compare-and-swap, then run.
    Replace,
    /// It runs elsewhere.
    InProgress,
    /// Nobody knows.
    OutcomeUnknown,
}

/// Decides what follows from a claim that is in the way, or is one's own after a lost answer.
pub fn judge(found: &Claim, mine: &Claim, word: Option<Word>) -> Next {
    if found.attempt == mine.attempt {
        // Only one attempt ever writes this name, so the write whose answer was lost took effect.
        return Next::Run;
    }
    if found.body != mine.body {
        return Next::Reused;
    }
    match (&found.state, word) {
        (State::Done(answer), _) => Next::Answer(answer.clone()),
        (State::NotRun, _) => Next::Replace,
        (State::Unknown, _) => Next::OutcomeUnknown,
        (State::Claimed, None) => Next::AskHolder,
        (State::Claimed, Some(Word::Running)) => Next::InProgress,
        (State::Claimed, Some(Word::NotRun)) => Next::Replace,
        (State::Claimed, Some(Word::Unknown | Word::Silent)) => Next::OutcomeUnknown,
    }
}

/// Returns the hash under which a request is told from another one.
pub fn hash(method: &str, path: &str, body: &[u8]) -> String {
    let mut sha = Sha256::new();
    sha.update(method.as_bytes());
    sha.update([0]);
    sha.update(path.as_bytes());
    sha.update([0]);
    sha.update(body);
    sha.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
