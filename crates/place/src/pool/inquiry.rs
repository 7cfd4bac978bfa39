//! Which engines' accounts a request with much to read asks about, and what their answers change.

use std::cmp::Ordering;

use engine::Answer;
use smallvec::SmallVec;

use super::Pool;
use crate::choice::Criteria;
use crate::cost::{Candidate, Position};
use crate::upstream::{AttemptId, PromptSegment, UpstreamKey};

/// Prefill time from which on a request asks, in milliseconds: a shorter prompt hardly changes what
/// others wait for, and asking takes a few milliseconds itself.
const MIN_ASKING_PREFILL_MS: f64 = 15.0;
/// Number of engines that a request asks about: those that rank first for its prefix. If a prefix has to be
/// read again because one of them is busy, all instances find it at the next one.
const MAX_ASKED: usize = 3;
/// Additional cost of an engine that was not asked about, in milliseconds: what is known of it is old, and
/// the best of many such engines is most likely one of which something is not known.
const UNASKED_MS: f64 = 100.0;

/// Maximum number of segments in a question: prompts have two to four.
const MAX_SEGMENTS: usize = 8;

/// The engines that a request asks about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inquiry {
    /// The engines, best first; empty if the request does not ask.
    pub engines: SmallVec<[InquiredEngine; MAX_ASKED]>,
    /// Ids of the segments of the prompt that others may share.
    pub segments: SmallVec<[u64; 4]>,
    /// The last attempt of this instance before the question.
    pub last_attempt: AttemptId,
}

/// An engine that a request asks about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InquiredEngine {
    /// The hash of its incarnation.
    pub hash: u64,
    /// Its availability zone.
    pub zone: String,
}

/// An engine whose account has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownEngine {
    /// The hash of its incarnation.
    pub hash: u64,
    /// Number of leading segments of the prompt that it has most likely cached.
    pub cached_segments: usize,
}

/// Returns the ids of the segments of a prompt that others may share, at most as many as questions and
/// entries contain.
pub fn shared_segments(segments: &[PromptSegment]) -> SmallVec<[u64; 4]> {
    let shared = segments.len().saturating_sub(1);
    let shared = segments[..shared].iter().take(MAX_SEGMENTS);
    shared.map(|s| s.id).collect()
}

/// Returns the number of tokens of each of these segments.
pub fn shared_segment_sizes(segments: &[PromptSegment]) -> SmallVec<[u64; 4]> {
    let shared = segments.len().saturating_sub(1);
    let shared = segments[..shared].iter().take(MAX_SEGMENTS);
    shared.map(|s| s.tokens.into()).collect()
}

impl Pool {
    /// Returns the service of the upstream with an incarnation's hash; none if there is no such upstream.
    pub fn service_by_hash(&self, hash: u64) -> Option<&str> {
        let key = self.by_hash.get(&hash)?;
        Some(self.get(*key).spec.service.as_str())
    }

    /// Returns the engines that a request should ask about before it chooses one.
    pub fn inquiry(&self, now: u64, criteria: &Criteria<'_>) -> Inquiry {
        let mut inquiry = Inquiry {
            segments: shared_segments(criteria.segments),
            last_attempt: AttemptId(self.attempts),
            ..Inquiry::default()
        };
        let Ok(mut candidates) = self.candidates(now, criteria, Some(&[])) else {
            return inquiry;
        };
        // Sorting all of them would be the larger part of the work.
        let third = self.third_for_prefix(&candidates, criteria);
        let by_need = |a: &Candidate, b: &Candidate| {
            let other = |c: &Candidate| c.position == Position::Other && Some(c.key) != third;
            other(a).cmp(&other(b)).then_with(|| self.by_cost(a, b))
        };
        if candidates.len() > MAX_ASKED {
            candidates.select_nth_unstable_by(MAX_ASKED, by_need);
            candidates.truncate(MAX_ASKED);
        }
        candidates.sort_by(|a, b| self.by_cost(a, b));
        let prefill_ms = candidates.first().map(|c| self.prefill_ms(c, criteria));
        let is_long = prefill_ms.is_some_and(|ms| ms >= MIN_ASKING_PREFILL_MS);
        // What is presumed of engines is rough: a request that may fit nowhere asks, however short its prefill is.
        let needed = criteria.needed_tokens().unwrap_or_default();
        let fits = candidates.iter().any(|c| c.has_room(needed));
        if fits && (!is_long || candidates.len() < 2) {
            return inquiry;
        }
        for candidate in &candidates {
            let up = self.get(candidate.key);
            inquiry.engines.push(InquiredEngine {
                hash: up.incarnation_hash(),
                zone: up.spec.zone.clone(),
            });
        }
        inquiry
    }

