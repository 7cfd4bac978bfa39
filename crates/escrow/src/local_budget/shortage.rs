//! Which requests get tokens while these are short, and what is held back for a failure of all instances.

use super::LocalBudget;
use crate::holdback::Holdback;
use crate::request_sizes::SmallerHalf;
use crate::urgency::Claim;

/// Time until service is back after a failure of all instances, in milliseconds, unless set.
const DEFAULT_RECOVERY_MS: u64 = 12_000;
/// Fleets of up to this many instances give tokens to requests as they arrive.
const MAX_UNORDERED_FLEET: u64 = 9;

/// Result of an attempt to reserve tokens while none can be taken from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageOutcome {
    /// The tokens are reserved.
    Reserved,
    /// More urgent requests need the tokens.
    Deferred,
    /// The request may take tokens, but too few are held here.
    Lacking,
}

impl LocalBudget {
    /// Reserves tokens for a request while none can be taken from the budget, for the given time from now on. A request
    /// may not take the tokens that more urgent ones, and smaller ones of its priority, need in this time, unless its
    /// kind got hardly any. There is no order in small fleets, and where all requests have the same priority.
    pub fn reserve_in_shortage(
        &mut self,
        now: u64,
        tokens: u64,
        claim: Claim,
        shortage_ms: u64,
    ) -> ShortageOutcome {
        let share = self.urgency.more_urgent_share(claim);
        let needed = self.usual_own_rate(now) as f64 * share * shortage_ms as f64 / 1000.0;
        let left = self.usable().saturating_sub(claim.size);
        let ordered = self.instances > MAX_UNORDERED_FLEET && self.urgency.has_several_priorities();
        let deferred = ordered && left < needed as u64;
        if deferred && !self.urgency.defer(claim) {
            return ShortageOutcome::Deferred;
        }
        if !self.reserve(tokens) {
            return ShortageOutcome::Lacking;
        }
        if deferred {
            self.urgency.record_admitted(claim);
        }
        ShortageOutcome::Reserved
    }

    /// Returns whether a request of the given size may reserve tokens after a failure of all instances. If part of the
    /// budget is out of reach for good, requests of the larger half may not take the tokens that the smaller half
    /// needs.
    pub fn admits(&self, now: u64, size: u64) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return true;
        };
        let total_rate = self.total_rate(now, &snapshot.record);
        if self.stranded <= total_rate {
            return true;
        }
        let Some(half) = self.request_sizes.smaller_half() else {
            return true;
        };
        let elapsed_ms = self.demand.elapsed_ms(now);
        let withheld = self
            .holdback(now, total_rate, Some(half))
            .smaller_half_left(elapsed_ms);
        let available = self.usable() + self.free();
        size <= half.max_tokens || available.saturating_sub(size) >= withheld
    }

    /// Returns the tokens that are not granted, but held back for a failure of all instances.
    pub fn held_back(&self, now: u64) -> u64 {
        let record = self.snapshot.as_ref().map(|s| s.record);
        let total_rate = self.total_rate(now, &record.unwrap_or_default());
        let remaining = self.free() + self.balance() + self.reserved;
        self.holdback(now, total_rate, self.request_sizes.smaller_half())
            .withheld(remaining)
    }

    /// Returns what the requests need after a failure of all instances: those of the usual demand, as the requests of a
    /// burst are over by then. If nothing is known of their sizes, all of them count as the smaller half.
    pub(super) fn holdback(
        &self,
        now: u64,
        total_rate: u64,
        half: Option<SmallerHalf>,
    ) -> Holdback {
        Holdback {
            instances: self.instances,
            recovery_ms: self.recovery_ms.unwrap_or(DEFAULT_RECOVERY_MS),
            total_rate: self.demand.usual(now, total_rate),
            smaller_half_share: half.map_or(1.0, |h| h.token_share),
        }
    }
}
