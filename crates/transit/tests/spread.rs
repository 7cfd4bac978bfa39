//! Fleets of which a part has lost its paths: who forwards for whom, and how much. Simulated with the
//! real decisions, messages that get lost, and instances that become late when they are overloaded.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;
use transit::{Capacity, Criteria, Denial, Distance, Peer, Peers, Report};

/// Sizes of the fleets: up to twice the one that the system is designed for.
const SIZES: [usize; 6] = [8, 30, 100, 300, 985, 1_970];
/// Step of the simulation, and its end, in milliseconds.
const STEP_MS: u64 = 20;
const END_MS: u64 = 4_000;
/// Time after the loss from which on callers are counted, in milliseconds.
const SWITCHED_MS: u64 = 1_000;
/// Interval between the load reports of an instance in a small fleet, in milliseconds, number of
/// instances per interval, and number of those that get its reports.
const ROUND_MS: u64 = 80;
const SMALL_FLEET: usize = 9;
const REPORTED_PEERS: usize = 90;
/// Maximum number of severed instances that decide by themselves: what one instance knows of all
/// others takes memory. Each of them stands for several if there are more.
const MAX_DECIDERS: usize = 200;
/// Interval at which an instance checks how late it is, in milliseconds.
const CHECK_MS: u64 = 100;
/// Share of messages that get lost.
const LOST_SHARE: f64 = 0.1;
/// Maximum number of instances that are asked to forward a request.
const MAX_ASKED: usize = 4;
/// Work of a request at the instance that decides about it, and at one that forwards it, in
/// milliseconds of a whole processor.
const WORK_MS: f64 = 1.0;
/// Requests of the callers of an instance, per second.
const REQUESTS_PER_SEC: f64 = 10.0;
/// Range of the time for which a request is in flight, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 100..2_000;
/// Maximum delay of an instance that forwards requests, in milliseconds: that of a connection attempt,
/// which callers of sound instances may have to wait for, too.
const MAX_DELAY_MS: f64 = 250.0;
/// Shares of a processor that instances have.
const SHARES: [f64; 3] = [0.12, 0.25, 0.5];
const SERVICE: u64 = 7;

/// Which instances lose their paths.
#[derive(Clone, Copy, Debug)]
enum Loss {
    One,
    /// Four of five instances of the first zone.
    MostOfZone,
    Zone,
    /// This percentage of all instances, at random.
    Share(u32),
}

struct Instance {
    addr: SocketAddr,
    zone: usize,
    severed: bool,
    /// Share of a processor.
    share: f64,
    /// Work that waits, in milliseconds of a whole processor.
    backlog_ms: f64,
    /// The longest delay by waiting work after the first second, in milliseconds.
    max_delay_ms: f64,
    peers: Peers,
    capacity: Capacity,
    /// Requests that it has forwarded.
    forwarded: usize,
}

impl Instance {
    fn delay_ms(&self) -> f64 {
        self.backlog_ms / self.share
    }
}

/// What the callers of the severed instances have got.
#[derive(Debug, Default)]
struct Totals {
    served: usize,
    refused: usize,
    served_by_other_zones: usize,
    asked: usize,
}

struct Simulation {
    rng: StdRng,
    instances: Vec<Instance>,
    /// The severed instances that decide, by index.
    deciders: Vec<usize>,
    /// Requests in flight: when they end, and the instances that sent and forward them.
    in_flight: Vec<(u64, usize, usize)>,
    totals: Totals,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7000))
}

fn zone_count(size: usize) -> usize {
    (size / 60).clamp(3, 17)
}

