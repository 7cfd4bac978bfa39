//! Whether an upstream that is missing from the list is gone, or its entry lapsed in an outage.
//!
//! Entries may expire while the store is out, and all of them at once; an upstream that lives writes its
//! own again within two seconds of the store's return. But upstreams also leave in those seconds, one or
//! two at a time, and must get no new work.

use std::collections::BTreeMap;

/// Time after the store's return in which entries that expired come back, in milliseconds.
const COME_BACK_MS: u64 = 2_500;
/// Allowance for this instance to read an entry that was written again, in milliseconds.
const READ_DELAY_MS: u64 = 500;
/// Part of the entries that may be missing, within that time, and be taken for gone: more of them
/// than leave at once mean that they expired.
const GONE_PART: usize = 4;

/// Judges missing entries.
#[derive(Clone, Debug, Default)]
pub struct MissingEntries {
    back_at: u64,
    dropped: usize,
    /// Missing entries that are still listed, with the latest revision at which they were missing.
    deferred: BTreeMap<String, i64>,
}

impl MissingEntries {
    /// Returns whether one more missing entry is taken for gone. `back_at` is when the store answered
    /// again, 0 if it always did; `listed` counts the entries known.
    pub fn accept_removal(&mut self, now: u64, back_at: u64, listed: usize) -> bool {
        if back_at != self.back_at {
            self.back_at = back_at;
            self.dropped = 0;
        }
        if back_at == 0 || now > back_at + COME_BACK_MS {
            return true;
        }
        let most = (listed + self.dropped).div_ceil(GONE_PART);
        let gone = self.dropped < most;
        self.dropped += usize::from(gone);
        gone
    }

    /// Defers the decision on an entry that was missing at a revision.
    pub fn defer(&mut self, entry: &str, revision: i64) {
        let at = self.deferred.entry(entry.to_string()).or_default();
        *at = revision.max(*at);
    }

    /// Returns whether an entry, last written at a revision, is deferred and was missing at a later one.
    pub fn is_deferred(&self, entry: &str, revision: i64) -> bool {
        self.deferred.get(entry).is_some_and(|at| *at > revision)
    }

    /// Returns the time in milliseconds at which to check the deferred entries again, or `None` if there are none.
    pub fn recheck_at(&self) -> Option<u64> {
        let at = self.back_at + COME_BACK_MS + READ_DELAY_MS;
        (!self.deferred.is_empty()).then_some(at)
    }

    /// Removes and returns the deferred entries that are due for another check, with the revisions at which they were missing.
    pub fn take_due(&mut self, now: u64) -> BTreeMap<String, i64> {
        let due = self.recheck_at().is_some_and(|at| at <= now);
        if due {
            std::mem::take(&mut self.deferred)
        } else {
            BTreeMap::new()
        }
    }
}
