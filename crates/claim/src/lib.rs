//! At-most-once claims for requests that must not be repeated.
//!
//! A claim is a key in the platform's key-value store. It is created before the request is
//! dispatched and never taken over while its holder may still run the request. This crate makes the
//! decisions and does no I/O.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

/// Tolerated difference between the clocks of callers and instances, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Why a request id is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The id has no timestamp: it is not a version 7 UUID.
    NoTimestamp,
    /// The id is older than the retention period, so the claim of an earlier run may have expired.
    TooOld,
    /// The id is further in the future than `MAX_CLOCK_SKEW_MS`.
    InFuture,
}

/// Checks that a request id carries a timestamp within the retention period.
///
/// # Errors
///
/// Returns why the id is not accepted.
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

/// Returns how long the store must keep a claim, in seconds.
///
/// This is longer than the claim's id is accepted: once the key has expired, `check_id` refuses the
/// id as too old.
pub fn lease_ttl_secs(retention_ms: u64) -> u64 {
    (retention_ms + 3 * MAX_CLOCK_SKEW_MS) / 1000
}

/// The response of a request that ran, stored to be replayed when the request is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// Body in base64; `None` if it was too large to store.
    pub body: Option<String>,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder may be running the request, or may have run it.
    Claimed,
    /// The request ran and returned this response.
    Done(StoredResponse),
    /// According to the holder, the request did not run and never will.
    NotRun,
    /// The holder does not know whether the request ran.
    Unknown,
}

/// A claim as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unique id of the attempt that holds the claim.
    pub attempt: String,
    /// Incarnation of the instance that runs this attempt.
    #[serde(rename = "entry")]
    pub holder: String,
    /// Hash of the request, from [`request_hash`].
    #[serde(rename = "body")]
    pub request_hash: String,
    /// State of the request.
    pub state: State,
}

/// Status of an attempt, as its holder reports it to other instances.
///
/// The names of the variants are sent between instances and written to the request journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt is in progress.
    Running,
    /// The attempt did not run the request and never will.
    NotRun,
    /// The holder has no record of the attempt.
    Unknown,
    /// The holder could not be reached.
    Silent,
}

/// How an attempt proceeds when its claim key already exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Run the request: the claim is this attempt's own.
    Run,
    /// Answer with the stored response.
    Replay(StoredResponse),
    /// Refuse the request: its id was used for a different one.
    IdReused,
    /// Ask the holder for the status of its attempt, then resolve again.
    AskHolder,
    /// Replace the claim by compare-and-swap, then run the request.
    Replace,
    /// Refuse the request: another attempt is running it.
    InProgress,
    /// Refuse the request: whether it ran cannot be determined.
    OutcomeUnknown,
}

/// Decides how an attempt proceeds when its claim key already exists.
///
/// The existing claim may be the attempt's own, if the response to its write was lost.
/// `holder_status` is `None` until the holder has been asked.
pub fn resolve(existing: &Claim, own: &Claim, holder_status: Option<AttemptStatus>) -> Resolution {
    if existing.attempt == own.attempt {
        // Attempt ids are unique: the earlier write took effect and only its response was lost.
        return Resolution::Run;
    }
    if existing.request_hash != own.request_hash {
        return Resolution::IdReused;
    }
    match (&existing.state, holder_status) {
        (State::Done(response), _) => Resolution::Replay(response.clone()),
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

/// Returns the hash that tells whether two requests with the same id are the same request.
pub fn request_hash(method: &str, path: &str, body: &[u8]) -> String {
    let mut sha = Sha256::new();
    sha.update(method.as_bytes());
    sha.update([0]);
    sha.update(path.as_bytes());
    sha.update([0]);
    sha.update(body);
    sha.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
