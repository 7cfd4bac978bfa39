//! One upstream: its list entry, its load reports, and what this instance's own requests show.

use std::cmp::Ordering;
use std::net::SocketAddr;

use engine::{HeldTokens, PrefixCache, State};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::cold_start::ColdStart;
use crate::health::Health;
use crate::limit::{RateLimit, Share, VersionedLimit};
use crate::room::Room;
use crate::throttled::ThrottledRequests;

/// Index of an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// Identifies an attempt to serve a request at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An upstream as its list entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the upstream. After a restart it has a new name, or the same one with another start time.
    pub id: String,
    /// When this incarnation started, in milliseconds since the Unix epoch; none if the entry does not
    /// say.
    pub started_at_ms: Option<u64>,
    /// Version of its software; empty if the entry does not say.
    pub version: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// For how much longer it is cold, in milliseconds; none if the entry does not say.
    pub cold_ms: Option<u64>,
    /// Revision of the store at which the entry was written, or a later one at which it existed; 0 if unknown.
    pub revision: i64,
}

impl Spec {
    /// Returns the name of this incarnation: a process that starts again under the same name has none of
    /// the state of the earlier one.
    pub fn incarnation(&self) -> String {
        match self.started_at_ms {
            Some(started_at_ms) => format!("{}@{started_at_ms}", self.id),
            None => self.id.clone(),
        }
    }

    /// Returns the hash by which instances refer to this incarnation among each other.
    pub fn incarnation_hash(&self) -> u64 {
        xxh3_64(self.incarnation().as_bytes())
    }

    /// Returns whether this entry is older than another one of the same name. The start times decide only if the
    /// revisions don't: the time of day of an upstream may step back before it starts again.
    pub(crate) fn is_older_than(&self, other: &Spec) -> bool {
        match self.revision.cmp(&other.revision) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                matches!((self.started_at_ms, other.started_at_ms), (Some(own), Some(other)) if own < other)
            }
        }
    }

    /// Returns whether this is another incarnation than the one in another entry of the same name.
    pub(crate) fn is_other_incarnation(&self, other: &Spec) -> bool {
        matches!((self.started_at_ms, other.started_at_ms), (Some(own), Some(other)) if own != other)
    }
}

/// A segment of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded.
    Success,
    /// The upstream responded with an error.
    ErrorResponse,
    /// The request was refused before it ran.
    Refused,
    /// The connection broke before the response was complete, or the response was not valid.
    InvalidResponse,
    /// The upstream could not be reached, or did not respond in time.
    Unresponsive,
    /// The caller left, or the deadline passed: this says nothing about the upstream.
    Abandoned,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its list entry.
    pub spec: Spec,
    /// What this instance knows of its load.
    pub engine: State,
    /// What this instance knows of its memory.
    pub(crate) memory: HeldTokens,
    /// Whether any source has said that it is leaving; never reset.
    pub leaving: bool,
    /// When it accepts requests again after a pause that it asked for, in milliseconds.
    pub paused_until: u64,
    /// The request rate limit that it advertises.
    versioned_limit: VersionedLimit,
    /// When this instance last updated the limit, in milliseconds.
    limit_updated_at: u64,
    /// This instance's share of the limit; none if it has no share.
    share: Option<Share>,
    /// This instance's part of its slots while it is brittle.
    pub(crate) room: Room,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// Until when it is cold, according to its list entry or its service's settings, in milliseconds.
    cold_until: u64,
    /// Until when it counts as cold whatever its list entry says, in milliseconds.
    min_cold_until: u64,
    /// From when on this instance sends to it while it is cold, in milliseconds; none while another
    /// instance does.
    cold_sends_from: Option<u64>,
    /// Requests sent while it was throttled.
    throttled: ThrottledRequests,
    /// Whether it is no longer listed.
    pub delisted: bool,
    /// Its health.
    pub health: Health,
    /// When this instance last heard from it or of it, in milliseconds: it was alive then.
    heard_at: u64,
    pub(crate) prefix_cache: PrefixCache,
    /// Whether it restarted while it was listed. Its prefix cache then contains only what was sent to it
    /// since the restart, even for prefixes of which it is the primary upstream.
    pub(crate) restarted: bool,
    /// Hash of its name: its rank stays the same across restarts.
    name_hash: u64,
    /// Hash of its incarnation: reports about an earlier one do not apply to it.
    incarnation_hash: u64,
}

