//! The record of a stream's origin that instances exchange.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The service and the software version of the upstream that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// The software version; empty if the upstream's list entry does not say.
    #[serde(rename = "v")]
    pub version: String,
}

/// The origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Id of the request whose response brought the first event.
    #[serde(rename = "r")]
    pub request: String,
    /// What began the stream.
    #[serde(flatten)]
    pub origin: Origin,
    /// For how much longer its caller may continue it, in milliseconds.
    #[serde(rename = "t")]
    pub ttl_ms: u64,
}

/// A version that a service has had, as an instance tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// The service and the version.
    #[serde(flatten)]
    pub origin: Origin,
    /// Time since an upstream had it, in milliseconds.
    #[serde(rename = "a")]
    pub ago_ms: u64,
}

/// The hash of the id of the request that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a request began.
    pub fn of(request: &str) -> StreamKey {
        StreamKey(xxh3_64(request.as_bytes()))
    }

    /// Returns the hash key by which the holders of the stream's record are selected.
    pub fn placement_key(self) -> u64 {
        self.0
    }
}
