//! Tokens and spending that are transferred between instances.

use super::LocalBudget;
use crate::mul_div::mul_div;
use crate::totals::CumulativeTotal;

impl LocalBudget {
    /// Forwards the spent tokens that no planned entry reports yet to the instance that this one draws from, which
    /// reports them in its own entry. Returns the total forwarded to it.
    pub fn forward_spending(&mut self, peer: &str) -> u64 {
        let unreported = self.reportable_spent().saturating_sub(self.planned_spent);
        self.spending_forwarded.add(peer, unreported)
    }

    /// Returns the total of spent tokens forwarded to an instance so far.
    pub fn forwarded_spending(&self, peer: &str) -> u64 {
        self.spending_forwarded.for_peer(peer)
    }

    /// Applies the total of spent tokens forwarded by an instance that draws from this one.
    pub fn receive_spending(&mut self, own_id: &str, update: &CumulativeTotal) {
        self.spending_received.merge(own_id, update);
    }

    /// Transfers a reservation to an instance that draws from this one; returns the total transferred to it.
    ///
    /// # Panics
    ///
    /// Panics if the reservation is larger than all reserved tokens.
    pub fn transfer_reserved(&mut self, peer: &str, reserved: u64) -> u64 {
        self.settle(reserved, 0);
        self.tokens_sent.add(peer, reserved)
    }

    /// Transfers tokens to another instance, which asks for `wanted`, has `balance` left and a demand of `rate`: as
    /// many as make both balances last equally long, but no fewer than it asks for, if available. Returns the total
    /// transferred to it.
    pub fn transfer_share(
        &mut self,
        now: u64,
        peer: &str,
        wanted: u64,
        balance: u64,
        rate: u64,
    ) -> u64 {
        let own = self.usable().saturating_sub(self.waiting_tokens);
        let own_rate = self.demand.per_second(now).max(1);
        let share = mul_div(own + balance, rate, rate + own_rate);
        let transferred = share.saturating_sub(balance).max(wanted).min(own);
        self.tokens_sent.add(peer, transferred)
    }

    /// Transfers all tokens that are not reserved to another instance: an instance that stops while the store is
    /// unreachable would strand them. Returns the total transferred to it.
    pub fn transfer_all(&mut self, peer: &str) -> u64 {
        self.tokens_sent.add(peer, self.balance())
    }

    /// Transfers the tokens that ended requests left here to the home, unless there is recent demand or a request
    /// waits: an instance that replaces the home keeps its tokens. Returns the total transferred to the home.
    pub fn transfer_idle(&mut self, now: u64, home: &str) -> u64 {
        let in_use = self.waiting_tokens > 0 || !self.demand.is_idle(now);
        let rest = if in_use { 0 } else { self.balance() };
        self.tokens_sent.add(home, rest)
    }

    /// Applies the total of tokens that another instance has transferred to this one; returns the increase.
    pub fn receive_tokens(&mut self, own_id: &str, update: &CumulativeTotal) -> u64 {
        self.tokens_received.merge(own_id, update)
    }
}
