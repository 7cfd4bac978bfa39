//! Requests that were answered recently.

use std::collections::HashMap;

use crate::subject::Subject;

/// A request that got a complete response within this time, in milliseconds, is not blamed for a
/// crash: many callers may send the same request, and many upstreams may be lost at once. The time
/// is short because a request that was answered before may start to crash upstreams once these have
/// changed.
const RECENT_MS: u64 = 5_000;
/// Maximum number of remembered requests, to bound memory: as many as an instance answers in
/// `RECENT_MS`.
const MAX_REQUESTS: usize = 1_024;

/// Requests with the time of their last complete response.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAnswers(HashMap<Subject, u64>);

impl RecentAnswers {
    /// Records a complete response.
    pub(crate) fn insert(&mut self, now: u64, subject: Subject) {
        if self.0.len() >= MAX_REQUESTS {
            self.0.retain(|_, at| now < *at + RECENT_MS);
        }
        if self.0.len() >= MAX_REQUESTS {
            self.0.clear();
        }
        self.0.insert(subject, now);
    }

    /// Returns whether a request was answered recently.
    pub(crate) fn contains(&self, now: u64, subject: Subject) -> bool {
        self.0.get(&subject).is_some_and(|at| now < *at + RECENT_MS)
    }
}
