//! Upstreams whose addresses are used by others, in the choice among the upstreams of a service.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{Pool, MIN_USABLE_PCT};
use crate::choice::{Choice, Criteria};
use crate::reused_addresses::{AddressState, Moment};
use crate::upstream::{AttemptId, Upstream, UpstreamKey};

/// Upstreams with their keys.
pub(super) type Upstreams<'a> = SmallVec<[(UpstreamKey, &'a Upstream); 32]>;

impl Pool {
    /// Records whether the response to the request of a choice, sent at `sent_at`, shows that another
    /// upstream uses the address. Returns the new state if it changed.
    pub fn observe_address(
        &mut self,
        now: u64,
        choice: &Choice,
        sent_at: u64,
        reused: bool,
    ) -> Option<AddressState> {
        let hash = xxh3_64(choice.spec.incarnation().as_bytes());
        let (moment, addr) = (self.moment(now, hash), choice.spec.addr);
        self.addresses.observe(moment, hash, addr, sent_at, reused)
    }

    /// Merges another instance's state of an incarnation's address; returns whether it replaced the known
    /// one.
    pub fn merge_address(&mut self, now: u64, incarnation: &str, state: AddressState) -> bool {
        let hash = xxh3_64(incarnation.as_bytes());
        let moment = self.moment(now, hash);
        self.addresses.merge(moment, hash, state)
    }

    /// Records that the list entry of an incarnation was removed; returns the state of its address if that
    /// ends its use by another upstream.
    pub fn end_address_reuse(&mut self, now: u64, incarnation: &str) -> Option<AddressState> {
        let hash = xxh3_64(incarnation.as_bytes());
        let moment = self.moment(now, hash);
        self.addresses.end(moment, hash)
    }

    /// Returns whether a request may check if an upstream uses its address after all. A request that may not
    /// be repeated may, too: it has not run if the check fails.
    pub(super) fn is_address_check_due(
        &self,
        now: u64,
        up: &Upstream,
        criteria: &Criteria<'_>,
    ) -> bool {
        self.addresses.is_check_due(now, up, !criteria.may_check)
    }

    fn moment(&self, now: u64, incarnation_hash: u64) -> Moment {
        Moment {
            now,
            last_attempt: AttemptId(self.attempts),
            rank: self.senders.count_ahead(incarnation_hash),
        }
    }

    /// Returns whether another upstream uses the address of an upstream.
    pub fn is_address_reused(&self, up: &Upstream) -> bool {
        self.addresses.is_reused(up)
    }

    /// Returns the number of listed upstreams whose addresses are used by others.
    pub fn reused_address_count(&self) -> usize {
        let reused = self.listed().filter(|u| self.addresses.is_reused(u));
        reused.count()
    }

    /// Returns the upstreams that use their addresses, as far as is known, and those that the request may
    /// check; all of them if too few are left.
    pub(super) fn with_own_addresses<'a>(
        &self,
        now: u64,
        criteria: &Criteria<'_>,
        accepting: Upstreams<'a>,
    ) -> Upstreams<'a> {
        let may_check = |u: &Upstream| self.is_address_check_due(now, u, criteria);
        let own = |(_, u): &&(UpstreamKey, &Upstream)| !self.addresses.is_reused(u) || may_check(u);
        let kept: Upstreams<'a> = accepting.iter().filter(own).copied().collect();
        let enough = kept.len() * 100 >= accepting.len() * MIN_USABLE_PCT;
        if enough {
            kept
        } else {
            accepting
        }
    }
}
