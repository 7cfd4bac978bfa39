//! Errors of requests that fail at this instance.

use err::{Error, Kind, Ran};

/// A caller is told to retry within its remaining time divided by this.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// The error of a request that fails at this instance.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The error.
    pub error: Error,
    /// Milliseconds after which a retry makes sense.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(kind: Kind, message: impl Into<String>) -> Refusal {
        Refusal {
            error: Error::new(kind, message),
            retry_ms: None,
        }
    }

    /// Sets the retry time, limited to a part of the time that the caller still waits.
    pub fn retry_within(mut self, retry_ms: u64, remaining_ms: u64) -> Refusal {
        self.retry_ms = Some(retry_ms.min(remaining_ms / REMAINING_TIME_DIVISOR));
        self
    }

    /// Sets the retry time even if the caller does not wait that long, because an earlier retry
    /// would be refused again.
    pub fn retry_after(mut self, retry_ms: u64) -> Refusal {
        self.retry_ms = Some(retry_ms.max(1));
        self
    }

    /// Sets whether the request may have run at an upstream.
    pub fn ran(mut self, ran: Ran) -> Refusal {
        self.error.ran = ran;
        self
    }
}
