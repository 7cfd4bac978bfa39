//! How many requests reach an upstream that is cold: just started, or back in service.
//!
//! The load that this answers: a zone's upstreams come back together, empty, so that every instance would choose them at
//! once. A cold upstream bears a few requests a second from the whole fleet and crashes above that. A part of so few for each
//! of hundreds of instances is less than one, so one instance has them all: the first in rank for that incarnation. Views
//! of the fleet differ for a while, and then two instances or three take themselves for the first one; each keeps to a
//! third of the bound. The others send nothing, which costs little, for an upstream is cold for some seconds.

/// Views of the fleet that may differ at the same time without passing the bound: before and after a join, and one that
/// was cut off earlier.
const VIEWS: f64 = 3.0;

/// How a service's upstreams behave while they are cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// How long one is cold that says nothing of it, in milliseconds.
    pub duration_ms: u64,
    /// Requests that one bears in a second from all instances together; none where there is no such bound.
    pub max_per_sec: Option<f64>,
}

impl ColdStart {
    /// Returns the requests that one instance may have at a cold upstream within a second.
    pub(crate) fn own_part(&self) -> Option<usize> {
        self.max_per_sec.map(|max| (max / VIEWS) as usize)
    }
}
