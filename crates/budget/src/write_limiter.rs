//! Keeps one instance's platform writes within its part of the fleet's share.

/// Every instance may write this part of the fleet's share: settlements of shards that it handed
/// on, operators' acts, copies.
const MIN_SHARE: f64 = 0.02;

/// A token bucket: a write at once while the load is light, spaced writes under load.
#[derive(Clone, Debug)]
pub struct WriteLimiter {
    per_sec: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl WriteLimiter {
    /// Opens a pacer with a part of a rate that a fleet shares.
    pub fn new(now: u64, fleet_per_sec: u64, part: f64) -> WriteLimiter {
        let mut pacer = WriteLimiter {
            per_sec: 1.0,
            burst: 1.0,
            tokens: f64::MAX,
            refilled_at: now,
        };
        pacer.set_share(fleet_per_sec, part);
        pacer
    }

    /// Changes the part of the fleet's rate.
    pub fn set_share(&mut self, fleet_per_sec: u64, part: f64) {
        self.per_sec = fleet_per_sec as f64 * part.clamp(MIN_SHARE, 1.0);
        self.burst = (self.per_sec * 2.0).max(2.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a write; returns whether it may go now.
    pub fn try_acquire(&mut self, now: u64) -> bool {
        self.refill(now);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// Returns whether half of the saved-up writes are left.
    pub fn has_spare(&mut self, now: u64) -> bool {
        self.refill(now);
        self.tokens >= self.burst / 2.0
    }

    fn refill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * self.per_sec).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
