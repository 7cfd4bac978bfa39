//! The retry budget, which keeps retries from overloading a failing pool.

/// Retries that each first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries that accumulate.
const MAX_RETRIES: f64 = 10.0;

/// A budget of retries, filled by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            available: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRY_RATIO).min(MAX_RETRIES);
    }

    /// Takes a retry from the budget; returns whether one was available.
    pub fn try_acquire(&mut self) -> bool {
        let acquired = self.available >= 1.0;
        if acquired {
            self.available -= 1.0;
        }
        acquired
    }
}
