//! What one instance counts of each other one, as totals that only grow.
//!
//! A message between instances may be lost, come twice, or come after a later one, and the sender has debited
//! the tokens in any case. So it tells the total of all that it ever sent to that instance: whichever message
//! comes next brings what the lost ones did not, and none brings anything twice.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One instance's word to another: a total that only grows.
///
/// It concerns two incarnations. One that starts again at the same address must not take a word to its
/// predecessor, which has taken most of the total already.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CumulativeTotal {
    /// The incarnation that tells.
    pub from: String,
    /// The incarnation that is told.
    pub to: String,
    /// The total.
    pub total: u64,
}

/// Log lines about transfers between instances print this type as `Told`.
impl fmt::Debug for CumulativeTotal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Told")
            .field("from", &self.from)
            .field("to", &self.to)
            .field("total", &self.total)
            .finish()
    }
}

/// Totals by instance, which is known by its incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTotals {
    by_peer: BTreeMap<String, u64>,
    sum: u64,
}

impl PeerTotals {
    /// Returns the sum over all instances.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// Returns an instance's total.
    pub(crate) fn for_peer(&self, peer: &str) -> u64 {
        self.by_peer.get(peer).copied().unwrap_or_default()
    }

    /// Adds to an instance's total, and returns that.
    pub(crate) fn add(&mut self, peer: &str, tokens: u64) -> u64 {
        let total = self.by_peer.entry(peer.to_string()).or_default();
        *total += tokens;
        self.sum += tokens;
        *total
    }

    /// Takes a word to the incarnation `me`; returns what is new of it.
    pub(crate) fn merge(&mut self, me: &str, told: &CumulativeTotal) -> u64 {
        if told.to != me {
            return 0;
        }
        let known = self.by_peer.entry(told.from.clone()).or_default();
        let news = told.total.saturating_sub(*known);
        *known += news;
        self.sum += news;
        news
    }
}
