//! At-most-once claims of requests that may not be repeated.
//!
//! A claim is a key in the platform's service, made before the dispatch and never taken over while
//! its holder may still act. The decisions here have no I/O.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

/// Clocks of callers and instances may differ by this much, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// What is wrong with a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdError {
    /// It bears no time: a UUID of version 7 is wanted.
    NoTimestamp,
    /// It is older than the retention, so an earlier run may be forgotten.
    TooOld,
    /// It lies in the future by more than clocks may differ.
    InFuture,
}

/// Checks that a request id bears a time within the retention.
///
/// # Errors
///
/// Returns what is wrong with the id.
pub fn check_id(id: &str, now_ms: u64, retention_ms: u64) -> Result<(), IdError> {
    let uuid = Uuid::parse_str(id).map_err(|_| IdError::NoTimestamp)?;
    if uuid.get_version_num() != 7 {
        return Err(IdError::NoTimestamp);
    }
    let (secs, nanos) = uuid.get_timestamp().ok_or(IdError::NoTimestamp)?.to_unix();
    let at_ms = secs * 1000 + u64::from(nanos) / 1_000_000;
    if at_ms + retention_ms < now_ms {
        return Err(IdError::TooOld);
    }
    if at_ms > now_ms + MAX_CLOCK_SKEW_MS {
        return Err(IdError::InFuture);
    }
    Ok(())
}

/// Returns how long the platform must keep a claim, in seconds.
///
/// Longer than any id of it is accepted: when the key lapses, the id is refused by its age.
pub fn lease_ttl_secs(retention_ms: u64) -> u64 {
    (retention_ms + 3 * MAX_CLOCK_SKEW_MS) / 1000
}

/// The answer of a finished run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
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
    Done(StoredResponse),
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
    #[serde(rename = "entry")]
    pub holder: String,
    /// Hash of the request.
    #[serde(rename = "body")]
    pub request_hash: String,
    /// How far it is.
    pub state: State,
}

/// What the holder of a claim says of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
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
pub enum Resolution {
    /// Run it: the claim is this attempt's own.
    Run,
    /// Answer with what was stored.
    Replay(StoredResponse),
    /// The id was used for another request.
    IdReused,
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
pub fn resolve(found: &Claim, mine: &Claim, word: Option<AttemptStatus>) -> Resolution {
    if found.attempt == mine.attempt {
        // Only one attempt ever writes this name, so the write whose answer was lost took effect.
        return Resolution::Run;
    }
    if found.request_hash != mine.request_hash {
        return Resolution::IdReused;
    }
    match (&found.state, word) {
        (State::Done(answer), _) => Resolution::Replay(answer.clone()),
        (State::NotRun, _) => Resolution::Replace,
        (State::Unknown, _) => Resolution::OutcomeUnknown,
        (State::Claimed, None) => Resolution::AskHolder,
        (State::Claimed, Some(AttemptStatus::Running)) => Resolution::InProgress,
        (State::Claimed, Some(AttemptStatus::NotRun)) => Resolution::Replace,
        (State::Claimed, Some(AttemptStatus::Unknown | AttemptStatus::Silent)) => {
            Resolution::OutcomeUnknown
        }
    }
}

/// Returns the hash under which a request is told from another one.
pub fn request_hash(method: &str, path: &str, body: &[u8]) -> String {
    let mut sha = Sha256::new();
    sha.update(method.as_bytes());
    sha.update([0]);
    sha.update(path.as_bytes());
    sha.update([0]);
    sha.update(body);
    sha.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
