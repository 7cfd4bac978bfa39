//! Requests whose connection broke, and the segments of their prompts, until it is known whether the
//! upstream has crashed.
//!
//! A connection breaks for many reasons: it was reset, the link was interrupted, the response was
//! malformed. The upstream has crashed if nothing listens on its address any more, or if the
//! upstream list no longer contains it although it has not announced that it leaves.

use std::collections::HashMap;

use crate::subject::Subject;

/// Time after a connection broke within which it becomes known whether the upstream has crashed, in
/// milliseconds: the upstream list shows a crash after some seconds.
const RESOLVED_WITHIN_MS: u64 = 10_000;
/// Maximum number of incarnations with broken connections, to bound memory.
const MAX_INCARNATIONS: usize = 256;
/// Maximum number of subjects per incarnation, to bound memory: more than an upstream runs for one
/// instance.
const MAX_SUBJECTS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Present {
    subject: Subject,
    broke_at: u64,
}

/// Subjects by the incarnation of the upstream to which their connection broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenConnections(HashMap<String, Vec<Present>>);

impl BrokenConnections {
    /// Adds a subject; returns whether it is the first one of its incarnation.
    pub(crate) fn insert(&mut self, now: u64, incarnation: &str, subject: Subject) -> bool {
        self.retain(|p| now < p.broke_at + RESOLVED_WITHIN_MS);
        if self.0.len() >= MAX_INCARNATIONS && !self.0.contains_key(incarnation) {
            return false;
        }
        let present = self.0.entry(incarnation.to_string()).or_default();
        let is_first = present.is_empty();
        if present.len() < MAX_SUBJECTS && present.iter().all(|p| p.subject != subject) {
            present.push(Present {
                subject,
                broke_at: now,
            });
        }
        is_first
    }

    /// Removes and returns the subjects of an incarnation.
    pub(crate) fn take(&mut self, incarnation: &str) -> Vec<Subject> {
        let present = self.0.remove(incarnation).unwrap_or_default();
        present.iter().map(|p| p.subject).collect()
    }

    /// Returns whether there are subjects of an incarnation.
    pub(crate) fn contains(&mut self, now: u64, incarnation: &str) -> bool {
        self.retain(|p| now < p.broke_at + RESOLVED_WITHIN_MS);
        self.0.contains_key(incarnation)
    }

    /// Removes a subject from all incarnations, because it was answered.
    pub(crate) fn remove(&mut self, subject: Subject) {
        self.retain(|p| p.subject != subject);
    }

    fn retain(&mut self, keep: impl Fn(&Present) -> bool) {
        self.0.retain(|_, present| {
            present.retain(&keep);
            !present.is_empty()
        });
    }

    /// Returns the number of incarnations to which the connection of a subject broke.
    pub(crate) fn incarnation_count(&self, subject: Subject) -> usize {
        let has_subject = |p: &&Vec<Present>| p.iter().any(|p| p.subject == subject);
        self.0.values().filter(has_subject).count()
    }
}