    /// Returns the engine that ranks third for the prefix of a prompt, after the primary and the secondary
    /// one; none if no others share a prefix with it.
    fn third_for_prefix(
        &self,
        candidates: &[Candidate],
        criteria: &Criteria<'_>,
    ) -> Option<UpstreamKey> {
        let last_shared = criteria.segments.len().checked_sub(2)?;
        let prefix = criteria.segments[last_shared].id;
        let others = candidates.iter().filter(|c| c.position == Position::Other);
        let third = others.max_by_key(|c| self.get(c.key).rank(prefix));
        third.map(|c| c.key)
    }

    /// Returns the engine with an incarnation's hash, to ask about it in addition; none if it accepts no requests.
    pub fn inquired(&self, now: u64, hash: u64) -> Option<InquiredEngine> {
        let up = self.get(*self.by_hash.get(&hash)?);
        up.accepts_requests(now).then(|| InquiredEngine {
            hash,
            zone: up.spec.zone.clone(),
        })
    }

    /// Returns the engine that ranks first for the prefix of a prompt, if another one has to read it.
    pub(super) fn copy_of(
        &self,
        chosen: &Candidate,
        criteria: &Criteria<'_>,
    ) -> Option<InquiredEngine> {
        let last_shared = criteria.segments.len().checked_sub(2)?;
        if chosen.uncached_tokens <= criteria.own_tokens() {
            return None;
        }
        let prefix = criteria.segments[last_shared].id;
        let all = self.listed().filter(|u| criteria.is_served_by(u));
        let first = all.filter(|u| !u.leaving).max_by_key(|u| u.rank(prefix))?;
        let is_other = first.incarnation_hash() != self.get(chosen.key).incarnation_hash();
        is_other.then(|| InquiredEngine {
            hash: first.incarnation_hash(),
            zone: first.spec.zone.clone(),
        })
    }

    /// Applies an answer about an engine.
    pub fn set_account(&mut self, now: u64, hash: u64, last_attempt: AttemptId, answer: Answer) {
        let Some(key) = self.by_hash.get(&hash).copied() else {
            return;
        };
        if let Some(up) = self.upstreams[key.0 as usize].as_mut() {
            let observed = up.engine.observed_requests(now);
            up.memory.set_answer(now, last_attempt.0, &answer, observed);
            up.engine.set_account(now, last_attempt.0, answer);
        }
    }

    /// Orders candidates by cost. Among equal ones the order differs from instance to instance: instances
    /// that know nothing about the upstreams yet would otherwise all choose the first one of the list.
    pub(super) fn by_cost(&self, a: &Candidate, b: &Candidate) -> Ordering {
        let tie_breaker = |c: &Candidate| self.get(c.key).rank(self.own_name_hash);
        let order = a.cost_ms.partial_cmp(&b.cost_ms);
        let order = order.unwrap_or(Ordering::Equal);
        order.then_with(|| tie_breaker(a).cmp(&tie_breaker(b)))
    }

    /// Returns the duration of a candidate's prefill at the usual speed, in milliseconds.
    pub(super) fn prefill_ms(&self, candidate: &Candidate, criteria: &Criteria<'_>) -> f64 {
        candidate.prefill_work * self.latency(criteria.service).prefill_ms_per_token
    }

    /// Adds to the cost of the candidates about which there is no answer, if there is any.
    pub(super) fn add_unasked_cost(&self, candidates: &mut [Candidate], known: &[KnownEngine]) {
        if known.is_empty() {
            return;
        }
        for candidate in candidates {
            let hash = self.get(candidate.key).incarnation_hash();
            if !known.iter().any(|k| k.hash == hash) {
                candidate.cost_ms += UNASKED_MS;
            }
        }
    }
}
