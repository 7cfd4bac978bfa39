//! Who waits for an upstream: by priority, then by deadline, bounded by the time they have.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::pool::Capacity;

/// Every so many releases one goes to whoever has waited longest, so that nobody starves.
const OLDEST_EVERY: u64 = 8;
/// Requests that may wait for one model at one instance: bounds the memory, time bounds the rest.
const QUEUE_MOST: usize = 20_000;
/// How strongly one finished request moves the mean time between finishes.
const PACE_WEIGHT: f64 = 0.05;
/// The mean time between finishes before any was seen, in milliseconds.
const PACE_FIRST_MS: f64 = 20.0;
/// Shortest time after which a refused request may come back, in milliseconds.
const RETRY_LEAST_MS: u64 = 1_000;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// What becomes of a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes on at once.
    Admit,
    /// It waits.
    Wait(WaiterId),
    /// It is refused at once.
    Refuse {
        /// Milliseconds after which the backlog is worked off.
        retry_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    priority: u8,
    deadline: u64,
}

/// The requests that wait for one model or service.
#[derive(Debug)]
pub struct Queue {
    next: u64,
    /// In the order in which they came.
    waiting: BTreeMap<WaiterId, Waiting>,
    /// First things first.
    order: BTreeSet<(Reverse<u8>, u64, WaiterId)>,
    by_deadline: BTreeSet<(u64, WaiterId)>,
    by_priority: [usize; 10],
    released: u64,
    /// Mean time between two finishes while somebody waits, in milliseconds.
    pace_ms: f64,
    finished_at: Option<u64>,
}

impl Default for Queue {
    fn default() -> Self {
        Queue {
            next: 1,
            waiting: BTreeMap::new(),
            order: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            by_priority: [0; 10],
            released: 0,
            pace_ms: PACE_FIRST_MS,
            finished_at: None,
        }
    }
}

impl Queue {
    /// Takes a request; `rooms` is how many more of each priority the upstreams can take.
    pub fn admit(
        &mut self,
        now: u64,
        rooms: &Capacity,
        priority: u8,
        deadline: u64,
    ) -> AdmissionDecision {
        let priority = priority.min(9);
        let ahead = self.ahead(priority);
        if ahead == 0 && rooms.for_priority(priority) > 0 {
            return AdmissionDecision::Admit;
        }
        let wait_ms = ((ahead + 1) as f64 * self.pace_ms) as u64;
        if now + wait_ms >= deadline || self.waiting.len() >= QUEUE_MOST {
            let retry_ms = wait_ms.max(RETRY_LEAST_MS);
            return AdmissionDecision::Refuse { retry_ms };
        }
        let ticket = WaiterId(self.next);
        self.next += 1;
        self.waiting.insert(ticket, Waiting { priority, deadline });
        self.order.insert((Reverse(priority), deadline, ticket));
        self.by_deadline.insert((deadline, ticket));
        self.by_priority[priority as usize] += 1;
        AdmissionDecision::Wait(ticket)
    }

    /// Counts a finish, from which the backlog's time is worked out.
    pub fn record_finish(&mut self, now: u64) {
        if let Some(last) = self.finished_at {
            let gap = now.saturating_sub(last) as f64;
            if !self.waiting.is_empty() {
                self.pace_ms += (gap - self.pace_ms) * PACE_WEIGHT;
            }
        }
        self.finished_at = Some(now);
    }

    /// Returns who goes on now, first things first.
    pub fn release(&mut self, rooms: &Capacity) -> Vec<WaiterId> {
        let mut out = Vec::new();
        while let Some(ticket) = self.pick(rooms, out.len() as u32) {
            self.remove(ticket);
            self.released += 1;
            out.push(ticket);
        }
        out
    }

    /// Returns the next to go on when some have gone already.
    fn pick(&self, rooms: &Capacity, gone: u32) -> Option<WaiterId> {
        let fits = |t: &WaiterId| rooms.for_priority(self.waiting[t].priority) > gone;
        let first = self.order.first().map(|(_, _, t)| *t)?;
        if self.released % OLDEST_EVERY == OLDEST_EVERY - 1 {
            let oldest = self.waiting.keys().next().copied();
            if let Some(oldest) = oldest.filter(fits) {
                return Some(oldest);
            }
        }
        Some(first).filter(fits)
    }

    /// Returns who has waited past the deadline, and removes them.
    pub fn expire(&mut self, now: u64) -> Vec<WaiterId> {
        let late = self.by_deadline.iter().take_while(|(d, _)| *d <= now);
        let late: Vec<WaiterId> = late.map(|(_, t)| *t).collect();
        late.iter().for_each(|t| self.remove(*t));
        late
    }

    /// Forgets a request that goes on, or whose caller left.
    pub fn remove(&mut self, ticket: WaiterId) {
        let Some(w) = self.waiting.remove(&ticket) else {
            return;
        };
        self.order
            .remove(&(Reverse(w.priority), w.deadline, ticket));
        self.by_deadline.remove(&(w.deadline, ticket));
        self.by_priority[w.priority as usize] -= 1;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn ahead(&self, priority: u8) -> usize {
        self.by_priority[priority as usize..].iter().sum()
    }
}
