//! The retry budget.

use place::{RetryBudget, RetryLimits};

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window_ms: 10_000,
};

/// Guards against a failing service that is overloaded with retries. It happens if all requests fail at nine
/// instances for a minute, and each instance uses the whole limit for itself.
#[test]
fn nine_instances_together_stay_within_the_limit_in_every_window() {
    let mut instances: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::new(LIMITS)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for t in (0..60_000).step_by(10) {
        let i = (t / 10 % 9) as usize;
        instances[i].record_request(t, "desk");
        requests.push(t);
        if instances[i].try_acquire(t, "desk", 9) {
            retries.push(t);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| **t > end - 10_000 && **t <= end)
                .count()
        };
        let max = 0.2 * within(&requests) as f64 + 58.0;
        assert!(within(&retries) as f64 <= max);
    }
    assert!(retries.len() > 300, "the budget is used: {}", retries.len());
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_acquire(0, "a", 9) {}
    assert!(budget.try_acquire(0, "b", 9));
}
