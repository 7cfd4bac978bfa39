//! Prompts of which it is not known whether an upstream ran them: their tokens stay charged, but do not count as spent
//! when a request is refused.

use escrow::{GoneUpstream, UncertainPrompt};

use super::Budgets;
use crate::event::Event;

impl Budgets {
    /// Adds a prompt that ended without any part of a response. If it was forwarded, only another instance hears of
    /// the upstream that got it, so its tokens are never released.
    pub(super) fn add_uncertain(&self, prompt: UncertainPrompt, forwarded: bool) {
        let UncertainPrompt {
            customer, tokens, ..
        } = &prompt;
        let detail = format_args!("customer={customer} tokens={tokens} forwarded={forwarded}");
        self.0.log.event(Event::PromptUncertain, detail);
        if !forwarded {
            let mut uncertain = self.0.uncertain.lock().expect("lock not poisoned");
            uncertain.add(prompt);
        }
    }

    /// Releases the tokens of the prompts that no upstream has run.
    pub(super) fn resolve_uncertain(&self) {
        let mut pool = self.deps().pool.lock().expect("lock not poisoned");
        let mut uncertain = self.0.uncertain.lock().expect("lock not poisoned");
        for gone in pool.take_gone() {
            uncertain.record_gone(GoneUpstream {
                upstream: gone.incarnation_hash,
                heard_at: gone.heard_at,
            });
        }
        let not_run = uncertain.resolve(|upstream| pool.heard_at(upstream));
        drop((uncertain, pool));
        for UncertainPrompt {
            customer, tokens, ..
        } in not_run
        {
            self.with_known_budget(&customer, |b| b.release_uncertain(tokens));
            let detail = format_args!("customer={customer} tokens={tokens}");
            self.0.log.event(Event::PromptReleased, detail);
            self.request_settlement(&customer);
        }
    }
}
