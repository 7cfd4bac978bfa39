//! The budget of repetitions.

use place::{RetryBudget, RetryLimits};

const BOUNDS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window_ms: 10_000,
};

/// Symptom: a failing service is drowned in repetitions. Sequence: everything fails at nine instances
/// for a minute. Cause: each instance took the whole bound for itself.
#[test]
fn nine_instances_together_keep_to_the_bound_in_every_span() {
    let mut instances: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::new(BOUNDS)).collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for t in (0..60_000).step_by(10) {
        let i = (t / 10 % 9) as usize;
        instances[i].record_request(t, "desk");
        requests.push(t);
        if instances[i].try_acquire(t, "desk", 9) {
            repeats.push(t);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| **t > end - 10_000 && **t <= end)
                .count()
        };
        let most = 0.2 * within(&requests) as f64 + 58.0;
        assert!(within(&repeats) as f64 <= most);
    }
    assert!(repeats.len() > 300, "and they are used: {}", repeats.len());
}

#[test]
fn services_do_not_share() {
    let mut retries = RetryBudget::new(BOUNDS);
    while retries.try_acquire(0, "a", 9) {}
    assert!(retries.try_acquire(0, "b", 9));
}
