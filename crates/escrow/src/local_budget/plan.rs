//! What this instance should hold, and the own ledger entry to write for it.

use super::LocalBudget;
use crate::mul_div::mul_div;
use crate::record::{BudgetRecord, LedgerEntry};

/// Demand that a grant covers, in milliseconds: the store may be unreachable for nine seconds and more, and no
/// tokens can be taken from a budget meanwhile. The tokens that a crash strands grow with it.
const GRANT_HORIZON_MS: u64 = 10_000;
/// Minimum demand that a grant covers, in milliseconds, however little of the budget remains. With smaller grants, each
/// request near the end of a budget would need a write of its own, which would conflict with those of the others. A
/// crash strands these tokens.
const MIN_GRANT_MS: u64 = 300;
/// A balance below this percentage of its target is refilled to the target.
const REFILL_BELOW_PCT: u64 = 75;
/// A balance above this percentage of its target is reduced towards it by returning tokens.
const RETURN_ABOVE_PCT: u64 = 150;
/// Minimum change that is worth a write, in tokens.
const MIN_CHANGE_TOKENS: u64 = 4_000;
/// Interval of writes that only report spent tokens, in milliseconds: other instances refuse requests by the spent
/// total in the store. In fleets of more than `SMALL_FLEET` instances, the interval grows with the fleet, so that the
/// number of these writes stays the same.
const REPORT_INTERVAL_MS: u64 = 3_000;
const SMALL_FLEET: u64 = 9;

impl LocalBudget {
    /// Returns the own entry that should be written to the store, or none if the change is not worth a write.
    ///
    /// `instances` is the size of the fleet; `is_home` says whether this instance is the customer's home.
    ///
    /// Tokens to return are debited immediately: if the write gets no response, it may still take effect later.
    pub fn plan_update(&mut self, now: u64, instances: u64, is_home: bool) -> Option<LedgerEntry> {
        self.sample_usual_demand(now);
        self.instances = instances;
        let holds = is_home || !self.demand.is_idle(now);
        let target = if holds { self.target(now) } else { 0 };
        let snapshot = self.snapshot.as_ref()?;
        let free = self.prepaid.saturating_sub(snapshot.record.charged);
        let balance = self.balance();
        let shortfall = self.waiting_tokens.saturating_sub(balance);
        let mut entry = LedgerEntry {
            granted: self.entry.granted,
            returned: self.returned,
            spent: self.reportable_spent(),
            rate: self.demand.per_second(now),
        };
        let low =
            balance < target * REFILL_BELOW_PCT / 100 && target - balance >= MIN_CHANGE_TOKENS;
        if (low || shortfall > 0) && free > 0 {
            entry.granted += (target.saturating_sub(balance)).max(shortfall).min(free);
        } else if balance > target * RETURN_ABOVE_PCT / 100 && balance - target >= MIN_CHANGE_TOKENS
        {
            let excess = balance - target.max(self.waiting_tokens.min(balance));
            // Half at a time: if the store stops answering, nobody can use the tokens of a write under way.
            let excess = if holds { excess / 2 } else { excess };
            // Tokens received from other instances are charged to them: only those of the own entry can be returned.
            let excess = excess.min(self.entry.granted.saturating_sub(self.returned));
            self.returned += excess;
            entry.returned = self.returned;
        }
        let tokens_changed =
            entry.granted != self.entry.granted || entry.returned != self.entry.returned;
        let interval = REPORT_INTERVAL_MS * instances.max(SMALL_FLEET) / SMALL_FLEET;
        let report_due = entry.spent != self.entry.spent && now >= self.reported_at + interval;
        if !tokens_changed && !report_due {
            return None;
        }
        self.reported_at = now;
        self.planned_spent = self.reportable_spent();
        Some(entry)
    }

    /// Returns the last entry to write before a planned stop, with all tokens returned that can be; none if the store
    /// already has it.
    pub fn plan_shutdown(&mut self) -> Option<LedgerEntry> {
        self.snapshot.as_ref()?;
        let balance = self.balance();
        let returned = balance.min(self.entry.granted.saturating_sub(self.returned));
        self.returned += returned;
        let entry = LedgerEntry {
            granted: self.entry.granted,
            returned: self.returned,
            spent: self.reportable_spent(),
            rate: 0,
        };
        self.planned_spent = self.reportable_spent();
        (entry != self.entry).then_some(entry)
    }

    /// Returns the tokens that this instance should hold.
    fn target(&self, now: u64) -> u64 {
        let Some(snapshot) = &self.snapshot else {
            return 0;
        };
        let rate = self.demand.per_second(now);
        let total_rate = self.total_rate(now, &snapshot.record);
        let grantable = self.grantable(now, &snapshot.record, rate, total_rate);
        let share = mul_div(grantable, rate, total_rate);
        let wanted = rate * GRANT_HORIZON_MS / 1000;
        wanted.min(share.max(rate * MIN_GRANT_MS / 1000))
    }

    /// Returns the tokens that all instances together may hold, given the demand here and that of all instances: the
    /// remaining budget less what is held back for a failure of all instances.
    fn grantable(&self, now: u64, record: &BudgetRecord, rate: u64, total_rate: u64) -> u64 {
        let own = self.balance() + self.reserved;
        // What other live instances hold is not recorded. The estimate by their demand leaves out what dead ones hold.
        let unspent = record.charged.saturating_sub(record.spent);
        let live = mul_div(own, total_rate, rate).min(unspent).max(own);
        let remaining = self.free() + live;
        let half = self.request_sizes.smaller_half();
        let holdback = self.holdback(now, total_rate, half);
        remaining.saturating_sub(holdback.withheld(remaining))
    }
}
