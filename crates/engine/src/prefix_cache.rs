//! Estimate of the prompt segments in an engine's prefix cache, from the prompts that were sent there.

use std::collections::HashMap;

/// Time since its last use after which a segment counts as evicted, in milliseconds.
const TTL_MS: u64 = 20_000;
/// Maximum number of segments remembered per engine, to bound memory: at this number the expired
/// ones are dropped, and all of them if none has expired.
const MAX_SEGMENTS: usize = 1_024;

/// Segments with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache(HashMap<u64, u64>);

impl PrefixCache {
    /// Records the use of a segment.
    pub fn touch(&mut self, now: u64, segment: u64) {
        if self.0.len() >= MAX_SEGMENTS {
            self.0.retain(|_, used_at| now < *used_at + TTL_MS);
        }
        if self.0.len() >= MAX_SEGMENTS {
            self.0.clear();
        }
        self.0.insert(segment, now);
    }

    /// Returns whether a segment is presumably cached, by a use at `from` or later.
    pub fn contains_since(&self, now: u64, from: u64, segment: u64) -> bool {
        self.0
            .get(&segment)
            .is_some_and(|used_at| *used_at >= from && now < used_at + TTL_MS)
    }
}
