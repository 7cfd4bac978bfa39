//! What one instance knows of the memory that requests hold at one engine.

use crate::account::Answer;
use crate::memory::MemoryReport;

/// How long an account's report counts, in milliseconds: most requests of its time have ended by then, and
/// others have come.
const REPORT_TTL_MS: u64 = 1_500;
/// Age up to which a report is better than a presumption, in milliseconds: at an engine in demand, several
/// requests come within some hundred milliseconds.
const REPORT_FRESH_MS: u64 = 100;
/// Time before a report from which on own attempts may be missing in it, in milliseconds: an attempt is
/// entered when it is sent, some milliseconds after its choice.
const ENTRY_DELAY_MS: u64 = 100;

/// Number of requests that other sources may show, as a multiple of those in the account and as a number in addition:
/// these sources are late. If they show more, the owner has just started or has lost messages.
const MAX_OBSERVED_FACTOR: u32 = 2;
const MAX_UNEXPLAINED: u32 = 4;

/// An attempt of this instance.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: u64,
    tokens: u64,
    begun_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: u64,
    /// The last attempt of this instance before the question; later ones are not in the report.
    last_attempt: u64,
    report: MemoryReport,
    /// Whether its account lacks many of the requests that run.
    is_partial: bool,
}

/// What is known of an engine's memory, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryView {
    /// What running requests hold.
    pub held: u64,
    /// The rest of the memory; cached segments count as free.
    pub free: u64,
    /// What cached segments take; 0 if not known.
    pub cached: u64,
    /// The part of these that other prompts may share.
    pub shared: u64,
    /// Age of the account's report, in milliseconds; none if there is none, or if its account lacks many of the
    /// requests that run.
    pub age_ms: Option<u64>,
}

impl MemoryView {
    /// Returns whether it comes from a report that is better than a presumption.
    pub fn is_fresh(&self) -> bool {
        self.age_ms.is_some_and(|ms| ms <= REPORT_FRESH_MS)
    }

    /// Returns how many cached tokens that other prompts may share are evicted for a number of new ones.
    pub fn evicted_shared(&self, new_tokens: u64) -> f64 {
        let unused = self.free.saturating_sub(self.cached);
        let evicted = new_tokens.saturating_sub(unused).min(self.cached);
        evicted as f64 * self.shared as f64 / self.cached.max(1) as f64
    }
}

/// The tokens that requests hold at one engine, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct HeldTokens {
    attempts: Vec<Attempt>,
    reported: Option<Reported>,
}

impl HeldTokens {
    /// Records the start of an attempt that will hold some tokens.
    pub fn begin(&mut self, now: u64, attempt: u64, tokens: u64) {
        self.attempts.push(Attempt {
            id: attempt,
            tokens,
            begun_at: now,
        });
    }

    /// Records the end of an attempt; returns when it began.
    pub fn end(&mut self, attempt: u64) -> Option<u64> {
        let i = self.attempts.iter().position(|a| a.id == attempt)?;
        Some(self.attempts.swap_remove(i).begun_at)
    }

    /// Sets what the account's owner has answered; `last_attempt` is this instance's last attempt before
    /// the question, and `observed` the number of requests that run by other sources.
    pub fn set_answer(&mut self, now: u64, last_attempt: u64, answer: &Answer, observed: u32) {
        let explained = answer.inflight.saturating_mul(MAX_OBSERVED_FACTOR);
        self.reported = answer.memory.map(|report| Reported {
            at: now,
            last_attempt,
            report,
            is_partial: observed > explained.saturating_add(MAX_UNEXPLAINED),
        });
    }

    fn reported(&self, now: u64) -> Option<Reported> {
        self.reported.filter(|r| now < r.at + REPORT_TTL_MS)
    }

    /// Returns the time up to which the last report includes all prompts of this instance; none without a report, or if
    /// its account lacks many of the requests that run.
    pub fn complete_until(&self, now: u64) -> Option<u64> {
        let reported = self.reported(now).filter(|r| !r.is_partial);
        reported.map(|r| r.at.saturating_sub(ENTRY_DELAY_MS))
    }

    /// Returns what is known of the memory of an engine with a capacity. `presumed_held` is what its requests
    /// are taken to hold at least if there is no new report.
    pub fn view(&self, now: u64, capacity: u64, presumed_held: u64) -> MemoryView {
        let sum = |after: u64| {
            let counted = self.attempts.iter().filter(|a| a.id > after);
            counted.fold(0, |sum: u64, a| sum.saturating_add(a.tokens))
        };
        let reported = self.reported(now);
        let age_ms = reported.filter(|r| !r.is_partial);
        let age_ms = age_ms.map(|r| now.saturating_sub(r.at));
        let reported_held = reported.map(|r| r.report.held.saturating_add(sum(r.last_attempt)));
        let held = reported_held.unwrap_or_default().max(sum(0));
        let (report, _) = reported
            .map_or(MemoryReport::default(), |r| r.report)
            .bounded(capacity);
        let view = MemoryView {
            held: held.min(capacity),
            free: capacity.saturating_sub(held),
            cached: report.cached,
            shared: report.shared,
            age_ms,
        };
        if view.is_fresh() {
            return view;
        }
        let held = view.held.max(presumed_held.min(capacity));
        MemoryView {
            held,
            free: capacity - held,
            ..view
        }
    }
}
