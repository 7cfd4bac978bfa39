//! Follows the keys under a prefix of the store, and knows whether the store answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Clock;
use kv::{Change, Failure, Found, News, Reading, Store};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::event::Event;
use crate::log::Log;

/// Longest wait of one watch, in milliseconds: a watch that hangs costs so much time, and each one
/// is a call that is paid for.
pub(crate) const WATCH_MS: u64 = 2_500;
/// Pause after a watch that brought changes: what changes meanwhile comes with the next one together.
/// Without it a fleet that starts beside a hundred upstreams makes a call for each of them at each
/// instance. Short against the two seconds in which a change is in force.
const GAP: Duration = Duration::from_millis(400);
/// Pause after a call that failed: short against the two seconds in which a change is in force, long
/// against a call.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// While the store is out of reach, one call in this time asks whether it is back, for all tasks: calls that
/// are refused are paid for like others.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// All keys are read again after this time: a watch may go on without ever bringing what changed. No such
/// case is known; it bounds what one would do.
const LIST_EVERY: Duration = Duration::from_secs(30);
/// Without an answer for this long the store counts as out of reach, in milliseconds, once a call has
/// failed.
const OUT_AFTER_MS: u64 = 1_500;

/// Whether the store answers, as all tasks see it.
#[derive(Debug)]
pub(crate) struct Reach {
    clock: Clock,
    log: Arc<Log>,
    answered_at: AtomicU64,
    back_at: AtomicU64,
    out: AtomicBool,
    back: Notify,
    probe_at: Mutex<Instant>,
}

impl Reach {
    pub(crate) fn open(clock: Clock, log: Arc<Log>) -> Reach {
        Reach {
            clock,
            log,
            answered_at: AtomicU64::new(clock.now()),
            back_at: AtomicU64::new(0),
            out: AtomicBool::new(false),
            back: Notify::new(),
            probe_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the store is back, or until it is the caller's turn to ask.
    async fn turn(&self) {
        loop {
            let back = self.back.notified();
            if !self.is_out() {
                return;
            }
            let at = {
                let mut probe_at = self.probe_at.lock().expect("no panic inside");
                let now = Instant::now();
                if now >= *probe_at {
                    *probe_at = now + PROBE_EVERY;
                    return;
                }
                *probe_at
            };
            // Either way the state is looked at again.
            let _ = timeout_at(at, back).await;
        }
    }

    /// Notes an answer of the store.
    pub(crate) fn answered(&self) {
        let now = self.clock.now();
        self.answered_at.store(now, Ordering::Relaxed);
        if self.out.swap(false, Ordering::Relaxed) {
            self.back_at.store(now, Ordering::Relaxed);
            self.log.note(Event::StoreBack, "");
            self.back.notify_waiters();
        }
    }

    /// Notes a call without an answer.
    pub(crate) fn failed(&self, failure: &Failure) {
        let silent = self.clock.now() - self.answered_at.load(Ordering::Relaxed);
        if silent >= OUT_AFTER_MS && !self.out.swap(true, Ordering::Relaxed) {
            let detail = format_args!("silent_ms={silent} last={failure:?}");
            self.log.note(Event::StoreLost, detail);
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

/// What a follower learns.
#[derive(Debug)]
pub(crate) enum Update {
    /// All keys as they are now, and the revision at which they were read.
    Listed(Vec<Found>, i64),
    /// Some keys have changed.
    Changed(Vec<Change>, i64),
    /// The store did not answer.
    Lost,
}

/// Follows the keys under one prefix.
pub(crate) struct Follow {
    store: Arc<dyn Store>,
    reach: Arc<Reach>,
    prefix: String,
    /// Longest wait of one watch, in milliseconds.
    wait_ms: u64,
    after: Option<i64>,
    /// The history after the last list is gone.
    compacted: bool,
    list_at: Instant,
    /// No watch begins before this.
    watch_at: Instant,
}

impl Follow {
    pub(crate) fn open(
        store: Arc<dyn Store>,
        reach: Arc<Reach>,
        prefix: &str,
        wait_ms: u64,
    ) -> Follow {
        Follow {
            store,
            reach,
            prefix: prefix.to_string(),
            wait_ms,
            after: None,
            compacted: false,
            list_at: Instant::now(),
            watch_at: Instant::now(),
        }
    }

    /// Waits for the next news.
    pub(crate) async fn next(&mut self) -> Update {
        loop {
            let due = Instant::now() >= self.list_at;
            let update = match self.after.filter(|_| !due) {
                Some(after) => self.watch(after).await,
                None => Some(self.list().await),
            };
            if let Some(update) = update {
                return update;
            }
        }
    }

    async fn list(&mut self) -> Update {
        match self.store.list(&self.prefix, self.reading()).await {
            Ok(listing) => {
                self.reach.answered();
                self.after = Some(listing.revision);
                self.compacted = false;
                self.list_at = Instant::now() + LIST_EVERY;
                Update::Listed(listing.items, listing.revision)
            }
            Err(failure) => self.lost(&failure).await,
        }
    }

    /// Returns how new a list must be.
    ///
    /// One from which a watch goes on may be old: the watch brings the rest at once. That matters when
    /// hundreds of instances that lost power together list thousands of upstreams. Not when the history is
    /// gone, for an old list would be behind it again; nor for a list beside a watch, which is newer.
    fn reading(&self) -> Reading {
        if self.after.is_none() && !self.compacted {
            Reading::Serializable
        } else {
            Reading::Linearizable
        }
    }

    async fn watch(&mut self, after: i64) -> Option<Update> {
        sleep_until(self.watch_at).await;
        let news = self.store.watch(&self.prefix, after, self.wait_ms).await;
        match news {
            Ok(News::Changes { changes, revision }) => {
                self.reach.answered();
                if !changes.is_empty() {
                    self.watch_at = Instant::now() + GAP;
                }
                self.after = Some(after.max(revision));
                (!changes.is_empty()).then_some(Update::Changed(changes, revision))
            }
            Ok(News::Compacted) => {
                self.reach.answered();
                self.after = None;
                self.compacted = true;
                None
            }
            Err(failure) => Some(self.lost(&failure).await),
        }
    }

    async fn lost(&mut self, failure: &Failure) -> Update {
        self.reach.failed(failure);
        // What changed meanwhile may have left the history.
        self.after = None;
        sleep(AGAIN_AFTER).await;
        self.reach.turn().await;
        Update::Lost
    }
}
