//! One customer's tokens at one instance: what is held, reserved and spent.

use crate::demand::Demand;
use crate::record::LedgerEntry;
use crate::request_sizes::RequestSizes;
use crate::totals::PeerTotals;
use crate::urgency::Urgency;

mod ledger;
mod peers;
mod plan;
mod rates;
mod shortage;

pub use ledger::RecordSnapshot;
pub use shortage::ShortageOutcome;

/// Why tokens cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The tokens known to be spent and those of the request together exceed the prepaid amount.
    Exhausted,
    /// The budget may have enough tokens, but this instance does not hold them.
    OutOfReach {
        /// Whether enough tokens were free, held by no instance, when the record was last read.
        free: bool,
    },
}

/// One customer's tokens at one instance.
#[derive(Clone, Debug, Default)]
pub struct LocalBudget {
    prepaid: u64,
    /// The own ledger entry, as the store confirmed it.
    entry: LedgerEntry,
    /// Charged by former entries of this incarnation, which another incarnation's ledger replaced.
    detached_charged: u64,
    /// Maximum that those entries report as spent: it is unknown which of their writes took effect.
    detached_spent: u64,
    /// Reported as spent by the last planned entry.
    planned_spent: u64,
    /// Total of returned tokens. A return is debited here before it is written to the store.
    returned: u64,
    /// Charged by the previous incarnation and not reported as spent: out of reach for good.
    stranded: u64,
    /// Tokens received from other instances.
    tokens_received: PeerTotals,
    /// Tokens transferred to other instances.
    tokens_sent: PeerTotals,
    /// Tokens spent here.
    spent: u64,
    /// Spent tokens forwarded to other instances, which report them in their own entries.
    spending_forwarded: PeerTotals,
    /// Spent tokens forwarded by other instances, to be reported in the own entry.
    spending_received: PeerTotals,
    reserved: u64,
    /// Tokens of prompts of which it is not known whether an upstream ran them: they may be spent, so they are not
    /// usable, but they are not reported as spent.
    uncertain: u64,
    demand: Demand,
    request_sizes: RequestSizes,
    /// Requested tokens by priority and size.
    urgency: Urgency,
    /// Tokens that waiting requests need.
    waiting_tokens: u64,
    snapshot: Option<RecordSnapshot>,
    /// Time of the last planned write.
    reported_at: u64,
    /// Time until service is back after a failure of all instances, in milliseconds, if set.
    recovery_ms: Option<u64>,
    /// Size of the fleet at the last plan; 0 before the first one.
    instances: u64,
}

impl LocalBudget {
    /// Sets the prepaid amount.
    pub fn set_prepaid(&mut self, prepaid: u64) {
        self.prepaid = prepaid;
    }

    /// Sets the time until service is back after a failure of all instances, in milliseconds.
    pub fn set_recovery_time(&mut self, recovery_ms: u64) {
        self.recovery_ms = Some(recovery_ms);
    }

    /// Returns the prepaid amount.
    pub fn prepaid(&self) -> u64 {
        self.prepaid
    }

    /// Returns the tokens held here that are neither spent nor reserved, and may not have been spent.
    ///
    /// # Panics
    ///
    /// Panics if more tokens are used than were granted: the budget would be exceeded.
    pub fn balance(&self) -> u64 {
        let covered = self.detached_charged + self.entry.granted + self.tokens_received.sum();
        let used =
            self.returned + self.tokens_sent.sum() + self.spent + self.reserved + self.uncertain;
        covered
            .checked_sub(used)
            .expect("used tokens exceed granted tokens")
    }

    /// Returns the tokens that may be used: less than the balance while the prepaid amount, after it was lowered, is
    /// below the charged total. Each instance then forgoes its share of the excess until all have returned theirs.
    fn usable(&self) -> u64 {
        let balance = self.balance();
        let Some(snapshot) = &self.snapshot else {
            return balance;
        };
        let excess = snapshot.record.charged.saturating_sub(self.prepaid);
        if excess == 0 {
            return balance;
        }
        let unspent = snapshot
            .record
            .charged
            .saturating_sub(snapshot.record.spent);
        let own = u128::from(balance + self.reserved);
        let cut = (u128::from(excess) * own).div_ceil(u128::from(unspent.max(1)));
        balance.saturating_sub(cut.try_into().unwrap_or(u64::MAX))
    }

