//! Whether the store is available, shared by all tasks.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use escrow::Outage;
use kv::StoreError;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::event::Event;
use crate::log::Log;

/// Interval between probes while the store is unavailable. One task probes on behalf of all, since
/// calls that are refused are billed like others.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between probes while the store is unavailable, if other instances probe it too and
/// announce when it is available again.
const SHARED_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// The store counts as unavailable when a call has failed and there has been no response for this
/// time, in milliseconds.
const UNAVAILABLE_AFTER_MS: u64 = 1_500;
/// Calls that have failed for this time, in milliseconds, count as an outage for the retry time of
/// refused callers: a single call that is lost is repeated before.
const FAILING_OUTAGE_MS: u64 = 500;
/// Time that the store has to answer the probe that follows a report by other instances, in
/// milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 250;
/// Maximum time between the last response and the start of a failed call, in milliseconds, for the
/// store to count as failing since that response. An instance that reads the store itself always
/// has a call in progress, and one of them ends at least this often. After a longer gap the
/// instance had made no calls, so the store counts as failing only since the start of the failed
/// call.
const MAX_CALL_GAP_MS: u64 = 3_500;

/// Whether the store is available.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    clock: Clock,
    log: Arc<Log>,
    last_response_at: AtomicU64,
    /// Since when calls have failed, in milliseconds; 0 if the last one succeeded.
    failing_since: AtomicU64,
    /// When the store last became available again, in milliseconds; 0 if it has always been
    /// available.
    recovered_at: AtomicU64,
    /// When all readers first reported the store as unavailable after the last response here, in
    /// milliseconds; 0 for never. A value before the last response is outdated.
    reported_unavailable_at: AtomicU64,
    unavailable: AtomicBool,
    /// Since when the store has been unavailable, in milliseconds, if it is.
    unavailable_since: AtomicU64,
    /// Longest time that it was unavailable, in milliseconds; 0 if it never was.
    longest_outage_ms: AtomicU64,
    /// Wakes the tasks that wait until the store is available again.
    recovered: Notify,
    /// Wakes the task that probes the store.
    probe_requested: Notify,
}

impl StoreHealth {
    pub(crate) fn new(clock: Clock, log: Arc<Log>) -> StoreHealth {
        StoreHealth {
            clock,
            log,
            last_response_at: AtomicU64::new(clock.now()),
            failing_since: AtomicU64::new(0),
            recovered_at: AtomicU64::new(0),
            reported_unavailable_at: AtomicU64::new(0),
            unavailable: AtomicBool::new(false),
            unavailable_since: AtomicU64::new(0),
            longest_outage_ms: AtomicU64::new(0),
            recovered: Notify::new(),
            probe_requested: Notify::new(),
        }
    }

    /// Records a response of the store.
    pub(crate) fn record_response(&self) {
        let now = self.clock.now();
        self.last_response_at.store(now, Ordering::Relaxed);
        self.failing_since.store(0, Ordering::Relaxed);
        if self.unavailable.swap(false, Ordering::Relaxed) {
            self.recovered_at.store(now, Ordering::Relaxed);
            let duration_ms = now.saturating_sub(self.unavailable_since.load(Ordering::Relaxed));
            self.longest_outage_ms
                .fetch_max(duration_ms, Ordering::Relaxed);
            self.log.event(Event::StoreRecovered, "");
            self.recovered.notify_waiters();
        }
    }

    /// Records a failed call and when it started.
    pub(crate) fn record_failure(&self, started_at: u64, why: &StoreError) {
        let now = self.clock.now();
        let last_response_at = self.last_response_at.load(Ordering::Relaxed);
        if self.failing_since.load(Ordering::Relaxed) == 0 {
            let continuous = started_at <= last_response_at + MAX_CALL_GAP_MS;
            let since = if continuous {
                last_response_at
            } else {
                started_at
            };
            self.failing_since.store(since.max(1), Ordering::Relaxed);
        }
        let silent_ms = now.saturating_sub(self.failing_since.load(Ordering::Relaxed));
        let was_unavailable = self.is_unavailable();
        self.mark_unavailable(silent_ms, format_args!("{why:?}"));
        // While the store is unavailable, it is probed often enough anyway.
        if !was_unavailable {
            self.request_probe();
        }
    }

