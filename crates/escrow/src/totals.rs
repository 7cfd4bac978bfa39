//! Cumulative totals that an instance keeps for each other instance.
//!
//! A message between instances may be lost, duplicated or overtaken by a later one, and the sender has debited the
//! tokens in any case. Each message therefore carries the total of all that was ever sent to that instance: the next
//! message to arrive makes up for lost ones, and none counts twice.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A total, only growing, that one incarnation reports to another.
///
/// It names both incarnations: one that starts again at the same address must not apply a total meant for its
/// predecessor, which has already applied most of it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CumulativeTotal {
    /// The sending incarnation.
    pub from: String,
    /// The receiving incarnation.
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

/// Totals by incarnation of the other instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTotals {
    by_peer: BTreeMap<String, u64>,
    sum: u64,
}

impl PeerTotals {
    /// Returns the sum over all peers.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// Returns a peer's total.
    pub(crate) fn for_peer(&self, peer: &str) -> u64 {
        self.by_peer.get(peer).copied().unwrap_or_default()
    }

    /// Adds to a peer's total and returns the new total.
    pub(crate) fn add(&mut self, peer: &str, tokens: u64) -> u64 {
        let total = self.by_peer.entry(peer.to_string()).or_default();
        *total += tokens;
        self.sum += tokens;
        *total
    }

    /// Applies a total if it is meant for the incarnation `own_id`; returns the increase.
    pub(crate) fn merge(&mut self, own_id: &str, update: &CumulativeTotal) -> u64 {
        if update.to != own_id {
            return 0;
        }
        let known = self.by_peer.entry(update.from.clone()).or_default();
        let increase = update.total.saturating_sub(*known);
        *known += increase;
        self.sum += increase;
        increase
    }
}
