//! How fast the requests of a service start at this instance, and how long they take.

use std::collections::{BTreeMap, VecDeque};

/// Window in which starts are counted, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Maximum number of counted starts.
const MAX_STARTS: usize = 128;
/// Minimum number of starts that say something about their rate.
const MIN_STARTS: usize = 4;
/// Minimum time over which a rate is measured, in milliseconds.
const MIN_SPAN_MS: u64 = 100;
/// Time constant of the part of the time during which requests wait, in milliseconds.
const NONEMPTY_MS: f64 = 2_000.0;
/// Number of intervals between places that the time since the last one is averaged with: a single long interval
/// says little.
const STALL_WEIGHT: f64 = 2.0;
/// Weight of one request in the average of how long requests take.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Part of the places that go to the priorities in turn, whatever others arrive.
const TURN_PART: f64 = 1.0 / crate::queue::TURNS as f64;

/// When upstreams are expected to accept a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outlook {
    /// They are full: places become free when requests end, and the instances at which requests wait share
    /// them.
    Busy {
        /// Number of requests that the upstreams run concurrently.
        slots: u32,
        /// Number of instances.
        instances: u32,
    },
    /// This instance may send no more within its share of their request rate limits.
    Limited {
        /// Time until it may send the next one, in milliseconds.
        retry_ms: u64,
    },
    /// They are cold, and this instance may send no more now.
    Cold {
        /// Time until the first one is warm, in milliseconds.
        retry_ms: u64,
    },
}

/// What waits before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ahead {
    /// Number of requests of more urgent priorities.
    pub(crate) more_urgent: usize,
    /// Number of requests of the same priority.
    pub(crate) same_priority: usize,
    /// Number of priorities of which requests wait, its own included.
    pub(crate) priorities: usize,
    /// For how long none has started although some wait, in milliseconds.
    pub(crate) stalled_ms: u64,
}

/// The starts and durations of a service's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    /// Times and priorities of recent starts.
    starts: VecDeque<(u64, u8)>,
    /// Mean time from start to end by priority, in milliseconds.
    took_ms: BTreeMap<u8, f64>,
    is_nonempty: bool,
    /// Part of the recent time during which requests waited.
    nonempty_part: f64,
    nonempty_updated_at: u64,
}

impl Pace {
    /// Records that a request was sent to an upstream.
    pub(crate) fn record_start(&mut self, now: u64, priority: u8) {
        self.remove_old(now);
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((now, priority));
    }

    fn remove_old(&mut self, now: u64) {
        while self
            .starts
            .front()
            .is_some_and(|(at, _)| at + WINDOW_MS < now)
        {
            self.starts.pop_front();
        }
    }

    /// Records whether requests wait from now on.
    pub(crate) fn set_nonempty(&mut self, now: u64, is_nonempty: bool) {
        self.nonempty_part = self.nonempty_part(now);
        self.nonempty_updated_at = now;
        self.is_nonempty = is_nonempty;
    }

    pub(crate) fn nonempty_part(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.nonempty_updated_at) as f64;
        let weight = 1.0 - (-elapsed_ms / NONEMPTY_MS).exp();
        let target = f64::from(u8::from(self.is_nonempty));
        self.nonempty_part + (target - self.nonempty_part) * weight
    }

    /// Records how long a request took that got a complete response.
    pub(crate) fn record_end(&mut self, priority: u8, took_ms: u64) {
        let took_ms = took_ms as f64;
        let mean = self.took_ms.entry(priority).or_insert(took_ms);
        *mean += (took_ms - *mean) * SAMPLE_WEIGHT;
    }

    /// Returns how long a request is expected to take, in milliseconds.
    pub(crate) fn took_ms(&self, priority: u8, default_ms: u64) -> u64 {
        let measured = self.took_ms.get(&priority);
        measured.map_or(default_ms, |ms| *ms as u64)
    }

    /// Returns the time until a place is expected for a request, in milliseconds.
    pub(crate) fn expected_ms(
        &mut self,
        now: u64,
        priority: u8,
        default_took_ms: u64,
        outlook: Outlook,
        ahead: Ahead,
    ) -> u64 {
        self.remove_old(now);
        let more_urgent = ahead.more_urgent as f64;
        let places = ahead.same_priority as f64 + 1.0;
        let measured = self.starts_per_ms(now);
        let per_ms = match (outlook, measured) {
            // What was measured may be from before the limit.
            (Outlook::Limited { retry_ms }, measured) => {
                let per_ms = 1.0 / retry_ms.max(1) as f64;
                measured.map_or(per_ms, |measured| measured.min(per_ms))
            }
            // The one instance that sends to a cold upstream goes on doing so.
            (Outlook::Cold { retry_ms }, measured) => {
                let per_ms = 1.0 / retry_ms.max(1) as f64;
                measured.map_or(per_ms, |measured| measured.max(per_ms))
            }
            (Outlook::Busy { slots, instances }, _) => {
                let took_ms = self.took_ms(priority, default_took_ms).max(1) as f64;
                let all_per_ms = f64::from(slots.max(1)) / took_ms;
                // Queues are nonempty at the other instances for about as much of the time as here.
                let sharers = f64::from(instances) * self.nonempty_part(now);
                all_per_ms / sharers.max(1.0)
            }
        };
        // If requests start at the same time, they end at the same time: no place is free in between.
        let took_ms = self.took_ms(priority, default_took_ms);
        let stalled_ms = ahead.stalled_ms.saturating_sub(took_ms) as f64;
        let stalled_interval_ms = (STALL_WEIGHT / per_ms + stalled_ms) / (STALL_WEIGHT + 1.0);
        let per_ms = per_ms.min(1.0 / stalled_interval_ms);
        // By the order, and by the places that go to the priorities in turn.
        let more_urgent_part = self.more_urgent_part(priority);
        let left_per_ms = (per_ms - more_urgent_part * measured.unwrap_or_default())
            .max(per_ms * (1.0 - more_urgent_part).max(TURN_PART));
        let in_order_ms = more_urgent / per_ms + places / left_per_ms;
        let in_turn_ms = places * ahead.priorities as f64 / (per_ms * TURN_PART);
        in_order_ms.min(in_turn_ms).round() as u64
    }

    pub(crate) fn has_more_urgent(&self, priority: u8) -> bool {
        self.starts.iter().any(|(_, p)| *p < priority)
    }

    fn span_ms(&self, now: u64) -> f64 {
        let oldest = self.starts.front().map_or(now, |(at, _)| *at);
        now.saturating_sub(oldest).max(MIN_SPAN_MS) as f64
    }

    fn starts_per_ms(&self, now: u64) -> Option<f64> {
        let count = self.starts.len();
        (count >= MIN_STARTS).then(|| count as f64 / self.span_ms(now))
    }

    /// Returns which part of the recent starts were of more urgent requests.
    fn more_urgent_part(&self, priority: u8) -> f64 {
        let more_urgent = self.starts.iter().filter(|(_, p)| *p < priority);
        more_urgent.count() as f64 / self.starts.len().max(1) as f64
    }

    /// Returns when the last request started, in milliseconds.
    pub(crate) fn last_start(&self) -> Option<u64> {
        self.starts.back().map(|(at, _)| *at)
    }
}
