//! Requests whose connection broke, until it is known whether the upstream has ended.
//!
//! A connection breaks for many reasons: it was reset, the link was cut, the answer was garbled. The upstream has ended when
//! nobody listens at its address any more, or its list says that it is gone without having said that it leaves.

use std::collections::HashMap;

use crate::digest::Digest;

/// It is known by then whether the upstream has ended, in milliseconds: lists show an end after some seconds.
const KNOWN_MS: u64 = 10_000;
/// Upstreams of which that is not known, bounding memory.
const INCARNATIONS_MOST: usize = 256;
/// Requests of each, bounding memory: more than an upstream runs for one instance.
const REQUESTS_MOST: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Request {
    digest: Digest,
    at: u64,
}

/// Requests by the incarnation of the upstream at which their connection broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broken(HashMap<String, Vec<Request>>);

impl Broken {
    /// Notes a request; returns whether it is the first one of this incarnation.
    pub(crate) fn note(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        self.keep(|r| now < r.at + KNOWN_MS);
        if self.0.len() >= INCARNATIONS_MOST && !self.0.contains_key(incarnation) {
            return false;
        }
        let requests = self.0.entry(incarnation.to_string()).or_default();
        if requests.len() < REQUESTS_MOST {
            requests.push(Request { digest, at: now });
        }
        requests.len() == 1
    }

    /// Takes the requests of an incarnation.
    pub(crate) fn take(&mut self, incarnation: &str) -> Vec<Digest> {
        let requests = self.0.remove(incarnation).unwrap_or_default();
        requests.iter().map(|r| r.digest).collect()
    }

    /// Returns whether there are requests of an incarnation.
    pub(crate) fn has(&mut self, now: u64, incarnation: &str) -> bool {
        self.keep(|r| now < r.at + KNOWN_MS);
        self.0.contains_key(incarnation)
    }

    /// Forgets a request that was answered.
    pub(crate) fn forget(&mut self, digest: Digest) {
        self.keep(|r| r.digest != digest);
    }

    fn keep(&mut self, kept: impl Fn(&Request) -> bool) {
        self.0.retain(|_, requests| {
            requests.retain(&kept);
            !requests.is_empty()
        });
    }

    /// Returns at how many upstreams the connection of a request broke.
    pub(crate) fn count(&self, digest: Digest) -> usize {
        let with = |r: &&Vec<Request>| r.iter().any(|r| r.digest == digest);
        self.0.values().filter(with).count()
    }
}
