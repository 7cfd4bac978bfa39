//! A set of integers stored as inclusive ranges.
//!
//! Hold numbers are used in order, so a set is mostly a single range.

use serde::{Deserialize, Serialize};

/// A set of integers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u64, u64)>);

impl RangeSet {
    /// Returns whether a number is in the set.
    pub fn contains(&self, n: u64) -> bool {
        let at = self.0.partition_point(|r| r.1 < n);
        self.0.get(at).is_some_and(|r| r.0 <= n)
    }

    /// Adds a number; returns false if it was in the set already.
    pub fn insert(&mut self, n: u64) -> bool {
        if self.contains(n) {
            return false;
        }
        let at = self.0.partition_point(|r| r.1 < n);
        let joins_left = at > 0 && self.0[at - 1].1 + 1 == n;
        let joins_right = self.0.get(at).is_some_and(|r| r.0 == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = n,
            (false, true) => self.0[at].0 = n,
            (false, false) => self.0.insert(at, (n, n)),
        }
        true
    }
}
