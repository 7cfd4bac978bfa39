//! How many segments survived, and how many were lost in crashes, at one service.

use std::collections::VecDeque;

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 50;
/// How long outcomes are remembered, in milliseconds.
const RETENTION_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begins_at: u64,
    survived: usize,
    lost: usize,
}

/// Outcomes in the order of their time, in buckets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes(VecDeque<Bucket>);

impl Outcomes {
    /// Records that segments have survived.
    pub(crate) fn record_survived(&mut self, now: u64, count: usize) {
        self.bucket(now).survived += count;
    }

    /// Records that segments were waiting for a response when an upstream crashed.
    pub(crate) fn record_lost(&mut self, now: u64, count: usize) {
        self.bucket(now).lost += count;
    }

    fn bucket(&mut self, now: u64) -> &mut Bucket {
        let is_old = |b: &Bucket| b.begins_at + RETENTION_MS < now;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        let is_current = self.0.back().is_some_and(|b| now < b.begins_at + BUCKET_MS);
        if !is_current {
            self.0.push_back(Bucket {
                begins_at: now,
                survived: 0,
                lost: 0,
            });
        }
        self.0.back_mut().expect("a bucket was added")
    }

    /// Returns the share of segments that were lost since a time, not counting `excluded` losses; none if
    /// none has survived since.
    pub(crate) fn lost_share(&self, since: u64, excluded: usize) -> Option<f64> {
        let recent = self.0.iter().rev();
        let recent = recent.take_while(|b| b.begins_at + BUCKET_MS > since);
        let (survived, lost) = recent.fold((0, 0), |(survived, lost), b| {
            (survived + b.survived, lost + b.lost)
        });
        let lost = lost.saturating_sub(excluded);
        (survived > 0).then(|| lost as f64 / (survived + lost) as f64)
    }
}
