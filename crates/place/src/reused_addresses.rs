//! Upstreams whose addresses are used by others.
//!
//! An upstream that ends may leave its list entry behind, and another one is started at its address
//! within seconds. If each instance of a large fleet finds out by itself, the attempts use up the retry
//! budget. One instance finds out and tells the others.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::upstream::{AttemptId, Upstream};

/// Maximum number of incarnations remembered, to bound memory; the least recently updated one is dropped
/// first.
const MAX_INCARNATIONS: usize = 1_024;
/// Time until the first check of whether an upstream uses its address after all, in milliseconds.
const FIRST_CHECK_MS: u64 = 5_000;
/// Maximum interval between the checks of one instance, in milliseconds.
const MAX_CHECK_INTERVAL_MS: u64 = 60_000;
/// How much later a request without another attempt checks, in milliseconds: it is refused if the address
/// is still used by another upstream, so requests that may be sent elsewhere check first.
const LAST_ATTEMPT_DELAY_MS: u64 = 30_000;
/// Number of instances that check: some of them may be unable to reach the upstream.
const MAX_CHECKERS: usize = 4;

/// Whether another upstream uses the address of an incarnation, in a form that instances can merge in any
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressState {
    /// The address.
    pub addr: SocketAddr,
    /// Number of changes so far.
    pub changes: u32,
    /// Whether another upstream uses it.
    pub reused: bool,
}

impl AddressState {
    fn supersedes(&self, other: &AddressState) -> bool {
        (self.changes, self.reused) > (other.changes, other.reused)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: AddressState,
    /// When the state changed here, in milliseconds.
    changed_at: u64,
    /// The last attempt that was begun before.
    last_attempt: AttemptId,
    /// When a request of this instance may check next, in milliseconds.
    check_at: u64,
    /// Interval to the check after that, in milliseconds.
    check_interval_ms: u64,
    /// Number of instances that check before this one.
    rank: usize,
}

/// When a state changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    /// The time, in milliseconds.
    pub(crate) now: u64,
    /// The last attempt that was begun.
    pub(crate) last_attempt: AttemptId,
    /// Number of instances that rank before this one for the upstream.
    pub(crate) rank: usize,
}

/// The states of addresses by the hash of the incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReusedAddresses {
    records: HashMap<u64, Record>,
}

impl ReusedAddresses {
    /// Records what a response to a request sent at `sent_at` shows; returns the new state if it changed.
    /// A response to a request that was sent before the last change is ignored.
    pub(crate) fn observe(
        &mut self,
        moment: Moment,
        incarnation: u64,
        addr: SocketAddr,
        sent_at: u64,
        reused: bool,
    ) -> Option<AddressState> {
        let known = self.records.get(&incarnation);
        let same_addr = known.filter(|r| r.state.addr == addr);
        if same_addr.is_some_and(|r| r.state.reused) == reused {
            return None;
        }
        if same_addr.is_some_and(|r| sent_at <= r.changed_at) {
            return None;
        }
        let changes = known.map_or(0, |r| r.state.changes);
        let state = AddressState {
            addr,
            changes: changes.saturating_add(1),
            reused,
        };
        self.insert(moment, incarnation, state);
        Some(state)
    }

    /// Merges another instance's state; returns whether it replaced the known one.
    pub(crate) fn merge(&mut self, moment: Moment, incarnation: u64, state: AddressState) -> bool {
        let known = self.records.get(&incarnation);
        let replaces = known.is_none_or(|r| state.supersedes(&r.state));
        if replaces {
            self.insert(moment, incarnation, state);
        }
        replaces
    }

    fn insert(&mut self, moment: Moment, incarnation: u64, state: AddressState) {
        if self.records.len() >= MAX_INCARNATIONS && !self.records.contains_key(&incarnation) {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.changed_at);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.records.remove(&oldest);
            }
        }
        let check_interval_ms = FIRST_CHECK_MS << moment.rank.min(MAX_CHECKERS);
        let record = Record {
            state,
            changed_at: moment.now,
            last_attempt: moment.last_attempt,
            check_at: moment.now + check_interval_ms,
            check_interval_ms,
            rank: moment.rank,
        };
        self.records.insert(incarnation, record);
    }

    /// Records that an incarnation's list entry was removed: if it comes back, its upstream has written it
    /// again. Returns the new state if that changes it.
    pub(crate) fn end(&mut self, moment: Moment, incarnation: u64) -> Option<AddressState> {
        let record = self.records.get(&incarnation)?;
        let state = AddressState {
            changes: record.state.changes.saturating_add(1),
            reused: false,
            ..record.state
        };
        if !record.state.reused {
            return None;
        }
        self.insert(moment, incarnation, state);
        Some(state)
    }

    /// Updates the number of instances that rank before this one for each incarnation.
    pub(crate) fn update_ranks(&mut self, rank: impl Fn(u64) -> usize) {
        for (incarnation, record) in &mut self.records {
            record.rank = rank(*incarnation);
        }
    }

    fn get(&self, up: &Upstream) -> Option<&Record> {
        let record = self.records.get(&up.incarnation_hash())?;
        (record.state.reused && record.state.addr == up.spec.addr).then_some(record)
    }

    /// Returns whether another upstream uses an upstream's address.
    pub(crate) fn is_reused(&self, up: &Upstream) -> bool {
        self.get(up).is_some()
    }

    /// Returns whether that became known after an attempt was begun.
    pub(crate) fn is_reused_since(&self, up: &Upstream, attempt: AttemptId) -> bool {
        self.get(up).is_some_and(|r| attempt <= r.last_attempt)
    }

    /// Returns whether a request may check if an upstream uses its address after all; `is_last` tells whether
    /// it has no other attempt.
    pub(crate) fn is_check_due(&self, now: u64, up: &Upstream, is_last: bool) -> bool {
        let delay_ms = if is_last { LAST_ATTEMPT_DELAY_MS } else { 0 };
        let due = |r: &Record| r.rank < MAX_CHECKERS && r.check_at + delay_ms <= now;
        self.get(up).is_some_and(due)
    }

    /// Records that a request is sent to an upstream whose address may be used by another one: this
    /// instance's next check is due later.
    pub(crate) fn begin_check(&mut self, now: u64, incarnation: u64) {
        if let Some(record) = self.records.get_mut(&incarnation) {
            let interval_ms = (record.check_interval_ms * 2).min(MAX_CHECK_INTERVAL_MS);
            record.check_interval_ms = interval_ms;
            record.check_at = now + interval_ms;
        }
    }
}
