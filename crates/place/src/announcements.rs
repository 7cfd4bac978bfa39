//! What incarnations of upstreams have announced about themselves, whether or not they are listed now.
//!
//! A list entry may expire in an outage and come back unchanged, and peers report upstreams that are not
//! listed here yet, so an announcement holds until its incarnation ends.

use std::collections::HashMap;

use crate::limit::VersionedLimit;

/// Maximum number of incarnations remembered, to bound memory; the least recently updated one is dropped
/// first. Listed upstreams also keep their own copy.
const MAX_INCARNATIONS: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Announcement {
    leaving: bool,
    paused_until: u64,
    limit: VersionedLimit,
    /// Position in the order of updates.
    update: u64,
}

/// Announcements by incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Announcements {
    incarnations: HashMap<String, Announcement>,
    updates: u64,
}

impl Announcements {
    /// Records that an incarnation is leaving.
    pub(crate) fn mark_leaving(&mut self, incarnation: &str) {
        self.get_mut(incarnation).leaving = true;
    }

    /// Records until when an incarnation accepts no requests, unless it has announced a later time.
    pub(crate) fn pause(&mut self, incarnation: &str, until: u64) {
        let announcement = self.get_mut(incarnation);
        announcement.paused_until = announcement.paused_until.max(until);
    }

    /// Merges the state of an incarnation's request rate limit; returns whether it replaced the known one.
    pub(crate) fn merge_limit(&mut self, incarnation: &str, limit: VersionedLimit) -> bool {
        let announcement = self.get_mut(incarnation);
        let replaces = limit.supersedes(&announcement.limit);
        if replaces {
            announcement.limit = limit;
        }
        replaces
    }

    /// Returns the state of an incarnation's request rate limit.
    pub(crate) fn versioned_limit(&self, incarnation: &str) -> VersionedLimit {
        self.incarnations
            .get(incarnation)
            .map_or_else(VersionedLimit::default, |a| a.limit)
    }

    /// Returns whether an incarnation has announced that it is leaving.
    pub(crate) fn is_leaving(&self, incarnation: &str) -> bool {
        self.incarnations
            .get(incarnation)
            .is_some_and(|a| a.leaving)
    }

    /// Returns until when an incarnation accepts no requests; 0 if it has announced no such time.
    pub(crate) fn paused_until(&self, incarnation: &str) -> u64 {
        self.incarnations
            .get(incarnation)
            .map_or(0, |a| a.paused_until)
    }

    fn get_mut(&mut self, incarnation: &str) -> &mut Announcement {
        if self.incarnations.len() >= MAX_INCARNATIONS
            && !self.incarnations.contains_key(incarnation)
        {
            let oldest = self.incarnations.iter().min_by_key(|(_, a)| a.update);
            if let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) {
                self.incarnations.remove(&oldest);
            }
        }
        self.updates += 1;
        let update = self.updates;
        let announcement = self
            .incarnations
            .entry(incarnation.to_string())
            .or_default();
        announcement.update = update;
        announcement
    }
}
