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
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// The same where others ask, and say when it is back.
const PROBE_SELDOM: Duration = Duration::from_secs(2);
/// Without an answer for this long the store counts as out of reach, in milliseconds, once a call has
/// failed.
const OUT_AFTER_MS: u64 = 1_500;
/// A store that is asked because of what others report has so long to answer, in milliseconds.
const ASKED_FOR_MS: u64 = 250;
/// An instance whose last answer is older than this had not asked for anything, in milliseconds: one that reads
/// the store by itself has a call under way all the time, and an end of it that often. Silence counts from
/// its first call without an answer then.
const ASKED_WITHIN_MS: u64 = 3_500;

/// Whether the store answers.
#[derive(Debug)]
pub(crate) struct Reach {
    clock: Clock,
    log: Arc<Log>,
    answered_at: AtomicU64,
    /// Since when calls have had no answer, in milliseconds; 0 when the last one had.
    silent_since: AtomicU64,
    back_at: AtomicU64,
    /// When readers said that the store is out of their reach, in milliseconds, with no answer here since; 0 for never.
    told_out_at: AtomicU64,
    out: AtomicBool,
    back: Notify,
    /// Wakes the one that asks whether the store answers.
    doubted: Notify,
}

impl Reach {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> Reach {
        Reach {
            clock,
            log,
            answered_at: AtomicU64::new(clock.now()),
            silent_since: AtomicU64::new(0),
            back_at: AtomicU64::new(0),
            told_out_at: AtomicU64::new(0),
            out: AtomicBool::new(false),
            back: Notify::new(),
            doubted: Notify::new(),
        }
    }

    /// Notes an answer of the store.
    pub(crate) fn answered(&self) {
        let now = self.clock.now();
        self.answered_at.store(now, Ordering::Relaxed);
        self.silent_since.store(0, Ordering::Relaxed);
        if self.out.swap(false, Ordering::Relaxed) {
            self.back_at.store(now, Ordering::Relaxed);
            self.log.event(Event::StoreRecovered, "");
            self.back.notify_waiters();
        }
    }

    /// Notes a call without an answer, and when it began.
    pub(crate) fn failed(&self, began: u64, why: &Failure) {
        let now = self.clock.now();
        let answered_at = self.answered_at.load(Ordering::Relaxed);
        if self.silent_since.load(Ordering::Relaxed) == 0 {
            let asked = began <= answered_at + ASKED_WITHIN_MS;
            let since = if asked { answered_at } else { began };
            self.silent_since.store(since.max(1), Ordering::Relaxed);
        }
        let silent = now.saturating_sub(self.silent_since.load(Ordering::Relaxed));
        let was_out = self.is_out();
        self.lose(silent, format_args!("{why:?}"));
        // Once it is out it is asked for often enough.
        if !was_out {
            self.doubt();
        }
    }

    /// Takes the report of all readers that the store is unavailable to them. It is asked at once; one that has no answer by the
    /// next report goes by it, instead of having requests wait for calls that get none.
    pub(crate) fn told_out(&self) {
        if self.is_out() {
            return;
        }
        let now = self.clock.now();
        let answered_at = self.answered_at.load(Ordering::Relaxed);
        let told_at = self.told_out_at.load(Ordering::Relaxed);
        if told_at <= answered_at {
            self.told_out_at.store(now, Ordering::Relaxed);
            self.doubt();
        } else if now >= told_at + ASKED_FOR_MS {
            self.lose(now - answered_at, format_args!("told"));
        }
    }

    /// Takes the store for out of reach, if it was silent for long enough; returns whether it was in reach until now.
    fn lose(&self, silent: u64, why: Arguments<'_>) -> bool {
        let lost = silent >= OUT_AFTER_MS && !self.out.swap(true, Ordering::Relaxed);
        if lost {
            let detail = format_args!("silent_ms={silent} last={why}");
            self.log.event(Event::StoreUnavailable, detail);
        }
        lost
    }

    /// Returns whether calls have had no answer since the last one that had.
    pub(crate) fn is_failing(&self) -> bool {
        self.silent_since.load(Ordering::Relaxed) > 0
    }

    /// Has somebody ask whether the store answers.
    pub(crate) fn doubt(&self) {
        self.doubted.notify_one();
    }

    /// Takes the word of another instance on when the store answered again.
    pub(crate) fn told_back(&self, at: u64) {
        let own = self.back_at.load(Ordering::Relaxed);
        // The same return, by words that were under way for different times.
        if at > own + OUT_AFTER_MS {
            self.back_at.store(at, Ordering::Relaxed);
        }
    }

    /// Waits until it is to be asked whether the store answers: seldom as long as nobody doubts it, and while it is out
    /// of reach, where `others_ask`.
    pub(crate) async fn ask_turn(&self, seldom: Duration, others_ask: bool) {
        let earliest = Instant::now() + PROBE_EVERY;
        let most = match (self.is_out(), others_ask) {
            (false, _) => seldom,
            (true, false) => PROBE_EVERY,
            (true, true) => PROBE_SELDOM,
        };
        // Either way it is asked.
        let _ = timeout(most, self.doubted.notified()).await;
        sleep_until(earliest).await;
    }

    /// Waits as long as the store is out of reach.
    pub(crate) async fn wait_back(&self) {
        loop {
            let back = self.back.notified();
            if !self.is_out() {
                return;
            }
            // The return may come between the look and the wait.
            let _ = timeout(PROBE_EVERY, back).await;
        }
    }

    /// Returns whether the store is out of reach.
    pub(crate) fn is_out(&self) -> bool {
        self.out.load(Ordering::Relaxed)
    }

    /// Returns when the store answered again, in milliseconds; 0 when it was never out.
    pub(crate) fn back_at(&self) -> u64 {
        self.back_at.load(Ordering::Relaxed)
    }
}
