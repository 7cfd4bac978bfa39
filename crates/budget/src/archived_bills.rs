//! The bills of the last minutes that were moved out of the record.
//!
//! A request may be settled twice under one id, by homes that could not hear each other: the second
//! one must find the first one's bill even when that has left the record meanwhile.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{Bill, BillSegment};

/// How long a request's id is looked for among older bills, in milliseconds.
const BILL_WINDOW_MS: u64 = 600_000;
/// Segment names remembered as loaded.
const MAX_LOADED_SEGMENTS: usize = 1_024;

/// Older bills, as far as they are loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArchivedBills {
    loaded: VecDeque<String>,
    bills: BTreeMap<(String, String), Bill>,
    latest_ms: u64,
    /// The segments of a walk that has not reached a loaded or an old one yet, latest first.
    walk: Vec<String>,
    next: Option<String>,
}

impl ArchivedBills {
    /// Returns the segment to load next, if a record's segments are not all known.
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

    /// Returns whether a record's segments are known.
    pub(crate) fn covers(&self, last: Option<&String>) -> bool {
        last.is_none_or(|name| self.loaded.contains(name))
    }

    /// Takes a segment that was asked for.
    pub(crate) fn add_loaded(&mut self, segment: BillSegment) {
        let newest = self.add_bills(&segment);
        let prev = segment.prev.filter(|p| !self.loaded.contains(p));
        match prev {
            Some(prev) if newest + BILL_WINDOW_MS >= self.latest_ms => {
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

    /// Takes a segment that this home has written itself.
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

    fn add_bills(&mut self, segment: &BillSegment) -> u64 {
        let mut newest = 0;
        for (account, bills) in &segment.bills {
            for bill in bills {
                newest = newest.max(bill.at_ms);
                let key = (account.clone(), bill.request_id.clone());
                self.bills.insert(key, bill.clone());
            }
        }
        self.latest_ms = self.latest_ms.max(newest);
        let oldest = self.latest_ms.saturating_sub(BILL_WINDOW_MS);
        self.bills.retain(|_, b| b.at_ms >= oldest);
        newest
    }

    /// Returns the older bill of a request.
    pub(crate) fn bill(&self, account: &str, request: &str) -> Option<&Bill> {
        let key = (account.to_string(), request.to_string());
        self.bills.get(&key)
    }
}
