//! Selection of the instances that may send to a throttled upstream.
//!
//! With hundreds of instances, an equal share of a small limit would be less than one request for each. Every instance therefore
//! ranks all instances by a hash seeded with the upstream, and only the highest-ranked ones send. Membership views converge with
//! a delay, so an instance sends only after it has been among the highest-ranked long enough for the others to know of it.

use std::collections::BTreeSet;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an instance must have been among the highest-ranked before it sends, in milliseconds: other instances may not know
/// of it until then.
const SETTLED_MS: u64 = 3_000;

/// The instances that may send, ranked from one instance's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    me: u64,
    listed: Vec<Listed>,
    /// When the first delisted instance expires, in milliseconds.
    expires_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Listed {
    name: u64,
    since: u64,
    /// When it was delisted; none while it is listed.
    until: Option<u64>,
}

impl Senders {
    /// Replaces the listed instances with those of the given hashed names.
    pub fn set_instances(&mut self, now: u64, me: u64, names: &[u64]) {
        self.me = me;
        let names: BTreeSet<u64> = names.iter().copied().collect();
        self.expire(now);
        for listed in &mut self.listed {
            if !names.contains(&listed.name) {
                listed.until.get_or_insert(now);
            }
        }
        let present = self.listed.iter().filter(|l| l.until.is_none());
        let present: BTreeSet<u64> = present.map(|l| l.name).collect();
        self.listed
            .extend(names.difference(&present).map(|name| Listed {
                name: *name,
                since: now,
                until: None,
            }));
        self.update_expiry();
    }

    fn update_expiry(&mut self) {
        let first = self.listed.iter().filter_map(|l| l.until).min();
        self.expires_at = first.map(|until| until + SETTLED_MS);
    }

    /// Removes the instances whose delisting has settled; returns whether there were any.
    pub(crate) fn expire(&mut self, now: u64) -> bool {
        if self.expires_at.is_none_or(|at| now < at) {
            return false;
        }
        self.listed
            .retain(|l| l.until.is_none_or(|until| now < until + SETTLED_MS));
        self.update_expiry();
        true
    }

    /// Returns the number of instances, including delisted ones that have not expired.
    pub(crate) fn count(&self) -> usize {
        self.listed.len()
    }

    /// Returns when this instance may start sending to an upstream, in milliseconds: after it has been among the `max_senders`
    /// highest-ranked for long enough; none if it is not among them.
    pub(crate) fn sends_from(&self, upstream: u64, max_senders: usize) -> Option<u64> {
        let rank = |l: &Listed| (xxh3_64_with_seed(&l.name.to_le_bytes(), upstream), l.name);
        let own = self.listed.iter();
        let own = own
            .clone()
            .find(|l| l.name == self.me && l.until.is_none())?;
        let ahead = self.listed.iter().filter(|l| rank(l) > rank(own));
        let present = ahead.clone().filter(|l| l.until.is_none()).count();
        let free = max_senders.checked_sub(present + 1)?;
        let mut delisted: SmallVec<[u64; 8]> = ahead.filter_map(|l| l.until).collect();
        delisted.sort_unstable();
        // The most recently delisted instances may still be sending, as many as there are free places.
        let awaited = delisted.len().saturating_sub(free);
        let last = awaited.checked_sub(1).map_or(0, |i| delisted[i]);
        Some(own.since.max(last) + SETTLED_MS)
    }
}
