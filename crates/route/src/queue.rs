//! The queue of requests that wait for an upstream: ordered by priority, then by deadline, and limited
//! by the time that each request has left.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::pool::Capacity;

/// Every n-th release takes the request that has waited longest, so that none starves.
const OLDEST_FIRST_INTERVAL: u64 = 8;
/// Maximum number of requests that wait for one model or service at one instance. It limits memory;
/// the waiting time is limited by the deadlines.
const MAX_WAITING: usize = 20_000;
/// Weight of one finished request in the moving average of the interval between finishes.
const FINISH_INTERVAL_WEIGHT: f64 = 0.05;
/// Interval between finishes that is assumed before any was measured, in milliseconds.
const INITIAL_FINISH_INTERVAL_MS: f64 = 20.0;
/// Minimum time after which a refused request may be retried, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

/// Identifies a waiting request. Ids increase in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It proceeds immediately.
    Admit,
    /// It waits.
    Wait(WaiterId),
    /// It is refused immediately.
    Refuse {
        /// Estimated milliseconds until the backlog is processed.
        retry_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    priority: u8,
    deadline: u64,
}

/// The requests that wait for one model or service.
#[derive(Debug)]
pub struct Queue {
    next_id: u64,
    /// In order of arrival.
    waiters: BTreeMap<WaiterId, Waiter>,
    /// By descending priority, then by deadline.
    order: BTreeSet<(Reverse<u8>, u64, WaiterId)>,
    by_deadline: BTreeSet<(u64, WaiterId)>,
    /// Number of waiting requests of each priority.
    by_priority: [usize; 10],
    /// Number of requests released so far.
    released: u64,
    /// Moving average of the interval between two finishes while requests wait, in milliseconds.
    finish_interval_ms: f64,
    finished_at: Option<u64>,
}

impl Default for Queue {
    fn default() -> Self {
        Queue {
            next_id: 1,
            waiters: BTreeMap::new(),
            order: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            by_priority: [0; 10],
            released: 0,
            finish_interval_ms: INITIAL_FINISH_INTERVAL_MS,
            finished_at: None,
        }
    }
}

impl Queue {
    /// Decides whether an arriving request is admitted, waits or is refused. `capacity` is the number
    /// of further requests that the upstreams can take.
    pub fn admit(
        &mut self,
        now: u64,
        capacity: &Capacity,
        priority: u8,
        deadline: u64,
    ) -> AdmissionDecision {
        let priority = priority.min(9);
        let ahead = self.ahead(priority);
        if ahead == 0 && capacity.for_priority(priority) > 0 {
            return AdmissionDecision::Admit;
        }
        let wait_ms = ((ahead + 1) as f64 * self.finish_interval_ms) as u64;
        if now + wait_ms >= deadline || self.waiters.len() >= MAX_WAITING {
            let retry_ms = wait_ms.max(MIN_RETRY_MS);
            return AdmissionDecision::Refuse { retry_ms };
        }
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        self.waiters.insert(id, Waiter { priority, deadline });
        self.order.insert((Reverse(priority), deadline, id));
        self.by_deadline.insert((deadline, id));
        self.by_priority[priority as usize] += 1;
        AdmissionDecision::Wait(id)
    }

    /// Records that a request has finished at an upstream; the wait is estimated from the intervals.
    pub fn record_finish(&mut self, now: u64) {
        if let Some(last) = self.finished_at {
            let interval = now.saturating_sub(last) as f64;
            if !self.waiters.is_empty() {
                self.finish_interval_ms +=
                    (interval - self.finish_interval_ms) * FINISH_INTERVAL_WEIGHT;
            }
        }
        self.finished_at = Some(now);
    }

    /// Removes and returns the requests that may proceed now, in order.
    pub fn release(&mut self, capacity: &Capacity) -> Vec<WaiterId> {
        let mut released = Vec::new();
        while let Some(id) = self.pick(capacity, released.len() as u32) {
            self.remove(id);
            self.released += 1;
            released.push(id);
        }
        released
    }

    /// Returns the next request to release after `count` were released with the same capacity.
    fn pick(&self, capacity: &Capacity, count: u32) -> Option<WaiterId> {
        let fits = |id: &WaiterId| capacity.for_priority(self.waiters[id].priority) > count;
        let first = self.order.first().map(|(_, _, id)| *id)?;
        if self.released % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1 {
            let oldest = self.waiters.keys().next().copied();
            if let Some(oldest) = oldest.filter(fits) {
                return Some(oldest);
            }
        }
        Some(first).filter(fits)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: u64) -> Vec<WaiterId> {
        let expired = self.by_deadline.iter().take_while(|(d, _)| *d <= now);
        let expired: Vec<WaiterId> = expired.map(|(_, id)| *id).collect();
        expired.iter().for_each(|id| self.remove(*id));
        expired
    }

    /// Removes a request that proceeds or whose caller has disconnected.
    pub fn remove(&mut self, id: WaiterId) {
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        self.order
            .remove(&(Reverse(waiter.priority), waiter.deadline, id));
        self.by_deadline.remove(&(waiter.deadline, id));
        self.by_priority[waiter.priority as usize] -= 1;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting requests of a priority and above.
    fn ahead(&self, priority: u8) -> usize {
        self.by_priority[priority as usize..].iter().sum()
    }
}
