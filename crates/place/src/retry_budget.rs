//! Retry budgets of services, shared by all instances.
//!
//! Within any window, all instances together may retry at most a share of a service's requests plus a
//! fixed slack. Each instance stays within that share of its own requests and within its part of the
//! slack, so the total holds without communication between the instances.

use std::collections::{HashMap, VecDeque};

/// Fraction of the limit that is used: the rest covers windows that start at other times elsewhere.
const SAFETY_FACTOR: f64 = 0.8;
/// Minimum number of instances by which the slack is divided: the list of instances may be outdated.
const MIN_SHARERS: usize = 4;

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Retries in addition to that share.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetryLimits {
    /// A tenth of the requests plus ten within ten seconds: this keeps the clients of a failing
    /// service from overloading it with retries.
    fn default() -> Self {
        RetryLimits {
            ratio: 0.1,
            slack: 10.0,
            window_ms: 10_000,
        }
    }
}

/// Times of the recent requests and retries of a service.
#[derive(Debug, Default)]
struct History {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

/// The retry budget of each service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    limits: RetryLimits,
    by_service: HashMap<String, History>,
}

impl RetryBudget {
    /// Creates a budget.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            by_service: HashMap::new(),
        }
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, now: u64, service: &str) {
        let window_start = now.saturating_sub(self.limits.window_ms);
        let history = self.by_service.entry(service.to_string()).or_default();
        remove_before(&mut history.requests, window_start);
        history.requests.push_back(now);
    }

    /// Takes one retry of a service from the budget that `sharers` instances share; returns whether
    /// the budget allowed it.
    pub fn try_acquire(&mut self, now: u64, service: &str, sharers: usize) -> bool {
        let window_start = now.saturating_sub(self.limits.window_ms);
        let history = self.by_service.entry(service.to_string()).or_default();
        remove_before(&mut history.requests, window_start);
        remove_before(&mut history.retries, window_start);
        let share = self.limits.ratio * history.requests.len() as f64;
        let slack = self.limits.slack / sharers.max(MIN_SHARERS) as f64;
        let max_retries = ((share + slack) * SAFETY_FACTOR) as usize;
        if history.retries.len() >= max_retries {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

fn remove_before(times: &mut VecDeque<u64>, start: u64) {
    while times.front().is_some_and(|at| *at < start) {
        times.pop_front();
    }
}