impl Upstream {
    /// Creates an upstream of which only the list entry is known.
    pub fn new(spec: Spec) -> Upstream {
        Upstream {
            name_hash: xxh3_64(spec.id.as_bytes()),
            incarnation_hash: spec.incarnation_hash(),
            leaving: spec.leaving,
            spec,
            engine: State::default(),
            memory: HeldTokens::default(),
            paused_until: 0,
            versioned_limit: VersionedLimit::default(),
            limit_updated_at: 0,
            share: None,
            room: Room::default(),
            evacuated: false,
            cold_until: 0,
            min_cold_until: 0,
            cold_sends_from: None,
            throttled: ThrottledRequests::default(),
            delisted: false,
            health: Health::default(),
            heard_at: 0,
            prefix_cache: PrefixCache::default(),
            restarted: false,
        }
    }

    /// Returns its rank for an item that all instances should assign to the same upstream.
    pub fn rank(&self, item: u64) -> u64 {
        xxh3_64_with_seed(&item.to_le_bytes(), self.name_hash)
    }

    /// Returns the estimated number of its requests, merged from all sources.
    pub fn occupancy(&self, now: u64) -> u32 {
        self.engine.occupancy(now)
    }

    /// Returns whether it accepts new requests: it is listed, not leaving and not paused, and its zone is
    /// in use.
    pub fn accepts_requests(&self, now: u64) -> bool {
        !self.delisted && !self.leaving && !self.evacuated && self.paused_until <= now
    }

    /// Returns until when it is cold, in milliseconds; none if it is warm.
    pub fn cold_until(&self, now: u64) -> Option<u64> {
        let until = self.cold_until.max(self.min_cold_until);
        (until > now).then_some(until)
    }

    /// Updates until when it is cold from its list entry, or else from its service's settings.
    pub(crate) fn update_cold_until(&mut self, now: u64, cold_start: ColdStart) {
        self.cold_until = now + self.spec.cold_ms.unwrap_or(cold_start.duration_ms);
    }

    /// Records that it is back in service: it may have become cold since its list entry was written.
    pub(crate) fn return_to_service(&mut self, now: u64, cold_start: ColdStart) {
        self.min_cold_until = now + cold_start.duration_ms;
    }

    /// Sets from when on this instance sends to it while it is cold.
    pub(crate) fn set_cold_sends_from(&mut self, from: Option<u64>) {
        self.cold_sends_from = from;
    }

    /// Returns whether no cold-start limit applies: it is warm, or its service has no such limit.
    pub(crate) fn is_unlimited(&self, now: u64, cold_start: ColdStart) -> bool {
        cold_start.max_per_sec.is_none() || self.cold_until(now).is_none()
    }

    /// Returns whether this instance may send it one more request while it is cold or limited.
    pub(crate) fn has_capacity(&self, now: u64, cold_start: ColdStart) -> bool {
        let sends = || self.cold_sends_from.is_some_and(|from| from <= now);
        let below_max = || {
            cold_start
                .max_per_instance()
                .is_some_and(|max| self.throttled.count(now) < max)
        };
        let open = self.is_unlimited(now, cold_start) || (sends() && below_max());
        open && self.is_within_limit(now)
    }

    /// Returns whether one more request stays within this instance's share of the request rate limit.
    pub(crate) fn is_within_limit(&self, now: u64) -> bool {
        let below_max = |s: Share| s.starts_at <= now && self.throttled.count(now) < s.max_requests;
        self.limit().is_none() || self.share.is_some_and(below_max)
    }

    /// Returns the time until this or another instance may send the next request under the limit, in
    /// milliseconds.
    pub(crate) fn limit_retry_ms(&self, now: u64) -> Option<u64> {
        let limit = self.limit()?;
        let own = self.share.map(|share| {
            let below_max_at = self.throttled.next_expiry(now).unwrap_or(now);
            below_max_at.max(share.starts_at).saturating_sub(now)
        });
        Some(own.unwrap_or(u64::MAX).min(limit.interval_ms()))
    }

    /// Returns whether an attempt for which it was chosen may be sent: it has not become cold or limited
    /// since.
    pub(crate) fn may_send(&self, now: u64, attempt: AttemptId, cold_start: ColdStart) -> bool {
        let unlimited = self.is_unlimited(now, cold_start) && self.limit().is_none();
        self.accepts_requests(now) && (unlimited || self.throttled.is_in_flight(attempt))
    }

    /// Returns the request rate limit that it advertises.
    pub fn limit(&self) -> Option<RateLimit> {
        self.versioned_limit.rate
    }