    /// Records that all readers report the store as unavailable. The first report triggers a probe.
    /// If there is no response by a later report, the store counts as unavailable here too, so that
    /// requests don't wait for calls that will not be answered.
    pub(crate) fn report_unavailable(&self) {
        if self.is_unavailable() {
            return;
        }
        let now = self.clock.now();
        let last_response_at = self.last_response_at.load(Ordering::Relaxed);
        let reported_at = self.reported_unavailable_at.load(Ordering::Relaxed);
        if reported_at <= last_response_at {
            self.reported_unavailable_at.store(now, Ordering::Relaxed);
            self.request_probe();
        } else if now >= reported_at + CONFIRM_TIMEOUT_MS {
            self.mark_unavailable(now - last_response_at, format_args!("told"));
        }
    }

    /// Marks the store as unavailable if there has been no response for long enough; returns
    /// whether it was available until now.
    fn mark_unavailable(&self, silent_ms: u64, why: Arguments<'_>) -> bool {
        let newly_unavailable =
            silent_ms >= UNAVAILABLE_AFTER_MS && !self.unavailable.swap(true, Ordering::Relaxed);
        if newly_unavailable {
            // An instance that makes few calls may not have had a response for long before.
            let since = self.clock.now() - silent_ms.min(UNAVAILABLE_AFTER_MS);
            self.unavailable_since.store(since, Ordering::Relaxed);
            let detail = format_args!("silent_ms={silent_ms} last={why}");
            self.log.event(Event::StoreUnavailable, detail);
        }
        newly_unavailable
    }

    /// Returns whether calls have failed since the last response.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.load(Ordering::Relaxed) > 0
    }

    /// Requests a probe of the store.
    pub(crate) fn request_probe(&self) {
        self.probe_requested.notify_one();
    }

    /// Records when the store became available again to another instance.
    pub(crate) fn report_recovery(&self, recovered_at: u64) {
        let known = self.recovered_at.load(Ordering::Relaxed);
        // Otherwise it is the same recovery, reported with a different network delay.
        if recovered_at > known + UNAVAILABLE_AFTER_MS {
            self.recovered_at.store(recovered_at, Ordering::Relaxed);
        }
    }

    /// Waits until the store is to be probed: after `idle_interval` while it is available,
    /// otherwise after the probe interval, which is longer if other instances probe it too
    /// (`others_probe`). A requested probe is due earlier, but not before `PROBE_INTERVAL` has
    /// passed.
    pub(crate) async fn wait_until_probe_due(&self, idle_interval: Duration, others_probe: bool) {
        let earliest = Instant::now() + PROBE_INTERVAL;
        let max_wait = match (self.is_unavailable(), others_probe) {
            (false, _) => idle_interval,
            (true, false) => PROBE_INTERVAL,
            (true, true) => SHARED_PROBE_INTERVAL,
        };
        // The store is probed either way.
        let _ = timeout(max_wait, self.probe_requested.notified()).await;
        sleep_until(earliest).await;
    }

    /// Waits while the store is unavailable.
    pub(crate) async fn wait_until_available(&self) {
        loop {
            let recovered = self.recovered.notified();
            if !self.is_unavailable() {
                return;
            }
            // The store may become available between the check and the wait, so the wait is
            // limited.
            let _ = timeout(PROBE_INTERVAL, recovered).await;
        }
    }

    /// Returns whether the store is unavailable.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
    }

    /// Returns the outage of the store, if it is unavailable or its calls have failed for a while.
    pub(crate) fn outage(&self) -> Option<Outage> {
        let now = self.clock.now();
        let failing_since = self.failing_since.load(Ordering::Relaxed);
        let failing = failing_since > 0 && now >= failing_since + FAILING_OUTAGE_MS;
        let since = if self.is_unavailable() {
            self.unavailable_since.load(Ordering::Relaxed)
        } else if failing {
            failing_since
        } else {
            return None;
        };
        Some(Outage {
            elapsed_ms: now.saturating_sub(since),
            longest_ms: self.longest_outage_ms.load(Ordering::Relaxed),
        })
    }

    /// Returns when the store last became available again, in milliseconds; 0 if it has always been
    /// available.
    pub(crate) fn recovered_at(&self) -> u64 {
        self.recovered_at.load(Ordering::Relaxed)
    }
}
