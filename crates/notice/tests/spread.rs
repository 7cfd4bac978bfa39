//! Simulated fleets: how fast a notice reaches all instances, and what happens to those that were partitioned.

use std::collections::BTreeSet;

use notice::{Gossip, Notice, FANOUT, SAME_ZONE_FANOUT};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Interval between two rounds of new notices, in milliseconds, as in `proxy`.
const ROUND_MS: u64 = 60;
/// Interval between two anti-entropy batches, in milliseconds, as in `proxy`.
const ANTI_ENTROPY_MS: u64 = 1_000;
/// Number of availability zones.
const ZONES: usize = 5;
/// Maximum latency of a datagram, in milliseconds.
const MAX_LATENCY_MS: u64 = 20;

/// A datagram in flight: time of arrival, sender, receiver and notices.
type InFlight = (u64, usize, usize, Vec<Notice>);

struct Fleet {
    rng: StdRng,
    peers: Vec<Gossip>,
    in_flight: Vec<InFlight>,
    loss: f64,
    /// Instances whose datagrams are dropped, in both directions.
    partitioned: BTreeSet<usize>,
    datagrams: usize,
    /// How many of the datagrams went to another availability zone.
    cross_zone: usize,
    most_in_datagram: usize,
}

impl Fleet {
    fn new(seed: u64, count: usize, loss: f64) -> Fleet {
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            peers: vec![gossip(); count],
            in_flight: Vec::new(),
            loss,
            partitioned: BTreeSet::new(),
            datagrams: 0,
            cross_zone: 0,
            most_in_datagram: 0,
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, batch: Vec<Notice>) {
        self.datagrams += 1;
        self.cross_zone += usize::from(from % ZONES != to % ZONES);
        self.most_in_datagram = self.most_in_datagram.max(batch.len());
        let lost = self.rng.random_bool(self.loss);
        if !lost && !self.partitioned.contains(&from) && !self.partitioned.contains(&to) {
            let at = now + self.rng.random_range(1..=MAX_LATENCY_MS);
            self.in_flight.push((at, from, to, batch));
        }
    }

    /// Returns distinct peers for one round, most of them in the same availability zone.
    fn choose_peers(&mut self, from: usize) -> Vec<usize> {
        let count = self.peers.len();
        let same_zone = (from % ZONES..count).step_by(ZONES);
        let same_zone = same_zone.filter(|to| *to != from);
        let same_zone: Vec<usize> = same_zone.collect();
        let mut chosen: Vec<usize> = same_zone
            .choose_multiple(&mut self.rng, SAME_ZONE_FANOUT)
            .copied()
            .collect();
        while chosen.len() < FANOUT.min(count - 1) {
            let to = self.rng.random_range(0..count);
            if to != from && !chosen.contains(&to) {
                chosen.push(to);
            }
        }
        chosen
    }

    fn step(&mut self, now: u64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (arrived, in_flight) = in_flight.into_iter().partition(|d| d.0 <= now);
        self.in_flight = in_flight;
        let arrived: Vec<InFlight> = arrived;
        for (_, from, to, batch) in arrived {
            let sender_lacks = self.peers[to].receive(batch).sender_lacks;
            if !sender_lacks.is_empty() {
                self.send(now, to, from, sender_lacks);
            }
        }
        let count = self.peers.len();
        for i in 0..count {
            let offset = i as u64;
            if (now + offset) % ROUND_MS == 0 {
                for batch in self.peers[i].next_round() {
                    for to in self.choose_peers(i) {
                        self.send(now, i, to, batch.clone());
                    }
                }
            }
            if (now + 7 * offset) % ANTI_ENTROPY_MS == 0 {
                let batch = self.peers[i].anti_entropy_batch();
                let to = self.rng.random_range(0..count);
                if !batch.is_empty() {
                    self.send(now, i, to, batch);
                }
            }
        }
    }

    /// Runs the simulation from a time on, and returns after how many milliseconds all instances that are not partitioned know a
    /// notice.
    fn run_until_known(&mut self, from: u64, notice: &Notice) -> u64 {
        for now in from..from + 60_000 {
            self.step(now);
            let knows = |i: usize| self.peers[i].all().contains(notice);
            if (0..self.peers.len()).all(|i| self.partitioned.contains(&i) || knows(i)) {
                return now - from;
            }
        }
        panic!("some instances do not know the notice after a minute");
    }
}

/// Returns the state of an instance with the largest list of upstreams.
fn gossip() -> Gossip {
    let mut gossip = Gossip::default();
    gossip.set_upstream_count(10_000);
    gossip
}

fn evacuation(revision: i64, evacuated: bool) -> Notice {
    Notice::Evacuation {
        zone: "z".to_string(),
        revision,
        evacuated,
    }
}

/// The shortest bound on the time until a change is in force everywhere is two seconds. With 10% of the datagrams lost a notice
/// takes at most half of it.
#[test]
fn a_notice_reaches_all_instances_within_half_of_the_shortest_bound() {
    for count in [9, 80, 300, 970] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(seed, count, 0.1);
            fleet.peers[0].insert(evacuation(5, true));
            let took = fleet.run_until_known(0, &evacuation(5, true));
            let each = fleet.datagrams as f64 / count as f64;
            println!("{count} instances, seed {seed}: {took} ms, {each:.1} datagrams each");
            assert!(took <= 1_000, "{count} instances, seed {seed}: {took} ms");
        }
    }
}

