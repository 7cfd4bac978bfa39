//! What an instance has heard of and does not have yet, and who has it.

use std::net::SocketAddr;

use smallvec::SmallVec;

/// What the readers of the own zone pass on takes so long, in milliseconds, while nothing is wrong.
const READERS_MS: u64 = 300;
/// After that time, in milliseconds, the store is read, by one instance after the other: others may have it by then.
const PEERS_MS: u64 = 300;
/// Instances of a zone that turn to the store do so one after the other, so many milliseconds apart, so that the later ones may
/// have it from the first; the last one begins after `STAGGER_MOST_MS`.
const STAGGER_MS: u64 = 15;
const STAGGER_MOST_MS: u64 = 300;
/// Of a zone, so many times as many have it after each stretch of that time.
const PASSED_ON: usize = 4;
/// Instances that are known to have it.
const HOLDERS_MOST: usize = 4;
/// Versions that are lacking, of which the time is kept.
const HEARD_MOST: usize = 8;

/// Where an instance turns that lacks something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpSource {
    /// The readers of its zone, as always.
    Readers,
    /// An instance that has it.
    Peer(SocketAddr),
    /// The store.
    Store,
}

/// What an instance has heard of and does not have yet, by versions.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// The version that is in force here.
    known: u64,
    /// Newer versions with the times at which they were heard of first, oldest first.
    heard: SmallVec<[(u64, u64); HEARD_MOST]>,
    /// Instances that have a newer version.
    holders: SmallVec<[(SocketAddr, u64); HOLDERS_MOST]>,
}

impl CatchUp {
    /// Takes that a version is in force here.
    pub fn set_current(&mut self, version: u64) {
        self.known = self.known.max(version);
        let known = self.known;
        self.heard.retain(|(v, _)| *v > known);
        self.holders.retain(|(_, v)| *v > known);
    }

    /// Takes a report that a version exists.
    pub fn record_version(&mut self, now: u64, version: u64) {
        let newest = self.heard.last().map_or(self.known, |(v, _)| *v);
        if version <= newest {
            return;
        }
        // The oldest one decides how long this instance is behind.
        if self.heard.len() == HEARD_MOST {
            self.heard.pop();
        }
        self.heard.push((version, now));
    }

    /// Takes a report that an instance has a version; one that is near is asked first.
    pub fn add_holder(&mut self, holder: SocketAddr, version: u64, near: bool) {
        if version <= self.known {
            return;
        }
        self.remove_holder(holder);
        let at = if near { 0 } else { self.holders.len() };
        self.holders.insert(at, (holder, version));
        self.holders.truncate(HOLDERS_MOST);
    }

    /// Forgets that an instance has it: it did not answer.
    pub fn remove_holder(&mut self, holder: SocketAddr) {
        self.holders.retain(|(h, _)| *h != holder);
    }

    /// Returns an instance that has a newer version.
    pub fn holder(&self) -> Option<SocketAddr> {
        self.holders.first().map(|(h, _)| *h)
    }

    /// Returns how much later than the first one of a small zone an instance turns to the store, in milliseconds: by its rank, and by
    /// how often what the readers have is passed on until all of its zone have it.
    pub fn store_delay_ms(rank: usize, zone: usize) -> u64 {
        let passes = zone.max(1).ilog(PASSED_ON).saturating_sub(1);
        let stagger = (rank as u64 * STAGGER_MS).min(STAGGER_MOST_MS);
        stagger + PEERS_MS * u64::from(passes.saturating_sub(1))
    }

    /// Returns whether something newer exists than what is known here.
    pub fn is_behind(&self) -> bool {
        !self.heard.is_empty()
    }

    /// Returns where to turn now. An instance that has it is asked once, until it reports it again: it may have it from a source
    /// from which it can't pass it on.
    pub fn next_source(&mut self, now: u64, wait_ms: u64) -> CatchUpSource {
        let next = self.peek_source(now, wait_ms);
        if let CatchUpSource::Peer(holder) = next {
            self.remove_holder(holder);
        }
        next
    }

    /// Returns where to turn after an instance had nothing newer, or turned this one away: to one that is known to have it, which may be
    /// in another availability zone, else to any `peer` of the own one.
    pub fn alternative_source(
        &mut self,
        now: u64,
        wait_ms: u64,
        peer: Option<SocketAddr>,
    ) -> CatchUpSource {
        match self.next_source(now, wait_ms) {
            CatchUpSource::Readers => peer.map_or(CatchUpSource::Readers, CatchUpSource::Peer),
            next => next,
        }
    }

    /// Returns where to turn; `wait_ms` parts those that turn to the store.
    pub fn peek_source(&self, now: u64, wait_ms: u64) -> CatchUpSource {
        let Some((_, since)) = self.heard.first() else {
            return CatchUpSource::Readers;
        };
        let late = now.saturating_sub(*since);
        if late < READERS_MS {
            return CatchUpSource::Readers;
        }
        if late >= READERS_MS + PEERS_MS + wait_ms {
            return CatchUpSource::Store;
        }
        self.holder()
            .map_or(CatchUpSource::Readers, CatchUpSource::Peer)
    }
}
