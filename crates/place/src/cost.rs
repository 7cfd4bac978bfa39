//! Estimated cost of a request at an upstream: its own latency there and the cost for other requests.

use engine::{Estimate, MemoryView};

use crate::choice::Criteria;
use crate::latency::{LatencyEstimate, FIRST_TOKEN_MS, INITIAL_CALL_MS};
use crate::pool::KnownEngine;
use crate::upstream::{Upstream, UpstreamKey};

/// Additional cost of a request to another availability zone, in milliseconds: the round trip, and the
/// traffic that has to be paid for.
const CROSS_ZONE_MS: f64 = 4.0;
/// Additional cost of the prefill of a shared prefix at an engine that other requests with the prefix don't
/// look for, as a multiple of its duration: the engine's other requests wait for it, it evicts other
/// prefixes from the cache, and the next request with the prefix repeats it elsewhere.
const REPEATED_PREFILL_FACTOR: f64 = 2.0;
/// Fraction of that cost at the secondary engine of a prefix: when the primary one is busy, all
/// instances repeat the prefill there, rather than each of them at a different engine.
const SECONDARY_FACTOR: f64 = 0.2;
/// Part of the time left until a first token is late within which it is expected in time although estimates
/// are rough.
const SAFE_PART: f64 = 0.7;
/// Cost of a millisecond within that part: callers do not gain by an earlier first token, but the requests
/// behind it do.
const EARLY_WEIGHT: f64 = 0.3;
/// Cost of a millisecond after it: it makes the request, or those behind it, late.
const LATE_WEIGHT: f64 = 1.5;
/// Additional cost of an upstream at which all requests fail, in milliseconds.
const FAILURE_MS: f64 = 2_000.0;
/// Additional cost of the last upstream of its software version, in milliseconds: if it is lost, the
/// streams that began there can't go on.
const LAST_OF_VERSION_MS: f64 = 100.0;
/// Occupancy at which an engine counts as full, as a percentage of its slots: reports are late, and
/// other instances fill the rest in the meantime.
const ENGINE_FULL_PCT: u32 = 90;
/// The same for a stream that only one version may continue: elsewhere it can't go on at all.
const CONTINUED_FULL_PCT: u32 = 100;
/// The same for a plain service, which queues a few requests.
const SERVICE_FULL_PCT: u32 = 150;

/// The same for a plain service whose upstreams are brittle.
const BRITTLE_FULL_PCT: u32 = 100;

/// An upstream that may serve a request, with the estimated cost.
pub(crate) struct Candidate {
    pub(crate) key: UpstreamKey,
    pub(crate) position: Position,
    pub(crate) uncached_tokens: u32,
    pub(crate) prefill_work: f64,
    pub(crate) expected_ms: f64,
    pub(crate) cost_ms: f64,
    /// What is known of the upstream's load.
    pub(crate) load: Estimate,
    /// What is known of its memory; none if its capacity is unknown.
    pub(crate) memory: Option<MemoryView>,
}

impl Candidate {
    /// Returns whether a request that needs some tokens fits into its memory, as far as known.
    pub(crate) fn has_room(&self, needed: u64) -> bool {
        self.memory.is_none_or(|m| needed <= m.free)
    }
}

/// Returns whether the health of an upstream allows a request.
pub(crate) fn is_usable(up: &Upstream, now: u64, criteria: &Criteria<'_>) -> bool {
    if up.health.is_ejected(now) {
        return false;
    }
    !up.health.is_on_probation() || (up.engine.inflight() == 0 && criteria.retryable)
}

/// Returns whether an upstream is full; a brittle one may let no request wait.
pub(crate) fn is_full(up: &Upstream, now: u64, criteria: &Criteria<'_>, brittle: bool) -> bool {
    let pct = if criteria.prompt_tokens > 0 && criteria.version.is_some() {
        CONTINUED_FULL_PCT
    } else if criteria.prompt_tokens > 0 {
        ENGINE_FULL_PCT
    } else if brittle {
        BRITTLE_FULL_PCT
    } else {
        SERVICE_FULL_PCT
    };
    u64::from(up.occupancy(now)) * 100 >= u64::from(up.slots()) * u64::from(pct)
}

/// The upstreams to which all instances send prompts with the same prefix.
///
/// Each instance sees only a part of the requests. If each chose by its own requests alone, the same
/// prefix would be prefilled on as many engines as there are instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefixAffinity {
    primary: Option<UpstreamKey>,
    secondary: Option<UpstreamKey>,
}

/// An upstream's position in the affinity of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Position {
    Primary,
    Secondary,
    Other,
}

impl PrefixAffinity {
    pub(crate) fn position(&self, key: UpstreamKey) -> Position {
        if self.primary == Some(key) {
            Position::Primary
        } else if self.secondary == Some(key) {
            Position::Secondary
        } else {
            Position::Other
        }
    }
}

/// Returns the affinity of the prefix that a request shares with others, among some upstreams.
pub(crate) fn prefix_affinity(
    criteria: &Criteria<'_>,
    upstreams: &[(UpstreamKey, &Upstream)],
) -> PrefixAffinity {
    let Some(last_shared) = criteria.segments.len().checked_sub(2) else {
        return PrefixAffinity::default();
    };
    let prefix = criteria.segments[last_shared].id;
    let rank = |(_, up): &&(UpstreamKey, &Upstream)| up.rank(prefix);
    let primary = upstreams.iter().max_by_key(rank).map(|(key, _)| *key);
    let others = upstreams.iter().filter(|(key, _)| Some(*key) != primary);
    let secondary = others.max_by_key(rank).map(|(key, _)| *key);
    PrefixAffinity { primary, secondary }
}

