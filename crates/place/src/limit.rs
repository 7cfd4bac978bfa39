//! Request rate limit of an upstream, shared by all instances.

/// Fixed-point scale: rates are stored in thousandths of a request per second.
const SCALE: f64 = 1_000.0;

/// A request rate limit, stored as a fixed-point number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit(u64);

impl RateLimit {
    /// Makes a limit from requests per second; none if the value is negative or not finite.
    pub fn from_per_sec(per_sec: f64) -> Option<RateLimit> {
        let valid = per_sec.is_finite() && per_sec >= 0.0;
        valid.then_some(RateLimit((per_sec * SCALE) as u64))
    }

    /// Returns the limit in requests per second.
    pub fn as_per_sec(self) -> f64 {
        self.0 as f64 / SCALE
    }
}
