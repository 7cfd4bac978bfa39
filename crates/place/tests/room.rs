//! Brittle upstreams: ones that crash if they have to reject many requests within a second for want of
//! room. Simulated with the real choice and load reports that arrive late.

mod common;

use std::collections::HashMap;

use place::{Choice, Entry, InstanceLoad, Outcome, Pool, Spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common::call;

/// Number of slots of an upstream, and of requests that it lets wait.
const SLOTS: u32 = 6;
const QUEUE: usize = 1;
/// Number of rejections within a second above which an upstream crashes, and for how long, in
/// milliseconds.
const MAX_REJECTIONS: usize = 4;
const DOWN_MS: u64 = 3_000;
/// Time that a request takes, in milliseconds.
const SERVICE_MS: u64 = 60;
/// Maximum number of upstreams that a request tries.
const MAX_TRIED: usize = 2;
/// Time after which a view of the fleet has settled, and simulated duration, in milliseconds.
const SETTLED_MS: u64 = 3_000;
const DURATION_MS: u64 = 6_000;
/// Interval between load reports in a small fleet, in milliseconds, and number of instances per
/// interval.
const ROUND_MS: u64 = 80;
const SMALL_FLEET: usize = 9;
const MAX_LOAD_PEERS: usize = 90;

#[derive(Default)]
struct SimUpstream {
    /// When the requests that it has accepted end, in milliseconds.
    ends: Vec<u64>,
    rejections: Vec<u64>,
    down_until: u64,
    crashes: usize,
}

/// A request in flight.
struct InFlight {
    ends_at: u64,
    /// The instance that has chosen the upstream.
    instance: usize,
    /// The instance that sends to the upstream.
    owner: usize,
    choice: Choice,
    accepted: bool,
}

struct Simulation {
    rng: StdRng,
    upstreams: Vec<SimUpstream>,
    pools: Vec<Pool>,
    in_flight: Vec<InFlight>,
    /// Hashes of the instances' names.
    hashes: Vec<u64>,
    served: usize,
    offered: usize,
}

fn name(i: usize) -> String {
    format!("u{i}")
}

impl Simulation {
    fn new(instances: usize, upstreams: usize, brittle: bool) -> Simulation {
        let hashes: Vec<u64> = (0..instances as u64).map(|i| i * 7_919 + 1).collect();
        let specs = (0..upstreams).map(|i| Spec {
            slots: SLOTS,
            ..common::spec(&name(i), "a")
        });
        let specs: Vec<Spec> = specs.collect();
        let new_pool = |own: &u64| {
            let mut pool = Pool::default();
            pool.set_instances(0, *own, &hashes);
            for spec in &specs {
                pool.upsert(0, spec.clone());
            }
            if brittle {
                pool.set_brittle(0, &specs[0].service, 0, true);
            }
            pool
        };
        Simulation {
            rng: StdRng::seed_from_u64(instances as u64),
            upstreams: (0..upstreams).map(|_| SimUpstream::default()).collect(),
            pools: hashes.iter().map(new_pool).collect(),
            in_flight: Vec::new(),
            hashes: hashes.clone(),
            served: 0,
            offered: 0,
        }
    }

    /// Runs callers that together send `load` times what the upstreams can serve.
    fn run(&mut self, load: f64) {
        let capacity = self.upstreams.len() as f64 * f64::from(SLOTS) / SERVICE_MS as f64;
        for now in SETTLED_MS..SETTLED_MS + DURATION_MS {
            self.end_requests(now);
            self.report_loads(now);
            let mut arrivals = capacity * load;
            while arrivals > 0.0 {
                if self.rng.random_bool(arrivals.min(1.0)) {
                    let instance = self.rng.random_range(0..self.pools.len());
                    self.send(now, instance);
                }
                arrivals -= 1.0;
            }
        }
    }

    fn send(&mut self, now: u64, instance: usize) {
        self.offered += 1;
        let mut tried = Vec::new();
        let (choice, owner) = loop {
            let mut criteria = call("a");
            (criteria.deadline, criteria.random) = (now + 1_000, self.rng.random());
            criteria.tried = &tried;
            let Ok(choice) = self.pools[instance].choose(now, &criteria) else {
                return;
            };
            if let Some(owner) = self.enter(now, instance, &choice) {
                break (choice, owner);
            }
            let pool = &mut self.pools[instance];
            pool.end(now, choice.key, choice.attempt, Outcome::Abandoned);
            tried.push(choice.key);
            if tried.len() == MAX_TRIED {
                return;
            }
        };
        let i: usize = choice.spec.id[1..].parse().expect("a number");
        let up = &mut self.upstreams[i];
        let (ends_at, accepted) = if now < up.down_until {
            (now + 1, false)
        } else if up.ends.len() >= SLOTS as usize + QUEUE {
            up.rejections.retain(|at| *at + 1_000 > now);
            up.rejections.push(now);
            if up.rejections.len() > MAX_REJECTIONS {
                up.crashes += 1;
                up.down_until = now + DOWN_MS;
                up.rejections.clear();
                up.ends.clear();
            }
            (now + 3, false)
        } else {
            let ahead = up.ends.len().saturating_sub(SLOTS as usize - 1);
            let waits_until = up.ends.get(ahead.wrapping_sub(1)).copied();
            let begins_at = waits_until.unwrap_or(now);
            up.ends.push(begins_at + SERVICE_MS);
            up.ends.sort_unstable();
            (begins_at + SERVICE_MS, true)
        };
        self.in_flight.push(InFlight {
            ends_at,
            instance,
            owner,
            choice,
            accepted,
        });
    }

    /// Takes a slot here or at another instance that owns some; returns that instance.
    fn enter(&mut self, now: u64, instance: usize, choice: &Choice) -> Option<usize> {
        if self.pools[instance].try_enter(now, choice) {
            return Some(instance);
        }
        let owners = self.pools[instance].slot_owners(choice, &self.hashes);
        let owners = owners.iter().filter_map(|hash| {
            let owner = self.hashes.iter().position(|h| h == hash);
            owner.filter(|o| *o != instance)
        });
        let owners: Vec<usize> = owners.collect();
        let mut owners = owners.into_iter();
        owners.find(|o| self.pools[*o].try_enter_forwarded(now, &choice.spec.id) != Entry::Denied)
    }

    fn end_requests(&mut self, now: u64) {
        for up in &mut self.upstreams {
            up.ends.retain(|at| *at > now);
        }
        let (ended, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|r| r.ends_at <= now);
        self.in_flight = in_flight;
        let ended: Vec<InFlight> = ended;
        for request in ended {
            let choice = &request.choice;
            let brittle = self.pools[request.owner].is_brittle(&choice.spec.service);
            if brittle && request.owner != request.instance {
                self.pools[request.owner].leave_forwarded(&choice.spec.id);
            }
            if !request.accepted {
                self.pools[request.owner].record_rejection(now, &choice.spec.id);
            }
            let outcome = if request.accepted {
                self.served += 1;
                Outcome::Success
            } else {
                Outcome::Refused
            };
            self.pools[request.instance].end(now, choice.key, choice.attempt, outcome);
        }
    }

    fn report_loads(&mut self, now: u64) {
        let peers = (self.pools.len() - 1).min(MAX_LOAD_PEERS);
        let interval_ms = ROUND_MS * (peers / SMALL_FLEET + 1) as u64;
        for from in 0..self.pools.len() {
            if now % interval_ms != from as u64 % interval_ms {
                continue;
            }
            let loads: HashMap<u64, InstanceLoad> =
                self.pools[from].own_loads(now).into_iter().collect();
            for distance in 1..=peers {
                let to = (from + distance) % self.pools.len();
                self.pools[to].set_peer_loads(now, from as u64, &loads);
            }
        }
    }

    fn crashes(&self) -> usize {
        self.upstreams.iter().map(|u| u.crashes).sum()
    }

    fn served_share(&self) -> f64 {
        self.served as f64 / self.offered as f64
    }
}

/// Sizes of fleets: instances, and upstreams of the service.
const FLEETS: [(usize, usize); 4] = [(9, 3), (80, 3), (195, 5), (985, 10)];

/// Returns the maximum number of crashes while a service is brittle.
fn max_crashes(upstreams: usize) -> usize {
    2 + upstreams / 10
}

/// Guards against brittle upstreams that crash because all instances send to them until they reject,
/// for any load.
#[test]
fn brittle_upstreams_hardly_ever_reject() {
    for (instances, upstreams) in FLEETS {
        for load in [0.3, 1.0, 3.0] {
            let mut simulation = Simulation::new(instances, upstreams, true);
            simulation.run(load);
            let crashes = simulation.crashes();
            let served = simulation.served_share();
            let name = format!("{instances} instances, load {load}: served {served:.2}");
            assert!(
                crashes <= max_crashes(upstreams),
                "{crashes} crashes, {name}"
            );
        }
    }
}

/// Guards against brittle upstreams that stay unused because nobody may send to them.
#[test]
fn brittle_upstreams_serve_a_low_load() {
    for (instances, upstreams) in FLEETS {
        let mut simulation = Simulation::new(instances, upstreams, true);
        simulation.run(0.3);
        let served = simulation.served_share();
        assert!(served >= 0.95, "{instances} instances: served {served:.2}");
    }
}

/// Shows that the simulated upstreams crash if nobody takes care.
#[test]
fn upstreams_that_nobody_spares_crash() {
    let mut simulation = Simulation::new(9, 3, false);
    simulation.run(3.0);
    assert!(simulation.crashes() > max_crashes(3));
}
