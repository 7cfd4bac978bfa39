//! What may have crashed an upstream.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::segment::Segment;

/// What may have crashed an upstream: a request as a whole, or one segment of its prompt, whatever
/// else the request contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A request.
    #[serde(rename = "d")]
    Request(Digest),
    /// A segment of prompts.
    #[serde(rename = "p")]
    Segment(Segment),
}

impl Subject {
    /// Returns the text that names the subject in full, as in the keys of the store.
    pub fn to_key(&self) -> String {
        match self {
            Subject::Request(digest) => format!("{digest:.32}"),
            Subject::Segment(segment) => segment.to_key(),
        }
    }

    /// Returns the hash key by which the instances that own the subject's record are selected.
    pub fn placement_key(&self) -> u64 {
        match self {
            Subject::Request(digest) => digest.placement_key(),
            Subject::Segment(segment) => segment.placement_key(),
        }
    }
}

/// Shows the kind and the name, as in log lines.
impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(digest) => write!(f, "request={digest}"),
            Subject::Segment(segment) => write!(f, "segment={segment}"),
        }
    }
}