impl Simulation {
    fn new(size: usize, loss: Loss) -> Simulation {
        let mut rng = StdRng::seed_from_u64(size as u64);
        let zones = zone_count(size);
        let (mut instances, mut deciders) = (Vec::new(), Vec::new());
        for i in 0..size {
            let zone = i % zones;
            let severed = match loss {
                Loss::One => i == 0,
                Loss::MostOfZone => zone == 0 && (i / zones) % 5 != 4 && i + zones < size,
                Loss::Zone => zone == 0,
                Loss::Share(pct) => i > 0 && rng.random_range(0..100) < pct,
            };
            let others = (0..size).filter(|j| *j != i).map(|j| Peer {
                addr: addr(j),
                distance: if j % zones == zone {
                    Distance::Zone
                } else {
                    Distance::Region
                },
                region: None,
            });
            let mut peers = Peers::default();
            let decides = severed && deciders.len() < MAX_DECIDERS;
            if decides {
                peers.set_peers(others.collect());
                deciders.push(i);
            }
            instances.push(Instance {
                addr: addr(i),
                zone,
                severed,
                share: SHARES[rng.random_range(0..SHARES.len())],
                backlog_ms: 0.0,
                max_delay_ms: 0.0,
                peers,
                capacity: Capacity::default(),
                forwarded: 0,
            });
        }
        Simulation {
            rng,
            instances,
            deciders,
            in_flight: Vec::new(),
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Simulation {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.end_requests(now);
            for i in 0..self.instances.len() {
                self.work(now, i);
                self.send_reports(now, i);
                let arrivals = REQUESTS_PER_SEC * STEP_MS as f64 / 1_000.0;
                if self.rng.random_bool(arrivals.min(1.0)) {
                    self.instances[i].backlog_ms += WORK_MS;
                    if self.instances[i].severed {
                        let decider = self.deciders[i % self.deciders.len()];
                        self.forward(now, decider);
                    }
                }
            }
        }
        self
    }

    fn end_requests(&mut self, now: u64) {
        let (ended, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(ends_at, _, _)| *ends_at <= now);
        self.in_flight = in_flight;
        let ended: Vec<(u64, usize, usize)> = ended;
        for (_, from, to) in ended {
            let to_addr = self.instances[to].addr;
            self.instances[from].peers.end(to_addr);
            self.instances[to].capacity.end();
        }
    }

    fn work(&mut self, now: u64, i: usize) {
        let instance = &mut self.instances[i];
        let done_ms = STEP_MS as f64 * instance.share;
        instance.backlog_ms = (instance.backlog_ms - done_ms).max(0.0);
        let delay_ms = instance.delay_ms();
        if now >= SWITCHED_MS {
            instance.max_delay_ms = instance.max_delay_ms.max(delay_ms);
        }
        if now % CHECK_MS == 0 && instance.capacity.in_flight() > 0 {
            instance.capacity.record_delay(now, delay_ms as u64);
        }
    }

    fn send_reports(&mut self, now: u64, i: usize) {
        let size = self.instances.len();
        let interval_ms = ROUND_MS * (size.min(REPORTED_PEERS) / SMALL_FLEET + 1) as u64;
        if now / STEP_MS % (interval_ms / STEP_MS) != i as u64 % (interval_ms / STEP_MS) {
            return;
        }
        let (from, zone, severed) = {
            let instance = &self.instances[i];
            (instance.addr, instance.zone, instance.severed)
        };
        let mut lost_services = SmallVec::new();
        if severed {
            lost_services.push(SERVICE);
        }
        let report = Report {
            available: self.instances[i].capacity.available(),
            lost_services,
        };
        let zones = zone_count(size);
        let same_zone = (1..size)
            .map(|d| (i + d) % size)
            .filter(|j| j % zones == zone);
        let others = (1..size)
            .map(|d| (i + d) % size)
            .filter(|j| j % zones != zone);
        let to: Vec<usize> = same_zone.chain(others).take(REPORTED_PEERS).collect();
        for j in to {
            let decides = self.instances[j].severed;
            if decides && !self.rng.random_bool(LOST_SHARE) {
                self.instances[j].peers.record_report(from, report.clone());
            }
        }
    }

    /// Sends a request of a severed instance through another one.
    fn forward(&mut self, now: u64, from: usize) {
        let mut asked: SmallVec<[SocketAddr; MAX_ASKED]> = SmallVec::new();
        let counted = usize::from(now >= SWITCHED_MS);
        while asked.len() < MAX_ASKED {
            let criteria = Criteria {
                service: SERVICE,
                regions: &[],
                asked: &asked,
                random: self.rng.random(),
            };
            let Some(to_addr) = self.instances[from].peers.choose(now, &criteria) else {
                break;
            };
            asked.push(to_addr);
            self.totals.asked += counted;
            let to = self.index(to_addr);
            let denial = if self.instances[to].severed {
                Denial::NoPath
            } else if self.instances[to].capacity.try_begin() {
                let ends_at = now + self.rng.random_range(DURATION_MS);
                self.in_flight.push((ends_at, from, to));
                self.instances[to].backlog_ms += WORK_MS;
                self.instances[to].forwarded += counted;
                self.totals.served += counted;
                let other_zone = self.instances[to].zone != self.instances[from].zone;
                self.totals.served_by_other_zones += counted * usize::from(other_zone);
                return;
            } else {
                Denial::Full
            };
            let peers = &mut self.instances[from].peers;
            peers.end(to_addr);
            peers.record_denial(now, to_addr, SERVICE, denial);
        }
        self.totals.refused += counted;
    }

    fn index(&self, addr: SocketAddr) -> usize {
        let SocketAddr::V4(addr) = addr else {
            unreachable!("all addresses are of version 4");
        };
        let [_, a, b, c] = addr.ip().octets();
        usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
    }

    fn served_share(&self) -> f64 {
        let all = self.totals.served + self.totals.refused;
        self.totals.served as f64 / all.max(1) as f64
    }
}

/// Guards against callers that are refused although other instances could forward their requests,
/// against a few instances that forward everything, and against many questions for each request.
#[test]
fn callers_are_served_while_others_have_capacity() {
    for size in SIZES {
        for loss in [Loss::One, Loss::MostOfZone, Loss::Zone, Loss::Share(33)] {
            let simulation = Simulation::new(size, loss).run();
            let totals = &simulation.totals;
            let name = format!("{size} instances, {loss:?}: {totals:?}");
            assert!(simulation.served_share() >= 0.98, "{name}");
            let asked = totals.asked as f64 / totals.served as f64;
            assert!(asked <= 2.0, "{asked:.2} asked: {name}");
            let forwarded = simulation.instances.iter().map(|i| i.forwarded);
            let max_forwarded = forwarded.max().unwrap_or_default() as f64;
            let fair = match loss {
                // One sound instance in five of the zone.
                Loss::MostOfZone => 5.0 * REQUESTS_PER_SEC,
                Loss::One => REQUESTS_PER_SEC,
                Loss::Zone | Loss::Share(_) => 2.0 * REQUESTS_PER_SEC,
            };
            let seconds = (END_MS - SWITCHED_MS) as f64 / 1_000.0;
            let max_per_sec = max_forwarded / seconds;
            assert!(max_per_sec <= 3.0 * fair, "{max_per_sec}/s at one: {name}");
        }
    }
}

/// Guards against traffic between zones while the own zone has capacity.
#[test]
fn requests_stay_in_the_zone_while_it_has_capacity() {
    for size in SIZES {
        let simulation = Simulation::new(size, Loss::One).run();
        let totals = &simulation.totals;
        let away = totals.served_by_other_zones as f64 / totals.served.max(1) as f64;
        assert!(away <= 0.1, "{size} instances: {away:.2} in other zones");
    }
}

/// Guards against sound instances that are overrun when nearly all others have lost their paths: their
/// own callers would be served late.
#[test]
fn the_last_sound_instances_are_not_overrun() {
    for size in SIZES {
        let simulation = Simulation::new(size, Loss::Share(97)).run();
        let sound = simulation.instances.iter().filter(|i| !i.severed);
        let late = sound.filter(|i| i.max_delay_ms > MAX_DELAY_MS);
        let late: Vec<_> = late
            .map(|i| (i.share, i.forwarded, i.max_delay_ms))
            .collect();
        let totals = &simulation.totals;
        assert!(
            late.is_empty(),
            "{size} instances: {totals:?}, late: {late:?}"
        );
        assert!(totals.served > 0, "{size} instances");
    }
}
