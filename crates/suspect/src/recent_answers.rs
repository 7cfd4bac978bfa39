//! Which requests were answered lately.

use std::collections::HashMap;

use crate::digest::Digest;

/// A request that was answered whole within this time, in milliseconds, did not end the upstream that ends now: many
/// callers may send the same request, and upstreams may all be lost at once. Short, for one that was answered once may end
/// upstreams from some moment on, when those have changed.
const LATELY_MS: u64 = 5_000;
/// Requests that are remembered, bounding memory: what an instance answers in that time.
const MOST: usize = 1_024;

/// Requests by the time of their last whole answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answered(HashMap<Digest, u64>);

impl Answered {
    /// Notes a whole answer.
    pub(crate) fn note(&mut self, now: u64, digest: Digest) {
        if self.0.len() >= MOST {
            self.0.retain(|_, at| now < *at + LATELY_MS);
        }
        if self.0.len() >= MOST {
            self.0.clear();
        }
        self.0.insert(digest, now);
    }

    /// Returns whether a request was answered lately.
    pub(crate) fn has(&self, now: u64, digest: Digest) -> bool {
        self.0.get(&digest).is_some_and(|at| now < *at + LATELY_MS)
    }
}
