//! Requests whose connection broke, and the segments of their prompts, until it is known whether the
//! upstream has crashed.
//!
//! A connection breaks for many reasons: it was reset, the link was interrupted, the response was
//! malformed. The upstream has crashed if nothing listens on its address any more, or if the
//! upstream list no longer contains it although it has not announced that it leaves.

use std::collections::HashMap;

use crate::record::RequestTags;
use crate::subject::Subject;

/// Time after a connection broke within which it becomes known whether the upstream has crashed, in
/// milliseconds: the upstream list shows a crash after some seconds.
const RESOLVED_WITHIN_MS: u64 = 10_000;
/// Maximum number of incarnations with broken connections, to bound memory.
const MAX_INCARNATIONS: usize = 256;
/// Maximum number of subjects per incarnation, to bound memory: more than an upstream runs for one
/// instance.
const MAX_SUBJECTS: usize = 512;
/// Maximum number of requests that are remembered for a segment at a crash, to bound the size of records: two
/// suffice to show that not a single one had it.
const MAX_REQUESTS: usize = 2;

/// A subject that was present at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Present {
    pub(crate) subject: Subject,
    pub(crate) broke_at: u64,
    /// The requests that had the segment.
    pub(crate) requests: RequestTags,
}

/// Adds requests to those that had a segment at a crash; returns whether that has changed them. Which ones are
/// kept must not depend on the order in which they are learned, so it is the first ones by hash.
pub(crate) fn add_requests(requests: &mut RequestTags, added: &[u32]) -> bool {
    let before = requests.clone();
    requests.extend_from_slice(added);
    requests.sort_unstable();
    requests.dedup();
    requests.truncate(MAX_REQUESTS);
    *requests != before
}

/// What is known of the incarnation to which connections broke.
#[derive(Clone, Debug, Default)]
struct Broken {
    present: Vec<Present>,
    /// Whether something listens on the address again, after connections to it had failed: the path was
    /// lost, or the upstream has crashed and another incarnation is running.
    listens_again: bool,
}

/// Subjects by the incarnation of the upstream to which their connection broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrokenConnections(HashMap<String, Broken>);

impl BrokenConnections {
    /// Adds a subject, of a segment with the request that had it; returns whether it is the first one of its
    /// incarnation.
    pub(crate) fn insert(
        &mut self,
        now: u64,
        incarnation: &str,
        subject: Subject,
        request: Option<u32>,
    ) -> bool {
        self.expire(now);
        if self.0.len() >= MAX_INCARNATIONS && !self.0.contains_key(incarnation) {
            return false;
        }
        let broken = self.0.entry(incarnation.to_string()).or_default();
        let present = &mut broken.present;
        let is_first = present.is_empty() || broken.listens_again;
        broken.listens_again = false;
        let requests = request.as_slice();
        if let Some(known) = present.iter_mut().find(|p| p.subject == subject) {
            add_requests(&mut known.requests, requests);
        } else if present.len() < MAX_SUBJECTS {
            present.push(Present {
                subject,
                broke_at: now,
                requests: RequestTags::from_slice(requests),
            });
        }
        is_first
    }

    /// Removes and returns the subjects of an incarnation.
    pub(crate) fn take(&mut self, now: u64, incarnation: &str) -> Vec<Present> {
        self.expire(now);
        let broken = self.0.remove(incarnation);
        broken.map(|b| b.present).unwrap_or_default()
    }

    /// Records that something listens on the address of an incarnation again.
    pub(crate) fn set_listens_again(&mut self, incarnation: &str) {
        if let Some(broken) = self.0.get_mut(incarnation) {
            broken.listens_again = true;
        }
    }

    /// Returns whether it has to be checked if an incarnation has crashed.
    pub(crate) fn is_unresolved(&mut self, now: u64, incarnation: &str) -> bool {
        self.expire(now);
        self.0.get(incarnation).is_some_and(|b| !b.listens_again)
    }

    /// Removes a subject from all incarnations, because it was answered.
    pub(crate) fn remove(&mut self, subject: Subject) {
        self.retain(|p| p.subject != subject);
    }

    fn expire(&mut self, now: u64) {
        self.retain(|p| now < p.broke_at + RESOLVED_WITHIN_MS);
    }

    fn retain(&mut self, keep: impl Fn(&Present) -> bool) {
        self.0.retain(|_, broken| {
            broken.present.retain(&keep);
            !broken.present.is_empty()
        });
    }

    /// Returns the number of incarnations to which the connection of a subject broke, and which have to be
    /// checked.
    pub(crate) fn unresolved_count(&self, subject: Subject) -> usize {
        let unresolved = self.0.values().filter(|b| !b.listens_again);
        let has_subject = |b: &&Broken| b.present.iter().any(|p| p.subject == subject);
        unresolved.filter(has_subject).count()
    }
}
