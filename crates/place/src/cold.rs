//! How many requests reach an upstream that is cold: just started, or back in service.
//!
//! The load that this answers: a zone's upstreams come back together, empty, so that every instance would choose them at
//! once. A cold upstream bears a few requests a second from the whole fleet and crashes above that. A part of so few for each
//! of hundreds of instances is less than one, so one instance has them all: the first in rank for that incarnation. Views
//! of the fleet differ for a while, and then two instances or three take themselves for the first one; each keeps to a
//! third of the bound. The others send nothing, which costs little, for an upstream is cold for some seconds.

use std::collections::BTreeSet;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::upstream::Ticket;

/// Views of the fleet that may differ at the same time without passing the bound: before and after a join, and one that
/// was cut off earlier.
const VIEWS: f64 = 3.0;
/// The second in which requests are counted, in milliseconds.
const SECOND_MS: u64 = 1_000;
/// A request that was given up without an answer may still be on its way for so long, in milliseconds.
const UNDER_WAY_MS: u64 = 5_000;
/// An instance sends to cold upstreams only once it has been first in rank for so long, in milliseconds: until then
/// another one may not have heard of it.
const SETTLED_MS: u64 = 3_000;

/// How a service's upstreams behave while they are cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cold {
    /// How long one is cold that says nothing of it, in milliseconds.
    pub lasts_ms: u64,
    /// Requests that one bears in a second from all instances together; none where there is no such bound.
    pub most: Option<f64>,
}

impl Cold {
    /// Returns the requests that one instance may have at a cold upstream within a second.
    fn own_part(&self) -> Option<usize> {
        self.most.map(|most| (most / VIEWS) as usize)
    }
}

/// The instances that may send to cold upstreams, as one of them sees them.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    me: u64,
    listed: Vec<Listed>,
}

#[derive(Clone, Copy, Debug)]
struct Listed {
    name: u64,
    since: u64,
    /// When it was no longer listed.
    until: Option<u64>,
}

impl Senders {
    /// Takes the hashed names of the listed instances.
    pub fn list(&mut self, now: u64, me: u64, names: &[u64]) {
        self.me = me;
        let names: BTreeSet<u64> = names.iter().copied().collect();
        self.listed
            .retain(|l| l.until.is_none_or(|until| now < until + SETTLED_MS));
        for listed in &mut self.listed {
            if !names.contains(&listed.name) {
                listed.until.get_or_insert(now);
            }
        }
        let present = self.listed.iter().filter(|l| l.until.is_none());
        let present: BTreeSet<u64> = present.map(|l| l.name).collect();
        self.listed
            .extend(names.difference(&present).map(|name| Listed {
                name: *name,
                since: now,
                until: None,
            }));
    }

    /// Returns from when on this instance sends to an upstream while it is cold, in milliseconds: once it has been the
    /// first in rank for long enough; none while another one is.
    pub(crate) fn first_from(&self, upstream: u64) -> Option<u64> {
        let rank = |l: &Listed| (xxh3_64_with_seed(&l.name.to_le_bytes(), upstream), l.name);
        let own = self.listed.iter();
        let own = own
            .clone()
            .find(|l| l.name == self.me && l.until.is_none())?;
        let ahead = self.listed.iter().filter(|l| rank(l) > rank(own));
        let mut from = own.since + SETTLED_MS;
        for listed in ahead {
            from = from.max(listed.until? + SETTLED_MS);
        }
        Some(from)
    }
}

/// Requests that may reach a cold upstream within the present second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sent {
    under_way: SmallVec<[Ticket; 8]>,
    /// When each of those that have ended no longer counts.
    until: SmallVec<[u64; 8]>,
}

impl Sent {
    /// Returns whether one more keeps to the bound: a request may have arrived at any time from its sending to its answer, so
    /// it counts for a second from its answer on.
    pub(crate) fn has_room(&self, now: u64, cold: Cold) -> bool {
        let Some(most) = cold.own_part() else {
            return true;
        };
        let ended = self.until.iter().filter(|until| **until > now).count();
        self.under_way.len() + ended < most
    }

    /// Returns whether a request counts, and has no answer yet.
    pub(crate) fn holds(&self, ticket: Ticket) -> bool {
        self.under_way.contains(&ticket)
    }

    pub(crate) fn begin(&mut self, now: u64, ticket: Ticket) {
        self.until.retain(|until| *until > now);
        self.under_way.push(ticket);
    }

    /// Takes the head of an answer, or its end; `answered` is whether there was one.
    pub(crate) fn end(&mut self, now: u64, ticket: Ticket, answered: bool) {
        let Some(i) = self.under_way.iter().position(|t| *t == ticket) else {
            return;
        };
        self.under_way.swap_remove(i);
        let wait = if answered { SECOND_MS } else { UNDER_WAY_MS };
        self.until.push(now + wait);
    }
}
