//! Errors of requests that fail at this instance.

use conf::MAX_PRIORITY;
use err::{Error, Kind, Ran};

/// A caller is told to retry within its remaining time divided by this.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// The retry time of the least urgent requests, as a multiple of that of the most urgent ones, less 1.
const LESS_URGENT_FACTOR: f64 = 2.0;
/// Random part of the retry time, as a fraction of it: callers that were refused at the same time should not
/// come back at the same time.
const RANDOM_PART: f64 = 0.5;

/// The latest that callers come back after a time from which on they are accepted, in milliseconds.
const KNOWN_TIME_SPREAD_MS: f64 = 400.0;

/// The error of a request that fails at this instance.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The error.
    pub error: Error,
    /// Milliseconds after which a retry makes sense.
    pub retry_ms: Option<u64>,
    /// Maximum of the retry time, in milliseconds; none if the caller may be told any.
    max_retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(kind: Kind, message: impl Into<String>) -> Refusal {
        Refusal {
            error: Error::new(kind, message),
            retry_ms: None,
            max_retry_ms: None,
        }
    }

    /// Sets the retry time, limited to a part of the time that the caller still waits.
    pub fn retry_within(mut self, retry_ms: u64, remaining_ms: u64) -> Refusal {
        let max_retry_ms = remaining_ms / REMAINING_TIME_DIVISOR;
        self.retry_ms = Some(retry_ms.min(max_retry_ms));
        self.max_retry_ms = Some(max_retry_ms);
        self
    }

    /// Sets the retry time even if the caller does not wait that long, because an earlier retry
    /// would be refused again.
    pub fn retry_after(mut self, retry_ms: u64) -> Refusal {
        self.retry_ms = Some(retry_ms.max(1));
        self
    }

    /// Spreads the retry time, and makes it later for less urgent requests, within the time that the caller
    /// still waits; `random` is uniform over all `u64` values. It is never earlier: the request would be
    /// refused again. Where tokens are missing, it is spread already.
    pub fn spread(mut self, priority: u8, random: u64) -> Refusal {
        let Some(retry_ms) = self
            .retry_ms
            .filter(|_| self.error.kind != Kind::BudgetOutOfReach)
        else {
            return self;
        };
        let urgency = f64::from(priority.min(MAX_PRIORITY)) / f64::from(MAX_PRIORITY);
        let (first, last) = match self.max_retry_ms {
            Some(max) => {
                let first = retry_ms as f64 * (1.0 + LESS_URGENT_FACTOR * urgency);
                let last = first * (1.0 + RANDOM_PART);
                (first.min(max as f64), last.min(max as f64))
            }
            None => {
                let first = retry_ms as f64 + KNOWN_TIME_SPREAD_MS * urgency / 2.0;
                (first, first + KNOWN_TIME_SPREAD_MS / 2.0)
            }
        };
        let random = random as f64 / u64::MAX as f64;
        self.retry_ms = Some((first + (last - first) * random) as u64);
        self
    }

    /// Sets whether the request may have run at an upstream.
    pub fn ran(mut self, ran: Ran) -> Refusal {
        self.error.ran = ran;
        self
    }
}
