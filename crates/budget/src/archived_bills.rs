//! Recent bills that were moved from the record to segments.
//!
//! Homes that cannot reach each other may both settle a request under the same id. The second one
//! must find the bill of the first one even if it was moved to a segment in the meantime, or the
//! request would be billed twice.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{Bill, BillSegment};

/// Age up to which archived bills are kept to find duplicates, in milliseconds.
const BILL_WINDOW_MS: u64 = 600_000;
/// Number of segment names remembered as loaded.
const MAX_LOADED_SEGMENTS: usize = 1_024;

/// The recent archived bills, as far as their segments are loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArchivedBills {
    /// Names of segments whose bills were loaded, oldest first.
    loaded: VecDeque<String>,
    /// Bills by account and request id.
    bills: BTreeMap<(String, String), Bill>,
    /// Time of the newest bill added so far.
    newest_ms: u64,
    /// Segments read so far while following the chain back from the record, newest first. They
    /// count as loaded once the chain has reached a loaded segment or one beyond `BILL_WINDOW_MS`.
    walk: Vec<String>,
    /// Next segment of the walk.
    next: Option<String>,
}

impl ArchivedBills {
    /// Returns the segment to load next, unless all recent segments of a record are loaded.
    ///
    /// `last` is the record's newest segment.
    pub(crate) fn next_missing(&mut self, last: Option<&String>) -> Option<String> {
        let last = last?;
        if self.loaded.contains(last) {
            return None;
        }
        if self.walk.first() != Some(last) {
            self.walk = vec![last.clone()];
            self.next = Some(last.clone());
        }
        self.next.clone()
    }

    /// Returns whether all recent segments of a record are loaded; `last` is its newest segment.
    pub(crate) fn covers(&self, last: Option<&String>) -> bool {
        last.is_none_or(|name| self.loaded.contains(name))
    }

    /// Adds a segment that was read as the next one of the walk.
    pub(crate) fn add_loaded(&mut self, segment: BillSegment) {
        let newest = self.add_bills(&segment);
        let prev = segment.prev.filter(|p| !self.loaded.contains(p));
        match prev {
            Some(prev) if newest + BILL_WINDOW_MS >= self.newest_ms => {
                self.walk.push(prev.clone());
                self.next = Some(prev);
            }
            _ => {
                for name in std::mem::take(&mut self.walk).into_iter().rev() {
                    self.mark_loaded(name);
                }
                self.next = None;
            }
        }
    }

    /// Adds a segment that this instance wrote.
    pub(crate) fn add_written(&mut self, name: &str, segment: &BillSegment) {
        self.add_bills(segment);
        self.mark_loaded(name.to_string());
    }

    fn mark_loaded(&mut self, name: String) {
        self.loaded.push_back(name);
        if self.loaded.len() > MAX_LOADED_SEGMENTS {
            self.loaded.pop_front();
        }
    }

    /// Adds the bills of a segment, drops those that are too old, and returns the time of the
    /// segment's newest bill.
    fn add_bills(&mut self, segment: &BillSegment) -> u64 {
        let mut newest = 0;
        for (account, bills) in &segment.bills {
            for bill in bills {
                newest = newest.max(bill.at_ms);
                let key = (account.clone(), bill.request_id.clone());
                self.bills.insert(key, bill.clone());
            }
        }
        self.newest_ms = self.newest_ms.max(newest);
        let oldest = self.newest_ms.saturating_sub(BILL_WINDOW_MS);
        self.bills.retain(|_, b| b.at_ms >= oldest);
        newest
    }

    /// Returns the archived bill of a request.
    pub(crate) fn bill(&self, account: &str, request: &str) -> Option<&Bill> {
        let key = (account.to_string(), request.to_string());
        self.bills.get(&key)
    }
}