    /// Reserves tokens for a request; returns whether there were enough.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.usable() >= tokens;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Reserves the given number of tokens, or as many as there are; returns how many.
    pub fn reserve_up_to(&mut self, tokens: u64) -> u64 {
        let reserved = tokens.min(self.usable());
        self.reserved += reserved;
        reserved
    }

    /// Ends a reservation; the tokens that were not spent can be reserved again.
    ///
    /// # Panics
    ///
    /// Panics if more tokens were spent than reserved, or if the reservation is larger than all reserved tokens: the
    /// budget would be exceeded.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        assert!(spent <= reserved, "spent tokens exceed the reservation");
        let rest = self.reserved.checked_sub(reserved);
        self.reserved = rest.expect("settled tokens exceed reserved tokens");
        self.spent += spent;
    }

    /// Ends a reservation for a prompt of which it is not known whether an upstream ran it; the other tokens can be
    /// reserved again.
    ///
    /// # Panics
    ///
    /// Panics if the prompt is larger than the reservation, or the reservation is larger than all reserved tokens.
    pub fn settle_uncertain(&mut self, reserved: u64, prompt: u64) {
        assert!(prompt <= reserved, "the prompt exceeds the reservation");
        self.settle(reserved, 0);
        self.uncertain += prompt;
    }

    /// Makes the tokens of an uncertain prompt usable again, because no upstream has run it.
    ///
    /// # Panics
    ///
    /// Panics if it is larger than all uncertain prompts: tokens could be spent twice.
    pub fn release_uncertain(&mut self, prompt: u64) {
        let rest = self.uncertain.checked_sub(prompt);
        self.uncertain = rest.expect("released tokens exceed uncertain tokens");
    }

    /// Returns the tokens of uncertain prompts.
    pub fn uncertain(&self) -> u64 {
        self.uncertain
    }

    /// Returns the spent tokens that the own entry would report if written now.
    fn reportable_spent(&self) -> u64 {
        self.spent + self.spending_received.sum()
            - self.spending_forwarded.sum()
            - self.detached_spent
    }

    /// Returns whether there are spent tokens that no planned entry reports yet.
    pub fn has_unreported_spending(&self) -> bool {
        self.reportable_spent() > self.planned_spent
    }

    /// Adds the tokens that a request waits for.
    pub fn begin_wait(&mut self, tokens: u64) {
        self.waiting_tokens += tokens;
    }

    /// Removes the tokens of a request that no longer waits.
    pub fn end_wait(&mut self, tokens: u64) {
        self.waiting_tokens = self.waiting_tokens.saturating_sub(tokens);
    }

    /// Returns the tokens that waiting requests need beyond the usable ones.
    pub fn shortfall(&self) -> u64 {
        self.waiting_tokens.saturating_sub(self.usable())
    }

    /// Returns why a request for the given number of tokens is refused.
    pub fn reserve_error(&self, tokens: u64) -> ReserveError {
        if self.known_spent() + tokens > self.prepaid {
            ReserveError::Exhausted
        } else {
            let free = self.free() >= tokens;
            ReserveError::OutOfReach { free }
        }
    }

    /// Returns whether there are recent or waiting requests, tokens, or unreported spending here.
    pub fn is_in_use(&self, now: u64) -> bool {
        !self.demand.is_idle(now)
            || self.waiting_tokens > 0
            || self.balance() > 0
            || self.has_unreported_spending()
    }

    /// Returns the spent tokens of the budget, as far as known here.
    fn known_spent(&self) -> u64 {
        let newer = self.reportable_spent().saturating_sub(self.entry.spent);
        self.snapshot.as_ref().map_or(0, |s| s.record.spent) + newer
    }

    /// Returns whether requests wait for tokens.
    pub fn has_waiting_requests(&self) -> bool {
        self.waiting_tokens > 0
    }
}
