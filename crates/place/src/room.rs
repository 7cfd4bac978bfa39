//! Room at brittle upstreams, which crash if they have to reject many requests for want of room.
//!
//! All instances together must hardly ever send more than such an upstream has room for, but each knows
//! the others' requests late. So only a few instances send to it, the highest-ranked ones for that
//! upstream: each of them owns an equal part of its slots and knows exactly how many are in use. The
//! others send through these. An upstream that rejects a request all the same gets nothing for a
//! while.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::upstream::AttemptId;

/// Minimum number of owners: one of them may be lost.
const MIN_OWNERS: usize = 2;
/// Number of slots for each further owner: with fewer, some owners reject requests while others have
/// slots left.
const SLOTS_PER_OWNER: usize = 8;
/// Time for which an upstream that has rejected a request gets no more, in milliseconds: the span in
/// which it counts its rejections.
const REJECTION_PAUSE_MS: u64 = 1_000;

/// Whether a request of another instance may be sent to an upstream from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may; the upstream is not brittle.
    Unlimited,
    /// It may, and holds a slot of this instance until it ends.
    Slot,
    /// It must not: this instance has no slot left.
    Denied,
}

/// Returns how many of the given number of instances own slots of an upstream.
pub(crate) fn slot_owners(slots: u32, instances: usize) -> usize {
    let slots = slots as usize;
    let owners = (slots / SLOTS_PER_OWNER).max(MIN_OWNERS);
    owners.min(slots).min(instances).max(1)
}

/// Returns the rank of an instance, by the hash of its name, for an upstream; the highest ones own its
/// slots.
pub(crate) fn instance_rank(name_hash: u64, upstream: u64) -> (u64, u64) {
    let hash = xxh3_64_with_seed(&name_hash.to_le_bytes(), upstream);
    (hash, name_hash)
}

/// This instance's part of the slots of a brittle upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Room {
    /// Number of slots; 0 if other instances own them.
    slots: u32,
    /// When the part becomes valid, in milliseconds: an earlier owner may still use it.
    starts_at: u64,
    /// This instance's requests in those slots.
    own: SmallVec<[AttemptId; 4]>,
    /// Number of other instances' requests in those slots.
    forwarded: u32,
    /// Until when the upstream gets nothing, in milliseconds.
    closed_until: u64,
}

impl Room {
    /// Sets this instance's part: the time from which on it is valid, and the number of owners; none if
    /// other instances own the slots.
    pub(crate) fn set_part(&mut self, part: Option<(u64, usize)>, slots: u32) {
        (self.starts_at, self.slots) = match part {
            Some((starts_at, owners)) => (starts_at, (slots / owners as u32).max(1)),
            None => (0, 0),
        };
    }

    /// Records that the upstream has rejected a request for want of room.
    pub(crate) fn record_rejection(&mut self, now: u64) {
        self.closed_until = now + REJECTION_PAUSE_MS;
    }

    /// Returns whether the upstream has rejected a request recently.
    pub(crate) fn is_closed(&self, now: u64) -> bool {
        now < self.closed_until
    }

    fn has_slot(&self, now: u64) -> bool {
        let used = self.own.len() as u32 + self.forwarded;
        now >= self.starts_at && !self.is_closed(now) && used < self.slots
    }

    /// Takes a slot for a request of this instance, if it has one left; returns whether it had.
    pub(crate) fn try_enter(&mut self, now: u64, attempt: AttemptId) -> bool {
        let entered = self.has_slot(now);
        if entered {
            self.own.push(attempt);
        }
        entered
    }

    /// Returns the slot of a request of this instance, if it has one.
    pub(crate) fn leave(&mut self, attempt: AttemptId) {
        self.own.retain(|a| *a != attempt);
    }

    /// Takes a slot for a request of another instance, if there is one left; returns whether there
    /// was.
    pub(crate) fn try_enter_forwarded(&mut self, now: u64) -> bool {
        let entered = self.has_slot(now);
        self.forwarded += u32::from(entered);
        entered
    }

    /// Returns the slot of a request of another instance.
    pub(crate) fn leave_forwarded(&mut self) {
        self.forwarded = self.forwarded.saturating_sub(1);
    }
}
