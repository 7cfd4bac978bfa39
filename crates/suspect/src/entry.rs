//! The table entry of one subject.

use std::collections::BTreeMap;

use crate::broken_connections::add_requests;
use crate::record::{CrashReport, RequestTags, SuspectRecord};
use crate::subject::Subject;

/// Maximum number of crashes kept for a subject, to bound memory: further ones add no information.
/// Which ones are kept must not depend on the order in which they are learned, so it is the first
/// ones by incarnation.
const MAX_CRASHES: usize = 16;

/// A crash of an upstream at which the subject was present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) seen_by: String,
    pub(crate) at: u64,
    /// The requests that had the segment.
    pub(crate) requests: RequestTags,
}

/// How far the suspicion of a subject has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It was present at no more crashes than many others.
    #[default]
    Unremarkable,
    /// It was present at several crashes; the other instances are to say whether it has survived.
    Candidate,
    /// It is refused, unless its crashes are explained by another one.
    Suspect {
        /// Whether it had survived somewhere before the crashes.
        was_sound: bool,
    },
    /// It is refused until it survives.
    Refused {
        /// Whether it had survived somewhere before the crashes.
        was_sound: bool,
    },
}

impl Stage {
    /// Returns whether the subject is refused, or would be if no other one explained its crashes.
    pub(crate) fn is_suspect(self) -> bool {
        matches!(self, Stage::Suspect { .. } | Stage::Refused { .. })
    }
}

/// What is known of a subject.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    /// How often the subject survived after crashes: a request got a complete response.
    pub(crate) answers: u32,
    /// Crashes since the last such response, by the incarnation of the upstream.
    pub(crate) crashes: BTreeMap<String, Crash>,
    pub(crate) trials: u8,
    pub(crate) last_trial_at: u64,
    /// Whether chance is unlikely to have had the segment at all these crashes and at no survival.
    pub(crate) significant: bool,
    /// Whether the segment had survived somewhere before the crashes.
    pub(crate) was_sound: bool,
    /// Whether the segment was refused since it last survived.
    pub(crate) refused: bool,
    /// The stage that this instance, as an owner of the record, has last sent to all instances.
    pub(crate) announced: Stage,
    /// When a caller last sent the request while it was refused, or something new was learned of it.
    pub(crate) used_at: u64,
    /// What the store has of the subject, as far as known here.
    pub(crate) stored: Option<StoredState>,
}

/// The part of a subject's record that the store must have up to date. Crashes are left out: once a
/// subject is refused, further ones add no information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredState {
    answers: u32,
    trials: u8,
    refused: bool,
}

impl StoredState {
    pub(crate) fn of(record: &SuspectRecord) -> StoredState {
        StoredState {
            answers: record.answers,
            trials: record.trials,
            refused: record.refused,
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
    /// Adds the crash of an upstream; returns whether that, or a request that was present, is new.
    pub(crate) fn add_crash(&mut self, incarnation: &str, crash: Crash) -> bool {
        if let Some(known) = self.crashes.get_mut(incarnation) {
            return add_requests(&mut known.requests, &crash.requests);
        }
        self.crashes.insert(incarnation.to_string(), crash);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
        self.crashes.contains_key(incarnation)
    }

    /// Records a complete response, or a survival: the subject did not cause the crashes before it.
    /// `known_answers` is the number of these that other instances know of.
    pub(crate) fn clear_crashes(&mut self, known_answers: u32) {
        *self = Entry {
            answers: self.answers.max(known_answers) + 1,
            announced: self.announced,
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
                requests: report.requests.clone(),
            };
            changed |= self.add_crash(&report.incarnation, crash);
        }
        if record.trials > self.trials {
            self.trials = record.trials;
            self.last_trial_at = now.saturating_sub(record.trial_ago_ms);
            changed = true;
        }
        changed |= record.significant && !self.significant;
        changed |= record.was_sound && !self.was_sound;
        self.significant |= record.significant;
        self.was_sound |= record.was_sound;
        changed |= record.refused && !self.refused;
        self.refused |= record.refused;
        let in_record = |(incarnation, crash): (&String, &Crash)| {
            let mut crashes = record.crashes.iter();
            crashes.any(|c| c.incarnation == *incarnation && c.requests == crash.requests)
        };
        let ahead = self.trials > record.trials
            || self.significant && !record.significant
            || self.was_sound && !record.was_sound
            || self.refused && !record.refused
            || !self.crashes.iter().all(in_record);
        MergeOutcome { changed, ahead }
    }

    /// Returns what the store would have of the subject.
    pub(crate) fn to_stored_state(&self) -> StoredState {
        StoredState {
            answers: self.answers,
            trials: self.trials,
            refused: self.refused,
        }
    }

    /// Returns the record of the subject, for another instance.
    pub(crate) fn record(&self, now: u64, subject: Subject) -> SuspectRecord {
        let report = |(incarnation, crash): (&String, &Crash)| CrashReport {
            incarnation: incarnation.clone(),
            seen_by: crash.seen_by.clone(),
            ago_ms: now.saturating_sub(crash.at),
            requests: crash.requests.clone(),
        };
        SuspectRecord {
            subject,
            answers: self.answers,
            crashes: self.crashes.iter().map(report).collect(),
            trials: self.trials,
            trial_ago_ms: now.saturating_sub(self.last_trial_at),
            significant: self.significant,
            was_sound: self.was_sound,
            refused: self.refused,
        }
    }

    /// Returns the time of the first crash; none if there is no crash.
    pub(crate) fn first_crash_at(&self) -> Option<u64> {
        self.crashes.values().map(|c| c.at).min()
    }

    /// Returns the time of the last crash or trial.
    pub(crate) fn last_crash_or_trial_at(&self) -> u64 {
        let crashes = self.crashes.values().map(|c| c.at);
        crashes.max().unwrap_or_default().max(self.last_trial_at)
    }
}
