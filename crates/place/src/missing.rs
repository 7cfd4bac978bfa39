//! Decides whether list entries that are missing were removed, or expired in an outage of the store.
//!
//! Entries may expire while the store is unreachable, even all of them at once; a live upstream
//! writes its entry again within two seconds after the store has recovered. But upstreams also leave
//! during those seconds, one or two at a time, and must then get no new requests.

use std::collections::BTreeMap;

/// Time after the store's recovery within which expired entries are written again, in milliseconds.
const REWRITE_WINDOW_MS: u64 = 2_500;
/// Allowance for this instance to read an entry that was written again, in milliseconds.
const READ_DELAY_MS: u64 = 500;
/// One in this many entries is accepted as removed within the window: more than that do not leave at
/// once, so they have expired.
const ENTRIES_PER_REMOVAL: usize = 4;

/// Missing entries and the decisions on them.
#[derive(Clone, Debug, Default)]
pub struct MissingEntries {
    /// When the store recovered from its last outage, in milliseconds.
    recovered_at: u64,
    /// Number of entries accepted as removed since then.
    removed: usize,
    /// Missing entries that are still listed, with the latest revision at which they were missing.
    deferred: BTreeMap<String, i64>,
}

impl MissingEntries {
    /// Returns whether one more missing entry counts as removed. `recovered_at` is when the store
    /// recovered from its last outage, 0 if there was none; `listed` is the number of known entries.
    pub fn accept_removal(&mut self, now: u64, recovered_at: u64, listed: usize) -> bool {
        if recovered_at != self.recovered_at {
            self.recovered_at = recovered_at;
            self.removed = 0;
        }
        if recovered_at == 0 || now > recovered_at + REWRITE_WINDOW_MS {
            return true;
        }
        let max_removed = (listed + self.removed).div_ceil(ENTRIES_PER_REMOVAL);
        let accepted = self.removed < max_removed;
        self.removed += usize::from(accepted);
        accepted
    }

    /// Defers the decision on an entry that was missing at a revision.
    pub fn defer(&mut self, entry: &str, revision: i64) {
        let missing_at = self.deferred.entry(entry.to_string()).or_default();
        *missing_at = revision.max(*missing_at);
    }

    /// Returns whether an entry, last written at a revision, is deferred and was missing at a later
    /// one.
    pub fn is_deferred(&self, entry: &str, revision: i64) -> bool {
        self.deferred
            .get(entry)
            .is_some_and(|missing_at| *missing_at > revision)
    }

    /// Returns when to check the deferred entries again, in milliseconds; none if there are none.
    pub fn recheck_at(&self) -> Option<u64> {
        let at = self.recovered_at + REWRITE_WINDOW_MS + READ_DELAY_MS;
        (!self.deferred.is_empty()).then_some(at)
    }

    /// Removes and returns the deferred entries that are due for another check, with the revisions at
    /// which they were missing.
    pub fn take_due(&mut self, now: u64) -> BTreeMap<String, i64> {
        let due = self.recheck_at().is_some_and(|at| at <= now);
        if due {
            std::mem::take(&mut self.deferred)
        } else {
            BTreeMap::new()
        }
    }
}