/// On links that drop half of the datagrams a notice arrives with an anti-entropy batch at the latest.
#[test]
fn congested_links_delay_a_notice_by_an_anti_entropy_interval_at_most() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 80, 0.5);
        fleet.peers[0].insert(evacuation(5, true));
        let took = fleet.run_until_known(0, &evacuation(5, true));
        assert!(took <= 2_500, "seed {seed}: {took} ms");
    }
}

/// Guards against an instance that returns from a partition with an outdated notice and reverts the newer one elsewhere. It
/// learns the newer notice soon after its return.
#[test]
fn an_outdated_notice_does_not_revert_a_newer_one() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 80, 0.1);
        fleet.peers[0].insert(evacuation(5, true));
        fleet.run_until_known(0, &evacuation(5, true));
        fleet.partitioned.insert(7);
        fleet.peers[0].insert(evacuation(9, false));
        fleet.run_until_known(2_000, &evacuation(9, false));
        fleet.partitioned.clear();
        let took = fleet.run_until_known(60_000, &evacuation(9, false));
        assert!(took <= 6_000, "seed {seed}: {took} ms");
        let old = evacuation(5, true);
        assert!(fleet.peers.iter().all(|p| !p.all().contains(&old)));
    }
}

/// The order of arrival does not matter.
#[test]
fn the_highest_revision_wins_in_any_order() {
    let notices = [
        evacuation(3, true),
        evacuation(9, false),
        evacuation(6, true),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut gossip = Gossip::default();
        for i in order {
            gossip.insert(notices[i].clone());
        }
        assert_eq!(gossip.all(), vec![evacuation(9, false)]);
    }
}

/// Guards against instances that never converge after concurrent changes of a limit.
#[test]
fn the_stricter_of_concurrent_limits_wins_in_any_order() {
    let limit = |changes, rate| Notice::Limit {
        upstream: "u".to_string(),
        changes,
        rate,
    };
    let notices = [limit(3, None), limit(3, Some(2_000)), limit(3, Some(500))];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [1, 0, 2]] {
        let mut gossip = Gossip::default();
        for i in order {
            gossip.insert(notices[i].clone());
        }
        assert_eq!(gossip.all(), vec![limit(3, Some(500))]);
        assert!(gossip.insert(limit(4, None)), "a later change");
    }
}

/// Thousands of upstreams leave one after another: memory and datagrams stay bounded, and the notice of an evacuation is never
/// evicted.
#[test]
fn memory_and_datagrams_stay_bounded() {
    let mut gossip = Gossip::default();
    gossip.insert(evacuation(1, true));
    for i in 0..5_000 {
        gossip.insert(Notice::Leaving {
            upstream: format!("u{i}"),
        });
    }
    let all = gossip.all();
    assert!(all.len() <= 300, "{}", all.len());
    assert!(all.contains(&evacuation(1, true)));
    for _ in 0..40 {
        let due = gossip.next_round();
        assert!(due.len() <= 8 && due.iter().all(|batch| batch.len() <= 16));
        let batch = gossip.anti_entropy_batch();
        assert!(batch.len() <= 16 && batch.contains(&evacuation(1, true)));
    }
}

/// Guards against notices that queue for seconds behind others when hundreds of upstreams leave together.
#[test]
fn hundreds_of_leaving_upstreams_are_known_within_half_of_the_shortest_bound() {
    let leaving = |i: usize| Notice::Leaving {
        upstream: format!("u{i}"),
    };
    for (count, upstreams) in [(30, 400), (300, 400), (985, 200), (2_000, 100)] {
        let mut fleet = Fleet::new(1, count, 0.1);
        for i in 0..upstreams {
            fleet.peers[0].insert(leaving(i));
        }
        for now in 0..=1_000 {
            fleet.step(now);
        }
        let known: Vec<usize> = fleet.peers.iter().map(|p| p.all().len()).collect();
        let each = fleet.datagrams as f64 / count as f64;
        println!("{count} instances, {upstreams} notices: {each:.1} datagrams each");
        // Notices of which all datagrams were lost arrive later, with an anti-entropy batch or the list of upstreams.
        let missing: usize = known.iter().map(|k| upstreams - k).sum();
        let most = count * upstreams / 10_000;
        assert!(missing <= most, "{count} instances: {missing} of {most}");
        assert!(each <= 12.0 * (upstreams as f64 / 16.0 + 8.0), "{each}");
        assert!(
            fleet.cross_zone <= fleet.datagrams / 4,
            "{} across zones",
            fleet.cross_zone
        );
    }
}

/// Guards against notices that are evicted before they are sent when more upstreams leave together than a small fleet has.
#[test]
fn notices_are_kept_for_as_many_upstreams_as_are_listed() {
    let mut gossip = gossip();
    for i in 0..4_500 {
        gossip.insert(Notice::Leaving {
            upstream: format!("u{i}"),
        });
    }
    assert_eq!(gossip.all().len(), 4_500);
}
