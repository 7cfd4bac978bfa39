//! Throttled upstreams: cold ones, those that advertise a request rate limit, and brittle ones.

use std::cmp::Reverse;

use super::Pool;
use crate::choice::Choice;
use crate::limit::{RateLimit, VersionedLimit};
use crate::room::{instance_rank, slot_owners, Entry};
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

    /// Sets whether the upstreams of a service are brittle, by the response of one of them to a request
    /// sent at `sent_at`; returns whether that changed. A response that says that they no longer are
    /// is ignored if the request was sent before the last one that said that they are.
    pub fn set_brittle(&mut self, now: u64, service: &str, sent_at: u64, brittle: bool) -> bool {
        let known = self.brittle.get(service).copied();
        if brittle {
            self.brittle.insert(service.to_string(), now);
        } else if known.is_some_and(|since| sent_at >= since) {
            self.brittle.remove(service);
        }
        let changed = known.is_some() != self.brittle.contains_key(service);
        if changed {
            self.update_throttles(now);
        }
        changed
    }

    /// Returns whether the upstreams of a service are brittle.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.brittle.contains_key(service)
    }

    /// Records that an upstream rejected a request for want of room.
    pub fn record_rejection(&mut self, now: u64, incarnation: &str) {
        if let Some(key) = self.by_incarnation(incarnation) {
            self.get_mut(key).room.record_rejection(now);
        }
    }

    /// Takes a slot of the chosen upstream for a request of this instance; returns whether it may be
    /// sent from here. That is always the case unless the upstream is brittle.
    pub fn try_enter(&mut self, now: u64, choice: &Choice) -> bool {
        if !self.is_brittle(&choice.spec.service) {
            return true;
        }
        let room = &mut self.get_mut(choice.key).room;
        room.try_enter(now, choice.attempt)
    }

    /// Takes a slot of an upstream for a request of another instance, if the upstream is brittle.
    pub fn try_enter_forwarded(&mut self, now: u64, incarnation: &str) -> Entry {
        let key = self.by_incarnation(incarnation);
        let Some(key) = key.filter(|k| self.is_brittle(&self.get(*k).spec.service)) else {
            return Entry::Unlimited;
        };
        if self.get_mut(key).room.try_enter_forwarded(now) {
            Entry::Slot
        } else {
            Entry::Denied
        }
    }

    /// Returns the slot of a request of another instance.
    pub fn leave_forwarded(&mut self, incarnation: &str) {
        if let Some(key) = self.by_incarnation(incarnation) {
            self.get_mut(key).room.leave_forwarded();
        }
    }

    /// Returns the hashes of the names of the instances that own slots of the chosen upstream while it
    /// is brittle, the highest-ranked first.
    pub fn slot_owners(&self, choice: &Choice, name_hashes: &[u64]) -> Vec<u64> {
        let up = self.get(choice.key);
        let owners = slot_owners(up.slots(), name_hashes.len());
        let rank = |name_hash: &u64| Reverse(instance_rank(*name_hash, up.incarnation_hash()));
        let mut ranked = name_hashes.to_vec();
        ranked.sort_by_key(rank);
        ranked.truncate(owners);
        ranked
    }

    /// Updates what this instance may send to every throttled upstream.
    pub(super) fn update_throttles(&mut self, now: u64) {
        for up in self.upstreams.iter_mut().flatten() {
            update(up, now, &self.senders);
            if self.brittle.contains_key(&up.spec.service) {
                update_room(up, &self.senders);
            }
        }
    }

    pub(super) fn update_throttle(&mut self, now: u64, key: UpstreamKey) {
        if let Some(up) = &mut self.upstreams[key.0 as usize] {
            update(up, now, &self.senders);
            if self.brittle.contains_key(&up.spec.service) {
                update_room(up, &self.senders);
            }
        }
    }
}

/// Updates this instance's part of the slots of a brittle upstream.
fn update_room(up: &mut Upstream, senders: &Senders) {
    let owners = slot_owners(up.slots(), senders.count());
    let starts_at = senders.sends_from(up.incarnation_hash(), owners);
    let slots = up.slots();
    up.room.set_part(starts_at.map(|at| (at, owners)), slots);
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
