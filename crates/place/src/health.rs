//! Health of an upstream, derived from the outcomes of its requests.

/// Duration of the first ejection, in milliseconds; doubles with each further one until a request
/// succeeds.
const EJECT_MS: u64 = 600;
/// Maximum duration of an ejection, in milliseconds: the upstream may recover at any moment.
const EJECT_MAX_MS: u64 = 4_000;
/// Weight of one outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate without new outcomes, in milliseconds: an upstream that gets no
/// requests could not show that it has recovered.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;
/// Failure rate above which an upstream is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Health of an upstream, as observed by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated_at: u64,
    ejected_until: u64,
    /// Number of ejections since the last successful response.
    ejections: u32,
    on_probation: bool,
}

impl Health {
    /// Returns the recent share of requests that failed.
    pub fn failure_rate(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        self.failure_rate * (0.5f64).powf(elapsed_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Returns whether the upstream is ejected: it gets no requests for now.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the upstream was ejected and has not responded since: it gets one request at
    /// a time until it does.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Records a successful response.
    pub fn record_success(&mut self, now: u64) {
        self.record(now, 0.0);
        self.on_probation = false;
        self.ejections = 0;
    }

    /// Records an error response, which by itself says little about the upstream.
    pub fn record_error(&mut self, now: u64) {
        self.record(now, 1.0);
        self.on_probation = false;
        if self.failure_rate > MAX_FAILURE_RATE {
            self.eject(now);
        }
    }

    /// Records a connection that broke, or a response that was not valid.
    pub fn record_invalid(&mut self, now: u64) {
        self.record(now, 1.0);
        if self.on_probation || self.failure_rate > MAX_FAILURE_RATE {
            self.eject(now);
        }
    }

    /// Records that the upstream could not be reached or did not respond in time.
    pub fn record_unresponsive(&mut self, now: u64) {
        self.record(now, 1.0);
        self.eject(now);
    }

    /// Ends an ejection, because something else has failed than the upstream.
    pub(crate) fn lift_ejection(&mut self) {
        self.ejected_until = 0;
        self.on_probation = false;
    }

    fn record(&mut self, now: u64, failed: f64) {
        let previous = self.failure_rate(now);
        self.failure_rate = previous + (failed - previous) * OUTCOME_WEIGHT;
        self.updated_at = self.updated_at.max(now);
    }

    fn eject(&mut self, now: u64) {
        if self.is_ejected(now) {
            return;
        }
        let duration_ms = (EJECT_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejected_until = now + duration_ms;
        self.ejections += 1;
        self.on_probation = true;
    }
}
