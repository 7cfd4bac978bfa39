//! The memory of engines in the choice: requests go where they fit, and evicting what others will read again
//! has a cost.

use engine::{Mean, MemoryView};

use super::{Pool, MIN_RETRY_MS};
use crate::choice::{ChooseError, Criteria};
use crate::cost::Candidate;
use crate::upstream::{Upstream, UpstreamKey};

/// Cost of a preemption as a multiple of the time in which the prompt is read again: the urgent prompts behind it
/// wait for that, too.
const PREEMPTION_FACTOR: f64 = 2.0;
/// Part of an engine's memory, as a divisor, that a request had better leave free: another instance may have
/// sent a long prompt there a moment ago, and responses may be longer than expected.
const RESERVE_DIVISOR: u64 = 8;
/// Part of an engine's memory, as a divisor, that has to be free in addition if nothing new is known of it: other
/// instances' requests of the last second are missing in what is known.
const UNKNOWN_MARGIN_DIVISOR: u64 = 4;
/// The memory that a request is presumed to hold if only the number of an engine's requests is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presumption {
    /// The same as the request that is to be sent, or the mean if that is more: requests at one engine often share a
    /// prefix.
    LikeThisOne,
    /// The mean of the service.
    Mean,
}

/// Averages of what the requests of a service hold of an engine's memory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemoryUse {
    /// Tokens of one request.
    tokens: Mean,
    /// How long one holds them, in milliseconds.
    duration_ms: Mean,
}

impl Pool {
    pub(super) fn memory_use(&self, service: &str) -> MemoryUse {
        self.memory_uses.get(service).copied().unwrap_or_default()
    }

    /// Returns what is known of the memory of a request's upstream; none if its capacity is unknown.
    pub(super) fn memory_view(
        &self,
        now: u64,
        up: &Upstream,
        criteria: &Criteria<'_>,
        presumption: Presumption,
    ) -> Option<MemoryView> {
        let needed = criteria.needed_tokens()? as f64;
        let mean = self.memory_use(criteria.service).tokens;
        let mean = mean.get(1).unwrap_or_default();
        let per_request = match presumption {
            Presumption::LikeThisOne => mean.max(needed),
            Presumption::Mean => mean,
        };
        let presumed = f64::from(up.occupancy(now)) * per_request;
        let capacity = criteria.kv_capacity_tokens;
        Some(up.memory.view(now, capacity, presumed as u64))
    }

    /// Removes the candidates in whose memory a request does not fit. An engine without a new report has to have more
    /// space, unless no other is left. If none fits, engines without a new report are presumed to hold less.
    ///
    /// # Errors
    ///
    /// Returns `Busy` if that leaves none.
    pub(super) fn retain_fitting(
        &self,
        now: u64,
        criteria: &Criteria<'_>,
        candidates: &mut Vec<Candidate>,
    ) -> Result<(), ChooseError> {
        let Some(needed) = criteria.needed_tokens().filter(|_| !candidates.is_empty()) else {
            return Ok(());
        };
        if !candidates.iter().any(|c| c.has_room(needed)) {
            for candidate in candidates.iter_mut() {
                let up = self.get(candidate.key);
                candidate.memory = self.memory_view(now, up, criteria, Presumption::Mean);
            }
        }
        let release_ms = self.release_ms(criteria, needed, candidates);
        candidates.retain(|c| c.has_room(needed));
        if candidates.is_empty() {
            let retry_ms = release_ms.max(MIN_RETRY_MS) + criteria.random % MIN_RETRY_MS;
            return Err(ChooseError::Busy { retry_ms });
        }
        let margin = criteria.kv_capacity_tokens / UNKNOWN_MARGIN_DIVISOR;
        let is_certain = |c: &Candidate| {
            let has_margin = c.has_room(needed.saturating_add(margin));
            has_margin || c.memory.is_some_and(|m| m.is_fresh())
        };
        if candidates.iter().any(is_certain) {
            candidates.retain(is_certain);
        }
        Ok(())
    }

    /// Returns the time until a candidate is expected to have released the tokens that a request lacks, in
    /// milliseconds: running requests end one after the other within the duration of one.
    fn release_ms(&self, criteria: &Criteria<'_>, needed: u64, candidates: &[Candidate]) -> u64 {
        let lacking_share = |m: &MemoryView| {
            let lacking = needed.saturating_sub(m.free) as f64;
            (lacking / m.held.max(1) as f64).min(1.0)
        };
        let views = candidates.iter().filter_map(|c| c.memory.as_ref());
        let share = views.map(lacking_share).fold(1.0, f64::min);
        let duration_ms = self.memory_use(criteria.service).duration_ms;
        (duration_ms.get(1).unwrap_or_default() * share) as u64
    }

    /// Adds the time in which others will read again what a request evicts, and that in which a prompt has to be
    /// read again if the engine runs out of memory.
    pub(super) fn add_memory_cost(&self, criteria: &Criteria<'_>, candidates: &mut [Candidate]) {
        let Some(needed) = criteria.needed_tokens() else {
            return;
        };
        let own_tokens = criteria.own_tokens();
        let ms_per_token = self.latency(criteria.service).prefill_ms_per_token;
        for candidate in candidates {
            if let Some(view) = candidate.memory {
                let newly_cached = candidate.uncached_tokens.saturating_sub(own_tokens);
                let evicted = view.evicted_shared(needed + u64::from(newly_cached));
                let reserve = (criteria.kv_capacity_tokens / RESERVE_DIVISOR).max(1);
                let missing = (needed + reserve).saturating_sub(view.free).min(reserve);
                let risk = missing as f64 / reserve as f64;
                let read_again = evicted + risk * needed as f64 * PREEMPTION_FACTOR;
                candidate.cost_ms += read_again * ms_per_token;
            }
        }
    }

    /// Records that a request holds memory of an upstream from now on.
    pub(super) fn begin_holding(
        &mut self,
        now: u64,
        key: UpstreamKey,
        attempt: u64,
        criteria: &Criteria<'_>,
    ) {
        let Some(needed) = criteria.needed_tokens() else {
            return;
        };
        let service = criteria.service.to_string();
        self.memory_uses
            .entry(service)
            .or_default()
            .tokens
            .record(needed as f64);
        self.get_mut(key).memory.begin(now, attempt, needed);
    }

    /// Records that an attempt holds no memory of its upstream any more; `complete` says whether its
    /// response was.
    pub(super) fn end_holding(&mut self, now: u64, key: UpstreamKey, attempt: u64, complete: bool) {
        let up = self.get_mut(key);
        let Some(begun_at) = up.memory.end(attempt).filter(|_| complete) else {
            return;
        };
        let service = up.spec.service.clone();
        let memory_use = self.memory_uses.entry(service).or_default();
        let held_ms = now.saturating_sub(begun_at);
        memory_use.duration_ms.record(held_ms as f64);
    }
}
