//! How much of a budget is kept for a restart of all instances.
//!
//! What homes hold when all processes end stays charged, for it may have been spent. A budget that is granted down to less than
//! is kept leaves its customer refused to the end of the budget; one that is granted less is out of reach in an outage of
//! the store, for as long as the outage lasts.

use crate::rate::mul_div;

/// Percentages of the time of recovery for which a customer is to have tokens after a loss, for all its requests and for the
/// smaller half of them: it is served again for a while.
const ALL_REQUESTS_PCT: u64 = 125;
const SMALLER_HALF_PCT: u64 = 200;
/// In fleets of so many instances and fewer all of that is kept: each loss of an instance takes the home of one customer in
/// that number with it. In larger ones a home is seldom the one that is lost.
const SMALL_FLEET: u64 = 9;

/// What a customer's requests need after a restart of all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holdback {
    /// Time in which service is to be back, in milliseconds.
    pub(crate) recovery_ms: u64,
    /// The demand of all instances, in tokens a second.
    pub(crate) total_rate: u64,
    /// The part of all tokens asked for that the smaller half of the requests takes, from 0 to 1.
    pub(crate) smaller_half_share: f64,
}

impl Holdback {
    fn demand(self) -> u64 {
        self.total_rate.saturating_mul(self.recovery_ms) / 1000
    }

    /// Returns what all requests need.
    fn all_requests(self) -> u64 {
        self.demand().saturating_mul(ALL_REQUESTS_PCT) / 100
    }

    /// Returns what the smaller half of the requests needs.
    fn smaller_half(self) -> u64 {
        let ration =
            self.demand() as f64 * self.smaller_half_share * SMALLER_HALF_PCT as f64 / 100.0;
        (ration as u64).min(self.all_requests())
    }

    /// Returns what the smaller half needs for the rest of its time, some milliseconds after the first request.
    pub(crate) fn smaller_half_left(self, gone_ms: u64) -> u64 {
        let window = self.recovery_ms * SMALLER_HALF_PCT / 100;
        mul_div(self.smaller_half(), window.saturating_sub(gone_ms), window)
    }

    /// Returns the tokens that are not granted in a fleet of some instances.
    pub(crate) fn withheld(self, sharers: u64) -> u64 {
        let ration = self.smaller_half();
        let rest = self.all_requests() - ration;
        ration + rest * SMALL_FLEET / sharers.max(SMALL_FLEET)
    }
}
