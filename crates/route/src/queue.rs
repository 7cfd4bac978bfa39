//! Who waits for an upstream: by priority, then by deadline, bounded by the time they have.

use std::collections::BTreeMap;

/// Waiting this long counts as one priority more, in milliseconds, so that nobody starves.
const AGE_MS: u64 = 2_000;
/// Requests that may wait for one model at one instance.
const QUEUE_MOST: usize = 1_000;
/// How strongly one finished request moves the mean time between finishes, in percent.
const PACE_PCT: f64 = 0.1;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on at once.
    Go,
    /// It waits.
    Wait(Ticket),
    /// It is refused at once.
    Refuse {
        /// Milliseconds after which the backlog is worked off.
        retry_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    priority: u8,
    since: u64,
    deadline: u64,
}

/// The requests that wait for one model or service.
#[derive(Debug)]
pub struct Queue {
    next: u64,
    waiting: BTreeMap<Ticket, Waiting>,
    /// Mean time between two finishes, in milliseconds.
    pace_ms: f64,
    finished_at: Option<u64>,
}

impl Default for Queue {
    fn default() -> Self {
        Queue {
            next: 1,
            waiting: BTreeMap::new(),
            pace_ms: 50.0,
            finished_at: None,
        }
    }
}

impl Queue {
    /// Takes a request; `room` is how many more the upstreams can take.
    pub fn arrive(&mut self, now: u64, room: u32, priority: u8, deadline: u64) -> Verdict {
        if room > 0 && self.waiting.is_empty() {
            return Verdict::Go;
        }
        let ahead = self.ahead(now, priority);
        let wait_ms = ((ahead + 1) as f64 * self.pace_ms) as u64;
        if now + wait_ms >= deadline || self.waiting.len() >= QUEUE_MOST {
            return Verdict::Refuse {
                retry_ms: wait_ms.max(1_000),
            };
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let waiting = Waiting {
            priority,
            since: now,
            deadline,
        };
        self.waiting.insert(ticket, waiting);
        Verdict::Wait(ticket)
    }

    /// Counts a finish, from which the backlog's time is worked out.
    pub fn finished(&mut self, now: u64) {
        if let Some(last) = self.finished_at {
            let gap = now.saturating_sub(last) as f64;
            if !self.waiting.is_empty() {
                self.pace_ms += (gap - self.pace_ms) * PACE_PCT;
            }
        }
        self.finished_at = Some(now);
    }

    /// Returns who goes on now: at most `room`, first things first.
    pub fn release(&mut self, now: u64, room: u32) -> Vec<Ticket> {
        let mut order: Vec<_> = self.waiting.iter().map(|(t, w)| (*t, *w)).collect();
        order.sort_by_key(|(t, w)| (std::cmp::Reverse(rank(now, w)), w.deadline, *t));
        let first: Vec<Ticket> = order
            .into_iter()
            .take(room as usize)
            .map(|(t, _)| t)
            .collect();
        for ticket in &first {
            self.waiting.remove(ticket);
        }
        first
    }

    /// Returns who has waited past the deadline, and removes them.
    pub fn expire(&mut self, now: u64) -> Vec<Ticket> {
        let late = |w: &Waiting| w.deadline <= now;
        let out: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, w)| late(w))
            .map(|(t, _)| *t)
            .collect();
        self.waiting.retain(|_, w| !late(w));
        out
    }

    /// Forgets a request whose caller left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the milliseconds that the backlog needs.
    pub fn backlog_ms(&self) -> u64 {
        (self.waiting.len() as f64 * self.pace_ms) as u64
    }

    fn ahead(&self, now: u64, priority: u8) -> usize {
        let before = |w: &&Waiting| rank(now, w) >= u64::from(priority);
        self.waiting.values().filter(before).count()
    }
}

fn rank(now: u64, waiting: &Waiting) -> u64 {
    u64::from(waiting.priority) + now.saturating_sub(waiting.since) / AGE_MS
}
