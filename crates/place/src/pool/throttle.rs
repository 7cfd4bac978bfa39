//! Throttled upstreams: cold ones, and those that advertise a request rate limit.

use super::Pool;
use crate::limit::{RateLimit, VersionedLimit};
use crate::senders::Senders;
use crate::upstream::{Upstream, UpstreamKey};

impl Pool {
    /// Records the request rate limit, or its absence, in an upstream's response to a request sent at
    /// `sent_at`. Returns the new state if it changed.
    pub fn set_limit(
        &mut self,
        now: u64,
        key: UpstreamKey,
        sent_at: u64,
        limit: Option<RateLimit>,
    ) -> Option<VersionedLimit> {
        let up = self.get_mut(key);
        let updated = up.update_limit(now, sent_at, limit)?;
        let incarnation = up.spec.incarnation();
        self.announcements.merge_limit(&incarnation, updated);
        self.update_throttle(now, key);
        Some(updated)
    }

    /// Merges another instance's state of an incarnation's request rate limit; returns whether it
    /// replaced the known one.
    pub fn merge_limit(&mut self, now: u64, incarnation: &str, limit: VersionedLimit) -> bool {
        if !self.announcements.merge_limit(incarnation, limit) {
            return false;
        }
        if let Some(key) = self.by_incarnation(incarnation) {
            self.get_mut(key).set_versioned_limit(now, limit);
            self.update_throttle(now, key);
        }
        true
    }

    /// Returns the request rate limits of listed upstreams by incarnation, including limits that were
    /// removed.
    pub fn versioned_limits(&self) -> Vec<(String, VersionedLimit)> {
        let known = self
            .listed()
            .map(|u| (u.spec.incarnation(), u.versioned_limit()));
        known
            .filter(|(_, l)| *l != VersionedLimit::default())
            .collect()
    }

    /// Returns the number of listed upstreams that have a request rate limit.
    pub fn limited_count(&self) -> usize {
        self.listed().filter(|u| u.limit().is_some()).count()
    }

    /// Updates what this instance may send to every throttled upstream.
    pub(super) fn update_throttles(&mut self, now: u64) {
        for up in self.upstreams.iter_mut().flatten() {
            update(up, now, &self.senders);
        }
    }

    pub(super) fn update_throttle(&mut self, now: u64, key: UpstreamKey) {
        if let Some(up) = &mut self.upstreams[key.0 as usize] {
            update(up, now, &self.senders);
        }
    }
}

/// Updates what this instance may send to an upstream while it is cold or limited.
pub(super) fn update(up: &mut Upstream, now: u64, senders: &Senders) {
    if up.cold_until(now).is_some() {
        up.set_cold_sends_from(senders.sends_from(up.incarnation_hash(), 1));
    }
    let share = up.limit().and_then(|limit| {
        let sharers = limit.sharers(senders.count());
        let starts_at = senders.sends_from(up.incarnation_hash(), sharers)?;
        Some(limit.share(sharers, starts_at))
    });
    up.set_share(share);
}
