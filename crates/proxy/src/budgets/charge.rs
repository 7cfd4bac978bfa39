//! Tokens that a request holds, or waits for.

use super::Budgets;
use crate::event::Event;

/// Tokens reserved for a request; dropping it settles.
pub(crate) struct Reservation {
    pub(super) bank: Budgets,
    pub(super) customer: String,
    pub(super) reserved: u64,
    /// The prompt, once it was sent to an upstream that may answer it: counts once.
    pub(super) prompt: u64,
    pub(super) answer: u64,
}

impl Reservation {
    pub(super) fn of(mut self, tokens: u64) -> Reservation {
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
        self.answer += tokens;
    }

    /// Passes the tokens on to an instance that draws from this one; returns the total given to it.
    pub(super) fn hand_over(mut self, peer: &str) -> u64 {
        let reserved = std::mem::take(&mut self.reserved);
        self.bank
            .open_holding(&self.customer, |h| h.transfer_reserved(peer, reserved))
    }

    /// Returns the tokens that were spent.
    pub(crate) fn spent(&self) -> u64 {
        self.prompt + self.answer
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (spent, reserved) = (self.spent(), self.reserved);
        if spent > reserved {
            let customer = &self.customer;
            let detail = format_args!("customer={customer} spent={spent} reserved={reserved}");
            self.bank.0.log.event(Event::TokensExceeded, detail);
        }
        let spent = spent.min(reserved);
        let mut accounts = self.bank.0.accounts.lock().expect("no panic inside");
        if let Some(account) = accounts.get_mut(&self.customer) {
            account.holding.settle(self.reserved, spent);
        }
        drop(accounts);
        self.bank.ended(&self.customer);
    }
}

/// Counts what a waiting request lacks, until it is dropped.
pub(super) struct Lack<'a> {
    bank: &'a Budgets,
    customer: &'a str,
    tokens: u64,
}

impl<'a> Lack<'a> {
    pub(super) fn open(bank: &'a Budgets, customer: &'a str, tokens: u64) -> Lack<'a> {
        bank.with(customer, |h| h.begin_wait(tokens));
        Lack {
            bank,
            customer,
            tokens,
        }
    }
}

impl Drop for Lack<'_> {
    fn drop(&mut self) {
        self.bank.with(self.customer, |h| h.end_wait(self.tokens));
    }
}
