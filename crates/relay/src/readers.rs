//! Selects the instances of a zone that read the store, and those that the others fetch from.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of instances of a zone that read for all: one may crash, freeze or be partitioned without delaying the others.
const READERS_PER_ZONE: usize = 2;
/// In zones of up to this many instances each instance reads the store by itself. Two of six that read for the others would save
/// little, and a small fleet pays little for its calls.
const SMALL_ZONE: usize = 6;
/// Interval at which a reader broadcasts how far it has read, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// Timeout of heartbeats, in milliseconds: the time of three. A follower that receives none within it from a reader that
/// reaches the store reads the store itself. Together with the time to read it, this is half of the shortest time within which
/// a change must be in force everywhere.
const READER_TIMEOUT_MS: u64 = 900;
/// Instances that lose their readers at the same time take over one after another, by rank, this many milliseconds apart, so that
/// the others receive heartbeats of the first ones.
const STAGGER_MS: u64 = 25;
/// Maximum delay by that stagger, in milliseconds.
const MAX_STAGGER_MS: u64 = 400;
/// One in this many fetches goes to a reader first, the others to any instance of the zone.
const READER_FIRST_ONE_IN: u64 = 4;
/// Instances that start together have discovered each other after this time, in milliseconds. Before, each may take itself for
/// the only one.
const DISCOVERY_MS: u64 = 1_500;

/// What a reader broadcasts to its zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How many instances of the zone rank before the reader.
    #[serde(rename = "n")]
    pub rank: usize,
    /// The revision up to which each replica of the reader is known.
    #[serde(rename = "r")]
    pub revisions: Vec<i64>,
    /// Whether the reader considers the store unreachable.
    #[serde(rename = "o")]
    pub store_unreachable: bool,
    /// Whether the reader's last call of the store got no answer, so that its revisions may be outdated.
    #[serde(rename = "f")]
    pub last_call_failed: bool,
    /// How long ago the store became reachable again, in milliseconds; none if it was never unreachable.
    #[serde(rename = "b")]
    pub ms_since_recovery: Option<u64>,
}

/// The role of an instance in its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reads the store.
    Reader,
    /// It fetches from the readers.
    Follower,
}

/// Where an instance reads a replica for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialSource {
    /// The store.
    Store,
    /// Another instance, which may have the replica.
    Peer(SocketAddr),
    /// No source yet, as no other instance is known.
    Unavailable,
}

/// The latest heartbeat of a reader.
#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: Heartbeat,
    at: u64,
}

/// The readers of a zone, as one of its instances knows them.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    /// Number of instances in the own zone, including this one; 0 while they are not known.
    zone_size: usize,
    /// How many of them rank before this one.
    rank: usize,
    heartbeats: BTreeMap<SocketAddr, ReceivedHeartbeat>,
    /// When this instance started.
    started_at: u64,
    /// When the last heartbeat arrived of a reader that ranks before this instance and reaches the store.
    reader_seen_at: u64,
}

impl Readers {
    /// Returns the state of an instance that starts now and knows no other one.
    pub fn new(now: u64) -> Readers {
        Readers {
            started_at: now,
            reader_seen_at: now,
            ..Readers::default()
        }
    }

