//! What one instance knows of the load of one engine, or of a plain service's upstream.

use std::fmt;

use crate::account::Answer;
use crate::load::{InstanceLoad, Load};
use crate::MAX_PREFILL_MS;

/// Age at which an upstream's own report no longer counts, in milliseconds.
const REPORT_STALE_MS: u64 = 3_000;
/// Half-life of the number of requests in an upstream's own report, in milliseconds, if other instances
/// report their load there too: requests end, and new ones are in those reports.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// How long another instance's report of its load at an upstream counts, in milliseconds: several of its
/// reporting rounds.
const PEER_LOAD_TTL_MS: u64 = 1_500;
/// How long an account's answer counts, in milliseconds: the prompts of its time have been read by then.
const ACCOUNT_TTL_MS: u64 = 1_500;
/// Age up to which an account's answer is better than what earlier requests show, in milliseconds.
const ACCOUNT_FRESH_MS: u64 = 50;
/// Weight of one request in the averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of a queueing delay, in milliseconds: a backlog is worked off in about a second, and an
/// upstream that gets no requests because of it could not show that.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Bounds of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 20.0);
/// Half-life of the slowness, in milliseconds.
const SLOWNESS_HALF_LIFE_MS: f64 = 5_000.0;
/// Half-life of the weight of a reported work time, in milliseconds: it changes many times a second.
const WORK_TIME_HALF_LIFE_MS: f64 = 200.0;

/// The prefill of a request of this instance that waits for its first token.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    attempt: u64,
    priority: u8,
    sent_at: u64,
    prefill_ms: f64,
    /// The wait that a fresh answer of the account showed when it was sent, in milliseconds of work at
    /// the usual speed.
    known_wait_ms: Option<f64>,
}

/// The load that another instance reported.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    from: u64,
    received_at: u64,
    load: InstanceLoad,
}

/// The latest answer of the account.
#[derive(Clone, Debug)]
struct AccountView {
    received_at: u64,
    /// The last attempt of this instance before the question; later ones are not in the answer.
    last_attempt: u64,
    answer: Answer,
}

/// Where the larger part of an estimated wait comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// This instance's own requests, or nothing.
    #[default]
    Own,
    /// Load reports of other instances.
    Reports,
    /// The account.
    Account,
    /// The delay of earlier requests.
    Delay,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Own => "own",
            Source::Reports => "reports",
            Source::Account => "account",
            Source::Delay => "delay",
        })
    }
}

/// An estimate merged from all that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time for which a request waits until its own prefill begins, in milliseconds.
    pub wait_ms: f64,
    /// Factor on the usual duration of work.
    pub factor: f64,
    /// Where the wait comes from.
    pub source: Source,
    /// Pending prefills of this instance, in milliseconds.
    pub own_ms: f64,
    /// Pending prefills by the reports of other instances, in milliseconds.
    pub reports_ms: f64,
    /// Age of the newest of these reports, in milliseconds.
    pub reports_age_ms: Option<u64>,
    /// Pending prefills by the account and later requests of this instance, in milliseconds.
    pub account_ms: f64,
    /// Age of the account's answer, in milliseconds.
    pub account_age_ms: Option<u64>,
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = |ms: Option<u64>| ms.map_or("-".to_string(), |ms| ms.to_string());
        write!(
            f,
            "wait_ms={:.0} wait_from={} factor={:.2} own_ms={:.0} reports_ms={:.0} reports_age_ms={} \
             account_ms={:.0} account_age_ms={}",
            self.wait_ms,
            self.source,
            self.factor,
            self.own_ms,
            self.reports_ms,
            age(self.reports_age_ms),
            self.account_ms,
            age(self.account_age_ms),
        )
    }
}

/// What one instance knows of the load of one upstream.
#[derive(Clone, Debug)]
pub struct State {
    inflight: u32,
    /// Attempts in flight that have most likely never arrived.
    undelivered: Vec<u64>,
    prefills: Vec<Prefill>,
    peer_loads: Vec<PeerLoad>,
    account: Option<AccountView>,
    report: Option<(Load, u64)>,
    /// The newest work time that the upstream has reported, with its time.
    work_time: Option<(u32, u64)>,
    /// Number of slots in the upstream's last report; 0 before the first one.
    slots: u32,
    /// Number of requests sent since its last report.
    sent_since_report: u32,
    queue_delay_ms: f64,
    queue_delay_updated_at: u64,
    slowness: f64,
    slowness_updated_at: u64,
}

