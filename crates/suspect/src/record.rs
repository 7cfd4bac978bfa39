//! What one instance tells another of a request.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// An upstream that ended while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Its incarnation: a later one under the same name is another.
    #[serde(rename = "l")]
    pub incarnation: String,
    /// The instance that saw it.
    #[serde(rename = "b")]
    pub seen_by: String,
    /// How long ago, in milliseconds.
    #[serde(rename = "a")]
    pub ago_ms: u64,
}

/// What an instance knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// How often it was answered after upstreams had ended under it: what was known before does not count any more.
    #[serde(rename = "n")]
    pub answers: u32,
    /// The upstreams that have ended under it since.
    #[serde(rename = "e")]
    pub crashes: Vec<CrashReport>,
    /// How often it was tried since there are too many of them.
    #[serde(rename = "t")]
    pub trials: u8,
    /// How long ago the last time was, in milliseconds.
    #[serde(rename = "s")]
    pub trial_ago_ms: u64,
}
