//! Configuration versions that an instance knows to exist but does not have yet, and where to get them.

use std::net::SocketAddr;

use smallvec::SmallVec;

/// Time within which the readers of the own zone pass a version on while nothing is wrong, in milliseconds.
const READER_PHASE_MS: u64 = 300;
/// Length of the next phase, in which a known holder of the version is asked, in milliseconds. Afterwards the store is read.
const PEER_PHASE_MS: u64 = 300;
/// The instances of a zone begin to read the store one after another, by rank, this many milliseconds apart: later ones may get
/// the version from the first ones. The last one begins `MAX_STAGGER_MS` after the first.
const STAGGER_MS: u64 = 15;
const MAX_STAGGER_MS: u64 = 300;
/// Factor by which the number of instances of a zone that have a version grows in each `PEER_PHASE_MS`.
const SPREAD_FACTOR: usize = 4;
/// Maximum number of holders that are remembered.
const MAX_HOLDERS: usize = 4;
/// Maximum number of missing versions that are remembered.
const MAX_MISSING: usize = 8;

/// Source from which an instance fetches a missing version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpSource {
    /// The readers of its zone, as usual.
    Readers,
    /// Another instance, which has or may have a newer version.
    Peer(SocketAddr),
    /// The store.
    Store,
}

/// The versions missing at an instance, and the instances that have them.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// The version in force at this instance.
    current: u64,
    /// Newer versions with the times at which this instance learned of them, oldest first.
    missing: SmallVec<[(u64, u64); MAX_MISSING]>,
    /// Instances that have a newer version, with that version; the one to ask first comes first.
    holders: SmallVec<[(SocketAddr, u64); MAX_HOLDERS]>,
}

impl CatchUp {
    /// Records that a version is in force at this instance.
    pub fn set_current(&mut self, version: u64) {
        self.current = self.current.max(version);
        let current = self.current;
        self.missing.retain(|(v, _)| *v > current);
        self.holders.retain(|(_, v)| *v > current);
    }

    /// Records that a version exists.
    pub fn record_version(&mut self, now: u64, version: u64) {
        let newest = self.missing.last().map_or(self.current, |(v, _)| *v);
        if version <= newest {
            return;
        }
        // A full list loses its newest entry: the oldest one determines how long this instance has been behind.
        if self.missing.len() == MAX_MISSING {
            self.missing.pop();
        }
        self.missing.push((version, now));
    }

    /// Records that an instance has a version. Holders in the own zone are asked first.
    pub fn add_holder(&mut self, holder: SocketAddr, version: u64, same_zone: bool) {
        if version <= self.current {
            return;
        }
        self.remove_holder(holder);
        let at = if same_zone { 0 } else { self.holders.len() };
        self.holders.insert(at, (holder, version));
        self.holders.truncate(MAX_HOLDERS);
    }

    /// Removes a holder, for example one that did not respond.
    pub fn remove_holder(&mut self, holder: SocketAddr) {
        self.holders.retain(|(h, _)| *h != holder);
    }

    /// Returns an instance that has a newer version, if one is known.
    pub fn holder(&self) -> Option<SocketAddr> {
        self.holders.first().map(|(h, _)| *h)
    }

    /// Returns how much later than the first instance of a small zone an instance reads the store, in milliseconds. This depends
    /// on its rank, and on how often a version is passed on until all instances of the zone have it.
    pub fn store_delay_ms(rank: usize, zone_size: usize) -> u64 {
        let hops = zone_size.max(1).ilog(SPREAD_FACTOR).saturating_sub(1);
        let stagger = (rank as u64 * STAGGER_MS).min(MAX_STAGGER_MS);
        stagger + PEER_PHASE_MS * u64::from(hops.saturating_sub(1))
    }

    /// Returns whether a newer version exists than the one in force at this instance.
    pub fn is_behind(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns the source to fetch from now. A holder is returned once for each report that it has a newer version: it may have
    /// obtained the version in a way that does not let it serve it to others.
    pub fn next_source(&mut self, now: u64, store_delay_ms: u64) -> CatchUpSource {
        let source = self.peek_source(now, store_delay_ms);
        if let CatchUpSource::Peer(holder) = source {
            self.remove_holder(holder);
        }
        source
    }

    /// Returns the source to fetch from after an instance had nothing newer or rejected the fetch: a known holder, which may be in
    /// another availability zone, else `peer`, any instance of the own zone.
    pub fn alternative_source(
        &mut self,
        now: u64,
        store_delay_ms: u64,
        peer: Option<SocketAddr>,
    ) -> CatchUpSource {
        match self.next_source(now, store_delay_ms) {
            CatchUpSource::Readers => peer.map_or(CatchUpSource::Readers, CatchUpSource::Peer),
            source => source,
        }
    }

    /// Returns the source to fetch from now, without removing a holder. `store_delay_ms` is the result of
    /// [`CatchUp::store_delay_ms`] for this instance.
    pub fn peek_source(&self, now: u64, store_delay_ms: u64) -> CatchUpSource {
        let Some((_, since)) = self.missing.first() else {
            return CatchUpSource::Readers;
        };
        let behind_ms = now.saturating_sub(*since);
        if behind_ms < READER_PHASE_MS {
            return CatchUpSource::Readers;
        }
        if behind_ms >= READER_PHASE_MS + PEER_PHASE_MS + store_delay_ms {
            return CatchUpSource::Store;
        }
        self.holder()
            .map_or(CatchUpSource::Readers, CatchUpSource::Peer)
    }
}