impl Default for State {
    fn default() -> Self {
        State {
            inflight: 0,
            undelivered: Vec::new(),
            prefills: Vec::new(),
            peer_loads: Vec::new(),
            account: None,
            report: None,
            work_time: None,
            slots: 0,
            sent_since_report: 0,
            queue_delay_ms: 0.0,
            queue_delay_updated_at: 0,
            slowness: 1.0,
            slowness_updated_at: 0,
        }
    }
}

impl State {
    /// Returns the number of this instance's requests in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Returns the number of this instance's requests in flight that count as load.
    fn delivered(&self) -> u32 {
        self.inflight - self.undelivered.len() as u32
    }

    /// Returns the load of this instance.
    pub fn own_load(&self, now: u64) -> InstanceLoad {
        InstanceLoad {
            pending_prefill_ms: self.own_pending_ms(now),
            inflight: self.delivered(),
        }
    }

    /// Records that an attempt in flight has most likely never arrived, unless there was a response:
    /// it is no load.
    pub fn mark_undelivered(&mut self, attempt: u64) {
        if let Some(i) = self.prefills.iter().position(|p| p.attempt == attempt) {
            self.prefills.swap_remove(i);
            self.undelivered.push(attempt);
        }
    }

    /// Sets what the upstream reports of itself.
    pub fn set_report(&mut self, now: u64, load: Load) {
        let load = load.checked();
        self.record_work_time(now, load);
        self.slots = load.slots;
        self.report = Some((load, now));
        self.sent_since_report = 0;
    }

    fn record_work_time(&mut self, at: u64, load: Load) {
        if let Some(pct) = load.work_time_pct {
            if self.work_time.is_none_or(|(_, previous)| previous <= at) {
                self.work_time = Some((pct, at));
            }
        }
    }

    /// Returns the number of slots in its last report; 0 before the first one.
    pub fn reported_slots(&self) -> u32 {
        self.slots
    }

    /// Sets the load that another instance reported.
    pub fn set_peer_load(&mut self, now: u64, from: u64, load: InstanceLoad) {
        self.peer_loads
            .retain(|p| p.from != from && now < p.received_at + PEER_LOAD_TTL_MS);
        let peer_load = PeerLoad {
            from,
            received_at: now,
            load,
        };
        if load.inflight > 0 {
            self.peer_loads.push(peer_load);
        }
    }

    fn fresh_peer_loads(&self, now: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peer_loads
            .iter()
            .filter(move |p| now < p.received_at + PEER_LOAD_TTL_MS)
    }

    /// Returns the number of requests of other instances in flight, by their reports.
    pub fn peer_inflight(&self, now: u64) -> u32 {
        let inflight = self.fresh_peer_loads(now).map(|p| p.load.inflight);
        inflight.fold(0, u32::saturating_add)
    }

    /// Sets what the account's owner has answered; `last_attempt` is this instance's last attempt before
    /// the question.
    pub fn set_account(&mut self, now: u64, last_attempt: u64, answer: Answer) {
        if let Some((load, age_ms)) = answer.report {
            self.record_work_time(now.saturating_sub(age_ms), load);
        }
        self.account = Some(AccountView {
            received_at: now,
            last_attempt,
            answer,
        });
    }

    fn account(&self, now: u64) -> Option<&AccountView> {
        let account = self.account.as_ref();
        account.filter(|a| now < a.received_at + ACCOUNT_TTL_MS)
    }

    /// Returns the estimated number of its requests: the largest of what the instances report, what the
    /// upstream itself reports, and what its account contains, each with the requests sent since.
    pub fn occupancy(&self, now: u64) -> u32 {
        let account = self.account(now).map_or(0, |a| {
            let since = self.prefills.iter().filter(|p| p.attempt > a.last_attempt);
            a.answer.inflight.saturating_add(since.count() as u32)
        });
        self.observed_requests(now).max(account)
    }

    /// Returns the estimated number of its requests without what its account contains.
    pub fn observed_requests(&self, now: u64) -> u32 {
        let instances = self.delivered().saturating_add(self.peer_inflight(now));
        instances.max(self.reported_requests(now))
    }

