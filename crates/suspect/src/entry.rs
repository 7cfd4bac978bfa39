//! What is known of one request.

use std::collections::BTreeMap;

use crate::digest::Digest;
use crate::record::{CrashReport, SuspectRecord};

/// Upstreams that are remembered of a request, bounding memory: more say no more. Which of them stay must not depend on
/// the order in which they are heard of, so it is the first ones by name.
const INCARNATIONS_MOST: usize = 8;

/// An upstream that ended under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    pub(crate) by: String,
    pub(crate) at: u64,
}

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    /// How often it was answered after upstreams had ended under it.
    pub(crate) answers: u32,
    /// Upstreams that have ended under it since, by their incarnations.
    pub(crate) ends: BTreeMap<String, End>,
    pub(crate) trials: u8,
    pub(crate) tried_at: u64,
    /// When it was asked for or something was learnt of it.
    pub(crate) used_at: u64,
    /// What the store has of it, as far as known here.
    pub(crate) saved: Option<Saved>,
}

/// What the store has of a request: more ends of it say no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Saved {
    answers: u32,
    trials: u8,
}

impl Saved {
    pub(crate) fn of(word: &SuspectRecord) -> Saved {
        Saved {
            answers: word.answers,
            trials: word.trials,
        }
    }
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Merged {
    /// Something was not known here.
    pub(crate) news: bool,
    /// Something is known here that the word does not say.
    pub(crate) more: bool,
}

impl Entry {
    /// Notes an upstream that ended under it; returns whether that is new.
    pub(crate) fn end(&mut self, incarnation: &str, end: End) -> bool {
        if self.ends.contains_key(incarnation) {
            return false;
        }
        self.ends.insert(incarnation.to_string(), end);
        while self.ends.len() > INCARNATIONS_MOST {
            self.ends.pop_last();
        }
        self.ends.contains_key(incarnation)
    }

    /// Notes a whole answer: what ended before was not its doing. `after` is how many answers others know of.
    pub(crate) fn clear(&mut self, after: u32) {
        *self = Entry {
            answers: self.answers.max(after) + 1,
            used_at: self.used_at,
            saved: self.saved,
            ..Entry::default()
        };
    }

    /// Takes the word of another instance.
    pub(crate) fn merge(&mut self, now: u64, word: &SuspectRecord) -> Merged {
        if word.answers < self.answers {
            return Merged {
                news: false,
                more: true,
            };
        }
        let mut news = false;
        if word.answers > self.answers {
            self.clear(word.answers - 1);
            news = true;
        }
        for ended in &word.crashes {
            let end = End {
                by: ended.seen_by.clone(),
                at: now.saturating_sub(ended.ago_ms),
            };
            news |= self.end(&ended.incarnation, end);
        }
        if word.trials > self.trials {
            self.trials = word.trials;
            self.tried_at = now.saturating_sub(word.trial_ago_ms);
            news = true;
        }
        let said =
            |incarnation: &String| word.crashes.iter().any(|e| e.incarnation == *incarnation);
        let more = self.trials > word.trials || !self.ends.keys().all(said);
        Merged { news, more }
    }

    /// Returns what the store would have of it.
    pub(crate) fn image(&self) -> Saved {
        Saved {
            answers: self.answers,
            trials: self.trials,
        }
    }

    /// Returns what is known, for another instance.
    pub(crate) fn word(&self, now: u64, digest: Digest) -> SuspectRecord {
        let ended = |(incarnation, end): (&String, &End)| CrashReport {
            incarnation: incarnation.clone(),
            seen_by: end.by.clone(),
            ago_ms: now.saturating_sub(end.at),
        };
        SuspectRecord {
            digest,
            answers: self.answers,
            crashes: self.ends.iter().map(ended).collect(),
            trials: self.trials,
            trial_ago_ms: now.saturating_sub(self.tried_at),
        }
    }

    /// Returns when the last upstream ended under it, or it was tried.
    pub(crate) fn last_at(&self) -> u64 {
        let ends = self.ends.values().map(|e| e.at);
        ends.max().unwrap_or_default().max(self.tried_at)
    }
}
