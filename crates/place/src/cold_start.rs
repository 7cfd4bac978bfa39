//! Request limits for upstreams that are cold: just started, or back in service.
//!
//! The upstreams of a zone come back together and idle, so that all instances would choose them at
//! once. A cold upstream sustains a few requests per second from the whole fleet and crashes above
//! that. An equal share of so few requests is less than one for each of hundreds of instances, so a
//! single instance sends all of them: the highest-ranked one for that incarnation. While membership
//! views differ, two or three instances may each rank themselves highest, so each of them uses only
//! a third of the limit. The other instances send nothing, which costs little because an upstream is
//! cold only for some seconds.

/// Number of different membership views at a time with which the limit still holds: before a join,
/// after it, and that of an instance that was cut off earlier.
const MAX_VIEWS: f64 = 3.0;

/// Cold-start settings of a service's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// How long an upstream is cold if its list entry does not say, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold upstream sustains from all instances together; none if there
    /// is no limit.
    pub max_per_sec: Option<f64>,
}

impl ColdStart {
    /// Returns how many requests one instance may send to a cold upstream within a second; none if
    /// there is no limit.
    pub(crate) fn max_per_instance(&self) -> Option<usize> {
        self.max_per_sec.map(|max| (max / MAX_VIEWS) as usize)
    }
}
