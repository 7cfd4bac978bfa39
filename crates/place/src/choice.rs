//! What a request requires of an upstream, and the result of the choice.

use engine::{Estimate, MemoryView};

use crate::pool::InquiredEngine;
use crate::upstream::{AttemptId, PromptSegment, Spec, Upstream, UpstreamKey};

/// What a request requires of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The only software version that may serve the request, because it began the stream that the request
    /// continues; none if all may.
    pub version: Option<&'a str>,
    /// The software versions at which the request may begin its stream; none if it may at all versions, or begins no
    /// stream that its caller may continue.
    pub recorded_versions: Option<&'a [String]>,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// Segments of the prompt, in order; no other request shares the last one.
    pub segments: &'a [PromptSegment],
    /// Number of tokens in the prompt; 0 for a plain call.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the response to a prompt.
    pub output_tokens: u32,
    /// Number of tokens that fit into the memory of an engine of the service; 0 if unknown.
    pub kv_capacity_tokens: u64,
    /// Regions whose upstreams may serve the request; empty if all may.
    pub regions: &'a [String],
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamKey],
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Until when the first token is on time, in milliseconds; none if the sooner, the better.
    pub on_time_until: Option<u64>,
    /// When the response is no longer wanted, in milliseconds.
    pub deadline: u64,
    /// Whether the request may run more than once.
    pub retryable: bool,
    /// Whether the request has another attempt left, so that it may check whether an upstream uses its
    /// address.
    pub may_check: bool,
    /// A uniformly distributed random number.
    pub random: u64,
}

impl Criteria<'_> {
    /// Returns whether an upstream belongs to the service, and has a version that may serve the request.
    pub(crate) fn is_served_by(&self, up: &Upstream) -> bool {
        let version = &up.spec.version;
        up.spec.service == self.service
            && self.version.is_none_or(|only| version == only)
            && self
                .recorded_versions
                .is_none_or(|all| all.contains(version))
    }

    /// Returns the number of prompt tokens that no other request shares.
    pub(crate) fn own_tokens(&self) -> u32 {
        self.segments
            .last()
            .map_or(self.prompt_tokens, |s| s.tokens)
    }

    /// Returns the tokens that the request is expected to hold in an engine's memory, at most all of it; none
    /// if it is a plain call or the engines' capacity is unknown.
    pub(crate) fn needed_tokens(&self) -> Option<u64> {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        let has_memory = self.prompt_tokens > 0 && self.kv_capacity_tokens > 0;
        has_memory.then(|| tokens.min(self.kv_capacity_tokens))
    }

    /// Returns whether the prompt leaves no room for a response in an empty engine.
    pub(crate) fn exceeds_engines(&self) -> bool {
        self.kv_capacity_tokens > 0 && u64::from(self.prompt_tokens) >= self.kv_capacity_tokens
    }
}

/// The chosen upstream.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub key: UpstreamKey,
    /// The upstream's list entry.
    pub spec: Spec,
    /// The attempt to serve the request there.
    pub attempt: AttemptId,
    /// Estimated number of prompt tokens that are not in the upstream's prefix cache.
    pub uncached_tokens: u32,
    /// Work of the prefill: the uncached tokens, each weighted by the number of tokens before it.
    pub prefill_work: f64,
    /// Mean number of tokens before each of the uncached ones.
    pub mean_context: f64,
    /// Duration of the prefill at the usual speed, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to the first token, or to the response of a plain call, in milliseconds.
    pub expected_ms: f64,
    /// What was known of the upstream's load.
    pub load: Estimate,
    /// What was known of its memory; none if its capacity is unknown.
    pub memory: Option<MemoryView>,
    /// The first-ranked engine of the prompt's prefix, if accounts are used and this is another one that has to
    /// read the prefix.
    pub copy_of: Option<InquiredEngine>,
}

/// Why no upstream was chosen. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No upstream of the service is listed, or none of the only version that may serve the request that
    /// is not leaving.
    Unknown,
    /// All listed upstreams were tried, are leaving or are ejected.
    NoneLeft,
    /// No remaining upstream accepts a request now, and at least one of them is paused: it has
    /// announced until when it accepts none.
    Resting {
        /// Milliseconds until the first pause ends.
        retry_ms: u64,
    },
    /// The zones of all remaining upstreams are evacuated.
    Evacuated,
    /// No remaining upstream is in a region that the request may reach.
    Outside,
    /// No remaining upstream accepts a request now, and at least one of them is cold: this instance
    /// may send it no more for now.
    Cold {
        /// Milliseconds until the first cold one is warm.
        retry_ms: u64,
    },
    /// No remaining upstream accepts a request now, and at least one of them advertises a request rate
    /// limit: this instance may send it no more for now.
    Limited {
        /// Milliseconds after which a retry makes sense: a limited one should accept a request by then.
        retry_ms: u64,
    },
    /// The prompt does not fit into the memory of any engine of the service.
    TooLarge,
    /// The upstreams are full.
    Busy {
        /// Milliseconds after which a retry makes sense.
        retry_ms: u64,
    },
    /// The upstreams are so busy that the response to this request would come after its deadline; others may
    /// be accepted.
    TooLate {
        /// Milliseconds after which a retry makes sense.
        retry_ms: u64,
    },
}
