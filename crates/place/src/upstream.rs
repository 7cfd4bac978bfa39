//! One upstream: what its list entry, its reports and our own requests say of it.

use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::cold_start::ColdStart;
use crate::health::Health;
use crate::limit::{RateLimit, Share, VersionedLimit};
use crate::prefix_cache::Known;
use crate::throttled::Sent;

/// A report older than this says nothing any more, in milliseconds.
const REPORT_STALE_MS: u64 = 3_000;
/// Weight of one request in the averages of an upstream.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which half of a delay is forgotten, in milliseconds: a backlog is worked off in about
/// a second, and an upstream that gets nothing because of it could not show that.
const DELAY_FORGET_MS: f64 = 1_000.0;
/// The word of another instance on what it has at an upstream holds for so long, in milliseconds:
/// several of its rounds.
const HEARD_MS: u64 = 1_500;
/// Bounds of how much slower than its service an upstream is taken to be.
const SLOWNESS: (f64, f64) = (0.5, 20.0);
/// Time after which half of a slowness is forgotten, in milliseconds.
const SLOWNESS_FORGET_MS: f64 = 5_000.0;

/// Names an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// Names a request at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An upstream as its list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Its name. One that starts again has a new one, or the same and another birth.
    pub id: String,
    /// When this incarnation of it began, in milliseconds since the Unix epoch; none where its list does not say.
    pub started_at_ms: Option<u64>,
    /// The service that it answers for.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How much longer it is cold, in milliseconds; none where its list does not say.
    pub cold_ms: Option<u64>,
}

impl Spec {
    /// Returns the name of this incarnation of it: a process that starts again under the same name has nothing of
    /// what the earlier one had.
    pub fn incarnation(&self) -> String {
        match self.started_at_ms {
            Some(started_at_ms) => format!("{}@{started_at_ms}", self.id),
            None => self.id.clone(),
        }
    }

    /// Returns whether this is a later incarnation of the upstream that another entry of the same name shows.
    pub(crate) fn is_reborn_since(&self, earlier: &Spec) -> bool {
        matches!((self.started_at_ms, earlier.started_at_ms), (Some(now), Some(then)) if now > then)
    }
}

/// Its own word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Its name.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// How a request ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Success,
    /// It was answered with an error.
    ErrorResponse,
    /// It was refused without having run.
    Refused,
    /// The answer broke off, or was none.
    InvalidResponse,
    /// It could not be reached, or said nothing in time.
    Unresponsive,
    /// The caller left, or its time was over: this says nothing of the upstream.
    Abandoned,
}

/// A request that waits for its first token.
#[derive(Clone, Copy, Debug)]
struct Reading {
    ticket: AttemptId,
    sent_at: u64,
    read_ms: f64,
}

/// What an instance has at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceLoad {
    /// How long the upstream still reads its prompts, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Its requests there.
    pub inflight: u32,
}

/// The word of another instance.
#[derive(Clone, Copy, Debug)]
struct Heard {
    from: u64,
    at: u64,
    held: InstanceLoad,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As its list shows it.
    pub spec: Spec,
    /// Own requests that run there.
    pub inflight: u32,
    /// Whether any source said that it is leaving; never taken back.
    pub leaving: bool,
    /// It wants nothing before this time.
    pub paused_until: u64,
    /// The request rate limit that it advertises.
    versioned_limit: VersionedLimit,
    /// When this instance last updated the limit, in milliseconds.
    limit_updated_at: u64,
    /// This instance's share of the limit; none if it has no share.
    share: Option<Share>,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// Until when it is cold, by its entry or by what is known of its zone, in milliseconds.
    cold_until: u64,
    /// It is taken for cold until then, whatever its entry says, in milliseconds.
    cold_at_least: u64,
    /// From when on this instance sends to it while it is cold, in milliseconds; none while another one does.
    cold_from: Option<u64>,
    /// Requests sent while it was throttled.
    sent: Sent,
    /// Whether it is no longer listed.
    pub delisted: bool,
    /// Its health.
    pub health: Health,
    pub(crate) known: Known,
    /// It started again while it was listed: it has only what it was sent since, also where all instances
    /// send the same beginnings to it.
    pub(crate) reborn: bool,
    /// By its name: places among the others stay over restarts.
    name_hash: u64,
    /// By its incarnation: what is said of an earlier one does not concern it.
    incarnation_hash: u64,
    load: Load,
    load_at: Option<u64>,
    since_report: u32,
    reading: Vec<Reading>,
    heard: Vec<Heard>,
    delay_ms: f64,
    delay_at: u64,
    slowness: f64,
    slowness_at: u64,
}

impl Upstream {
    /// Makes an upstream of which only its list has spoken.
    pub fn new(spec: Spec) -> Upstream {
        Upstream {
            name_hash: xxh3_64(spec.id.as_bytes()),
            incarnation_hash: xxh3_64(spec.incarnation().as_bytes()),
            leaving: spec.leaving,
            spec,
            inflight: 0,
            paused_until: 0,
            versioned_limit: VersionedLimit::default(),
            limit_updated_at: 0,
            share: None,
            evacuated: false,
            cold_until: 0,
            cold_at_least: 0,
            cold_from: None,
            sent: Sent::default(),
            delisted: false,
            health: Health::default(),
            known: Known::default(),
            reborn: false,
            load: Load::default(),
            load_at: None,
            since_report: 0,
            reading: Vec::new(),
            heard: Vec::new(),
            delay_ms: 0.0,
            delay_at: 0,
            slowness: 1.0,
            slowness_at: 0,
        }
    }

