//! The context of one request: it travels through the filters.

use std::sync::Arc;

use budget::msg::AttemptRef;
use bytes::Bytes;
use conf::Policy;
use route::{Choice, UpstreamKey};
use smallvec::SmallVec;

use crate::shared::{Active, Shared};

/// A hold of tokens at its holder.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The holder, an incarnation.
    pub holder: String,
    /// The hold's number there.
    pub number: u64,
    /// Tokens.
    pub tokens: u64,
    /// Where the request runs, when another entry has begun it.
    pub joined: Option<AttemptRef>,
    /// Tokens that were billed before, when the request is finished.
    pub billed: Option<u64>,
}

/// The context of one request.
pub struct Cx {
    /// What the instance's tasks share.
    pub shared: Arc<Shared>,
    /// The request's id.
    pub id: String,
    /// The customer.
    pub customer: String,
    /// What holds for the customer, from the configuration that the request began with.
    pub policy: Policy,
    /// The configuration that the request began with.
    pub active: Arc<Active>,
    /// When the request came, in microseconds.
    pub began_us: u64,
    /// Whether the caller chose the id, and so may come back for the answer.
    pub keyed: bool,
    /// When its caller's time is over, in milliseconds.
    pub deadline: u64,
    /// The body as it came.
    pub body: Bytes,
    /// The chosen upstream.
    pub upstream: Option<Choice>,
    /// The name of the current attempt at the upstream.
    pub run: String,
    /// Upstreams that were tried.
    pub tried: SmallVec<[UpstreamKey; 4]>,
    /// Attempts so far.
    pub attempts: u32,
    /// The tokens held for it.
    pub hold: Option<Hold>,
}

impl Cx {
    /// Adds a step to the request's journal.
    pub fn step(&self, what: impl Into<String>) {
        self.shared.step(&self.id, what);
    }

    /// Names the next run at an upstream, unlike any before.
    ///
    /// A late part of another run is told apart by it. A home that was given up, and later asks the
    /// upstream what its reservation spent, must not find the run that another home holds.
    pub fn name_run(&mut self) {
        self.run = format!("{}~{:08x}", self.id, rand::random::<u32>());
    }

    /// Returns where the current attempt runs.
    pub fn run_at(&self) -> AttemptRef {
        let upstream = self.upstream.as_ref().map(|u| u.id.clone());
        AttemptRef {
            upstream: upstream.unwrap_or_default(),
            id: self.run.clone(),
        }
    }

    /// Returns the milliseconds until the deadline.
    pub fn left_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.shared.clock.now())
    }
}
