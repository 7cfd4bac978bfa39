//! The budget of repetitions that all instances share.
//!
//! A service may get no more repetitions in any span than a share of its requests and a slack, from
//! all instances together. Each instance keeps to the share of its own requests and to its part of the
//! slack, so the sum holds without a word between them.

use std::collections::{HashMap, VecDeque};

/// Part of the bound that is used: the rest covers spans that are cut differently elsewhere.
const SAFE_PART: f64 = 0.8;
/// Slack is divided by at least so many instances: the list of instances may be behind.
const SHARERS_LEAST: usize = 4;

/// The bound.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repetitions as a share of the requests.
    pub ratio: f64,
    /// Repetitions besides.
    pub slack: f64,
    /// The span, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetryLimits {
    /// A tenth of the requests and ten besides, in ten seconds: what keeps a failing service from
    /// being drowned by its own clients.
    fn default() -> Self {
        RetryLimits {
            ratio: 0.1,
            slack: 10.0,
            window_ms: 10_000,
        }
    }
}

#[derive(Debug, Default)]
struct Seen {
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

/// Requests and repetitions of late, by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    bounds: RetryLimits,
    seen: HashMap<String, Seen>,
}

impl RetryBudget {
    /// Makes a budget.
    pub fn new(bounds: RetryLimits) -> RetryBudget {
        RetryBudget {
            bounds,
            seen: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: u64, service: &str) {
        let horizon = now.saturating_sub(self.bounds.window_ms);
        let seen = self.seen.entry(service.to_string()).or_default();
        forget(&mut seen.requests, horizon);
        seen.requests.push_back(now);
    }

    /// Takes a repetition; returns whether there was one.
    pub fn try_acquire(&mut self, now: u64, service: &str, sharers: usize) -> bool {
        let horizon = now.saturating_sub(self.bounds.window_ms);
        let seen = self.seen.entry(service.to_string()).or_default();
        forget(&mut seen.requests, horizon);
        forget(&mut seen.repeats, horizon);
        let own = self.bounds.ratio * seen.requests.len() as f64;
        let slack = self.bounds.slack / sharers.max(SHARERS_LEAST) as f64;
        let may = ((own + slack) * SAFE_PART) as usize;
        if seen.repeats.len() >= may {
            return false;
        }
        seen.repeats.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<u64>, horizon: u64) {
    while times.front().is_some_and(|at| *at < horizon) {
        times.pop_front();
    }
}
