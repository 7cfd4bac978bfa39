//! Selection of the instances that may send to a throttled upstream.
//!
//! With hundreds of instances, an equal share of a small limit would be less than one request for each.
//! Every instance therefore ranks all instances by a hash seeded with the upstream, and only the
//! highest-ranked ones send. Membership views converge with a delay, so an instance sends only after it
//! has been among the highest-ranked long enough for the others to know of it.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::room::instance_rank;

/// How long an instance must have been among the highest-ranked before it sends, in milliseconds: other
/// instances may not know of it until then.
const SETTLED_MS: u64 = 3_000;

/// The instances that may send, ranked from one instance's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    /// Hash of this instance's name.
    own_name_hash: u64,
    instances: Vec<Instance>,
    /// When the first delisted instance expires, in milliseconds.
    expires_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Instance {
    name_hash: u64,
    listed_at: u64,
    /// When it was delisted; none while it is listed.
    delisted_at: Option<u64>,
}

impl Senders {
    /// Replaces the listed instances with those whose names have the given hashes.
    pub fn set_instances(&mut self, now: u64, own_name_hash: u64, name_hashes: &[u64]) {
        self.own_name_hash = own_name_hash;
        let name_hashes: BTreeSet<u64> = name_hashes.iter().copied().collect();
        self.expire(now);
        for instance in &mut self.instances {
            if !name_hashes.contains(&instance.name_hash) {
                instance.delisted_at.get_or_insert(now);
            }
        }
        let listed = self.instances.iter().filter(|i| i.delisted_at.is_none());
        let listed: BTreeSet<u64> = listed.map(|i| i.name_hash).collect();
        self.instances
            .extend(name_hashes.difference(&listed).map(|name_hash| Instance {
                name_hash: *name_hash,
                listed_at: now,
                delisted_at: None,
            }));
        self.update_expiry();
    }

    fn update_expiry(&mut self) {
        let first = self.instances.iter().filter_map(|i| i.delisted_at).min();
        self.expires_at = first.map(|delisted_at| delisted_at + SETTLED_MS);
    }

    /// Removes the instances whose delisting has settled; returns whether there were any.
    pub(crate) fn expire(&mut self, now: u64) -> bool {
        if self.expires_at.is_none_or(|at| now < at) {
            return false;
        }
        self.instances.retain(|i| {
            i.delisted_at
                .is_none_or(|delisted_at| now < delisted_at + SETTLED_MS)
        });
        self.update_expiry();
        true
    }

    /// Returns the number of instances, including delisted ones that have not expired.
    pub(crate) fn count(&self) -> usize {
        self.instances.len()
    }

    /// Returns the number of listed instances that rank before this one for an upstream.
    pub(crate) fn count_ahead(&self, upstream: u64) -> usize {
        let own = instance_rank(self.own_name_hash, upstream);
        let listed = self.instances.iter().filter(|i| i.delisted_at.is_none());
        let ahead = listed.filter(|i| instance_rank(i.name_hash, upstream) > own);
        ahead.count()
    }

    /// Returns when this instance may start sending to an upstream, in milliseconds: after it has been
    /// among the `max_senders` highest-ranked for long enough; none if it is not among them.
    pub(crate) fn sends_from(&self, upstream: u64, max_senders: usize) -> Option<u64> {
        let rank = |i: &Instance| instance_rank(i.name_hash, upstream);
        let own = self.instances.iter();
        let own = own
            .clone()
            .find(|i| i.name_hash == self.own_name_hash && i.delisted_at.is_none())?;
        let ahead = self.instances.iter().filter(|i| rank(i) > rank(own));
        let listed = ahead.clone().filter(|i| i.delisted_at.is_none()).count();
        let free = max_senders.checked_sub(listed + 1)?;
        let mut delisted: SmallVec<[u64; 8]> = ahead.filter_map(|i| i.delisted_at).collect();
        delisted.sort_unstable();
        // The most recently delisted instances may still be sending, as many as there are free places.
        let awaited = delisted.len().saturating_sub(free);
        let last = awaited.checked_sub(1).map_or(0, |i| delisted[i]);
        Some(own.listed_at.max(last) + SETTLED_MS)
    }
}
