//! Identifies a segment of prompts.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a segment that the prompts of several requests share, at one service: the upstreams of
/// another service may handle it without crashing. Callers choose the id of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Segment {
    #[serde(rename = "v")]
    service: u64,
    #[serde(rename = "i")]
    id: u64,
}

impl Segment {
    /// Returns the segment with an id in the requests for a service.
    pub fn new(service: &str, id: u64) -> Segment {
        Segment {
            service: xxh3_64(service.as_bytes()),
            id,
        }
    }

    /// Returns the text that names the segment in full.
    pub(crate) fn to_key(self) -> String {
        format!("segment-{:016x}-{:016x}", self.service, self.id)
    }

    /// Returns the hash of the service.
    pub(crate) fn service(&self) -> u64 {
        self.service
    }

    /// Returns the hash key by which the instances that own the segment's record are selected.
    pub(crate) fn placement_key(&self) -> u64 {
        let bytes = (u128::from(self.service) << 64) | u128::from(self.id);
        xxh3_64(&bytes.to_be_bytes())
    }
}

/// Shows the id as callers write it.
impl Display for Segment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}
