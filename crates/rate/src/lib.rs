//! Moving averages of rates, such as the requests or tokens of a customer per second.
//!
//! No clock: the time is passed with each call, in milliseconds.

/// Minimum time by which a sum is divided, in milliseconds: it keeps a single request a moment ago from showing as a
/// rate of thousands per second.
const MIN_HISTORY_MS: f64 = 1_000.0;

/// Exponentially weighted moving average of a rate, corrected for the short history at the start.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    time_constant_ms: f64,
    /// Decayed sum of the amounts.
    sum: f64,
    updated_at: u64,
    first_at: Option<u64>,
}

impl Rate {
    /// Creates an average in which an amount counts 1/e after the given time, in milliseconds.
    pub const fn with_time_constant(time_constant_ms: f64) -> Rate {
        Rate {
            time_constant_ms,
            sum: 0.0,
            updated_at: 0,
            first_at: None,
        }
    }

    /// Creates an average in which an amount counts half after the given time, in milliseconds.
    pub const fn with_half_life(half_life_ms: f64) -> Rate {
        Rate::with_time_constant(half_life_ms / std::f64::consts::LN_2)
    }

    /// Adds an amount, such as the tokens of a request. A time before that of an earlier amount counts as that one.
    pub fn add(&mut self, now: u64, amount: f64) {
        self.sum = self.sum(now) + amount;
        self.updated_at = self.updated_at.max(now);
        self.first_at.get_or_insert(now);
    }

    /// Returns the decayed sum of the amounts.
    pub fn sum(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        self.sum * (-elapsed_ms / self.time_constant_ms).exp()
    }

    /// Returns the time of the last amount, in milliseconds; 0 if there was none.
    pub fn updated_at(&self) -> u64 {
        self.updated_at
    }

    /// Returns the average per millisecond since the first amount; 0 if there was none.
    pub fn per_ms(&self, now: u64) -> f64 {
        self.first_at.map_or(0.0, |at| self.per_ms_since(now, at))
    }

    /// Returns the average per second since the first amount; 0 if there was none.
    pub fn per_second(&self, now: u64) -> f64 {
        self.first_at
            .map_or(0.0, |at| self.sum(now) * 1_000.0 / self.span_ms(now, at))
    }

    /// Returns the average per millisecond since a time from which on amounts are known to be complete.
    pub fn per_ms_since(&self, now: u64, since: u64) -> f64 {
        self.sum(now) / self.span_ms(now, since)
    }

    /// Returns the time by which the sum is divided, in milliseconds.
    fn span_ms(&self, now: u64, since: u64) -> f64 {
        let history_ms = (now.saturating_sub(since) as f64).max(MIN_HISTORY_MS);
        self.time_constant_ms * (1.0 - (-history_ms / self.time_constant_ms).exp())
    }
}