    /// Returns the number of requests by its own report, with those sent since.
    fn reported_requests(&self, now: u64) -> u32 {
        let report = self.report.filter(|(_, at)| now < at + REPORT_STALE_MS);
        let Some((load, at)) = report else {
            return 0;
        };
        let requests = load.requests().saturating_add(self.sent_since_report);
        if self.fresh_peer_loads(now).next().is_none() {
            return requests;
        }
        let age_ms = now.saturating_sub(at) as f64;
        (f64::from(requests) * (0.5f64).powf(age_ms / REPORT_HALF_LIFE_MS)) as u32
    }

    /// Records the start of an attempt, whose prompt takes `prefill_ms` to prefill.
    pub fn begin(&mut self, now: u64, attempt: u64, priority: u8, prefill_ms: f64) {
        let fresh = self.has_fresh_account(now);
        let known_wait_ms = fresh.then(|| {
            let estimate = self.estimate(now, priority);
            estimate.wait_ms / estimate.factor
        });
        self.inflight += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
        self.prefills.push(Prefill {
            attempt,
            priority,
            sent_at: now,
            prefill_ms,
            known_wait_ms,
        });
    }

    /// Records that the request of an attempt is sent: until then it may have waited for a connection.
    pub fn mark_sent(&mut self, now: u64, attempt: u64) {
        if let Some(prefill) = self.prefills.iter_mut().find(|p| p.attempt == attempt) {
            prefill.sent_at = now;
        }
    }

    /// Returns whether the account's answer is better than what earlier requests show.
    fn has_fresh_account(&self, now: u64) -> bool {
        self.account(now)
            .is_some_and(|a| now <= a.received_at + ACCOUNT_FRESH_MS)
    }

    /// Returns the wait that a fresh answer of the account showed when an attempt without a first token was
    /// sent, in milliseconds of work at the usual speed; none if there was no such answer.
    pub fn known_wait_ms(&self, attempt: u64) -> Option<f64> {
        let prefill = self.prefills.iter().find(|p| p.attempt == attempt);
        prefill.and_then(|p| p.known_wait_ms)
    }

    /// Records the first token, or the response, of an attempt; `unloaded_ms` is its expected duration
    /// without other load.
    pub fn record_latency(&mut self, now: u64, attempt: u64, unloaded_ms: f64) {
        let Some(i) = self.prefills.iter().position(|p| p.attempt == attempt) else {
            return;
        };
        let prefill = self.prefills.swap_remove(i);
        let took_ms = now.saturating_sub(prefill.sent_at) as f64;
        let previous = self.queue_delay_ms(now);
        self.queue_delay_ms =
            previous + ((took_ms - unloaded_ms).max(0.0) - previous) * SAMPLE_WEIGHT;
        self.queue_delay_updated_at = now;
        // A wait for prompts that are known of does not make the machine slow.
        let usual_ms = unloaded_ms + prefill.known_wait_ms.unwrap_or_default();
        let ratio = (took_ms / usual_ms.max(1.0)).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let previous = self.slowness(now);
        self.slowness = previous + (ratio - previous) * SAMPLE_WEIGHT;
        self.slowness_updated_at = now;
    }

    /// Records the end of an attempt; returns whether one was in flight.
    pub fn end(&mut self, attempt: u64) -> bool {
        let Some(inflight) = self.inflight.checked_sub(1) else {
            return false;
        };
        self.inflight = inflight;
        self.prefills.retain(|p| p.attempt != attempt);
        self.undelivered.retain(|a| *a != attempt);
        true
    }

