//! What incarnations of upstreams have said of themselves, whether they are listed now or not.
//!
//! An entry of the list may lapse in an outage and come back as it was before, and peers report upstreams
//! that are not listed here yet: what an incarnation has said holds until it ends.

use std::collections::HashMap;

use crate::limit::VersionedLimit;

/// Incarnations that are remembered, bounding memory; those that spoke first go. Those that are listed keep it besides.
const INCARNATIONS_MOST: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Saying {
    leaving: bool,
    rests_until: u64,
    limit: VersionedLimit,
    turn: u64,
}

/// Sayings by incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Said {
    incarnations: HashMap<String, Saying>,
    turns: u64,
}

impl Said {
    /// Notes that an incarnation leaves.
    pub(crate) fn mark_leaving(&mut self, incarnation: &str) {
        self.saying(incarnation).leaving = true;
    }

    /// Notes until when an incarnation wants nothing.
    pub(crate) fn pause(&mut self, incarnation: &str, until: u64) {
        let saying = self.saying(incarnation);
        saying.rests_until = saying.rests_until.max(until);
    }

    /// Merges the state of an incarnation's request rate limit; returns whether it replaced the known one.
    pub(crate) fn merge_limit(&mut self, incarnation: &str, limit: VersionedLimit) -> bool {
        let saying = self.saying(incarnation);
        let replaces = limit.supersedes(&saying.limit);
        if replaces {
            saying.limit = limit;
        }
        replaces
    }

    /// Returns the state of an incarnation's request rate limit.
    pub(crate) fn versioned_limit(&self, incarnation: &str) -> VersionedLimit {
        self.incarnations
            .get(incarnation)
            .map_or_else(VersionedLimit::default, |s| s.limit)
    }

    /// Returns whether an incarnation has said that it leaves.
    pub(crate) fn is_leaving(&self, incarnation: &str) -> bool {
        self.incarnations
            .get(incarnation)
            .is_some_and(|s| s.leaving)
    }

    /// Returns until when an incarnation wants nothing; 0 where it has not said so.
    pub(crate) fn rests_until(&self, incarnation: &str) -> u64 {
        self.incarnations
            .get(incarnation)
            .map_or(0, |s| s.rests_until)
    }

    fn saying(&mut self, incarnation: &str) -> &mut Saying {
        if self.incarnations.len() >= INCARNATIONS_MOST
            && !self.incarnations.contains_key(incarnation)
        {
            let first = self.incarnations.iter().min_by_key(|(_, s)| s.turn);
            if let Some(first) = first.map(|(incarnation, _)| incarnation.clone()) {
                self.incarnations.remove(&first);
            }
        }
        self.turns += 1;
        let turn = self.turns;
        let saying = self
            .incarnations
            .entry(incarnation.to_string())
            .or_default();
        saying.turn = turn;
        saying
    }
}
