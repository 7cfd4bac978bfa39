//! How many segments survived, and how many were lost in crashes, at one service.

use std::collections::VecDeque;

use crate::survivals;

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 50;
/// How long outcomes are remembered, in milliseconds.
const RETENTION_MS: u64 = 10_000;
/// How long survivals must have been known before a crash, in milliseconds, for a segment without one
/// to stand out: by then those in use have survived.
const MIN_KNOWN_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begins_at: u64,
    survived: usize,
    lost: usize,
}

/// Outcomes in the order of their time, in buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    buckets: VecDeque<Bucket>,
    /// The first and the last survival of a period without a gap after which all are forgotten.
    known: Option<(u64, u64)>,
}

impl Outcomes {
    /// Records that segments have survived.
    pub(crate) fn record_survived(&mut self, now: u64, count: usize) {
        self.bucket(now).survived += count;
        let known = self
            .known
            .filter(|(_, last)| now < last + survivals::RETENTION_MS);
        let since = known.map_or(now, |(first, _)| first);
        self.known = Some((since, now));
    }

    /// Returns whether survivals were known for a while before a time.
    pub(crate) fn were_known(&self, at: u64) -> bool {
        self.known.is_some_and(|(first, last)| {
            first + MIN_KNOWN_MS <= at && at < last + survivals::RETENTION_MS
        })
    }

    /// Records that segments were waiting for a response when an upstream crashed.
    pub(crate) fn record_lost(&mut self, now: u64, count: usize) {
        self.bucket(now).lost += count;
    }

    fn bucket(&mut self, now: u64) -> &mut Bucket {
        let is_old = |b: &Bucket| b.begins_at + RETENTION_MS < now;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|b| now < b.begins_at + BUCKET_MS);
        if !is_current {
            self.buckets.push_back(Bucket {
                begins_at: now,
                survived: 0,
                lost: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }

    /// Returns the share of segments that were lost since a time, not counting `excluded` losses; none if
    /// none has survived since.
    pub(crate) fn lost_share(&self, since: u64, excluded: usize) -> Option<f64> {
        let recent = self.buckets.iter().rev();
        let recent = recent.take_while(|b| b.begins_at + BUCKET_MS > since);
        let (survived, lost) = recent.fold((0, 0), |(survived, lost), b| {
            (survived + b.survived, lost + b.lost)
        });
        let lost = lost.saturating_sub(excluded);
        (survived > 0).then(|| lost as f64 / (survived + lost) as f64)
    }
}
