//! Requests to a throttled upstream that count against its limit.

use smallvec::SmallVec;

use crate::upstream::AttemptId;

/// Window in which requests to a cold upstream are counted, in milliseconds.
const SECOND_MS: u64 = 1_000;
/// How long an abandoned request to a cold upstream may still be in transit, in milliseconds.
const UNDER_WAY_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct InFlight {
    ticket: AttemptId,
    /// Earliest time at which it stops counting, in milliseconds.
    counts_until: u64,
    /// Whether the upstream was cold when the request was sent.
    cold: bool,
}

/// The requests that count against the limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sent {
    under_way: SmallVec<[InFlight; 8]>,
    /// When each completed request stops counting.
    until: SmallVec<[u64; 8]>,
}

impl Sent {
    /// Returns the number of requests that count.
    pub(crate) fn count(&self, now: u64) -> usize {
        let ended = self.until.iter().filter(|until| **until > now).count();
        self.under_way.len() + ended
    }

    /// Returns when the next completed request stops counting, in milliseconds.
    pub(crate) fn next_expiry(&self, now: u64) -> Option<u64> {
        self.until.iter().copied().filter(|u| *u > now).min()
    }

    /// Returns whether a request counts and is still in flight.
    pub(crate) fn holds(&self, ticket: AttemptId) -> bool {
        self.under_way.iter().any(|r| r.ticket == ticket)
    }

    /// Counts a request for at least `window_ms`.
    pub(crate) fn begin(&mut self, now: u64, ticket: AttemptId, window_ms: u64, cold: bool) {
        self.until.retain(|until| *until > now);
        let counts_until = now + window_ms;
        self.under_way.push(InFlight {
            ticket,
            counts_until,
            cold,
        });
    }

    /// Records the head of a request's answer, or the end of the request; `answered` tells whether there was an answer. A request
    /// to a cold upstream may have arrived at any time up to now, so its window starts now.
    pub(crate) fn end(&mut self, now: u64, ticket: AttemptId, answered: bool) {
        let Some(i) = self.under_way.iter().position(|r| r.ticket == ticket) else {
            return;
        };
        let request = self.under_way.swap_remove(i);
        let wait = match (request.cold, answered) {
            (true, true) => SECOND_MS,
            (true, false) => UNDER_WAY_MS,
            (false, _) => 0,
        };
        self.until.push(request.counts_until.max(now + wait));
    }
}