    /// Returns its rank for something that all instances want at the same upstream.
    pub fn rank(&self, what: u64) -> u64 {
        xxh3_64_with_seed(&what.to_le_bytes(), self.name_hash)
    }

    /// Takes its word on its load.
    pub fn set_reported_load(&mut self, now: u64, load: Load) {
        self.load = load;
        self.load_at = Some(now);
        self.since_report = 0;
    }

    /// Returns the requests that it probably has: what the instances say that they have there, or
    /// its own late word if that is more.
    pub fn occupancy(&self, now: u64) -> u32 {
        let fresh = self.load_at.is_some_and(|at| now < at + REPORT_STALE_MS);
        let reported = if fresh && self.heard.is_empty() {
            self.load.running + self.load.waiting + self.since_report
        } else {
            0
        };
        let others: u32 = self.fresh(now).map(|h| h.held.inflight).sum();
        reported.max(self.inflight + others)
    }

    /// Returns whether it takes new work: it is listed, does not leave, its zone is in use, and it wants some.
    pub fn accepts_requests(&self, now: u64) -> bool {
        !self.delisted && !self.leaving && !self.evacuated && self.paused_until <= now
    }

    /// Returns until when it is cold, in milliseconds; none where it is warm.
    pub fn cold_until(&self, now: u64) -> Option<u64> {
        let until = self.cold_until.max(self.cold_at_least);
        (until > now).then_some(until)
    }

    /// Takes what its entry says of how long it is cold.
    pub(crate) fn warms_up(&mut self, now: u64, usual: ColdStart) {
        self.cold_until = now + self.spec.cold_ms.unwrap_or(usual.duration_ms);
    }

    /// Takes that it comes back into service: it may have become cold since its entry was written.
    pub(crate) fn comes_back(&mut self, now: u64, usual: ColdStart) {
        self.cold_at_least = now + usual.duration_ms;
    }

    /// Takes from when on this instance sends to it while it is cold.
    pub(crate) fn sends_cold(&mut self, from: Option<u64>) {
        self.cold_from = from;
    }

    /// Returns whether it takes any number of requests: it is warm, or its service has no bound for cold ones.
    fn is_unbounded(&self, now: u64, cold: ColdStart) -> bool {
        cold.max_per_sec.is_none() || self.cold_until(now).is_none()
    }

    /// Returns whether this instance may send it one more request while it is cold or limited.
    pub(crate) fn is_open(&self, now: u64, cold: ColdStart) -> bool {
        let sends = || self.cold_from.is_some_and(|from| from <= now);
        let has_room = || {
            cold.own_part()
                .is_some_and(|most| self.sent.count(now) < most)
        };
        let open = self.is_unbounded(now, cold) || (sends() && has_room());
        open && self.is_within_limit(now)
    }

    /// Returns whether one more request stays within this instance's share of the request rate limit.
    pub(crate) fn is_within_limit(&self, now: u64) -> bool {
        let has_room = |s: Share| s.starts_at <= now && self.sent.count(now) < s.max_requests;
        self.limit().is_none() || self.share.is_some_and(has_room)
    }

    /// Returns the time until this or another instance may send the next request under the limit, in milliseconds.
    pub(crate) fn limit_retry_ms(&self, now: u64) -> Option<u64> {
        let limit = self.limit()?;
        let own = self.share.map(|share| {
            let room_at = self.sent.next_expiry(now).unwrap_or(now);
            room_at.max(share.starts_at).saturating_sub(now)
        });
        Some(own.unwrap_or(u64::MAX).min(limit.interval_ms()))
    }

    /// Returns whether a request that was chosen for it may be sent: it has not become cold or limited since.
    pub(crate) fn may_get(&self, now: u64, ticket: AttemptId, cold: ColdStart) -> bool {
        let unbounded = self.is_unbounded(now, cold) && self.limit().is_none();
        self.accepts_requests(now) && (unbounded || self.sent.holds(ticket))
    }

    /// Returns the request rate limit that it advertises.
    pub fn limit(&self) -> Option<RateLimit> {
        self.versioned_limit.rate
    }

    /// Returns the state of its request rate limit.
    pub(crate) fn versioned_limit(&self) -> VersionedLimit {
        self.versioned_limit
    }

    /// Records the request rate limit in its answer to a request sent at `sent_at`; returns the new state if it changed. A limit
    /// that allows more is ignored if the request was sent before the last update, because the answer may be older than that.
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

    /// Returns the name that instances use among each other for this incarnation of it.
    pub fn incarnation_hash(&self) -> u64 {
        self.incarnation_hash
    }

