//! A budget of retries, so that a failing pool is not drowned in them.

/// Percentage of the requests that may be retried.
const RETRY_PCT: f64 = 0.1;
/// Retries that may be saved up.
const SAVED_MOST: f64 = 10.0;

/// Retries in store.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: SAVED_MOST }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRY_PCT).min(SAVED_MOST);
    }

    /// Takes a retry; returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let may = self.saved >= 1.0;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}
