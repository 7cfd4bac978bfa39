//! Which segments explain the crashes at which they were present.

use std::cmp::Reverse;
use std::collections::HashSet;

use crate::entry::{Crash, Entry, Stage};
use crate::segment::Segment;

/// The crashes from which a segment is refused.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    crashes: usize,
    /// Number of moments at which they happened: upstreams that crash at the same moment may do so for
    /// another reason, such as a loss of power.
    moments: usize,
}

/// The thresholds of a segment that is not known to have survived before. Chance alone has a segment of
/// many requests at a crash or two without a survival in between, and a retried request is at two.
const UNKNOWN: &[Threshold] = &[
    Threshold {
        crashes: 4,
        moments: 3,
    },
    Threshold {
        crashes: 5,
        moments: 2,
    },
];
/// The threshold of a segment that had survived before: it is less likely to crash upstreams.
const SOUND: &[Threshold] = &[Threshold {
    crashes: 6,
    moments: 3,
}];
/// Number of crashes from which all instances are asked whether a segment has survived. With fewer its
/// record is sent to its owners only: each crash leaves some segments with one crash.
const CANDIDATE_FROM: usize = 3;
/// Number of crashes at which a request with a segment was not present, from which it does not explain the
/// others: one may be a coincidence.
const MIN_CRASHES_WITHOUT_REQUEST: usize = 2;
/// Crashes within this time of each other count as one moment, in milliseconds.
const MOMENT_MS: u64 = 50;
/// Maximum probability that a segment that had survived before was lost in all of its crashes by chance.
const MAX_CHANCE: f64 = 0.0001;

/// A request that is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedRequest<'a> {
    pub(crate) tag: u32,
    pub(crate) entry: &'a Entry,
}

/// Returns the segments to refuse, out of those that were present at many crashes.
///
/// A segment that was present together with the one that causes the crashes is not refused: its
/// crashes are explained by the other one, or by a single request that comes again and again.
/// Segments that have never survived come first, because one that causes crashes can't have, and then
/// those with most crashes. A segment that was refused stays so, whatever else would explain its crashes now.
pub(crate) fn refused_segments<'a>(
    candidates: impl Iterator<Item = (Segment, &'a Entry)>,
    requests: &[RefusedRequest<'a>],
) -> Vec<Segment> {
    let mut suspects: Vec<(Segment, &Entry)> = candidates
        .filter(|(_, entry)| stage(entry).is_suspect())
        .collect();
    suspects.sort_by_key(|(segment, entry)| {
        let crashes = Reverse(entry.crashes.len());
        (!entry.refused, entry.was_sound, crashes, *segment)
    });
    let mut explained: HashSet<&str> = HashSet::new();
    let mut refused = Vec::new();
    for (segment, entry) in suspects {
        let unexplained = entry.crashes.iter();
        let unexplained: Vec<(&String, &Crash)> = unexplained
            .filter(|(incarnation, _)| !explained.contains(incarnation.as_str()))
            .collect();
        let is_cause = unexplained.len() >= min_crashes(entry)
            && !is_explained_by_own_request(&unexplained)
            && !requests.iter().any(|r| r.explains(entry, &unexplained));
        if entry.refused || is_cause {
            explained.extend(entry.crashes.keys().map(String::as_str));
            refused.push(segment);
        }
    }
    refused
}

/// Returns whether one request with a segment was present at all of its crashes but a coincidence: then that
/// request as a whole may crash upstreams. That several requests with the segment do so, each for a reason
/// of its own, is unlikely.
fn is_explained_by_own_request(crashes: &[(&String, &Crash)]) -> bool {
    let tags = crashes.iter().flat_map(|(_, crash)| &crash.requests);
    let mut tags = tags.copied();
    tags.any(|tag| {
        let without = crashes.iter().filter(|(_, c)| !c.requests.contains(&tag));
        without.count() < MIN_CRASHES_WITHOUT_REQUEST
    })
}

impl RefusedRequest<'_> {
    /// Returns whether the request, which does not have the segment of an entry, explains so many of its crashes
    /// that too few are left.
    fn explains(&self, entry: &Entry, crashes: &[(&String, &Crash)]) -> bool {
        let mut all = entry.crashes.values();
        let has_segment = all.any(|crash| crash.requests.contains(&self.tag));
        let left = crashes.iter();
        let left = left.filter(|(incarnation, _)| !self.entry.crashes.contains_key(*incarnation));
        !has_segment && left.count() < min_crashes(entry)
    }
}

/// Returns whether chance is unlikely to have had a segment at all of its crashes and at no survival.
/// `lost_share` is the share of the other segments that were lost since the first of them, none if no
/// other has survived: when most upstreams crash whatever they run, many segments do not survive for a
/// while. One that has never survived is not given that benefit if survivals were known for a while before
/// the crashes (`were_known`): a segment in many requests takes all upstreams away before any other can
/// survive.
pub(crate) fn is_significant(entry: &Entry, lost_share: Option<f64>, were_known: bool) -> bool {
    let (count, moments) = (entry.crashes.len(), moment_count(entry));
    let is_met = |t: &Threshold| count >= t.crashes && moments >= t.moments;
    if !thresholds(entry).iter().any(is_met) {
        return false;
    }
    let is_unlikely = |share: f64| share.powi(count as i32) <= MAX_CHANCE;
    were_known && !entry.was_sound || lost_share.is_some_and(is_unlikely)
}

/// Returns the thresholds of an entry, one of which has to be reached.
fn thresholds(entry: &Entry) -> &'static [Threshold] {
    if entry.was_sound {
        SOUND
    } else {
        UNKNOWN
    }
}

/// Returns the number of crashes below which an entry's segment is never refused.
fn min_crashes(entry: &Entry) -> usize {
    thresholds(entry)[0].crashes
}

/// Returns the number of moments at which the crashes of an entry happened.
fn moment_count(entry: &Entry) -> usize {
    let mut times: Vec<u64> = entry.crashes.values().map(|c| c.at).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut moment_ends_at = 0;
    for at in times {
        if count == 0 || at > moment_ends_at {
            count += 1;
            moment_ends_at = at + MOMENT_MS;
        }
    }
    count
}

/// Returns how far the suspicion of a segment has come.
pub(crate) fn stage(entry: &Entry) -> Stage {
    let was_sound = entry.was_sound;
    match entry.crashes.len() {
        n if n >= min_crashes(entry) && entry.significant => match entry.refused {
            true => Stage::Refused { was_sound },
            false => Stage::Suspect { was_sound },
        },
        n if n >= CANDIDATE_FROM => Stage::Candidate,
        _ => Stage::Unremarkable,
    }
}
