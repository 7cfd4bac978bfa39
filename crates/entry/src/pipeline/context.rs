//! The context of a request, which its stages share.

use std::sync::Arc;

use budget::msg::AttemptRef;
use bytes::Bytes;
use conf::Policy;
use route::{Choice, UpstreamKey};
use smallvec::SmallVec;

use crate::shared_state::{ActiveConfig, SharedState};

/// A hold: tokens that are reserved for the request at an instance, the holder.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Incarnation of the holder.
    pub holder: String,
    /// Number of the hold at that holder.
    pub number: u64,
    /// Number of reserved tokens.
    pub tokens: u64,
    /// The attempt to join, if it was started by an earlier request with the same id.
    pub joined: Option<AttemptRef>,
    /// The tokens that were billed, if the request has already finished.
    pub billed: Option<u64>,
}

/// The context of one request.
pub struct RequestContext {
    /// The state of the instance.
    pub shared: Arc<SharedState>,
    /// Id of the request.
    pub id: String,
    /// Name of the customer.
    pub customer: String,
    /// The customer's policy in the configuration that was active on arrival.
    pub policy: Policy,
    /// The configuration that was active on arrival.
    pub active: Arc<ActiveConfig>,
    /// Time of arrival, in microseconds.
    pub arrived_us: u64,
    /// Whether the caller chose the id and may therefore send the request again to get the
    /// response.
    pub has_caller_id: bool,
    /// Deadline of the response, in milliseconds.
    pub deadline: u64,
    /// The unmodified body.
    pub body: Bytes,
    /// The chosen upstream.
    pub upstream: Option<Choice>,
    /// Id of the current attempt at the upstream.
    pub attempt_id: String,
    /// Upstreams that were chosen for this request so far.
    pub tried: SmallVec<[UpstreamKey; 4]>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The hold that pays for the request.
    pub hold: Option<Hold>,
}

impl RequestContext {
    /// Records a step of the request in the journal.
    pub fn record_step(&self, description: impl Into<String>) {
        self.shared.record_step(&self.id, description);
    }

    /// Generates a unique id for the next attempt.
    ///
    /// By this id, late events of another attempt are recognized. Each home that is asked for a
    /// reservation gets its own id: a home that did not respond in time may later cancel the
    /// attempt that it knows, and must not hit the one that another home's hold pays for.
    pub fn new_attempt_id(&mut self) {
        self.attempt_id = format!("{}~{:08x}", self.id, rand::random::<u32>());
    }

    /// Returns the upstream and the id of the current attempt.
    pub fn attempt_ref(&self) -> AttemptRef {
        let upstream = self.upstream.as_ref().map(|u| u.id.clone());
        AttemptRef {
            upstream: upstream.unwrap_or_default(),
            id: self.attempt_id.clone(),
        }
    }

    /// Returns the milliseconds until the deadline.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.shared.clock.now())
    }
}
