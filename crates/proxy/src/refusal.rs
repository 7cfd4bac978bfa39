//! A request that fails here, with what its caller is told.

use err::{Error, Kind, Ran};

/// Callers come back within this part of the time that they have left.
const BACK_WITHIN: u64 = 3;

/// A request that fails here.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The error.
    pub error: Error,
    /// Milliseconds after which coming back makes sense.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal without a time to come back.
    pub fn new(kind: Kind, message: impl Into<String>) -> Refusal {
        Refusal {
            error: Error::new(kind, message),
            retry_ms: None,
        }
    }

    /// Says when to come back: within the time that the caller has left, or not at all.
    pub fn retry_within(mut self, retry_ms: u64, left_ms: u64) -> Refusal {
        self.retry_ms = Some(retry_ms.min(left_ms / BACK_WITHIN));
        self
    }

    /// Says when to come back, also where the caller does not wait for so long: coming sooner would be for nothing.
    pub fn retry_after(mut self, retry_ms: u64) -> Refusal {
        self.retry_ms = Some(retry_ms.max(1));
        self
    }

    /// Says what is known of the request's run.
    pub fn ran(mut self, ran: Ran) -> Refusal {
        self.error.ran = ran;
        self
    }
}