    /// Sets the instances of the own zone, which may include this one.
    pub fn set_zone(&mut self, me: &Candidate<'_>, zone: &[Candidate<'_>]) {
        let own = me.rank_key();
        let others = zone.iter().filter(|c| c.name != me.name);
        self.zone_size = 1 + others.clone().count();
        self.rank = others.filter(|c| c.rank_key() < own).count();
    }

    /// Records a heartbeat of a reader.
    pub fn record_heartbeat(&mut self, now: u64, from: SocketAddr, heartbeat: Heartbeat) {
        // Only a reader that ranks before this instance makes it stop reading. If it also yielded to later ones, two that took
        // over would yield to each other, and nobody would read for a while.
        if !heartbeat.store_unreachable && !heartbeat.last_call_failed && heartbeat.rank < self.rank
        {
            self.reader_seen_at = now;
        }
        self.heartbeats
            .retain(|_, r| now < r.at + READER_TIMEOUT_MS);
        self.heartbeats
            .insert(from, ReceivedHeartbeat { heartbeat, at: now });
    }

    /// Returns whether a reader that ranks before this instance and reaches the store has sent a heartbeat within the timeout.
    pub fn has_live_reader(&self, now: u64) -> bool {
        now < self.reader_seen_at + READER_TIMEOUT_MS
    }

    /// Returns whether this instance is one of the designated readers of its zone, by its rank.
    fn is_designated(&self) -> bool {
        self.rank < READERS_PER_ZONE
    }

    /// Returns how many instances of the zone rank before this one.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns how many instances of the zone are known.
    pub fn zone_size(&self) -> usize {
        self.zone_size
    }

    /// Returns whether there are recent heartbeats, and all of them say that the store is unreachable.
    pub fn all_report_store_unreachable(&self, now: u64) -> bool {
        let mut recent = self.recent(now).peekable();
        recent.peek().is_some() && recent.all(|(_, r)| r.heartbeat.store_unreachable)
    }

    /// Returns the role of this instance.
    pub fn role(&self, now: u64) -> Role {
        // Without this condition instances that start together would all read everything before they know of each other.
        let zone_known = self.zone_size > 0;
        let reads_always = zone_known && (!self.has_followers() || self.is_designated());
        let takeover_ms = READER_TIMEOUT_MS + (self.rank as u64 * STAGGER_MS).min(MAX_STAGGER_MS);
        if reads_always || now >= self.reader_seen_at + takeover_ms {
            Role::Reader
        } else {
            Role::Follower
        }
    }

    /// Returns whether this instance broadcasts heartbeats; `store_unreachable` is whether it considers the store unreachable.
    pub fn sends_heartbeats(&self, now: u64, store_unreachable: bool) -> bool {
        let reads = self.role(now) == Role::Reader;
        // In an outage of the store all instances take over. If all of them broadcast that they can't read, heartbeats would
        // flood the zone.
        reads && self.has_followers() && (self.is_designated() || !store_unreachable)
    }

    /// Returns whether other instances probe an unreachable store and broadcast when it answers again.
    pub fn others_probe_store(&self, now: u64) -> bool {
        !self.is_designated() && self.all_report_store_unreachable(now)
    }

    /// Returns whether the zone is large enough to have followers.
    fn has_followers(&self) -> bool {
        self.zone_size > SMALL_ZONE
    }

    /// Returns a reader whose replica, by its index in [`Heartbeat::revisions`], is known up to a later revision. The followers
    /// are distributed over such readers by rank.
    pub fn reader_ahead(&self, now: u64, replica: usize, revision: i64) -> Option<SocketAddr> {
        let is_ahead = |h: &Heartbeat| h.revisions.get(replica).is_some_and(|r| *r > revision);
        let ahead = self.recent(now).filter(|(_, r)| is_ahead(&r.heartbeat));
        let ahead: Vec<SocketAddr> = ahead.map(|(addr, _)| *addr).collect();
        let index = self.rank % ahead.len().max(1);
        ahead.get(index).copied()
    }

    /// Returns where to read a replica for the first time; `many_calls` is whether that takes many calls of the store.
    /// Followers fetch from a reader or from `zone_peer`, any other instance of the zone, depending on a random number: if all
    /// read the store, or asked the readers, a fleet that starts together would take half a minute.
    pub fn initial_source(
        &self,
        now: u64,
        replica: usize,
        many_calls: bool,
        zone_peer: Option<SocketAddr>,
        random: u64,
    ) -> InitialSource {
        let discovered = now >= self.started_at + DISCOVERY_MS;
        if self.role(now) == Role::Reader && (discovered || !many_calls) {
            return InitialSource::Store;
        }
        let peer = self.pick_peer(now, replica, 0, zone_peer, random);
        peer.map_or(InitialSource::Unavailable, InitialSource::Peer)
    }

    /// Returns an instance whose replica may be known up to a later revision: a reader or `zone_peer`, any other instance of the
    /// zone, depending on a random number.
    pub fn pick_peer(
        &self,
        now: u64,
        replica: usize,
        revision: i64,
        zone_peer: Option<SocketAddr>,
        random: u64,
    ) -> Option<SocketAddr> {
        let reader = self.reader_ahead(now, replica, revision);
        let first = reader.filter(|_| random % READER_FIRST_ONE_IN == 0);
        first.or(zone_peer).or(reader)
    }

    /// Removes a reader that did not answer, until its next heartbeat.
    pub fn remove_reader(&mut self, reader: SocketAddr) {
        self.heartbeats.remove(&reader);
    }

    /// Returns the heartbeats that were received within the timeout, with their senders.
    fn recent(&self, now: u64) -> impl Iterator<Item = (&SocketAddr, &ReceivedHeartbeat)> {
        self.heartbeats
            .iter()
            .filter(move |(_, r)| now < r.at + READER_TIMEOUT_MS)
    }
}

/// An instance of a zone, which may become a reader.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The name, unique in the zone.
    pub name: &'a str,
    /// The bandwidth of its link, in megabits per second; none if it is unlimited.
    pub link_mbps: Option<u32>,
}

impl<'a> Candidate<'a> {
    /// Returns the key by which the instances of a zone are ranked: those with the highest bandwidth come first, since a reader
    /// sends whole configurations to the others.
    fn rank_key(&self) -> (Reverse<u32>, u64, &'a str) {
        let bandwidth = self.link_mbps.unwrap_or(u32::MAX);
        (Reverse(bandwidth), xxh3_64(self.name.as_bytes()), self.name)
    }
}
