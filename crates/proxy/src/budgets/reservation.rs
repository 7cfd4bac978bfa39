//! Tokens that a request holds, or waits for.

use super::Budgets;
use crate::event::Event;

/// Tokens reserved for a request; dropping it settles.
pub(crate) struct Reservation {
    pub(super) budgets: Budgets,
    pub(super) customer: String,
    pub(super) reserved: u64,
    /// The prompt, once it was sent to an upstream that may answer it: counts once.
    pub(super) prompt: u64,
    pub(super) delivered: u64,
}

impl Reservation {
    pub(super) fn with_reserved(mut self, tokens: u64) -> Reservation {
        self.reserved = tokens;
        self
    }

    /// Counts the prompt, which an upstream is about to get.
    pub(crate) fn record_prompt_sent(&mut self, prompt: u64) {
        self.prompt = prompt;
    }

    /// Takes back the counting of the prompt: the upstreams that got it did not run it, or closed before anything
    /// of an answer came. A customer pays for what it gets: counted, the prompts whose answers are lost
    /// would take several percent of a budget in seconds while upstreams fail.
    pub(crate) fn clear_prompt(&mut self) {
        self.prompt = 0;
    }

    /// Counts tokens of the answer that go to the caller.
    pub(crate) fn record_delivered(&mut self, tokens: u64) {
        self.delivered += tokens;
    }

    /// Passes the tokens on to an instance that draws from this one; returns the total given to it.
    pub(super) fn transfer_to(mut self, peer: &str) -> u64 {
        let reserved = std::mem::take(&mut self.reserved);
        self.budgets
            .with_budget(&self.customer, |b| b.transfer_reserved(peer, reserved))
    }

    /// Returns the tokens that were spent.
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
        let mut customers = self.budgets.0.customers.lock().expect("no panic inside");
        if let Some(state) = customers.get_mut(&self.customer) {
            state.budget.settle(self.reserved, spent);
        }
        drop(customers);
        self.budgets.request_settlement(&self.customer);
    }
}

/// Counts what a waiting request lacks, until it is dropped.
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
