//! How a version of the configuration reaches the instances of a zone: which of them turn to the store, and when all have it.

mod common;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use relay::{Candidate, CatchUp, CatchUpSource, FetchLimiter, Readers, HEARTBEAT_INTERVAL_MS};

use crate::common::{addr, broadcast, index, names, zone};

/// Half of the shortest time in which a change is to be in force, in milliseconds.
const HALF_MS: u64 = 1_000;
/// A configuration of hundreds of routes and customers, in bytes.
const CONFIG_BYTES: u64 = 100_000;
/// What the narrowest link carries in a millisecond, in bytes.
const LINK_BYTES_PER_MS: u64 = 2_500;
/// Time in which a small message comes and is answered, in milliseconds.
const CALL_MS: u64 = 5;
/// Pause after an answer without news, in milliseconds, as the shell has it.
const AGAIN_MS: u64 = 50;
/// A fetch without an answer for so long has failed, in milliseconds, as the shell has it.
const FETCH_MOST_MS: u64 = 400;
const STEP_MS: u64 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Does {
    Waits(u64),
    /// Asked an instance at a time, and has so many bytes of its answer.
    Fetches(usize, u64, u64),
    Has,
}

struct Zone {
    rng: StdRng,
    readers: Vec<Readers>,
    behind: Vec<CatchUp>,
    serving: Vec<FetchLimiter>,
    does: Vec<Does>,
    /// Instances that turned to the store.
    store: usize,
}

impl Zone {
    fn open(count: usize) -> Zone {
        let names = names(count);
        let zone = zone(&names);
        let open = |me: &Candidate<'_>| {
            let mut readers = Readers::new(0);
            readers.set_zone(me, &zone);
            readers
        };
        let mut behind = CatchUp::default();
        behind.set_current(7);
        behind.record_version(0, 9);
        Zone {
            rng: StdRng::seed_from_u64(count as u64),
            readers: zone.iter().map(open).collect(),
            behind: vec![behind; count],
            serving: vec![FetchLimiter::for_configs(); count],
            does: vec![Does::Waits(CALL_MS); count],
            store: 0,
        }
    }

    /// The readers have the version, and say so.
    fn beat(&mut self, now: u64) {
        for i in 0..self.does.len() {
            if !self.readers[i].sends_heartbeats(now, false) {
                continue;
            }
            self.does[i] = Does::Has;
            broadcast(&mut self.readers, now, i, 9);
        }
    }

    fn look(&mut self, now: u64, i: usize) {
        let readers = &self.readers[i];
        let wait_ms = CatchUp::store_delay_ms(readers.rank(), readers.zone_size());
        let count = self.does.len();
        let neighbour = (i + self.rng.random_range(1..count)) % count;
        let peer = readers.pick_peer(now, 0, 7, Some(addr(neighbour)), self.rng.random());
        let peer = match self.behind[i].alternative_source(now, wait_ms, peer) {
            CatchUpSource::Peer(peer) => index(peer),
            CatchUpSource::Store => {
                self.store += 1;
                self.does[i] = Does::Has;
                return;
            }
            CatchUpSource::Readers => panic!("a neighbour is known"),
        };
        let has = self.does[peer] == Does::Has;
        let id = self.rng.random();
        self.does[i] = if has && self.serving[peer].admit(now, id) {
            Does::Fetches(peer, now, 0)
        } else {
            Does::Waits(now + CALL_MS + AGAIN_MS)
        };
    }

    fn step(&mut self, now: u64) {
        let mut fetching = vec![0; self.does.len()];
        for does in &self.does {
            if let Does::Fetches(peer, ..) = does {
                fetching[*peer] += 1;
            }
        }
        for i in 0..self.does.len() {
            match self.does[i] {
                Does::Waits(until) if now >= until => self.look(now, i),
                Does::Fetches(peer, since, bytes) => {
                    let bytes = bytes + LINK_BYTES_PER_MS * STEP_MS / fetching[peer].max(1);
                    self.does[i] = if bytes >= CONFIG_BYTES {
                        Does::Has
                    } else if now >= since + FETCH_MOST_MS {
                        Does::Waits(now)
                    } else {
                        Does::Fetches(peer, since, bytes)
                    };
                }
                _ => {}
            }
        }
    }
}

/// Guards against a zone whose instances all turn to the store for a version that a hundred of them want of each reader at once:
/// instances in five zones, 100, 300, 985 and 2,000 of them.
#[test]
fn a_version_is_passed_on_instead_of_read_by_all() {
    for count in [20, 60, 197, 400] {
        let mut zone = Zone::open(count);
        let mut took = None;
        for now in (0..4 * HALF_MS).step_by(STEP_MS as usize) {
            if now % HEARTBEAT_INTERVAL_MS == 0 {
                zone.beat(now);
            }
            zone.step(now);
            if zone.does.iter().all(|d| *d == Does::Has) {
                took = Some(now);
                break;
            }
        }
        let took = took.expect("all have it");
        println!("{count} a zone: {took} ms, {} read the store", zone.store);
        assert!(took <= 2 * HALF_MS, "{count}: {took} ms");
        assert!(zone.store <= count / 50, "{count}: {} read", zone.store);
    }
}
