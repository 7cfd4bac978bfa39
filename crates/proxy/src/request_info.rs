//! What a request asks for, in the product's terms.

use place::PromptSegment;
use smallvec::SmallVec;

/// A request, as a dialect reads it from its head.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The request's id: an upstream's answer must bear it.
    pub id: String,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The host that it is for.
    pub host: String,
    /// How long its caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Tokens of its prompt; 0 for a plain call.
    pub prompt_tokens: u32,
    /// The most tokens that its answer may have.
    pub max_response_tokens: u32,
    /// The parts of its prompt, in order; the last one is its own.
    pub prompt_segments: SmallVec<[PromptSegment; 4]>,
    /// The last event that its caller has of this stream.
    pub last_event_id: Option<u64>,
}

impl RequestInfo {
    /// Returns the most tokens that it can cost.
    pub fn max_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_response_tokens)
    }
}

/// What one attempt tells its upstream besides the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The upstream that is meant; another one at its address must refuse.
    pub upstream: &'a str,
    /// The customer; none on routes that need no key.
    pub customer: Option<&'a str>,
    /// How long the answer is wanted, in milliseconds.
    pub remaining_ms: u64,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}
