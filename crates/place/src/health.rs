//! What the results of requests say of an upstream's health.

/// First time that an upstream which can't be reached is left alone, in milliseconds; doubles.
const OUT_MS: u64 = 600;
/// Longest time that an upstream is left alone, in milliseconds: it may be back any moment.
const OUT_MOST_MS: u64 = 4_000;
/// Weight of one result in the share of failures.
const RESULT_WEIGHT: f64 = 0.15;
/// Time after which half of the failures are forgotten without any new result, in milliseconds: an
/// upstream that gets no requests could not show that it is well again.
const FORGET_MS: f64 = 4_000.0;
/// Share of failures above which an upstream is left alone.
const BAD_SHARE: f64 = 0.5;

/// Health, as seen from here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing: f64,
    at: u64,
    out_until: u64,
    outs: u32,
    on_trial: bool,
}

impl Health {
    /// Returns the share of requests that fail, lately.
    pub fn failure_rate(&self, now: u64) -> f64 {
        let gone = now.saturating_sub(self.at) as f64;
        self.failing * (0.5f64).powf(gone / FORGET_MS)
    }

    /// Returns whether it is left alone for now.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.out_until
    }

    /// Returns whether it was left alone and has not answered since: one request at a time shows
    /// whether it does.
    pub fn is_on_probation(&self) -> bool {
        self.on_trial
    }

    /// Counts an answer that was well.
    pub fn record_success(&mut self, now: u64) {
        self.count(now, 0.0);
        self.on_trial = false;
        self.outs = 0;
    }

    /// Counts a failure that says little of the upstream: an error that it answered with.
    pub fn record_error(&mut self, now: u64) {
        self.count(now, 1.0);
        self.on_trial = false;
        if self.failing > BAD_SHARE {
            self.leave_alone(now);
        }
    }

    /// Counts a connection that broke, or an answer that was none.
    pub fn record_invalid(&mut self, now: u64) {
        self.count(now, 1.0);
        if self.on_trial || self.failing > BAD_SHARE {
            self.leave_alone(now);
        }
    }

    /// Counts that it could not be reached, or said nothing in time.
    pub fn record_unresponsive(&mut self, now: u64) {
        self.count(now, 1.0);
        self.leave_alone(now);
    }

    fn count(&mut self, now: u64, failed: f64) {
        let before = self.failure_rate(now);
        self.failing = before + (failed - before) * RESULT_WEIGHT;
        self.at = self.at.max(now);
    }

    fn leave_alone(&mut self, now: u64) {
        if self.is_ejected(now) {
            return;
        }
        let wait = (OUT_MS << self.outs.min(8)).min(OUT_MOST_MS);
        self.out_until = now + wait;
        self.outs += 1;
        self.on_trial = true;
    }
}
