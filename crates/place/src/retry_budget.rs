//! Retry budgets of services, shared by all instances.
//!
//! Within any window, all instances together may retry at most a share of a service's requests plus a
//! fixed slack. Each instance saves up retries in a bucket: each request adds a fraction of a retry, and a
//! part of the slack is added over time. A bucket begins empty and holds at most the rest of both, so the
//! total holds without communication between the instances, however often they are started: retries that
//! an incarnation has not saved up by itself may have been used by the one before it.
//!
//! Requests that an instance reads after a pause may have been sent before the window in which it reads them. They add
//! no retries: those of that window are not theirs.
//!
//! When most requests of a service fail, retries of the less urgent ones would use up the budget before
//! the more urgent ones need it. A part of the bucket is therefore kept for those, by how many of them there
//! are: a service with one priority loses nothing.

use std::collections::{HashMap, VecDeque};

/// Fraction of the limit that is used: the rest covers requests that are received later than they were sent.
const SAFETY_FACTOR: f64 = 0.9;
/// Fraction of the retries for the requests of a window that a bucket holds: they may be used at once, after those
/// requests. The rest is added by the requests that follow.
const SAVED_REQUESTS_SHARE: f64 = 0.2;
/// Fraction of the slack that a bucket holds. The rest is added over time.
const SAVED_SLACK_SHARE: f64 = 0.5;
/// Minimum number of instances by which the slack is divided: the list of instances may be outdated.
const MIN_SHARERS: usize = 4;
/// How long instances that are no longer listed keep their part of the slack, in milliseconds: lists differ for some
/// time, and retries that were taken arrive late.
const PART_KEPT_MS: u64 = 60_000;

/// Share of the bucket that is kept for the more urgent requests, if all other requests are less urgent. It
/// is no larger because what they don't use is lost to the others.
const KEPT_SHARE: f64 = 0.5;

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Retries in addition to that share.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetryLimits {
    /// A tenth of the requests plus ten within ten seconds: this keeps the clients of a failing
    /// service from overloading it with retries.
    fn default() -> Self {
        RetryLimits {
            ratio: 0.1,
            slack: 10.0,
            window_ms: 10_000,
        }
    }
}

/// Number of priorities that are told apart; the last one includes all less urgent ones.
const PRIORITIES: usize = 10;

/// Times of recent events, by priority.
#[derive(Debug, Default)]
struct Events {
    by_priority: [VecDeque<u64>; PRIORITIES],
}

impl Events {
    fn push(&mut self, at: u64, priority: u8) {
        self.by_priority[index(priority)].push_back(at);
    }

    fn remove_before(&mut self, start: u64) {
        for times in &mut self.by_priority {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }

    fn count(&self) -> usize {
        self.by_priority.iter().map(VecDeque::len).sum()
    }

    /// Returns the number of events with a more urgent priority.
    fn count_more_urgent(&self, priority: u8) -> usize {
        let more_urgent = &self.by_priority[..index(priority)];
        more_urgent.iter().map(VecDeque::len).sum()
    }
}

/// What an instance has used of the retry budget of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryUsage {
    /// Name of the service.
    pub service: String,
    /// Retries that were allowed since the last report.
    pub acquired: u64,
    /// Retries that were denied since the last report.
    pub denied: u64,
    /// Requests within the window.
    pub requests: usize,
    /// Retries within the window.
    pub retries: usize,
    /// Retries that are saved up.
    pub saved: f64,
    /// Maximum number of retries that may be saved up.
    pub capacity: f64,
    /// Number of instances by which the slack was divided; none if this one had no part.
    pub sharers: Option<usize>,
}

/// The part of the slack of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlackPart {
    /// Number of listed instances, which share the slack.
    pub sharers: usize,
    /// When the instance is no longer listed unless it renews its lease, in milliseconds: instances that start then
    /// leave it no part.
    pub until: u64,
}

/// The instances that share the slack.
#[derive(Debug, Default)]
struct Sharers {
    /// The part of this instance; none if it has none.
    part: Option<SlackPart>,
    /// Earlier numbers, largest first, and until when these instances keep their parts, in milliseconds.
    earlier: VecDeque<(usize, u64)>,
}