    /// Takes what its list shows now of the same incarnation.
    pub(crate) fn relist(&mut self, spec: Spec) {
        self.leaving |= spec.leaving;
        self.delisted = false;
        let started_at_ms = spec.started_at_ms.or(self.spec.started_at_ms);
        self.spec = Spec {
            started_at_ms,
            ..spec
        };
        self.incarnation_hash = xxh3_64(self.spec.incarnation().as_bytes());
    }

    /// Returns what this instance has there.
    pub fn own_load(&self, now: u64) -> InstanceLoad {
        InstanceLoad {
            pending_prefill_ms: self.own_reading_ms(now),
            inflight: self.inflight,
        }
    }

    /// Takes the word of another instance on what it has there.
    pub fn set_peer_load(&mut self, now: u64, from: u64, held: InstanceLoad) {
        self.heard
            .retain(|h| h.from != from && now < h.at + HEARD_MS);
        let heard = Heard {
            from,
            at: now,
            held,
        };
        if held.inflight > 0 {
            self.heard.push(heard);
        }
    }

    fn fresh(&self, now: u64) -> impl Iterator<Item = &Heard> {
        self.heard.iter().filter(move |h| now < h.at + HEARD_MS)
    }

    /// Returns the requests that it runs at once.
    pub fn slots(&self) -> u32 {
        self.spec.slots.max(self.load.slots).max(1)
    }

    /// Counts a request sent there, whose prompt takes `read_ms` to read.
    pub fn begin(&mut self, now: u64, ticket: AttemptId, read_ms: f64) {
        self.inflight += 1;
        self.since_report += 1;
        let cold = self.cold_until(now).is_some();
        let share = self.share.filter(|_| self.limit().is_some());
        if cold || share.is_some() {
            let window_ms = share.map_or(0, |s| s.window_ms);
            self.sent.begin(now, ticket, window_ms, cold);
        }
        self.reading.push(Reading {
            ticket,
            sent_at: now,
            read_ms,
        });
    }

    /// Takes the first token, or the answer, of a request; `alone_ms` is what it would have taken on
    /// an upstream of its service's usual speed with nothing else to do.
    pub fn record_latency(&mut self, now: u64, ticket: AttemptId, alone_ms: f64) {
        self.sent.end(now, ticket, true);
        let Some(i) = self.reading.iter().position(|r| r.ticket == ticket) else {
            return;
        };
        let reading = self.reading.swap_remove(i);
        let took = now.saturating_sub(reading.sent_at) as f64;
        let behind = self.queue_delay_ms(now);
        self.delay_ms = behind + ((took - alone_ms).max(0.0) - behind) * SAMPLE_WEIGHT;
        self.delay_at = now;
        let ratio = (took / alone_ms.max(1.0)).clamp(SLOWNESS.0, SLOWNESS.1);
        let slow = self.slowness(now);
        self.slowness = slow + (ratio - slow) * SAMPLE_WEIGHT;
        self.slowness_at = now;
    }

    /// Returns how much slower than its service it is, lately.
    pub fn slowness(&self, now: u64) -> f64 {
        let gone = now.saturating_sub(self.slowness_at) as f64;
        1.0 + (self.slowness - 1.0) * (0.5f64).powf(gone / SLOWNESS_FORGET_MS)
    }

    /// Returns how long requests waited there beyond their own reading, lately, in milliseconds.
    pub fn queue_delay_ms(&self, now: u64) -> f64 {
        let gone = now.saturating_sub(self.delay_at) as f64;
        self.delay_ms * (0.5f64).powf(gone / DELAY_FORGET_MS)
    }

    /// Returns how long it still reads the prompts that all instances sent, in milliseconds.
    pub fn pending_prefill_ms(&self, now: u64) -> f64 {
        let others = self.fresh(now);
        let others = others.map(|h| h.held.pending_prefill_ms - (now - h.at) as f64);
        self.own_reading_ms(now) + others.filter(|ms| *ms > 0.0).sum::<f64>()
    }

    fn own_reading_ms(&self, now: u64) -> f64 {
        let oldest = self.reading.iter().map(|r| r.sent_at).min();
        let sum: f64 = self.reading.iter().map(|r| r.read_ms).sum();
        let gone = oldest.map_or(0, |at| now.saturating_sub(at)) as f64;
        (sum - gone).max(0.0)
    }

    /// Counts the end of a request.
    ///
    /// # Panics
    ///
    /// Panics when more requests end than began: an end counted twice would let in more than the
    /// upstream can bear.
    pub fn end(&mut self, now: u64, ticket: AttemptId, outcome: Outcome) {
        assert!(self.inflight > 0, "{}: an end too many", self.spec.id);
        self.inflight -= 1;
        self.reading.retain(|r| r.ticket != ticket);
        let answered = matches!(
            outcome,
            Outcome::Success | Outcome::ErrorResponse | Outcome::Refused
        );
        self.sent.end(now, ticket, answered);
        match outcome {
            Outcome::Success => self.health.record_success(now),
            Outcome::ErrorResponse => self.health.record_error(now),
            Outcome::InvalidResponse => self.health.record_invalid(now),
            Outcome::Unresponsive => self.health.record_unresponsive(now),
            Outcome::Refused | Outcome::Abandoned => {}
        }
    }
}
