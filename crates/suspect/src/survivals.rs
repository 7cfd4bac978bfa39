//! Segments of prompts that upstreams have answered on without crashing.

use std::collections::HashMap;

use crate::segment::Segment;

/// A segment that has survived within this time, in milliseconds, is not blamed for a crash: those in
/// frequent use survive many times per second. The time is short because a segment may start to
/// crash upstreams once these have changed.
const RECENT_MS: u64 = 2_000;
/// How long the last survival of a segment is remembered, in milliseconds: long enough to tell a
/// segment that is in use from one that nobody has ever got an answer on.
pub(crate) const RETENTION_MS: u64 = 60_000;
/// Maximum number of remembered segments, to bound memory: more than the requests of an instance
/// share within `RETENTION_MS`.
const MAX_SEGMENTS: usize = 4_096;

/// Segments with the time of their last survival: a response to a request with it went on after it
/// had begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct Survivals(HashMap<Segment, u64>);

impl Survivals {
    /// Records that a segment has survived.
    pub(crate) fn insert(&mut self, now: u64, segment: Segment) {
        if self.0.len() >= MAX_SEGMENTS && !self.0.contains_key(&segment) {
            self.make_room(now);
        }
        self.0.insert(segment, now);
    }

    /// Removes the segments that survived longest ago.
    fn make_room(&mut self, now: u64) {
        let mut max_age = RETENTION_MS;
        while self.0.len() >= MAX_SEGMENTS {
            self.0.retain(|_, at| now < *at + max_age);
            max_age /= 2;
        }
    }

    /// Returns the milliseconds since a segment has survived; none if it is not known to have.
    pub(crate) fn age(&self, now: u64, segment: Segment) -> Option<u64> {
        let age = now.saturating_sub(*self.0.get(&segment)?);
        (age < RETENTION_MS).then_some(age)
    }

    /// Returns whether a segment has survived after a time, or shortly before it.
    pub(crate) fn is_recent(&self, at: u64, segment: Segment) -> bool {
        self.0
            .get(&segment)
            .is_some_and(|last| at < last + RECENT_MS)
    }
}