    /// Returns the state of its request rate limit.
    pub(crate) fn versioned_limit(&self) -> VersionedLimit {
        self.versioned_limit
    }

    /// Records the request rate limit in its response to a request sent at `sent_at`; returns the new
    /// state if it changed. A limit that allows more is ignored if the request was sent before the last
    /// update, because the response may be older than that.
    pub(crate) fn update_limit(
        &mut self,
        now: u64,
        sent_at: u64,
        limit: Option<RateLimit>,
    ) -> Option<VersionedLimit> {
        let known = self.versioned_limit;
        let outdated =
            VersionedLimit::loosens(limit, known.rate) && sent_at < self.limit_updated_at;
        if limit == known.rate || outdated {
            return None;
        }
        let changes = known.changes.saturating_add(1);
        let updated = VersionedLimit {
            rate: limit,
            changes,
        };
        self.set_versioned_limit(now, updated);
        Some(updated)
    }

    /// Sets the state of its request rate limit.
    pub(crate) fn set_versioned_limit(&mut self, now: u64, limit: VersionedLimit) {
        self.versioned_limit = limit;
        self.limit_updated_at = now;
    }

    /// Sets this instance's share of its request rate limit.
    pub(crate) fn set_share(&mut self, share: Option<Share>) {
        self.share = share;
    }

    /// Returns the hash by which instances refer to this incarnation among each other.
    pub fn incarnation_hash(&self) -> u64 {
        self.incarnation_hash
    }

    /// Records that it was alive at a time, in milliseconds.
    pub(crate) fn record_heard(&mut self, at: u64) {
        self.heard_at = self.heard_at.max(at);
    }

    /// Returns when it was last known to be alive, in milliseconds; the end of time if it is leaving, since it may
    /// still run what it got.
    pub(crate) fn heard_at(&self) -> u64 {
        if self.leaving {
            u64::MAX
        } else {
            self.heard_at
        }
    }

    /// Updates its list entry, which is of the same incarnation.
    pub(crate) fn update_spec(&mut self, spec: Spec) {
        self.leaving |= spec.leaving;
        self.delisted = false;
        let started_at_ms = spec.started_at_ms.or(self.spec.started_at_ms);
        self.spec = Spec {
            started_at_ms,
            ..spec
        };
        self.incarnation_hash = self.spec.incarnation_hash();
    }

    /// Returns the number of requests that it runs concurrently.
    pub fn slots(&self) -> u32 {
        self.spec.slots.max(self.engine.reported_slots()).max(1)
    }

    /// Records the start of an attempt of a priority, whose prompt takes `prefill_ms` to prefill.
    pub fn begin(&mut self, now: u64, attempt: AttemptId, priority: u8, prefill_ms: f64) {
        let cold = self.cold_until(now).is_some();
        let share = self.share.filter(|_| self.limit().is_some());
        if cold || share.is_some() {
            let window_ms = share.map_or(0, |s| s.window_ms);
            self.throttled.begin(now, attempt, window_ms, cold);
        }
        self.engine.begin(now, attempt.0, priority, prefill_ms);
    }

    /// Records the first token, or the response, of an attempt; `unloaded_ms` is its expected
    /// duration without other load, by the latency estimate of its service.
    pub fn record_latency(&mut self, now: u64, attempt: AttemptId, unloaded_ms: f64) {
        self.throttled.end(now, attempt, true);
        self.engine.record_latency(now, attempt.0, unloaded_ms);
    }

    /// Records the end of an attempt.
    ///
    /// # Panics
    ///
    /// Panics if more attempts end than began: an end that is counted twice would admit more requests
    /// than the upstream can bear.
    pub fn end(&mut self, now: u64, attempt: AttemptId, outcome: Outcome) {
        assert!(
            self.engine.end(attempt.0),
            "{}: more attempts ended than began",
            self.spec.id
        );
        self.room.leave(attempt);
        let answered = matches!(
            outcome,
            Outcome::Success | Outcome::ErrorResponse | Outcome::Refused
        );
        self.throttled.end(now, attempt, answered);
        if answered {
            self.record_heard(now);
        }
        match outcome {
            Outcome::Success => self.health.record_success(now),
            Outcome::ErrorResponse => self.health.record_error(now),
            Outcome::InvalidResponse => self.health.record_invalid(now),
            Outcome::Unresponsive => self.health.record_unresponsive(now),
            Outcome::Refused | Outcome::Abandoned => {}
        }
    }
}
