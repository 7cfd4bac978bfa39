//! What a request asks for, independent of the wire format.

use place::PromptSegment;
use smallvec::SmallVec;
use suspect::Segment;

/// The content of a request's head, as parsed by a dialect.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Id of the request; the response of an upstream must have the same id.
    pub id: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The host to which the request is addressed.
    pub host: String,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Number of tokens in the prompt; 0 for a plain call.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_response_tokens: u32,
    /// Number of tokens that the caller expects in the response; none if it does not say.
    pub response_tokens_hint: Option<u64>,
    /// Segments of the prompt, in order; no other request shares the last one.
    pub prompt_segments: SmallVec<[PromptSegment; 4]>,
    /// Id of the last event of the stream that the caller has received.
    pub last_event_id: Option<u64>,
    /// Id of the request whose response brought the first event of the stream that this one continues.
    pub resumes: Option<String>,
}

impl RequestInfo {
    /// Returns the segments of the prompt that requests for a service share: all but the last.
    pub(crate) fn shared_segments(&self, service: &str) -> SmallVec<[Segment; 4]> {
        let mut segments = SmallVec::new();
        let shared = self.prompt_segments.len().saturating_sub(1);
        for segment in &self.prompt_segments[..shared] {
            let segment = Segment::new(service, segment.id);
            if !segments.contains(&segment) {
                segments.push(segment);
            }
        }
        segments
    }

    /// Returns the maximum number of tokens that the request can cost.
    pub fn max_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_response_tokens)
    }
}

/// What the router tells the upstream in one attempt, in addition to the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The intended upstream; another one at the same address must refuse the request.
    pub upstream: &'a str,
    /// The customer; `None` if the route is public, or the configuration contains no accounts.
    pub customer: Option<&'a str>,
    /// Time until the response is no longer wanted, in milliseconds.
    pub remaining_ms: u64,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The priority that an engine is told; 0 is the most urgent. `None` if the upstream is not one.
    pub engine_priority: Option<u8>,
}