/// Returns whether an upstream is the only one of its software version, among those that accept a request
/// which may be continued elsewhere.
pub(crate) fn is_last_of_version(
    up: &Upstream,
    criteria: &Criteria<'_>,
    accepting: &[(UpstreamKey, &Upstream)],
) -> bool {
    let begins_stream = criteria.prompt_tokens > 0 && criteria.retryable;
    let same = |(_, other): &&(UpstreamKey, &Upstream)| other.spec.version == up.spec.version;
    begins_stream && accepting.iter().filter(same).take(2).count() == 1
}

/// Estimates the cost of a request at an upstream.
pub(crate) fn estimate(
    key: UpstreamKey,
    up: &Upstream,
    now: u64,
    criteria: &Criteria<'_>,
    position: Position,
    presumed: PresumedCached,
    last_of_version: bool,
    latency: LatencyEstimate,
) -> Candidate {
    let load = up.engine.estimate(now, criteria.priority);
    let (uncached_tokens, prefill_work) = if criteria.prompt_tokens > 0 {
        let uncached = uncached_tokens(up, now, criteria, presumed);
        (
            uncached,
            latency.prefill_work(uncached, criteria.prompt_tokens),
        )
    } else {
        (0, 0.0)
    };
    let own_tokens = criteria.own_tokens();
    let repeated_ms =
        f64::from(uncached_tokens.saturating_sub(own_tokens)) * latency.prefill_ms_per_token;
    let repeated_cost_ms = match position {
        Position::Primary => 0.0,
        Position::Secondary => repeated_ms * REPEATED_PREFILL_FACTOR * SECONDARY_FACTOR,
        Position::Other => repeated_ms * REPEATED_PREFILL_FACTOR,
    };
    let expected_ms = if criteria.prompt_tokens > 0 {
        let own_ms = (FIRST_TOKEN_MS + prefill_work * latency.prefill_ms_per_token) * load.factor;
        own_ms + load.wait_ms
    } else {
        let ahead = up.occupancy(now).saturating_sub(up.slots() - 1);
        let rounds = 1.0 + f64::from(ahead) / f64::from(up.slots());
        latency.call_ms * load.factor * rounds
    };
    let occupied = f64::from(up.occupancy(now)) / f64::from(up.slots());
    let zone_ms = if up.spec.zone == criteria.zone {
        0.0
    } else {
        CROSS_ZONE_MS
    };
    let failure_ms = up.health.failure_rate(now) * FAILURE_MS;
    let version_ms = if last_of_version {
        LAST_OF_VERSION_MS
    } else {
        0.0
    };
    // Occupied upstreams respond more slowly; this also spreads requests over upstreams that are
    // otherwise equal.
    let occupied_ms = occupied * expected_ms.min(INITIAL_CALL_MS);
    Candidate {
        key,
        position,
        uncached_tokens,
        prefill_work,
        expected_ms,
        cost_ms: time_cost_ms(now, criteria, expected_ms)
            + repeated_cost_ms
            + zone_ms
            + failure_ms
            + version_ms
            + occupied_ms,
        load,
        memory: None,
    }
}

/// Returns the cost of the time until the first token, in milliseconds.
///
/// Long prompts of many prefixes compete for the engines that have cached them. If each left its engine for
/// a wait that its caller does not notice, prefixes would be prefilled again elsewhere, and the additional
/// load would make later requests wait longer.
fn time_cost_ms(now: u64, criteria: &Criteria<'_>, expected_ms: f64) -> f64 {
    let Some(until) = criteria.on_time_until else {
        return expected_ms;
    };
    let safe_ms = until.saturating_sub(now) as f64 * SAFE_PART;
    let early_ms = expected_ms.min(safe_ms);
    early_ms * EARLY_WEIGHT + (expected_ms - early_ms) * LATE_WEIGHT
}

/// What an upstream has presumably cached of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PresumedCached {
    /// Number of leading segments.
    leading: usize,
    /// From when on segments that this instance has sent there count as cached, too, in milliseconds.
    own_since: u64,
}

/// Returns what an upstream has presumably cached of a prompt: what its account says, if the fleet uses
/// accounts. Without accounts, the primary upstream of a prefix has presumably got it from other instances.
/// What this instance has sent there is cached as well, unless it is in an account that knows what the
/// engine has evicted since.
pub(crate) fn presumed_cached(
    up: &Upstream,
    now: u64,
    criteria: &Criteria<'_>,
    position: Position,
    known: Option<&[KnownEngine]>,
) -> PresumedCached {
    let shared = criteria.segments.len().saturating_sub(1);
    let hash = up.incarnation_hash();
    let answer = known.and_then(|known| known.iter().find(|k| k.hash == hash));
    let leading = match (known, answer) {
        (None, _) if position == Position::Primary && !up.restarted => shared,
        (_, Some(answer)) => answer.cached_segments.min(shared),
        (_, None) => 0,
    };
    let complete_until = answer.and_then(|_| up.memory.complete_until(now));
    PresumedCached {
        leading,
        own_since: complete_until.unwrap_or_default(),
    }
}

/// Returns the estimated number of prompt tokens that are not in an upstream's prefix cache.
fn uncached_tokens(
    up: &Upstream,
    now: u64,
    criteria: &Criteria<'_>,
    presumed: PresumedCached,
) -> u32 {
    let mut cached_tokens = 0;
    for (i, segment) in criteria.segments.iter().enumerate() {
        let own_since = presumed.own_since;
        let sent = up.prefix_cache.contains_since(now, own_since, segment.id);
        let cached = i < presumed.leading || sent;
        if !cached {
            break;
        }
        cached_tokens = u32::saturating_add(cached_tokens, segment.tokens);
    }
    // The last token is processed even if it is cached.
    criteria.prompt_tokens.saturating_sub(cached_tokens).max(1)
}
