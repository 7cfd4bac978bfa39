//! Simulates how a version of the configuration reaches the instances of a zone: which of them read the store, and when all have
//! the version.

mod common;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use relay::{Candidate, CatchUp, CatchUpSource, FetchLimiter, Readers, HEARTBEAT_INTERVAL_MS};

use crate::common::{addr, broadcast_heartbeat, index, names, zone};

/// Half of the shortest time within which a change must be in force, in milliseconds.
const HALF_BOUND_MS: u64 = 1_000;
/// Size of a configuration of hundreds of routes and customers, in bytes.
const CONFIG_BYTES: u64 = 100_000;
/// Bandwidth of the narrowest link, in bytes per millisecond.
const LINK_BYTES_PER_MS: u64 = 2_500;
/// Round-trip time of a small message, in milliseconds.
const ROUND_TRIP_MS: u64 = 5;
/// Pause after a peer had nothing newer or rejected the fetch, in milliseconds, as in `proxy`.
const RETRY_MS: u64 = 50;
/// Timeout of a fetch, in milliseconds, as in `proxy`.
const FETCH_TIMEOUT_MS: u64 = 400;
/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// State of a simulated instance that fetches the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It chooses a source at this time.
    Waiting(u64),
    /// It has fetched from an instance since a time, and has this many bytes.
    Fetching(usize, u64, u64),
    /// It has the version.
    Done,
}

struct Zone {
    rng: StdRng,
    readers: Vec<Readers>,
    catch_ups: Vec<CatchUp>,
    limiters: Vec<FetchLimiter>,
    states: Vec<State>,
    /// Number of instances that read the store without being a designated reader.
    store_reads: usize,
}

impl Zone {
    fn new(count: usize) -> Zone {
        let names = names(count);
        let zone = zone(&names);
        let new = |me: &Candidate<'_>| {
            let mut readers = Readers::new(0);
            readers.set_zone(me, &zone);
            readers
        };
        let mut catch_up = CatchUp::default();
        catch_up.set_current(7);
        catch_up.record_version(0, 9);
        Zone {
            rng: StdRng::seed_from_u64(count as u64),
            readers: zone.iter().map(new).collect(),
            catch_ups: vec![catch_up; count],
            limiters: vec![FetchLimiter::for_configs(); count],
            states: vec![State::Waiting(ROUND_TRIP_MS); count],
            store_reads: 0,
        }
    }

    /// Has the readers get the version and broadcast that.
    fn send_heartbeats(&mut self, now: u64) {
        for i in 0..self.states.len() {
            if !self.readers[i].sends_heartbeats(now, false) {
                continue;
            }
            self.states[i] = State::Done;
            broadcast_heartbeat(&mut self.readers, now, i, 9);
        }
    }

    fn choose_source(&mut self, now: u64, i: usize) {
        let readers = &self.readers[i];
        let store_delay_ms = CatchUp::store_delay_ms(readers.rank(), readers.zone_size());
        let count = self.states.len();
        let zone_peer = (i + self.rng.random_range(1..count)) % count;
        let peer = readers.pick_peer(now, 0, 7, Some(addr(zone_peer)), self.rng.random());
        let peer = match self.catch_ups[i].alternative_source(now, store_delay_ms, peer) {
            CatchUpSource::Peer(peer) => index(peer),
            CatchUpSource::Store => {
                self.store_reads += 1;
                self.states[i] = State::Done;
                return;
            }
            CatchUpSource::Readers => panic!("a zone peer is always known"),
        };
        let done = self.states[peer] == State::Done;
        let id = self.rng.random();
        self.states[i] = if done && self.limiters[peer].admit(now, id) {
            State::Fetching(peer, now, 0)
        } else {
            State::Waiting(now + ROUND_TRIP_MS + RETRY_MS)
        };
    }

    fn step(&mut self, now: u64) {
        let mut fetching = vec![0; self.states.len()];
        for state in &self.states {
            if let State::Fetching(peer, ..) = state {
                fetching[*peer] += 1;
            }
        }
        for i in 0..self.states.len() {
            match self.states[i] {
                State::Waiting(until) if now >= until => self.choose_source(now, i),
                State::Fetching(peer, since, bytes) => {
                    let bytes = bytes + LINK_BYTES_PER_MS * STEP_MS / fetching[peer].max(1);
                    self.states[i] = if bytes >= CONFIG_BYTES {
                        State::Done
                    } else if now >= since + FETCH_TIMEOUT_MS {
                        State::Waiting(now)
                    } else {
                        State::Fetching(peer, since, bytes)
                    };
                }
                _ => {}
            }
        }
    }
}

/// Guards against a zone whose instances all read the store for a version, because a hundred of them fetch it from each reader at
/// once. The fleets have 100, 300, 985 and 2,000 instances in five zones, of which one is simulated.
#[test]
fn instances_pass_a_version_on_instead_of_all_reading_the_store() {
    for count in [20, 60, 197, 400] {
        let mut zone = Zone::new(count);
        let mut took = None;
        for now in (0..4 * HALF_BOUND_MS).step_by(STEP_MS as usize) {
            if now % HEARTBEAT_INTERVAL_MS == 0 {
                zone.send_heartbeats(now);
            }
            zone.step(now);
            if zone.states.iter().all(|s| *s == State::Done) {
                took = Some(now);
                break;
            }
        }
        let took = took.expect("all instances have the version");
        println!(
            "{count} instances: {took} ms, {} read the store",
            zone.store_reads
        );
        assert!(took <= 2 * HALF_BOUND_MS, "{count}: {took} ms");
        assert!(
            zone.store_reads <= count / 50,
            "{count}: {} read",
            zone.store_reads
        );
    }
}
