//! How many tokens a holder takes at a time.
//!
//! Large grants live through outages and partitions; small ones strand and fragment less.

use serde::{Deserialize, Serialize};

/// How grants are sized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantSizing {
    /// A share of what is free, by the customer's weight: tapers as the budget drains.
    Share,
    /// What the last seconds' demand needs over a horizon, at most the share.
    Demand {
        /// The horizon, in milliseconds.
        horizon_ms: u64,
    },
    /// Just what the request needs: a baseline.
    Exact,
    /// A fixed part of the whole budget, once: a baseline.
    Split {
        /// The number of parts.
        parts: u64,
    },
}

/// What a size is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct SizingInput {
    /// Tokens that lack for the waiting requests.
    pub need: u64,
    /// Tokens that may be granted.
    pub free: u64,
    /// The whole budget.
    pub total: u64,
    /// Tokens granted to this holder so far.
    pub granted: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
    /// Tokens a second that this holder lately reserved.
    pub rate: f64,
}

impl GrantSizing {
    /// Returns the tokens to take; 0 when the need can't be met.
    pub fn size(self, b: SizingInput) -> u64 {
        if b.need > b.free {
            return 0;
        }
        let share = (u128::from(b.free) * u128::from(b.weight) / 100) as u64;
        let wanted = match self {
            GrantSizing::Share => share,
            GrantSizing::Demand { horizon_ms } => {
                let horizon = b.rate * horizon_ms as f64 / 1000.0;
                (horizon as u64).min(share)
            }
            GrantSizing::Exact => b.need,
            GrantSizing::Split { parts } => {
                let part = b.total / parts.max(1);
                let left = part.saturating_sub(b.granted);
                return if b.need <= left { left.min(b.free) } else { 0 };
            }
        };
        wanted.clamp(b.need, b.free)
    }
}
