//! Which instances of a zone read the store, and from whom the others fetch.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Instances of a zone that read for all: one may crash, freeze or be cut off, and nobody is late.
const READERS: usize = 2;
/// Zones of up to so many instances have no readers: each reads by itself. Two of six reading for the others would
/// save little, and a small fleet pays little for its calls.
const SMALL_ZONE: usize = 6;
/// How often a reader says how far it has read, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// An instance that heard of no reader in reach of the store for so long, in milliseconds, reads by itself: three
/// words were lost. With what it takes to read then it is half of the shortest time in which a change is to
/// be in force everywhere.
const FED_MS: u64 = 900;
/// Those that miss their readers at the same time begin one after the other, so many milliseconds apart by rank: the
/// first ones are heard by the others.
const STAGGER_MS: u64 = 25;
/// The last one begins so much later, in milliseconds.
const STAGGER_MOST_MS: u64 = 400;
/// One in so many instances that lack everything asks a reader first, the others any instance of the zone.
const READER_PART: u64 = 4;
/// Instances that start together know of each other after so long, in milliseconds: before, each may take itself for the only one.
const SETTLED_MS: u64 = 1_500;

/// What a reader says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How many instances of its zone come before it.
    #[serde(rename = "n")]
    pub rank: usize,
    /// The revision up to which it knows each board.
    #[serde(rename = "r")]
    pub revisions: Vec<i64>,
    /// Whether the store is out of its reach.
    #[serde(rename = "o")]
    pub store_unreachable: bool,
    /// Whether its last call of the store had no answer: what it says may be old.
    #[serde(rename = "f")]
    pub last_call_failed: bool,
    /// How long ago the store came back into its reach, in milliseconds; none where it never left.
    #[serde(rename = "b")]
    pub ms_since_recovery: Option<u64>,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads the store.
    Reader,
    /// It fetches from those that do.
    Follower,
}

/// Where something is read of which nothing is known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialSource {
    /// The store.
    Store,
    /// Another instance, which may have it.
    Peer(SocketAddr),
    /// Nowhere, as no other instance is known.
    Unavailable,
}

/// A reader that was heard.
#[derive(Clone, Debug)]
struct Heard {
    head: Heartbeat,
    at: u64,
}

/// Readers as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    /// Instances of the own zone, this one among them; 0 while they are not known.
    zone: usize,
    /// How many of them come before this one.
    rank: usize,
    heard: BTreeMap<SocketAddr, Heard>,
    /// When this instance started.
    opened_at: u64,
    /// When an earlier reader in reach of the store was heard last.
    fed_at: u64,
}

impl Readers {
    /// Returns an instance that was started at a time, and knows of no other one.
    pub fn new(now: u64) -> Readers {
        Readers {
            opened_at: now,
            fed_at: now,
            ..Readers::default()
        }
    }

