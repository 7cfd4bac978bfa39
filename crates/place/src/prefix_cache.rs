//! Which parts of prompts an engine is thought to keep, by what was sent there from here.

use std::collections::HashMap;

/// A part that was not used for this long is taken for forgotten, in milliseconds.
const FORGET_MS: u64 = 20_000;
/// Parts remembered of one engine, bounding memory; the oldest go.
const PARTS_MOST: usize = 1_024;

/// Parts by the time of their last use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known(HashMap<u64, u64>);

impl Known {
    /// Notes the use of a part.
    pub(crate) fn used(&mut self, now: u64, part: u64) {
        if self.0.len() >= PARTS_MOST {
            self.0.retain(|_, at| now < *at + FORGET_MS);
        }
        if self.0.len() >= PARTS_MOST {
            self.0.clear();
        }
        self.0.insert(part, now);
    }

    /// Returns whether a part is thought to be kept.
    pub(crate) fn has(&self, now: u64, part: u64) -> bool {
        self.0.get(&part).is_some_and(|at| now < at + FORGET_MS)
    }
}
