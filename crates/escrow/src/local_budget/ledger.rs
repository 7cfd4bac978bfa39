//! The customer's record and the own ledger entry, as read from the store.

use super::LocalBudget;
use crate::record::{BudgetRecord, LedgerEntry};

/// A customer's record as read from the store.
#[derive(Clone, Debug)]
pub struct RecordSnapshot {
    /// The record.
    pub record: BudgetRecord,
    /// Its revision in the store; 0 if it does not exist yet.
    pub revision: i64,
    /// Time of the read, in milliseconds.
    pub read_at: u64,
}

impl LocalBudget {
    /// Replaces the snapshot of the record unless the present one is newer.
    pub fn update_snapshot(&mut self, snapshot: RecordSnapshot) {
        let newer = |s: &RecordSnapshot| s.revision > snapshot.revision;
        if !self.snapshot.as_ref().is_some_and(newer) {
            self.snapshot = Some(snapshot);
        }
    }

    /// Applies the own entry from the ledger in the store, which has the given revision.
    ///
    /// A write whose response was lost shows here: its tokens are charged, so they count as granted. An older snapshot
    /// of the record does not include them, so it is dropped and the record has to be read again.
    ///
    /// # Panics
    ///
    /// Panics if a counter of the entry has decreased: tokens could then be granted twice.
    pub fn confirm_entry(&mut self, entry: LedgerEntry, revision: i64) {
        let old = self.entry;
        if entry != old
            && self
                .snapshot
                .as_ref()
                .is_some_and(|s| s.revision < revision)
        {
            self.snapshot = None;
        }
        assert!(
            entry.granted >= old.granted
                && entry.returned >= old.returned
                && entry.spent >= old.spent,
            "a counter of the own ledger entry decreased"
        );
        self.entry = entry;
    }

    /// Handles a ledger in the store that another incarnation wrote, once for each revision of it. `theirs` is its
    /// entry, whose rate is kept to subtract it from the record's.
    ///
    /// Tokens that the own entry charged stay charged and usable, but can no longer be returned. Those already debited
    /// for a return that the store has not confirmed are not usable either.
    pub fn on_foreign_ledger(&mut self, theirs: LedgerEntry) {
        let unconfirmed = self.returned - self.entry.returned;
        self.detached_charged += self.entry.charged() - unconfirmed;
        self.returned = 0;
        self.detached_spent += self.planned_spent;
        self.planned_spent = 0;
        self.stranded = theirs.charged().saturating_sub(theirs.spent);
        self.entry = LedgerEntry {
            rate: theirs.rate,
            ..LedgerEntry::default()
        };
    }

    /// Returns the own entry as last confirmed by the store.
    pub fn entry(&self) -> LedgerEntry {
        self.entry
    }

    /// Returns the record as last read.
    pub fn snapshot(&self) -> Option<&RecordSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns whether the snapshot of the record includes the confirmed entry. It does not if the record is newer and
    /// includes a write that returned tokens and whose response was lost.
    pub fn snapshot_includes_entry(&self) -> bool {
        let includes = |s: &RecordSnapshot| s.record.charged >= self.entry.charged();
        self.snapshot.as_ref().is_none_or(includes)
    }

    /// Returns the free tokens of the budget, which no instance holds, as of the last read of the record.
    pub fn free(&self) -> u64 {
        let charged = self.snapshot.as_ref().map(|s| s.record.charged);
        charged.map_or(0, |c| self.prepaid.saturating_sub(c))
    }
}