impl Sharers {
    /// Sets the part of this instance.
    fn set(&mut self, now: u64, part: Option<SlackPart>) {
        while self.earlier.front().is_some_and(|(_, until)| *until <= now) {
            self.earlier.pop_front();
        }
        if let Some(before) = self.part.map(|part| part.sharers) {
            while self
                .earlier
                .back()
                .is_some_and(|(count, _)| *count <= before)
            {
                self.earlier.pop_back();
            }
            self.earlier.push_back((before, now + PART_KEPT_MS));
        }
        self.part = part;
    }

    /// Returns how many instances keep their parts although they may not be listed any more.
    fn kept(&self, now: u64) -> usize {
        let mut earlier = self.earlier.iter();
        let largest = earlier.find(|(_, until)| now < *until);
        largest.map_or(0, |(count, _)| *count)
    }

    /// Returns by how many the slack is divided; none if this instance has no part.
    fn count(&self, now: u64) -> Option<usize> {
        let part = self.part.filter(|part| now < part.until)?;
        Some(part.sharers.max(self.kept(now)).max(MIN_SHARERS))
    }
}

/// The retries of a service that an instance may send.
#[derive(Debug)]
struct Bucket {
    requests: Events,
    retries: Events,
    /// Retries that may be taken.
    saved: f64,
    /// Retries that were taken and may not have arrived yet.
    in_progress: usize,
    /// Number of requests that were presumably sent during a pause and have not been read.
    unread: f64,
    capacity: f64,
    /// Until when the slack was added, in milliseconds.
    refilled_at: u64,
    acquired: u64,
    denied: u64,
}

impl Bucket {
    /// Creates an empty bucket to which the slack is added from a time on.
    fn new(refilled_at: u64) -> Bucket {
        Bucket {
            requests: Events::default(),
            retries: Events::default(),
            saved: 0.0,
            in_progress: 0,
            unread: 0.0,
            capacity: 0.0,
            refilled_at,
            acquired: 0,
            denied: 0,
        }
    }

    /// Adds the part of the slack for the time since the last call, if the instance has one, and removes what the
    /// bucket does not hold.
    fn refill(&mut self, now: u64, limits: &RetryLimits, sharers: Option<usize>) {
        let slack = sharers.map_or(0.0, |n| limits.slack * SAFETY_FACTOR / n as f64);
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        let windows = elapsed_ms / limits.window_ms as f64;
        self.saved += slack * (1.0 - SAVED_SLACK_SHARE) * windows;
        let requests = limits.ratio * SAFETY_FACTOR * self.requests.count() as f64;
        self.capacity = requests * SAVED_REQUESTS_SHARE + slack * SAVED_SLACK_SHARE;
        // A retry that waits or is on its way may arrive together with those that are saved up meanwhile.
        let free = (self.capacity - self.in_progress as f64).max(0.0);
        self.saved = self.saved.min(free);
        self.refilled_at = now;
    }

    /// Returns how many retries are kept for requests that are more urgent than a priority, less those that
    /// they have used.
    fn kept(&self, priority: u8) -> f64 {
        let requests = self.requests.count().max(1);
        let share = self.requests.count_more_urgent(priority) as f64 / requests as f64;
        let used = self.retries.count_more_urgent(priority) as f64;
        (self.capacity * share * KEPT_SHARE - used).max(0.0)
    }
}

/// The retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    sharers: Sharers,
    /// Until when all requests that are read were presumably sent during a pause, in milliseconds.
    late_until: u64,
    /// When a window has passed since the last pause, in milliseconds: what was not read until then will not be.
    unread_until: u64,
    /// When the part of the slack was set, in milliseconds.
    shared_since: u64,
    by_service: HashMap<String, Bucket>,
}

