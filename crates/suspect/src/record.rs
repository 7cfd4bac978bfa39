//! The record of a suspect that instances exchange and store.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::subject::Subject;

/// Short hashes of the requests with a segment that were present at a crash, in order.
pub(crate) type RequestTags = SmallVec<[u32; 2]>;

/// A crash of an upstream at which a request or segment was present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Incarnation of the upstream; a later start under the same name is another one.
    #[serde(rename = "l")]
    pub incarnation: String,
    /// The instance that observed the crash.
    #[serde(rename = "b")]
    pub seen_by: String,
    /// Time since the crash, in milliseconds.
    #[serde(rename = "a")]
    pub ago_ms: u64,
    /// Short hashes of some of the requests that had the segment there; empty for a request's own record, and if
    /// they are not known.
    #[serde(rename = "q", default, skip_serializing_if = "RequestTags::is_empty")]
    pub requests: RequestTags,
}

/// What an instance knows of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request or segment.
    #[serde(flatten)]
    pub subject: Subject,
    /// How often the request got a complete response after crashes, or the segment survived. Crashes
    /// before that no longer count, so a record with a higher number supersedes one with a lower
    /// number.
    #[serde(rename = "n")]
    pub answers: u32,
    /// Upstreams that have crashed since with the request or segment present.
    #[serde(rename = "e")]
    pub crashes: Vec<CrashReport>,
    /// Number of trials since there were enough crashes to refuse it.
    #[serde(rename = "t")]
    pub trials: u8,
    /// Time since the last trial, in milliseconds.
    #[serde(rename = "s")]
    pub trial_ago_ms: u64,
    /// Whether chance is unlikely to have had the segment at all these crashes and at no survival.
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    pub significant: bool,
    /// Whether the segment had survived somewhere before the crashes.
    #[serde(rename = "k", default, skip_serializing_if = "is_false")]
    pub was_sound: bool,
    /// Whether the segment was refused since it last survived.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub refused: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}
