//! The bills of the last minutes that were moved out of the record.
//!
//! A request may be settled twice under one id, by homes that could not hear each other: the second
//! one must find the first one's bill even when that has left the record meanwhile.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{Bill, BillSegment};

/// How long a request's id is looked for among older bills, in milliseconds.
const WINDOW_MS: u64 = 600_000;
/// Segment names remembered as loaded.
const LOADED_MOST: usize = 1_024;

/// Older bills, as far as they are loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Older {
    loaded: VecDeque<String>,
    bills: BTreeMap<(String, String), Bill>,
    latest_ms: u64,
    /// The segments of a walk that has not reached a loaded or an old one yet, latest first.
    walked: Vec<String>,
    next: Option<String>,
}

impl Older {
    /// Returns the segment to load next, if a record's segments are not all known.
    pub(crate) fn lacks(&mut self, last: Option<&String>) -> Option<String> {
        let last = last?;
        if self.loaded.contains(last) {
            return None;
        }
        if self.walked.first() != Some(last) {
            self.walked = vec![last.clone()];
            self.next = Some(last.clone());
        }
        self.next.clone()
    }

    /// Returns whether a record's segments are known.
    pub(crate) fn covers(&self, last: Option<&String>) -> bool {
        last.is_none_or(|name| self.loaded.contains(name))
    }

    /// Takes a segment that was asked for.
    pub(crate) fn load(&mut self, segment: BillSegment) {
        let newest = self.add(&segment);
        let prev = segment.prev.filter(|p| !self.loaded.contains(p));
        match prev {
            Some(prev) if newest + WINDOW_MS >= self.latest_ms => {
                self.walked.push(prev.clone());
                self.next = Some(prev);
            }
            _ => {
                for name in std::mem::take(&mut self.walked).into_iter().rev() {
                    self.remember(name);
                }
                self.next = None;
            }
        }
    }

    /// Takes a segment that this home has written itself.
    pub(crate) fn wrote(&mut self, name: &str, segment: &BillSegment) {
        self.add(segment);
        self.remember(name.to_string());
    }

    fn remember(&mut self, name: String) {
        self.loaded.push_back(name);
        if self.loaded.len() > LOADED_MOST {
            self.loaded.pop_front();
        }
    }

    fn add(&mut self, segment: &BillSegment) -> u64 {
        let mut newest = 0;
        for (account, bills) in &segment.bills {
            for bill in bills {
                newest = newest.max(bill.at_ms);
                let key = (account.clone(), bill.request_id.clone());
                self.bills.insert(key, bill.clone());
            }
        }
        self.latest_ms = self.latest_ms.max(newest);
        let oldest = self.latest_ms.saturating_sub(WINDOW_MS);
        self.bills.retain(|_, b| b.at_ms >= oldest);
        newest
    }

    /// Returns the older bill of a request.
    pub(crate) fn bill(&self, account: &str, request: &str) -> Option<&Bill> {
        let key = (account.to_string(), request.to_string());
        self.bills.get(&key)
    }
}
