//! Latency estimates of a service, learned from its requests.

/// Initial estimate of an engine's prefill time per token, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.016;
/// Minimum prefill time per token, in milliseconds: a million tokens per second. Samples are bounded by multiples of the
/// average, so an average near 0 would not recover.
const MIN_PREFILL_MS_PER_TOKEN: f64 = 0.001;
/// Time to an engine's first token in addition to the prefill, in milliseconds.
pub(crate) const FIRST_TOKEN_MS: f64 = 10.0;
/// Initial estimate of the latency of a plain call, in milliseconds.
pub(crate) const INITIAL_CALL_MS: f64 = 50.0;
/// Weight of one request in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// The prefill may process each token against all tokens before it. As far as nothing else is learnt, a token
/// with this many before it takes twice as long as the first one.
const CONTEXT_DOUBLING_TOKENS: f64 = 24_000.0;
/// Range of the learnt effect of the tokens before one, relative to that.
const CONTEXT_EFFECT_RANGE: (f64, f64) = (0.0, 2.0);
/// Weight of the initial effect, as a number of tokens read: some ten long prompts.
const INITIAL_CONTEXT_WEIGHT: f64 = 50_000.0;
/// Weight of the same effect that stays beside all samples, as a number of tokens read: prompts of about one size say
/// nothing about the effect.
const LASTING_CONTEXT_WEIGHT: f64 = 5_000.0;
/// Factor on the weight of earlier samples of the effect with each new one: it is a property of the engine, so
/// that many samples are better than new ones.
const CONTEXT_SAMPLE_DECAY: f64 = 0.998;
/// Number of requests that the initial estimate counts for: engines of other services may be twice as fast or
/// slow, and a new instance should not expect wrong times for its first hundred requests.
const INITIAL_SAMPLES: u32 = 3;
/// Minimum prefill work of a sample, in tokens: shorter prefills say little about the time per token.
const MIN_SAMPLE_WORK: f64 = 1_000.0;
/// Factor on the weight of samples above the average: a request that waited for others takes longer
/// than its own prefill.
const SLOW_SAMPLE_FACTOR: f64 = 0.1;

/// Maximum of a sample whose wait for others is known, as a multiple of the average: the rest is a wait
/// that was not known after all.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// Minimum of such a sample, as a multiple of the average; below it the sample counts as one whose wait is
/// not known.
const MIN_SAMPLE_RATIO: f64 = 0.5;

/// A request that has got its first token, or its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Estimated number of prompt tokens that were not in the upstream's prefix cache.
    pub(crate) uncached_tokens: u32,
    /// Work of the prefill, in tokens.
    pub(crate) prefill_work: f64,
    /// Mean number of tokens before each of the uncached ones.
    pub(crate) mean_context: f64,
    /// Time to the first token, or to the response, in milliseconds.
    pub(crate) took_ms: f64,
    /// Wait for other prompts that was known when it was sent, in milliseconds.
    pub(crate) known_wait_ms: Option<f64>,
}

/// Latency averages of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate {
    /// Prefill time of an engine per token, in milliseconds.
    pub(crate) prefill_ms_per_token: f64,
    /// Latency of a plain call, in milliseconds.
    pub(crate) call_ms: f64,
    /// Number of prefills with a known wait.
    prefills: u32,
    context: ContextFit,
}

/// Fits a line to the time per token over the number of tokens before it, each sample weighted by its tokens.
#[derive(Clone, Copy, Debug, Default)]
struct ContextFit {
    weight: f64,
    x: f64,
    xx: f64,
    y: f64,
    xy: f64,
}

impl ContextFit {
    /// Records a time per token, in milliseconds, with some tokens before each.
    fn record(&mut self, weight: f64, mean_context: f64, ms_per_token: f64) {
        let x = mean_context / CONTEXT_DOUBLING_TOKENS;
        let decayed = |sum: f64, new: f64| sum * CONTEXT_SAMPLE_DECAY + new * weight;
        *self = ContextFit {
            weight: decayed(self.weight, 1.0),
            x: decayed(self.x, x),
            xx: decayed(self.xx, x * x),
            y: decayed(self.y, ms_per_token),
            xy: decayed(self.xy, x * ms_per_token),
        };
    }

    /// Returns the fit with the presumed effect beside the samples, at a time per token without tokens before it.
    fn with_presumption(&self, ms_per_token: f64) -> ContextFit {
        let weight = LASTING_CONTEXT_WEIGHT / 2.0;
        // One point without tokens before it, and one with `CONTEXT_DOUBLING_TOKENS`.
        ContextFit {
            weight: self.weight + 2.0 * weight,
            x: self.x + weight,
            xx: self.xx + weight,
            y: self.y + weight * ms_per_token * 3.0,
            xy: self.xy + weight * ms_per_token * 2.0,
        }
    }

