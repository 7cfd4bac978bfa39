//! How many requests of others an instance forwards at a time.
//!
//! When most instances of a zone lose their paths, the others may get several times their own load.
//! What an instance can bear depends on its processor, on its link and on what its own callers send,
//! so it is found out: the limit grows while it is reached, and shrinks when the instance is late.

/// Limit at first, and maximum number of requests that may come at the same moment: an instance with a
/// small share of a processor is late until it has read them.
const MAX_BURST: f64 = 16.0;
/// Bounds of the limit: a request takes two connections.
const MIN_LIMIT: f64 = 16.0;
const MAX_LIMIT: f64 = 1_000.0;
/// Factors by which the limit grows and shrinks.
const GROWTH: f64 = 1.15;
const SHRINKAGE: f64 = 0.7;
/// Delays of a timer up to which the instance has more capacity, and above which it is overloaded, in
/// milliseconds: events of streams then arrive visibly late.
const GROWTH_DELAY_MS: u64 = 10;
const MAX_DELAY_MS: u64 = 40;
/// Minimum time between two reductions, in milliseconds: the effect of the first one shows by then.
const REDUCTION_INTERVAL_MS: u64 = 300;

/// The requests of others that this instance forwards.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    limit: f64,
    in_flight: usize,
    reduced_at: Option<u64>,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            limit: MAX_BURST,
            in_flight: 0,
            reduced_at: None,
        }
    }
}

impl Capacity {
    /// Returns how many more requests this instance forwards.
    pub fn available(&self) -> usize {
        (self.limit as usize).saturating_sub(self.in_flight)
    }

    /// Admits a request if it can be forwarded; returns whether it was.
    pub fn try_begin(&mut self) -> bool {
        let admitted = self.available() > 0;
        self.in_flight += usize::from(admitted);
        admitted
    }

    /// Records the end of an admitted request.
    ///
    /// # Panics
    ///
    /// Panics if more requests end than began.
    pub fn end(&mut self) {
        assert!(self.in_flight > 0, "more requests ended than began");
        self.in_flight -= 1;
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Adjusts the limit to the delay with which a timer of this instance has fired.
    pub fn record_delay(&mut self, now: u64, delay_ms: u64) {
        if delay_ms > MAX_DELAY_MS {
            let settled = self
                .reduced_at
                .is_none_or(|at| now >= at + REDUCTION_INTERVAL_MS);
            if settled {
                let used = self.limit.min(self.in_flight as f64);
                self.limit = (used * SHRINKAGE).max(MIN_LIMIT);
                self.reduced_at = Some(now);
            }
        } else if delay_ms <= GROWTH_DELAY_MS {
            let grown = (self.limit * GROWTH).min(self.in_flight as f64 + MAX_BURST);
            self.limit = grown.clamp(MIN_LIMIT, MAX_LIMIT);
        }
    }

    /// Forgets what was found out: the load may be another one by the time that others need this
    /// instance again.
    pub fn reset(&mut self) {
        self.limit = MAX_BURST;
        self.reduced_at = None;
    }
}
