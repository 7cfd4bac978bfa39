//! What a request wants of an upstream, and what it gets.

use crate::upstream::{AttemptId, PromptSegment, Spec, UpstreamKey};

/// What a request wants.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The own availability zone.
    pub zone: &'a str,
    /// The parts of its prompt, in order; the last one is its own.
    pub segments: &'a [PromptSegment],
    /// Tokens of its prompt; 0 for a plain call.
    pub prompt_tokens: u32,
    /// Regions whose upstreams it may reach; empty where it may reach all.
    pub regions: &'a [String],
    /// Upstreams that were tried.
    pub tried: &'a [UpstreamKey],
    /// When its answer is no longer wanted, in milliseconds.
    pub deadline: u64,
    /// Whether it may run more than once.
    pub retryable: bool,
    /// Uniform over all values.
    pub random: u64,
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub key: UpstreamKey,
    /// As its list shows it.
    pub spec: Spec,
    /// The request there.
    pub attempt: AttemptId,
    /// Tokens that it will have to read, as far as known.
    pub uncached_tokens: u32,
    /// The same, weighed by how many tokens stand before them.
    pub prefill_work: f64,
    /// When the first token, or the answer, is expected, in milliseconds from now.
    pub expected_ms: f64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// None is known.
    Unknown,
    /// All that are known were tried, leave, or are out.
    NoneLeft,
    /// All that stay have named a time before which they want nothing.
    Resting {
        /// Milliseconds until the first of them does.
        retry_ms: u64,
    },
    /// The zones of all that stay are evacuated.
    Evacuated,
    /// None of those that stay is in a region that the request may reach.
    Outside,
    /// All that stay have just started, or came back, and get no more for now.
    Cold {
        /// Milliseconds until the first of them is warm.
        retry_ms: u64,
    },
    /// All remaining upstreams advertise a request rate limit, and this instance may send no more for now.
    Limited {
        /// Milliseconds until one of them accepts the next request.
        retry_ms: u64,
    },
    /// They are so busy that the answer would come too late.
    Busy {
        /// Milliseconds after which coming back makes sense.
        retry_ms: u64,
    },
}
