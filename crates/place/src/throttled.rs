//! Requests to a throttled upstream that count against its limit.

use smallvec::SmallVec;

use crate::upstream::AttemptId;

/// Window in which requests to a cold upstream are counted, in milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;
/// How long an abandoned request to a cold upstream may still be in transit, in milliseconds.
const TRANSIT_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct InFlight {
    attempt: AttemptId,
    /// Earliest time at which it stops counting, in milliseconds.
    counts_until: u64,
    /// Whether the upstream was cold when the request was sent.
    cold: bool,
}

/// The requests that count against the limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ThrottledRequests {
    in_flight: SmallVec<[InFlight; 8]>,
    /// When each completed request stops counting.
    completed: SmallVec<[u64; 8]>,
}

impl ThrottledRequests {
    /// Returns the number of requests that count.
    pub(crate) fn count(&self, now: u64) -> usize {
        let completed = self.completed.iter().filter(|until| **until > now).count();
        self.in_flight.len() + completed
    }

    /// Returns when the next completed request stops counting, in milliseconds.
    pub(crate) fn next_expiry(&self, now: u64) -> Option<u64> {
        self.completed.iter().copied().filter(|u| *u > now).min()
    }

    /// Returns whether a request counts and is still in flight.
    pub(crate) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight.iter().any(|r| r.attempt == attempt)
    }

    /// Counts a request for at least `window_ms`.
    pub(crate) fn begin(&mut self, now: u64, attempt: AttemptId, window_ms: u64, cold: bool) {
        self.completed.retain(|until| *until > now);
        let counts_until = now + window_ms;
        self.in_flight.push(InFlight {
            attempt,
            counts_until,
            cold,
        });
    }

    /// Records the head of a request's response, or the end of the request; `answered` tells whether
    /// there was a response. A request to a cold upstream may have arrived at any time up to now, so its
    /// window starts now.
    pub(crate) fn end(&mut self, now: u64, attempt: AttemptId, answered: bool) {
        let Some(i) = self.in_flight.iter().position(|r| r.attempt == attempt) else {
            return;
        };
        let request = self.in_flight.swap_remove(i);
        let window_ms = match (request.cold, answered) {
            (true, true) => COLD_WINDOW_MS,
            (true, false) => TRANSIT_MS,
            (false, _) => 0,
        };
        self.completed
            .push(request.counts_until.max(now + window_ms));
    }
}