impl RetryBudget {
    /// Creates the budget of an instance that starts.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            sharers: Sharers::default(),
            late_until: 0,
            unread_until: 0,
            shared_since: 0,
            by_service: HashMap::new(),
        }
    }

    fn bucket(&mut self, service: &str) -> &mut Bucket {
        let since = self.shared_since;
        let entry = self.by_service.entry(service.to_string());
        entry.or_insert_with(|| Bucket::new(since))
    }

    /// Sets the part of the slack of this instance; none if it may not have one.
    pub fn set_part(&mut self, now: u64, part: Option<SlackPart>) {
        let sharers = self.sharers(now);
        for bucket in self.by_service.values_mut() {
            bucket.refill(now, &self.limits, sharers);
        }
        self.sharers.set(now, part);
        self.shared_since = now;
    }

    /// Returns by how many instances the slack is divided; none if this one has no part of it.
    pub fn sharers(&self, now: u64) -> Option<usize> {
        self.sharers.count(now)
    }

    /// Records that this instance did not run for some time. The requests that were sent meanwhile, as many as before
    /// in such a time, and at least those that are read within as long a time from now on, add no retries.
    pub fn record_pause(&mut self, now: u64, pause_ms: u64) {
        let window_ms = self.limits.window_ms;
        let windows = pause_ms.min(window_ms) as f64 / window_ms as f64;
        let window_start = now.saturating_sub(pause_ms + window_ms);
        for bucket in self.by_service.values_mut() {
            bucket.requests.remove_before(window_start);
            bucket.unread += bucket.requests.count() as f64 * windows;
        }
        self.late_until = self.late_until.max(now + pause_ms.min(window_ms));
        self.unread_until = now + window_ms;
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, now: u64, service: &str, priority: u8) {
        let (limits, late_until, unread_until) = (self.limits, self.late_until, self.unread_until);
        let bucket = self.bucket(service);
        if now >= unread_until {
            bucket.unread = 0.0;
        }
        bucket
            .requests
            .remove_before(now.saturating_sub(limits.window_ms));
        if now < late_until || bucket.unread >= 1.0 {
            bucket.unread = (bucket.unread - 1.0).max(0.0);
            return;
        }
        bucket.requests.push(now, priority);
        bucket.saved += limits.ratio * SAFETY_FACTOR * (1.0 - SAVED_REQUESTS_SHARE);
    }

    /// Takes one retry of a request for a service from its budget; returns whether the budget allowed it. The retry
    /// is in progress until it is returned or completed.
    pub fn try_acquire(&mut self, now: u64, service: &str, priority: u8) -> bool {
        let (limits, sharers) = (self.limits, self.sharers(now));
        let window_start = now.saturating_sub(limits.window_ms);
        let bucket = self.bucket(service);
        bucket.requests.remove_before(window_start);
        bucket.retries.remove_before(window_start);
        bucket.refill(now, &limits, sharers);
        if bucket.saved < 1.0 + bucket.kept(priority) {
            bucket.denied += 1;
            return false;
        }
        bucket.saved -= 1.0;
        bucket.in_progress += 1;
        bucket.retries.push(now, priority);
        bucket.acquired += 1;
        true
    }

    /// Ends a retry that an upstream has received, or will not receive any more.
    ///
    /// # Panics
    ///
    /// Panics if no retry of the service is in progress.
    pub fn complete(&mut self, service: &str) {
        let bucket = self.bucket(service);
        assert!(
            bucket.in_progress > 0,
            "a retry of {service} is in progress"
        );
        bucket.in_progress -= 1;
    }

    /// Ends a retry that was not sent, so that another request may use it.
    ///
    /// # Panics
    ///
    /// Panics if no retry of the service is in progress.
    pub fn put_back(&mut self, service: &str) {
        self.complete(service);
        self.bucket(service).saved += 1.0;
    }

    /// Returns what was used of the budgets from which retries were requested since the last call.
    pub fn take_usage(&mut self, now: u64) -> Vec<RetryUsage> {
        let sharers = self.sharers(now);
        let usage = self.by_service.iter_mut().filter_map(|(service, bucket)| {
            let acquired = std::mem::take(&mut bucket.acquired);
            let denied = std::mem::take(&mut bucket.denied);
            (acquired + denied > 0).then(|| RetryUsage {
                service: service.clone(),
                acquired,
                denied,
                requests: bucket.requests.count(),
                retries: bucket.retries.count(),
                saved: bucket.saved,
                capacity: bucket.capacity,
                sharers,
            })
        });
        usage.collect()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
