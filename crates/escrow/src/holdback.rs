//! Tokens held back from grants, for a customer's requests after a failure of all instances.
//!
//! The tokens that homes hold when all processes end stay charged, because they may have been spent. With too few held
//! back, the customer's requests are then refused until the end of the budget. With too many, requests are refused in
//! an outage of the store, for as long as it lasts, because nothing can be granted meanwhile.

use crate::mul_div::mul_div;

/// How long a customer's tokens are to last after a failure of all instances, in percent of the recovery time, for all
/// its requests and for the smaller half of them. More than 100, so that it is served for a while after recovery.
const ALL_REQUESTS_PCT: u64 = 125;
const SMALLER_HALF_PCT: u64 = 200;
/// Fleets of up to this many instances hold back what all requests need, because at least one customer in nine loses
/// its home there when an instance fails. In larger fleets, the failed instance is seldom a given customer's home, so
/// less is held back for the larger half of the requests.
const SMALL_FLEET: u64 = 9;
/// Maximum part of what is left of a budget that a larger fleet holds back, in percent: near the end of a budget, an outage
/// of the store is covered for a third of the rest, and a failure of all instances strands no more than that.
const MAX_LARGE_FLEET_PCT: u64 = 67;

/// What a customer's requests need after a failure of all instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holdback {
    /// Size of the fleet.
    pub(crate) instances: u64,
    /// Time until service is back, in milliseconds.
    pub(crate) recovery_ms: u64,
    /// Usual demand of all instances, in tokens per second.
    pub(crate) total_rate: u64,
    /// Share of the smaller half of the requests in all requested tokens, from 0 to 1.
    pub(crate) smaller_half_share: f64,
}

impl Holdback {
    /// Returns the demand during the recovery time, in tokens.
    fn demand(self) -> u64 {
        self.total_rate.saturating_mul(self.recovery_ms) / 1000
    }

    /// Returns the tokens that all requests need.
    fn all_requests(self) -> u64 {
        self.demand().saturating_mul(ALL_REQUESTS_PCT) / 100
    }

    /// Returns the tokens that the smaller half of the requests needs.
    fn smaller_half(self) -> u64 {
        let tokens =
            self.demand() as f64 * self.smaller_half_share * SMALLER_HALF_PCT as f64 / 100.0;
        (tokens as u64).min(self.all_requests())
    }

    /// Returns the tokens that the smaller half of the requests still needs, given the time since the first request.
    pub(crate) fn smaller_half_left(self, elapsed_ms: u64) -> u64 {
        let window = self.recovery_ms * SMALLER_HALF_PCT / 100;
        mul_div(
            self.smaller_half(),
            window.saturating_sub(elapsed_ms),
            window,
        )
    }

    /// Returns the tokens that are not granted, given those that are left of the budget.
    pub(crate) fn withheld(self, remaining: u64) -> u64 {
        if self.instances <= SMALL_FLEET {
            return self.all_requests();
        }
        let smaller_half = self.smaller_half();
        let rest = self.all_requests() - smaller_half;
        let needed = smaller_half + rest * SMALL_FLEET / self.instances;
        needed.min(mul_div(remaining, MAX_LARGE_FLEET_PCT, 100))
    }
}