    /// Takes the instances of the own zone, this one among them or not.
    pub fn set_zone(&mut self, me: &Candidate<'_>, zone: &[Candidate<'_>]) {
        let own = me.order();
        let others = zone.iter().filter(|c| c.name != me.name);
        self.zone = 1 + others.clone().count();
        self.rank = others.filter(|c| c.order() < own).count();
    }

    /// Takes a reader's word.
    pub fn record_heartbeat(&mut self, now: u64, from: SocketAddr, head: Heartbeat) {
        // One that reads in the place of others goes on until an earlier one does: were it to yield to a later one,
        // both would yield to each other, and nobody would read for a while.
        if !head.store_unreachable && !head.last_call_failed && head.rank < self.rank {
            self.fed_at = now;
        }
        self.heard.retain(|_, h| now < h.at + FED_MS);
        self.heard.insert(from, Heard { head, at: now });
    }

    /// Returns whether an earlier reader in reach of the store was heard lately.
    pub fn has_live_reader(&self, now: u64) -> bool {
        now < self.fed_at + FED_MS
    }

    /// Returns whether this instance is to read for its zone, as long as it lives.
    fn is_named(&self) -> bool {
        self.rank < READERS
    }

    /// Returns how many instances of the zone come before this one.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns how many instances the zone has, as far as known.
    pub fn zone_size(&self) -> usize {
        self.zone
    }

    /// Returns whether readers were heard lately, and the store is out of reach for all of them.
    pub fn all_report_store_unreachable(&self, now: u64) -> bool {
        let mut fresh = self.fresh(now).peekable();
        fresh.peek().is_some() && fresh.all(|(_, h)| h.head.store_unreachable)
    }

    /// Returns what this instance does.
    pub fn role(&self, now: u64) -> Role {
        // Instances that start together would all read everything before they know of each other.
        let placed = self.zone > 0;
        let named = placed && (!self.has_followers() || self.is_named());
        let patience = FED_MS + (self.rank as u64 * STAGGER_MS).min(STAGGER_MOST_MS);
        if named || now >= self.fed_at + patience {
            Role::Reader
        } else {
            Role::Follower
        }
    }

    /// Returns whether this instance says how far it has read; `out` is whether the store is out of its reach.
    pub fn sends_heartbeats(&self, now: u64, out: bool) -> bool {
        let reads = self.role(now) == Role::Reader;
        // Were all to say in an outage that they can't read, a zone would be full of it.
        reads && self.has_followers() && (self.is_named() || !out)
    }

    /// Returns whether others ask if the store is back, and say so when it is.
    pub fn others_probe_store(&self, now: u64) -> bool {
        !self.is_named() && self.all_report_store_unreachable(now)
    }

    /// Returns whether some instances of the zone follow others.
    fn has_followers(&self) -> bool {
        self.zone > SMALL_ZONE
    }

    /// Returns a reader that knows more of a board than up to a revision; the readers share those that ask.
    pub fn reader_ahead(&self, now: u64, board: usize, revision: i64) -> Option<SocketAddr> {
        let knows = |h: &Heard| h.head.revisions.get(board).is_some_and(|r| *r > revision);
        let ahead = self.fresh(now).filter(|(_, h)| knows(h));
        let ahead: Vec<SocketAddr> = ahead.map(|(addr, _)| *addr).collect();
        let turn = self.rank % ahead.len().max(1);
        ahead.get(turn).copied()
    }

    /// Returns where a board is read that is not known yet, and that takes many calls of the store or not: from a reader, or any
    /// other instance of the zone, as a random number says. Were all to read the store, or to ask the readers, a fleet that starts
    /// together would take half a minute.
    pub fn initial_source(
        &self,
        now: u64,
        board: usize,
        many_calls: bool,
        neighbour: Option<SocketAddr>,
        random: u64,
    ) -> InitialSource {
        let settled = now >= self.opened_at + SETTLED_MS;
        if self.role(now) == Role::Reader && (settled || !many_calls) {
            return InitialSource::Store;
        }
        let peer = self.pick_peer(now, board, 0, neighbour, random);
        peer.map_or(InitialSource::Unavailable, InitialSource::Peer)
    }

    /// Returns an instance that may know more of a board than up to a revision: a reader, or any other one of the zone, as a random
    /// number says.
    pub fn pick_peer(
        &self,
        now: u64,
        board: usize,
        revision: i64,
        neighbour: Option<SocketAddr>,
        random: u64,
    ) -> Option<SocketAddr> {
        let reader = self.reader_ahead(now, board, revision);
        let first = reader.filter(|_| random % READER_PART == 0);
        first.or(neighbour).or(reader)
    }

    /// Forgets a reader that did not answer, until it is heard again.
    pub fn remove_reader(&mut self, reader: SocketAddr) {
        self.heard.remove(&reader);
    }

    fn fresh(&self, now: u64) -> impl Iterator<Item = (&SocketAddr, &Heard)> {
        self.heard.iter().filter(move |(_, h)| now < h.at + FED_MS)
    }
}

/// An instance of a zone that may read for the others.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Bandwidth of its link, in megabits a second; none where it is not bounded.
    pub link_mbps: Option<u32>,
}

impl<'a> Candidate<'a> {
    /// Returns what the instances of a zone are ranked by: the widest links first, since a whole configuration goes to each
    /// of the others.
    fn order(&self) -> (Reverse<u32>, u64, &'a str) {
        let width = self.link_mbps.unwrap_or(u32::MAX);
        (Reverse(width), xxh3_64(self.name.as_bytes()), self.name)
    }
}
