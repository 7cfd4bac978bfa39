//! Whether another instance is called: decided from its responses and from calls without one.
//!
//! A call without a response in time has the same look whether the instance is busy, is gone, or is
//! reached over a connection that went silent. If it has responded to any call since that one began,
//! it is alive and only slow. Otherwise calls are withheld, since requests wait for them, and a check
//! over a new connection ends that as soon as the instance responds.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which an instance that did not respond is not called again, unless it responds earlier.
pub(crate) const BACKOFF: Duration = Duration::from_millis(1_500);

/// What a call without a response means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The instance has responded to other calls meanwhile: it is called as before.
    Slow,
    /// The instance was silent: it is not called for a while, and is to be checked.
    Silent,
    /// The instance is already not called, and the check is under way.
    BackingOff,
}

/// What is known of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    responded_at: Option<Instant>,
    backoff_until: Option<Instant>,
    unresponsive: bool,
}

impl Liveness {
    /// Records a response, which ends the back-off.
    pub(crate) fn record_response(&mut self, now: Instant) {
        *self = Liveness {
            responded_at: Some(now),
            ..Liveness::default()
        };
    }

    /// Records that a call has failed or has had no response in time.
    pub(crate) fn record_failure(&mut self, now: Instant, began_at: Instant) -> Verdict {
        if self.has_responded_since(began_at) {
            return Verdict::Slow;
        }
        if self.is_backing_off(now) {
            return Verdict::BackingOff;
        }
        self.unresponsive = true;
        self.backoff_until = Some(now + BACKOFF);
        Verdict::Silent
    }

    /// Returns whether the instance has responded to any call since a time.
    pub(crate) fn has_responded_since(&self, since: Instant) -> bool {
        self.responded_at.is_some_and(|at| at >= since)
    }

    /// Returns whether the instance is not called at present.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the last call was not answered: the instance may be gone although it is listed.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }
}

#[cfg(test)]
#[path = "../tests/unit/liveness.rs"]
mod tests;
