//! Whether a new connection of a caller is accepted.
//!
//! A load balancer may hand most new connections of a zone to one of its instances, by chance or by a
//! fault of its own. That instance can't serve them all, and its callers wait in queues that nobody
//! sees. A connection that is closed before anything was read from it costs its caller an attempt at
//! most: it connects again, to another instance.

use std::collections::HashMap;

/// Delay of a timer above which this instance is overloaded, in milliseconds: what arrives waits about
/// as long before it is read.
const LATE_MS: u64 = 100;
/// How long it counts as overloaded after that, in milliseconds: as long as the delay was, within these
/// bounds.
const MIN_HOLD_MS: u64 = 150;
const MAX_HOLD_MS: u64 = 500;
/// Maximum number of connections that are accepted between two timers, and factors by which the limit
/// shrinks when this instance is late and grows when it is not.
const MAX_LIMIT: f64 = 1_000.0;
const SHRINKAGE: f64 = 0.5;
const GROWTH: f64 = 1.1;
/// Delay of a timer above which this instance is overrun, in milliseconds: it closes connections although no other
/// instance of its zone can take them. What it accepts would wait until its callers have given up.
const OVERRUN_MS: u64 = 250;
/// Number of timers in succession that must have such a delay: an instance that stood still is late once.
const OVERRUN_TIMERS: u32 = 2;
/// Factors by which the limit of an overrun instance shrinks and grows.
const OVERRUN_SHRINKAGE: f64 = 0.7;
const OVERRUN_GROWTH: f64 = 1.25;
/// Minimum of that limit: so many connections are read before their callers give up, also by an instance that gets
/// hardly any processor time. Callers that each wait for a response before they send again stay below it.
const MIN_OVERRUN_LIMIT: f64 = 40.0;
/// Number of times as many new connections as its zone's other instances get on average from which an
/// instance gets too many. What it closes goes to these, so the ratio must be small.
const CROWDED_RATIO: f64 = 1.5;
/// New connections per second up to which an instance never gets too many.
const MIN_CROWDED_PER_SEC: u32 = 30;
/// Length of the window in which new connections are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// How long the report of another instance is valid, in milliseconds: one that is gone takes no
/// connections.
const REPORT_VALIDITY_MS: u64 = 3_000;

/// What another instance of the zone reports of its new connections.
#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: u64,
    per_sec: u32,
    is_late: bool,
}

/// The new connections of this instance and of the others in its zone.
#[derive(Clone, Debug)]
pub struct Intake {
    /// New connections in the current window and in the one before.
    counts: [u32; 2],
    window_began_at: u64,
    /// When the next timer is due; none before the first one is set.
    timer_due_at: Option<u64>,
    late_until: u64,
    /// Maximum number of connections accepted until the next timer, while this instance gets too many.
    limit: f64,
    /// The same while it is overrun, although it does not get more than others.
    overrun_limit: f64,
    /// Number of timers in succession with a delay above [`OVERRUN_MS`].
    overrun_timers: u32,
    /// Number of connections accepted since the last timer.
    accepted: u32,
    reports: HashMap<u64, Report>,
}

impl Default for Intake {
    fn default() -> Intake {
        Intake {
            counts: [0; 2],
            window_began_at: 0,
            timer_due_at: None,
            late_until: 0,
            limit: MAX_LIMIT,
            overrun_limit: MAX_LIMIT,
            overrun_timers: 0,
            accepted: 0,
            reports: HashMap::new(),
        }
    }
}

impl Intake {
    /// Records that a timer of this instance has fired, and when the next one is due.
    pub fn record_timer(&mut self, now: u64, next_due_at: u64) {
        let delay_ms = self.delay_ms(now);
        if delay_ms > LATE_MS {
            self.late_until = now + delay_ms.clamp(MIN_HOLD_MS, MAX_HOLD_MS);
            self.limit = (self.limit.min(f64::from(self.accepted)) * SHRINKAGE).max(1.0);
        } else if !self.is_late(now) {
            self.limit = (self.limit * GROWTH).min(MAX_LIMIT);
        }
        self.overrun_timers = if delay_ms > OVERRUN_MS {
            self.overrun_timers + 1
        } else {
            0
        };
        if self.overrun_timers >= OVERRUN_TIMERS {
            let reached = self.overrun_limit.min(f64::from(self.accepted));
            self.overrun_limit = (reached * OVERRUN_SHRINKAGE).max(MIN_OVERRUN_LIMIT);
        } else if delay_ms <= LATE_MS {
            self.overrun_limit = (self.overrun_limit * OVERRUN_GROWTH).min(MAX_LIMIT);
        }
        self.accepted = 0;
        self.timer_due_at = Some(next_due_at);
    }

    fn delay_ms(&self, now: u64) -> u64 {
        self.timer_due_at
            .map_or(0, |due_at| now.saturating_sub(due_at))
    }

    /// Returns whether this instance is overloaded.
    pub fn is_late(&self, now: u64) -> bool {
        now < self.late_until || self.delay_ms(now) > LATE_MS
    }

    /// Records what another instance of the zone, identified by a number, reports.
    pub fn record_report(&mut self, now: u64, instance: u64, per_sec: u32, is_late: bool) {
        self.reports
            .retain(|_, r| now < r.received_at + REPORT_VALIDITY_MS);
        let report = Report {
            received_at: now,
            per_sec,
            is_late,
        };
        self.reports.insert(instance, report);
    }

    /// Returns the number of new connections per second.
    pub fn per_sec(&mut self, now: u64) -> u32 {
        self.advance(now);
        // The window before counts for the part that is still within a second.
        let elapsed = (now - self.window_began_at) as f64 / WINDOW_MS as f64;
        let before = f64::from(self.counts[1]) * (1.0 - elapsed);
        self.counts[0] + before as u32
    }

    fn advance(&mut self, now: u64) {
        let windows = now.saturating_sub(self.window_began_at) / WINDOW_MS;
        match windows {
            0 => return,
            1 => self.counts = [0, self.counts[0]],
            _ => self.counts = [0, 0],
        }
        self.window_began_at += windows * WINDOW_MS;
    }

    /// Counts a new connection; returns whether to accept it. Otherwise it is to be closed before
    /// anything is read from it.
    pub fn accept(&mut self, now: u64) -> bool {
        self.advance(now);
        self.counts[0] += 1;
        let has_room = !self.is_late(now) && f64::from(self.accepted) < self.limit;
        let is_below_overrun = f64::from(self.accepted) < self.overrun_limit;
        let accepted = has_room || (is_below_overrun && !self.is_crowded(now));
        self.accepted += u32::from(accepted);
        accepted
    }

    /// Returns whether this instance gets far more new connections than the others of its zone, and one of these
    /// can take some of them.
    fn is_crowded(&mut self, now: u64) -> bool {
        let per_sec = self.per_sec(now);
        let valid = |r: &&Report| now < r.received_at + REPORT_VALIDITY_MS;
        let reports: Vec<&Report> = self.reports.values().filter(valid).collect();
        if reports.iter().all(|r| r.is_late) {
            return false;
        }
        let sum: u32 = reports.iter().map(|r| r.per_sec).sum();
        let others = f64::from(sum) / reports.len() as f64;
        per_sec >= MIN_CROWDED_PER_SEC && f64::from(per_sec) >= others * CROWDED_RATIO
    }
}
