//! Whether the store answers, as all tasks see it.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use kv::Failure;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::event::Event;
use crate::log::Log;

/// While the store is out of reach, one call in this time asks whether it is back, for all tasks: calls that
/// are refused are paid for like others.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The same where others ask, and say when it is back.
const SHARED_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Without an answer for this long the store counts as out of reach, in milliseconds, once a call has
/// failed.
const UNAVAILABLE_AFTER_MS: u64 = 1_500;
/// A store that is asked because of what others report has so long to answer, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 250;
/// An instance whose last answer is older than this had not asked for anything, in milliseconds: one that reads
/// the store by itself has a call under way all the time, and an end of it that often. Silence counts from
/// its first call without an answer then.
const MAX_CALL_GAP_MS: u64 = 3_500;

/// Whether the store answers.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    clock: Clock,
    log: Arc<Log>,
    last_response_at: AtomicU64,
    /// Since when calls have had no answer, in milliseconds; 0 when the last one had.
    failing_since: AtomicU64,
    recovered_at: AtomicU64,
    /// When readers said that the store is out of their reach, in milliseconds, with no answer here since; 0 for never.
    reported_unavailable_at: AtomicU64,
    unavailable: AtomicBool,
    recovered: Notify,
    /// Wakes the one that asks whether the store answers.
    probe_requested: Notify,
}

impl StoreHealth {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> StoreHealth {
        StoreHealth {
            clock,
            log,
            last_response_at: AtomicU64::new(clock.now()),
            failing_since: AtomicU64::new(0),
            recovered_at: AtomicU64::new(0),
            reported_unavailable_at: AtomicU64::new(0),
            unavailable: AtomicBool::new(false),
            recovered: Notify::new(),
            probe_requested: Notify::new(),
        }
    }

    /// Notes an answer of the store.
    pub(crate) fn record_response(&self) {
        let now = self.clock.now();
        self.last_response_at.store(now, Ordering::Relaxed);
        self.failing_since.store(0, Ordering::Relaxed);
        if self.unavailable.swap(false, Ordering::Relaxed) {
            self.recovered_at.store(now, Ordering::Relaxed);
            self.log.event(Event::StoreRecovered, "");
            self.recovered.notify_waiters();
        }
    }

    /// Notes a call without an answer, and when it began.
    pub(crate) fn record_failure(&self, began: u64, why: &Failure) {
        let now = self.clock.now();
        let answered_at = self.last_response_at.load(Ordering::Relaxed);
        if self.failing_since.load(Ordering::Relaxed) == 0 {
            let asked = began <= answered_at + MAX_CALL_GAP_MS;
            let since = if asked { answered_at } else { began };
            self.failing_since.store(since.max(1), Ordering::Relaxed);
        }
        let silent = now.saturating_sub(self.failing_since.load(Ordering::Relaxed));
        let was_out = self.is_unavailable();
        self.mark_unavailable(silent, format_args!("{why:?}"));
        // Once it is out it is asked for often enough.
        if !was_out {
            self.request_probe();
        }
    }

    /// Takes the report of all readers that the store is unavailable to them. It is asked at once; one that has no answer by the
    /// next report goes by it, instead of having requests wait for calls that get none.
    pub(crate) fn report_unavailable(&self) {
        if self.is_unavailable() {
            return;
        }
        let now = self.clock.now();
        let answered_at = self.last_response_at.load(Ordering::Relaxed);
        let told_at = self.reported_unavailable_at.load(Ordering::Relaxed);
        if told_at <= answered_at {
            self.reported_unavailable_at.store(now, Ordering::Relaxed);
            self.request_probe();
        } else if now >= told_at + CONFIRM_TIMEOUT_MS {
            self.mark_unavailable(now - answered_at, format_args!("told"));
        }
    }

    /// Takes the store for out of reach, if it was silent for long enough; returns whether it was in reach until now.
    fn mark_unavailable(&self, silent: u64, why: Arguments<'_>) -> bool {
        let lost =
            silent >= UNAVAILABLE_AFTER_MS && !self.unavailable.swap(true, Ordering::Relaxed);
        if lost {
            let detail = format_args!("silent_ms={silent} last={why}");
            self.log.event(Event::StoreUnavailable, detail);
        }
        lost
    }

    /// Returns whether calls have had no answer since the last one that had.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.load(Ordering::Relaxed) > 0
    }

    /// Has somebody ask whether the store answers.
    pub(crate) fn request_probe(&self) {
        self.probe_requested.notify_one();
    }

    /// Takes the word of another instance on when the store answered again.
    pub(crate) fn report_recovery(&self, at: u64) {
        let own = self.recovered_at.load(Ordering::Relaxed);
        // The same return, by words that were under way for different times.
        if at > own + UNAVAILABLE_AFTER_MS {
            self.recovered_at.store(at, Ordering::Relaxed);
        }
    }

    /// Waits until it is to be asked whether the store answers: seldom as long as nobody doubts it, and while it is out
    /// of reach, where `others_ask`.
    pub(crate) async fn wait_until_probe_due(&self, seldom: Duration, others_ask: bool) {
        let earliest = Instant::now() + PROBE_INTERVAL;
        let most = match (self.is_unavailable(), others_ask) {
            (false, _) => seldom,
            (true, false) => PROBE_INTERVAL,
            (true, true) => SHARED_PROBE_INTERVAL,
        };
        // Either way it is asked.
        let _ = timeout(most, self.probe_requested.notified()).await;
        sleep_until(earliest).await;
    }

    /// Waits as long as the store is out of reach.
    pub(crate) async fn wait_until_available(&self) {
        loop {
            let back = self.recovered.notified();
            if !self.is_unavailable() {
                return;
            }
            // The return may come between the look and the wait.
            let _ = timeout(PROBE_INTERVAL, back).await;
        }
    }

    /// Returns whether the store is out of reach.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
    }

    /// Returns when the store answered again, in milliseconds; 0 when it was never out.
    pub(crate) fn recovered_at(&self) -> u64 {
        self.recovered_at.load(Ordering::Relaxed)
    }
}
