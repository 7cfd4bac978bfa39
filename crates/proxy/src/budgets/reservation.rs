//! Tokens that a request has reserved, or waits for.

use super::Budgets;
use crate::event::Event;

/// Tokens reserved for a request. Dropping it settles the request.
pub(crate) struct Reservation {
    pub(super) budgets: Budgets,
    pub(super) customer: String,
    pub(super) reserved: u64,
    /// Tokens of the prompt, once it was sent to an upstream that may respond. They count once,
    /// even if sent again.
    pub(super) prompt: u64,
    /// Tokens of the response that went to the caller.
    pub(super) delivered: u64,
}

impl Reservation {
    pub(super) fn with_reserved(mut self, tokens: u64) -> Reservation {
        self.reserved = tokens;
        self
    }

    /// Counts the prompt as spent; it is about to be sent to an upstream.
    pub(crate) fn record_prompt_sent(&mut self, prompt: u64) {
        self.prompt = prompt;
    }

    /// Stops counting the prompt: the upstreams that got it did not run it, or closed the
    /// connection before any part of a response arrived. A customer pays for what it gets: if
    /// prompts without a response counted, they would use up several percent of a budget within
    /// seconds while upstreams fail.
    pub(crate) fn clear_prompt(&mut self) {
        self.prompt = 0;
    }

    /// Counts tokens of the response that go to the caller.
    pub(crate) fn record_delivered(&mut self, tokens: u64) {
        self.delivered += tokens;
    }

    /// Transfers the tokens to an instance that draws from this one; returns the total transferred
    /// to it.
    pub(super) fn transfer_to(mut self, peer: &str) -> u64 {
        let reserved = std::mem::take(&mut self.reserved);
        self.budgets
            .with_budget(&self.customer, |b| b.transfer_reserved(peer, reserved))
    }

    /// Returns the spent tokens.
    pub(crate) fn spent(&self) -> u64 {
        self.prompt + self.delivered
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (spent, reserved) = (self.spent(), self.reserved);
        if spent > reserved {
            let customer = &self.customer;
            let detail = format_args!("customer={customer} spent={spent} reserved={reserved}");
            self.budgets.0.log.event(Event::TokensExceeded, detail);
        }
        let spent = spent.min(reserved);
        let mut customers = self.budgets.0.customers.lock().expect("lock not poisoned");
        if let Some(state) = customers.get_mut(&self.customer) {
            state.budget.settle(self.reserved, spent);
        }
        drop(customers);
        self.budgets.request_settlement(&self.customer);
    }
}

/// Counts the tokens that a waiting request needs, until it is dropped.
pub(super) struct WaitGuard<'a> {
    budgets: &'a Budgets,
    customer: &'a str,
    tokens: u64,
}

impl<'a> WaitGuard<'a> {
    pub(super) fn new(budgets: &'a Budgets, customer: &'a str, tokens: u64) -> WaitGuard<'a> {
        budgets.with_known_budget(customer, |b| b.begin_wait(tokens));
        WaitGuard {
            budgets,
            customer,
            tokens,
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.budgets
            .with_known_budget(self.customer, |b| b.end_wait(self.tokens));
    }
}
