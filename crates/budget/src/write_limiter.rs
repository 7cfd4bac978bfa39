//! Limits the record writes of one instance to its share of the fleet's write rate.

/// Smallest share of the fleet's rate that an instance gets. Instances that are home to no shard
/// write, too: settlements of shards that they were home to, operator commands, and copies of other
/// holders' settlements.
const MIN_SHARE: f64 = 0.02;

/// A token bucket: writes go at once under light load and are spaced out under heavy load.
#[derive(Clone, Debug)]
pub struct WriteLimiter {
    /// Writes per second.
    per_sec: f64,
    /// Capacity of the bucket, in writes.
    burst: f64,
    /// Writes that may go at once.
    tokens: f64,
    /// Time of the last refill, in milliseconds.
    refilled_at: u64,
}

impl WriteLimiter {
    /// Creates a limiter for a share of the fleet's rate, with a full bucket.
    pub fn new(now: u64, fleet_per_sec: u64, share: f64) -> WriteLimiter {
        let mut limiter = WriteLimiter {
            per_sec: 1.0,
            burst: 1.0,
            tokens: f64::MAX,
            refilled_at: now,
        };
        limiter.set_share(fleet_per_sec, share);
        limiter
    }

    /// Sets the share of the fleet's rate, at least `MIN_SHARE`.
    pub fn set_share(&mut self, fleet_per_sec: u64, share: f64) {
        self.per_sec = fleet_per_sec as f64 * share.clamp(MIN_SHARE, 1.0);
        self.burst = (self.per_sec * 2.0).max(2.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes one write out of the bucket; returns false if the write has to wait.
    pub fn try_acquire(&mut self, now: u64) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Puts a write back that did not take effect.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Returns whether the bucket is at least half full.
    pub fn has_spare(&mut self, now: u64) -> bool {
        self.refill(now);
        self.tokens >= self.burst / 2.0
    }

    fn refill(&mut self, now: u64) {
        let elapsed_secs = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_secs * self.per_sec).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
