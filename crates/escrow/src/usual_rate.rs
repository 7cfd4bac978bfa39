//! A customer's usual demand: a long average that a burst of seconds hardly changes.
//!
//! The load that this is made for: one customer sends six times its usual load for some seconds, and then all
//! instances lose the store. If the tokens held back from grants followed the burst, they would be more than what is
//! left of the budget, and nothing would be granted for the outage.

use rate::Rate;

/// Time constant of the average, in milliseconds: several times as long as a burst, short enough that a lasting change
/// of the demand counts within a minute or two.
const TIME_CONSTANT_MS: u64 = 60_000;
/// Demand above this percentage of the usual one counts as a burst, and only this much of it is averaged: a normal
/// variation of the demand stays below it.
const BURST_ABOVE_PCT: u64 = 200;
/// Demand that stays above the limit for longer than this, in milliseconds, is no burst any more and is averaged
/// unlimited.
const MAX_BURST_MS: u64 = 15_000;
/// History from which the usual demand is known, in milliseconds: it is averaged without a limit.
const MIN_HISTORY_MS: u64 = 10_000;
/// Minimum time between two samples, in milliseconds, so that an instance with many requests does not average each.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// Long average of a rate, in which bursts are limited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualRate {
    average: Rate,
    /// Time of the first sample since there was demand.
    first_at: Option<u64>,
    sampled_at: u64,
    /// Time of the last sample that showed demand.
    active_at: u64,
    /// Since when the rate has been above the limit.
    above_since: Option<u64>,
}

impl Default for UsualRate {
    fn default() -> UsualRate {
        UsualRate {
            average: Rate::with_time_constant(TIME_CONSTANT_MS as f64),
            first_at: None,
            sampled_at: 0,
            active_at: 0,
            above_since: None,
        }
    }
}

impl UsualRate {
    /// Adds the present rate, per second, as the one since the last sample. Without any demand for the time constant,
    /// the history begins anew.
    pub(crate) fn sample(&mut self, now: u64, rate: u64) {
        if now > self.active_at + TIME_CONSTANT_MS {
            *self = UsualRate::default();
        }
        if rate > 0 {
            self.active_at = now;
        }
        let Some(first_at) = self.first_at else {
            return self.begin(now, rate);
        };
        let elapsed_ms = now.saturating_sub(self.sampled_at);
        if elapsed_ms < SAMPLE_INTERVAL_MS {
            return;
        }
        let limit = self.per_second(now) * BURST_ABOVE_PCT / 100;
        let above = rate > limit && now >= first_at + MIN_HISTORY_MS;
        let counted = if above && !self.exceeds_burst(now) {
            limit
        } else {
            rate
        };
        if !above {
            self.above_since = None;
        }
        self.average.add(now, (counted * elapsed_ms / 1000) as f64);
        self.sampled_at = now;
    }

    /// Begins the history if there is demand.
    fn begin(&mut self, now: u64, rate: u64) {
        if rate > 0 {
            self.first_at = Some(now);
            self.sampled_at = now;
            self.average.add(now, 0.0);
        }
    }

    /// Returns whether the rate has been above the limit for longer than a burst; it is above it now.
    fn exceeds_burst(&mut self, now: u64) -> bool {
        let since = *self.above_since.get_or_insert(now);
        now > since + MAX_BURST_MS
    }

    /// Returns the average per second; none while there is too little history.
    pub(crate) fn known(&self, now: u64) -> Option<u64> {
        let first_at = self.first_at?;
        (now >= first_at + MIN_HISTORY_MS).then(|| self.per_second(now))
    }

    fn per_second(&self, now: u64) -> u64 {
        self.average.per_second(now) as u64
    }
}
