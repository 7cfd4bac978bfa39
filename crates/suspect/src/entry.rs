//! The table entry of one request.

use std::collections::BTreeMap;

use crate::record::{CrashReport, SuspectRecord};
use crate::subject::Subject;

/// Maximum number of crashes kept for a request, to bound memory: further ones add no information.
/// Which ones are kept must not depend on the order in which they are learned, so it is the first
/// ones by incarnation.
const MAX_CRASHES: usize = 8;

/// A crash of an upstream while it ran the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) seen_by: String,
    pub(crate) at: u64,
}

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    /// How often the request got a complete response after crashes.
    pub(crate) answers: u32,
    /// Crashes since the last such response, by the incarnation of the upstream.
    pub(crate) crashes: BTreeMap<String, Crash>,
    pub(crate) trials: u8,
    pub(crate) last_trial_at: u64,
    /// When a caller last sent the request while it was refused, or something new was learned of it.
    pub(crate) used_at: u64,
    /// What the store has of the request, as far as known here.
    pub(crate) stored: Option<StoredState>,
}

/// The part of a request's record that the store must have up to date. Crashes are left out: once a
/// request is refused, further ones add no information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredState {
    answers: u32,
    trials: u8,
}

impl StoredState {
    pub(crate) fn of(record: &SuspectRecord) -> StoredState {
        StoredState {
            answers: record.answers,
            trials: record.trials,
        }
    }
}

/// Result of merging a record into an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MergeOutcome {
    /// The record contained something that was not known here.
    pub(crate) changed: bool,
    /// Something is known here that the record does not contain.
    pub(crate) ahead: bool,
}

impl Entry {
    /// Adds the crash of an upstream; returns whether it is new.
    pub(crate) fn add_crash(&mut self, incarnation: &str, crash: Crash) -> bool {
        if self.crashes.contains_key(incarnation) {
            return false;
        }
        self.crashes.insert(incarnation.to_string(), crash);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
        self.crashes.contains_key(incarnation)
    }

    /// Records a complete response: the request did not cause the crashes before it.
    /// `known_answers` is the number of responses that other instances know of.
    pub(crate) fn clear_crashes(&mut self, known_answers: u32) {
        *self = Entry {
            answers: self.answers.max(known_answers) + 1,
            used_at: self.used_at,
            stored: self.stored,
            ..Entry::default()
        };
    }

    /// Merges the record of another instance.
    pub(crate) fn merge(&mut self, now: u64, record: &SuspectRecord) -> MergeOutcome {
        if record.answers < self.answers {
            return MergeOutcome {
                changed: false,
                ahead: true,
            };
        }
        let mut changed = false;
        if record.answers > self.answers {
            self.clear_crashes(record.answers - 1);
            changed = true;
        }
        for report in &record.crashes {
            let crash = Crash {
                seen_by: report.seen_by.clone(),
                at: now.saturating_sub(report.ago_ms),
            };
            changed |= self.add_crash(&report.incarnation, crash);
        }
        if record.trials > self.trials {
            self.trials = record.trials;
            self.last_trial_at = now.saturating_sub(record.trial_ago_ms);
            changed = true;
        }
        let in_record =
            |incarnation: &String| record.crashes.iter().any(|c| c.incarnation == *incarnation);
        let ahead = self.trials > record.trials || !self.crashes.keys().all(in_record);
        MergeOutcome { changed, ahead }
    }

    /// Returns what the store would have of the request.
    pub(crate) fn to_stored_state(&self) -> StoredState {
        StoredState {
            answers: self.answers,
            trials: self.trials,
        }
    }

    /// Returns the record of the request, for another instance.
    pub(crate) fn record(&self, now: u64, subject: Subject) -> SuspectRecord {
        let report = |(incarnation, crash): (&String, &Crash)| CrashReport {
            incarnation: incarnation.clone(),
            seen_by: crash.seen_by.clone(),
            ago_ms: now.saturating_sub(crash.at),
        };
        SuspectRecord {
            subject,
            answers: self.answers,
            crashes: self.crashes.iter().map(report).collect(),
            trials: self.trials,
            trial_ago_ms: now.saturating_sub(self.last_trial_at),
        }
    }

    /// Returns the time of the last crash or trial.
    pub(crate) fn last_crash_or_trial_at(&self) -> u64 {
        let crashes = self.crashes.values().map(|c| c.at);
        crashes.max().unwrap_or_default().max(self.last_trial_at)
    }
}
