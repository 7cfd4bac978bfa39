//! Demand here and at all instances.

use super::LocalBudget;
use crate::mul_div::mul_div;
use crate::record::BudgetRecord;
use crate::urgency::Claim;

impl LocalBudget {
    /// Adds the tokens that a request asks for to the demand.
    pub fn add_demand(&mut self, now: u64, tokens: u64) {
        self.sample_usual_demand(now);
        self.demand.add(now, tokens);
    }

    /// Adds a request to the distributions of sizes and priorities, by the most that it can cost as a whole.
    pub fn add_claim(&mut self, now: u64, claim: Claim) {
        self.request_sizes.add(now, claim.size);
        self.urgency.add(now, claim);
    }

    /// Returns the demand here, in tokens per second.
    pub fn rate(&self, now: u64) -> u64 {
        self.demand.per_second(now)
    }

    /// Returns the usual demand of all instances, in tokens per second.
    pub fn usual_rate(&self, now: u64) -> u64 {
        let record = self.snapshot.as_ref().map(|s| s.record);
        self.demand
            .usual(now, self.total_rate(now, &record.unwrap_or_default()))
    }

    /// Returns the part of the usual demand that is served here, in tokens per second: the tokens of other instances are
    /// for their own requests.
    pub(super) fn usual_own_rate(&self, now: u64) -> u64 {
        let record = self.snapshot.as_ref().map(|s| s.record);
        let total_rate = self.total_rate(now, &record.unwrap_or_default());
        mul_div(
            self.demand.usual(now, total_rate),
            self.rate(now),
            total_rate,
        )
    }

    /// Returns the demand of all instances, in tokens per second.
    pub(super) fn total_rate(&self, now: u64, record: &BudgetRecord) -> u64 {
        record.rate.saturating_sub(self.entry.rate) + self.demand.per_second(now)
    }

    /// Adds the present demand of all instances to the usual one. That of other instances is what they wrote into the
    /// record: their present demand at that time, also during a burst.
    pub(super) fn sample_usual_demand(&mut self, now: u64) {
        let record = self.snapshot.as_ref().map(|s| s.record);
        let total_rate = self.total_rate(now, &record.unwrap_or_default());
        self.demand.sample_usual(now, total_rate);
    }
}
