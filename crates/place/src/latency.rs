//! Latency estimates of a service, learned from its requests.

/// Initial estimate of an engine's prefill time per token, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.016;
/// Time to an engine's first token in addition to the prefill, in milliseconds.
pub(crate) const FIRST_TOKEN_MS: f64 = 10.0;
/// Initial estimate of the latency of a plain call, in milliseconds.
pub(crate) const INITIAL_CALL_MS: f64 = 50.0;
/// Weight of one request in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Minimum prefill work of a sample, in tokens: shorter prefills say little about the time per token.
const MIN_SAMPLE_WORK: f64 = 1_000.0;
/// Factor on the weight of samples above the average: a request that waited for others takes longer
/// than its own prefill.
const SLOW_SAMPLE_FACTOR: f64 = 0.1;

/// Latency averages of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate {
    /// Prefill time of an engine per token, in milliseconds.
    pub(crate) prefill_ms_per_token: f64,
    /// Latency of a plain call, in milliseconds.
    pub(crate) call_ms: f64,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        LatencyEstimate {
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            call_ms: INITIAL_CALL_MS,
        }
    }
}

impl LatencyEstimate {
    /// Records the time to the first token, or to the response, of a request; returns the expected
    /// time without other load.
    pub(crate) fn record(&mut self, uncached_tokens: u32, prefill_work: f64, took_ms: f64) -> f64 {
        if uncached_tokens > 0 {
            self.record_prefill(prefill_work, took_ms);
            return FIRST_TOKEN_MS + prefill_work * self.prefill_ms_per_token;
        }
        self.call_ms += (took_ms - self.call_ms) * SAMPLE_WEIGHT;
        self.call_ms
    }

    fn record_prefill(&mut self, prefill_work: f64, took_ms: f64) {
        if prefill_work < MIN_SAMPLE_WORK {
            return;
        }
        let sample = (took_ms - FIRST_TOKEN_MS).max(0.0) / prefill_work;
        let factor = if sample > self.prefill_ms_per_token {
            SLOW_SAMPLE_FACTOR
        } else {
            1.0
        };
        self.prefill_ms_per_token += (sample - self.prefill_ms_per_token) * SAMPLE_WEIGHT * factor;
    }
}
