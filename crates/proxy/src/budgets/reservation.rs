//! Tokens that a request has reserved, or waits for.

use escrow::{SentPrompt, UncertainPrompt};
use smallvec::SmallVec;

use super::Budgets;
use crate::attempt_error::AttemptError;
use crate::event::Event;

/// Tokens reserved for a request. Dropping it settles the request.
pub(crate) struct Reservation {
    pub(super) budgets: Budgets,
    pub(super) customer: String,
    pub(super) reserved: u64,
    /// Tokens of the prompt, once it was sent. They count once, even if sent again.
    prompt: u64,
    /// The attempts that may have run the prompt.
    sent: SmallVec<[SentPrompt; 2]>,
    /// Whether another instance forwarded one of these attempts.
    forwarded: bool,
    /// Whether a response, or the first event of a stream, arrived: the prompt is spent.
    answered: bool,
    /// Tokens of the response that went to the caller.
    delivered: u64,
}

impl Reservation {
    pub(super) fn new(budgets: Budgets, customer: &str) -> Reservation {
        Reservation {
            budgets,
            customer: customer.to_string(),
            reserved: 0,
            prompt: 0,
            sent: SmallVec::new(),
            forwarded: false,
            answered: false,
            delivered: 0,
        }
    }

    pub(super) fn with_reserved(mut self, tokens: u64) -> Reservation {
        self.reserved = tokens;
        self
    }

    /// Records that the prompt is about to be sent to an upstream, directly or by another instance.
    pub(crate) fn begin_attempt(&mut self, prompt: u64, sent: SentPrompt, forwarded: bool) {
        self.prompt = prompt;
        self.sent.push(sent);
        self.forwarded |= forwarded;
    }

    /// Records the result of the attempt that began last.
    ///
    /// The prompt does not count if the upstream did not run it, or closed the connection before any part of a
    /// response arrived. A customer pays for what it gets: if prompts without a response counted, they would use up
    /// several percent of a budget within seconds while upstreams fail.
    pub(crate) fn end_attempt<T>(&mut self, result: &Result<T, AttemptError>) {
        let is_free = matches!(
            result,
            Err(AttemptError::NotRun(_)
                | AttemptError::Misdirected(_)
                | AttemptError::Unanswered(_)
                | AttemptError::NotForwarded(_))
        );
        if is_free {
            self.sent.pop();
        }
    }

    /// Records that a response, or the first event of a stream, has arrived.
    pub(crate) fn record_answered(&mut self) {
        self.answered = true;
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
        let prompt = if self.answered { self.prompt } else { 0 };
        prompt + self.delivered
    }

    /// Returns the tokens that may be spent.
    fn uncertain(&self) -> u64 {
        if self.answered || self.sent.is_empty() {
            0
        } else {
            self.prompt
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (spent, uncertain, reserved) = (self.spent(), self.uncertain(), self.reserved);
        if spent + uncertain > reserved {
            let customer = &self.customer;
            let detail = format_args!("customer={customer} spent={spent} reserved={reserved}");
            self.budgets.0.log.event(Event::TokensExceeded, detail);
        }
        let uncertain = uncertain.min(reserved);
        self.budgets.with_known_budget(&self.customer, |b| {
            if uncertain > 0 {
                b.settle_uncertain(reserved, uncertain);
            } else {
                b.settle(reserved, spent.min(reserved));
            }
        });
        if uncertain > 0 {
            let prompt = UncertainPrompt {
                customer: self.customer.clone(),
                tokens: uncertain,
                sent: std::mem::take(&mut self.sent),
            };
            self.budgets.add_uncertain(prompt, self.forwarded);
        }
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
