//! Requests whose connection broke, until it is known whether the upstream has crashed.
//!
//! A connection breaks for many reasons: it was reset, the link was interrupted, the response was
//! malformed. The upstream has crashed if nothing listens on its address any more, or if the
//! upstream list no longer contains it although it has not announced that it leaves.

use std::collections::HashMap;

use crate::digest::Digest;

/// Time after a connection broke within which it becomes known whether the upstream has crashed, in
/// milliseconds: the upstream list shows a crash after some seconds.
const RESOLVED_WITHIN_MS: u64 = 10_000;
/// Maximum number of incarnations with broken connections, to bound memory.
const MAX_INCARNATIONS: usize = 256;
/// Maximum number of requests per incarnation, to bound memory: more than an upstream runs for one
/// instance.
const MAX_REQUESTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Request {
    digest: Digest,
    broke_at: u64,
}

/// Requests by the incarnation of the upstream to which their connection broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenConnections(HashMap<String, Vec<Request>>);

impl BrokenConnections {
    /// Adds a request; returns whether it is the first one of its incarnation.
    pub(crate) fn insert(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        self.retain(|r| now < r.broke_at + RESOLVED_WITHIN_MS);
        if self.0.len() >= MAX_INCARNATIONS && !self.0.contains_key(incarnation) {
            return false;
        }
        let requests = self.0.entry(incarnation.to_string()).or_default();
        if requests.len() < MAX_REQUESTS {
            requests.push(Request {
                digest,
                broke_at: now,
            });
        }
        requests.len() == 1
    }

    /// Removes and returns the requests of an incarnation.
    pub(crate) fn take(&mut self, incarnation: &str) -> Vec<Digest> {
        let requests = self.0.remove(incarnation).unwrap_or_default();
        requests.iter().map(|r| r.digest).collect()
    }

    /// Returns whether there are requests of an incarnation.
    pub(crate) fn contains(&mut self, now: u64, incarnation: &str) -> bool {
        self.retain(|r| now < r.broke_at + RESOLVED_WITHIN_MS);
        self.0.contains_key(incarnation)
    }

    /// Removes a request from all incarnations, because it was answered.
    pub(crate) fn remove_request(&mut self, digest: Digest) {
        self.retain(|r| r.digest != digest);
    }

    fn retain(&mut self, keep: impl Fn(&Request) -> bool) {
        self.0.retain(|_, requests| {
            requests.retain(&keep);
            !requests.is_empty()
        });
    }

    /// Returns the number of incarnations to which the connection of a request broke.
    pub(crate) fn incarnation_count(&self, digest: Digest) -> usize {
        let has_request = |r: &&Vec<Request>| r.iter().any(|r| r.digest == digest);
        self.0.values().filter(has_request).count()
    }
}
