//! What a request asks for, in the product's terms.

use place::PromptSegment;
use smallvec::SmallVec;

/// A request, as a dialect reads it from its head.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The request's id: an upstream's answer must bear it.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// The host that it is for.
    pub host: String,
    /// How long its caller waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Tokens of its prompt; 0 for a plain call.
    pub prompt: u32,
    /// The most tokens that its answer may have.
    pub answer_most: u32,
    /// The parts of its prompt, in order; the last one is its own.
    pub parts: SmallVec<[PromptSegment; 4]>,
    /// The last event that its caller has of this stream.
    pub after_event: Option<u64>,
}

impl Ask {
    /// Returns the most tokens that it can cost.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.answer_most)
    }
}

/// What one attempt tells its upstream besides the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// The upstream that is meant; another one at its address must refuse.
    pub upstream: &'a str,
    /// The customer; none on routes that need no key.
    pub customer: Option<&'a str>,
    /// How long the answer is wanted, in milliseconds.
    pub left_ms: u64,
    /// The last event that the caller has.
    pub after_event: Option<u64>,
}