    /// Returns its recent latency as a multiple of the usual one without other load.
    pub fn slowness(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.slowness_updated_at) as f64;
        1.0 + (self.slowness - 1.0) * (0.5f64).powf(elapsed_ms / SLOWNESS_HALF_LIFE_MS)
    }

    /// Returns the factor on the usual duration of work: the reported work time as far as it is new, else
    /// the slowness.
    pub fn factor(&self, now: u64) -> f64 {
        let slowness = self.slowness(now);
        let Some((pct, at)) = self.work_time else {
            return slowness;
        };
        let age_ms = now.saturating_sub(at) as f64;
        let weight = (0.5f64).powf(age_ms / WORK_TIME_HALF_LIFE_MS);
        let reported = f64::from(pct) / 100.0;
        let reported = reported.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        slowness + (reported - slowness) * weight
    }

    /// Returns how long requests recently waited there in addition to their own prefill, in milliseconds.
    pub fn queue_delay_ms(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.queue_delay_updated_at) as f64;
        self.queue_delay_ms * (0.5f64).powf(elapsed_ms / DELAY_HALF_LIFE_MS)
    }

    fn own_pending_ms(&self, now: u64) -> f64 {
        self.pending_up_to(now, u8::MAX, 0)
    }

    /// Returns the remaining prefill time of this instance's prompts of a priority or a more urgent one,
    /// sent after an attempt, in milliseconds.
    fn pending_up_to(&self, now: u64, priority: u8, after: u64) -> f64 {
        let counted = |p: &&Prefill| p.priority <= priority && p.attempt > after;
        let counted = self.prefills.iter().filter(counted);
        let oldest = counted.clone().map(|p| p.sent_at).min();
        let sum = counted.fold(0.0, |sum, p| sum + p.prefill_ms);
        let elapsed_ms = oldest.map_or(0, |at| now.saturating_sub(at)) as f64;
        (sum - elapsed_ms).max(0.0)
    }

    /// Returns the remaining time of a less urgent prompt of this instance that is most likely being read
    /// already, in milliseconds.
    fn reading_after(&self, now: u64, priority: u8) -> f64 {
        let oldest = self.prefills.iter().min_by_key(|p| p.sent_at);
        let oldest = oldest.filter(|p| p.priority > priority);
        oldest.map_or(0.0, |p| {
            (p.prefill_ms - now.saturating_sub(p.sent_at) as f64).max(0.0)
        })
    }

    /// Returns the pending prefill time by the reports of other instances, in milliseconds, and the age
    /// of the newest one.
    fn reported_pending(&self, now: u64) -> (f64, Option<u64>) {
        let left = |p: &PeerLoad| p.load.pending_prefill_ms - (now - p.received_at) as f64;
        let loads = self.fresh_peer_loads(now);
        let sum = loads.map(left).fold(0.0, |sum, ms| sum + ms.max(0.0));
        let age_ms = self.fresh_peer_loads(now).map(|p| now - p.received_at);
        (sum.min(MAX_PREFILL_MS), age_ms.min())
    }

    /// Returns the pending prefill time by the account and this instance's requests since, in
    /// milliseconds, and the age of the answer.
    fn account_pending(&self, now: u64, priority: u8) -> (f64, Option<u64>) {
        let Some(account) = self.account(now) else {
            return (0.0, None);
        };
        let age_ms = now.saturating_sub(account.received_at);
        let left = (account.answer.wait_ms(priority) - age_ms as f64).max(0.0);
        let since = self.pending_up_to(now, priority, account.last_attempt);
        (left + since, Some(age_ms))
    }

    /// Returns the estimate for a request of a priority, merged from all sources. Each of them can miss
    /// what was sent after its time, so the one that knows of the most counts.
    pub fn estimate(&self, now: u64, priority: u8) -> Estimate {
        let factor = self.factor(now);
        let own_ms = self.pending_up_to(now, priority, 0) + self.reading_after(now, priority);
        let (reports_ms, reports_age_ms) = self.reported_pending(now);
        let (account_ms, account_age_ms) = self.account_pending(now, priority);
        let instances_ms = own_ms + reports_ms;
        let delay_ms = if self.has_fresh_account(now) {
            0.0
        } else {
            self.queue_delay_ms(now)
        };
        let of_instances = if reports_ms > own_ms {
            Source::Reports
        } else {
            Source::Own
        };
        let mut best = match account_age_ms {
            Some(_) => (account_ms * factor, Source::Account),
            None => (0.0, Source::Own),
        };
        for other in [
            (instances_ms * factor, of_instances),
            (delay_ms, Source::Delay),
        ] {
            if other.0 > best.0 {
                best = other;
            }
        }
        Estimate {
            wait_ms: best.0,
            factor,
            source: best.1,
            own_ms,
            reports_ms,
            reports_age_ms,
            account_ms,
            account_age_ms,
        }
    }
}