    /// Returns the additional time per token at `CONTEXT_DOUBLING_TOKENS` tokens before it, as a multiple of the time
    /// without any, which is about `ms_per_token`.
    fn effect(&self, ms_per_token: f64) -> f64 {
        let fit = self.with_presumption(ms_per_token);
        let slope = fit.weight * fit.xy - fit.x * fit.y;
        let intercept = fit.y * fit.xx - fit.x * fit.xy;
        if intercept <= 0.0 {
            return CONTEXT_EFFECT_RANGE.1;
        }
        (slope / intercept).clamp(CONTEXT_EFFECT_RANGE.0, CONTEXT_EFFECT_RANGE.1)
    }
}

/// Returns the mean number of tokens before each of the last tokens of a prompt.
pub(crate) fn mean_context(uncached_tokens: u32, prompt_tokens: u32) -> f64 {
    f64::from(prompt_tokens) - f64::from(uncached_tokens) / 2.0
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        let mut context = ContextFit::default();
        let at = |context| INITIAL_PREFILL_MS_PER_TOKEN * (1.0 + context / CONTEXT_DOUBLING_TOKENS);
        for tokens in [0.0, CONTEXT_DOUBLING_TOKENS] {
            context.record(INITIAL_CONTEXT_WEIGHT / 2.0, tokens, at(tokens));
        }
        LatencyEstimate {
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            call_ms: INITIAL_CALL_MS,
            prefills: 0,
            context,
        }
    }
}

impl LatencyEstimate {
    /// Records a request; returns the expected time without other load.
    pub(crate) fn record(&mut self, sample: Sample) -> f64 {
        if sample.uncached_tokens > 0 {
            self.record_prefill(sample);
            return FIRST_TOKEN_MS + sample.prefill_work * self.prefill_ms_per_token;
        }
        self.call_ms += (sample.took_ms - self.call_ms) * SAMPLE_WEIGHT;
        self.call_ms
    }

    /// Returns the work of the prefill of the last tokens of a prompt, as an equivalent number of tokens at
    /// its start.
    pub(crate) fn prefill_work(&self, uncached_tokens: u32, prompt_tokens: u32) -> f64 {
        let context = mean_context(uncached_tokens, prompt_tokens) / CONTEXT_DOUBLING_TOKENS;
        let effect = self.context.effect(self.prefill_ms_per_token);
        f64::from(uncached_tokens) * (1.0 + context * effect)
    }

    fn record_prefill(&mut self, sample: Sample) {
        if sample.prefill_work < MIN_SAMPLE_WORK {
            return;
        }
        let previous = self.prefill_ms_per_token;
        if let Some(wait_ms) = sample.known_wait_ms {
            let tokens = f64::from(sample.uncached_tokens);
            let read_ms = (sample.took_ms - FIRST_TOKEN_MS - wait_ms).max(0.0);
            let expected_ms = sample.prefill_work * previous;
            let bounds = (
                expected_ms * MIN_SAMPLE_RATIO,
                expected_ms * MAX_SAMPLE_RATIO,
            );
            let per_token = read_ms.clamp(bounds.0, bounds.1) / tokens;
            self.context.record(tokens, sample.mean_context, per_token);
        }
        let per_token = |wait_ms: f64| {
            let read_ms = sample.took_ms - FIRST_TOKEN_MS - wait_ms;
            read_ms.max(0.0) / sample.prefill_work
        };
        let after_wait = sample.known_wait_ms.map(per_token);
        // A wait that leaves too little time for the reading did not take place.
        let after_wait = after_wait.filter(|ms| *ms >= previous * MIN_SAMPLE_RATIO);
        let (per_token, weight) = match (after_wait, per_token(0.0)) {
            (Some(ms), _) => (
                ms.min(previous * MAX_SAMPLE_RATIO),
                self.known_wait_weight(),
            ),
            (None, ms) if ms > previous => (ms, SAMPLE_WEIGHT * SLOW_SAMPLE_FACTOR),
            (None, ms) => (ms, SAMPLE_WEIGHT),
        };
        let updated = previous + (per_token - previous) * weight;
        self.prefill_ms_per_token = updated.max(MIN_PREFILL_MS_PER_TOKEN);
    }

    /// Returns the weight of a prefill whose wait is known. The first ones count for more.
    fn known_wait_weight(&mut self) -> f64 {
        self.prefills = self.prefills.saturating_add(1);
        let samples = self.prefills.saturating_add(INITIAL_SAMPLES);
        (1.0 / f64::from(samples)).max(SAMPLE_WEIGHT)
    }
}
