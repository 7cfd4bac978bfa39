//! Request rate limit of an upstream, shared by all instances.
//!
//! An overloaded upstream may ask for a few requests per second while hundreds of instances have requests for it. Each limit is
//! divided equally among one instance per request per second plus three more, so that losing an instance costs only its share
//! and no instance has to send a large limit alone. Shares are spread over time, which keeps the total in any four seconds close
//! to four times the limit even while other instances take over.

/// Fixed-point scale: rates are stored in thousandths of a request per second.
const SCALE: f64 = 1_000.0;
/// Number of sharers in addition to one per request per second.
const EXTRA_SHARERS: usize = 3;
/// Minimum rate, in requests per second: only a response to a request can show that a limit no longer applies.
const MIN_PER_SEC: f64 = 0.1;

/// A request rate limit, stored as a fixed-point number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit(u32);

impl RateLimit {
    /// Creates a limit from requests per second; none if the value is negative or not finite. Values out of range are clamped.
    pub fn from_per_sec(per_sec: f64) -> Option<RateLimit> {
        let valid = per_sec.is_finite() && per_sec >= 0.0;
        valid.then_some(RateLimit((per_sec * SCALE) as u32))
    }

    /// Returns the limit in requests per second.
    pub fn as_per_sec(self) -> f64 {
        f64::from(self.0) / SCALE
    }

    /// Creates a limit from its fixed-point number.
    pub fn from_bits(bits: u32) -> RateLimit {
        RateLimit(bits)
    }

    /// Returns the fixed-point number.
    pub fn to_bits(self) -> u32 {
        self.0
    }

    /// Returns how many of the given number of instances share the limit.
    pub(crate) fn sharers(self, instances: usize) -> usize {
        let sharers = (self.as_per_sec().ceil() as usize).saturating_add(EXTRA_SHARERS);
        sharers.min(instances).max(1)
    }

    /// Returns the share of one of `sharers` instances, valid from the time `starts_at`.
    pub(crate) fn share(self, sharers: usize, starts_at: u64) -> Share {
        let rate = self.as_per_sec().max(MIN_PER_SEC) / sharers as f64;
        let max_requests = rate.floor().max(1.0);
        Share {
            starts_at,
            max_requests: max_requests as usize,
            window_ms: (max_requests / rate * 1_000.0).ceil() as u64,
        }
    }

    /// Returns the mean interval between requests at this rate, in milliseconds.
    pub(crate) fn interval_ms(self) -> u64 {
        (1_000.0 / self.as_per_sec().max(MIN_PER_SEC)) as u64
    }
}

/// The share of a limit that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Share {
    /// Start of validity, in milliseconds.
    pub(crate) starts_at: u64,
    /// Maximum number of requests within a window.
    pub(crate) max_requests: usize,
    pub(crate) window_ms: u64,
}

/// The limit that an incarnation of an upstream advertises, with its number of changes as a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionedLimit {
    /// The limit; none if its responses have none.
    pub rate: Option<RateLimit>,
    /// Number of changes so far.
    pub changes: u32,
}

impl VersionedLimit {
    /// Returns whether this replaces `other`: it has more changes or, of two concurrent changes, is the stricter one.
    pub fn supersedes(&self, other: &VersionedLimit) -> bool {
        let strictness = |l: &VersionedLimit| l.rate.map_or(0, |r| u32::MAX - r.0);
        (self.changes, strictness(self)) > (other.changes, strictness(other))
    }

    /// Returns whether a limit allows more requests than the previous one.
    pub(crate) fn loosens(limit: Option<RateLimit>, previous: Option<RateLimit>) -> bool {
        match (limit, previous) {
            (None, previous) => previous.is_some(),
            (Some(limit), Some(previous)) => limit > previous,
            (Some(_), None) => false,
        }
    }
}
