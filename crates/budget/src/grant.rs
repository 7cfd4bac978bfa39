//! Sizes of grants.
//!
//! Large grants last through outages and partitions. Small grants strand fewer tokens in a crash
//! and fragment the budget less.

use serde::{Deserialize, Serialize};

/// Policy for the size of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantSizing {
    /// A percentage of the free budget, set by the customer's weight: grants shrink as the budget
    /// drains.
    Share,
    /// The demand of the last seconds projected over a horizon, at most the size of `Share`.
    Demand {
        /// Horizon, in milliseconds.
        horizon_ms: u64,
    },
    /// Exactly what the waiting requests need; a baseline for comparisons.
    Exact,
    /// A fixed part of the whole budget, granted once; a baseline for comparisons.
    Split {
        /// Number of parts.
        parts: u64,
    },
}

/// Inputs to the size of a grant.
#[derive(Clone, Copy, Debug)]
pub struct SizingInput {
    /// Tokens that the waiting requests are short of.
    pub need: u64,
    /// Tokens of the budget that can still be granted.
    pub free: u64,
    /// Sum of all top-ups.
    pub total: u64,
    /// Tokens granted to this holder so far.
    pub granted: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
    /// Tokens per second that were recently requested from this holder.
    pub rate: f64,
}

impl GrantSizing {
    /// Returns the number of tokens to grant; 0 if the policy allows no grant that covers the need.
    pub fn size(self, input: SizingInput) -> u64 {
        if input.need > input.free {
            return 0;
        }
        let share = (u128::from(input.free) * u128::from(input.weight) / 100) as u64;
        let wanted = match self {
            GrantSizing::Share => share,
            GrantSizing::Demand { horizon_ms } => {
                let horizon = input.rate * horizon_ms as f64 / 1000.0;
                (horizon as u64).min(share)
            }
            GrantSizing::Exact => input.need,
            GrantSizing::Split { parts } => {
                let part = input.total / parts.max(1);
                let left = part.saturating_sub(input.granted);
                return if input.need <= left {
                    left.min(input.free)
                } else {
                    0
                };
            }
        };
        wanted.clamp(input.need, input.free)
    }
}
