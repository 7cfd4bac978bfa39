//! How fast a notice reaches all instances, and what happens to those that were cut off.

use std::collections::BTreeSet;

use notice::{Gossip, Notice, FANOUT, SAME_ZONE_FANOUT};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Pause between two rounds of what is new, in milliseconds, as the shell has it.
const ROUND_MS: u64 = 60;
/// Pause between two pages, in milliseconds, as the shell has it.
const PAGE_MS: u64 = 1_000;
/// Availability zones.
const ZONES: usize = 5;
/// Longest way of a datagram, in milliseconds.
const WAY_MS: u64 = 20;

/// A datagram under way: when it arrives, from whom, at whom, and what it says.
type Sent = (u64, usize, usize, Vec<Notice>);

struct Fleet {
    rng: StdRng,
    peers: Vec<Gossip>,
    sent: Vec<Sent>,
    loss: f64,
    /// Instances that get and send nothing.
    cut: BTreeSet<usize>,
    datagrams: usize,
    /// Of them, those to another availability zone.
    away: usize,
    most_in_datagram: usize,
}

impl Fleet {
    fn new(seed: u64, count: usize, loss: f64) -> Fleet {
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            peers: vec![gossip(); count],
            sent: Vec::new(),
            loss,
            cut: BTreeSet::new(),
            datagrams: 0,
            away: 0,
            most_in_datagram: 0,
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, batch: Vec<Notice>) {
        self.datagrams += 1;
        self.away += usize::from(from % ZONES != to % ZONES);
        self.most_in_datagram = self.most_in_datagram.max(batch.len());
        let lost = self.rng.random_bool(self.loss);
        if !lost && !self.cut.contains(&from) && !self.cut.contains(&to) {
            let at = now + self.rng.random_range(1..=WAY_MS);
            self.sent.push((at, from, to, batch));
        }
    }

    /// Returns the peers of one round: most of them of the same availability zone, no one twice.
    fn round_of(&mut self, from: usize) -> Vec<usize> {
        let count = self.peers.len();
        let near = (from % ZONES..count).step_by(ZONES);
        let near = near.filter(|to| *to != from);
        let near: Vec<usize> = near.collect();
        let mut chosen: Vec<usize> = near
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
        let sent = std::mem::take(&mut self.sent);
        let (arrived, sent) = sent.into_iter().partition(|s| s.0 <= now);
        self.sent = sent;
        let arrived: Vec<Sent> = arrived;
        for (_, from, to, batch) in arrived {
            let outdated = self.peers[to].receive(batch).sender_lacks;
            if !outdated.is_empty() {
                self.send(now, to, from, outdated);
            }
        }
        let count = self.peers.len();
        for i in 0..count {
            let offset = i as u64;
            if (now + offset) % ROUND_MS == 0 {
                for batch in self.peers[i].next_round() {
                    for to in self.round_of(i) {
                        self.send(now, i, to, batch.clone());
                    }
                }
            }
            if (now + 7 * offset) % PAGE_MS == 0 {
                let page = self.peers[i].anti_entropy_batch();
                let to = self.rng.random_range(0..count);
                if !page.is_empty() {
                    self.send(now, i, to, page);
                }
            }
        }
    }

    /// Returns when all but those that are cut off know a notice, from a time on.
    fn known_by_all(&mut self, from: u64, notice: &Notice) -> u64 {
        for now in from..from + 60_000 {
            self.step(now);
            let knows = |i: usize| self.peers[i].all().contains(notice);
            if (0..self.peers.len()).all(|i| self.cut.contains(&i) || knows(i)) {
                return now - from;
            }
        }
        panic!("not known by all within a minute");
    }
}

/// Returns the gossip of an instance that has the largest list of upstreams.
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

/// The shortest bound on a change is two seconds: half of it, with a tenth of the datagrams lost.
#[test]
fn all_know_a_notice_within_half_of_the_shortest_bound() {
    for count in [9, 80, 300, 970] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(seed, count, 0.1);
            fleet.peers[0].insert(evacuation(5, true));
            let took = fleet.known_by_all(0, &evacuation(5, true));
            let each = fleet.datagrams as f64 / count as f64;
            println!("{count} instances, seed {seed}: {took} ms, {each:.1} datagrams each");
            assert!(took <= 1_000, "{count} instances, seed {seed}: {took} ms");
        }
    }
}

/// Links that drop half of what they carry.
#[test]
fn full_links_delay_a_notice_by_a_page_at_most() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 80, 0.5);
        fleet.peers[0].insert(evacuation(5, true));
        let took = fleet.known_by_all(0, &evacuation(5, true));
        assert!(took <= 2_500, "seed {seed}: {took} ms");
    }
}

/// An instance that was cut off holds an older notice: it never takes back the newer one elsewhere, and has the newer one
/// soon after its return.
#[test]
fn an_older_notice_takes_nothing_back() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, 80, 0.1);
        fleet.peers[0].insert(evacuation(5, true));
        fleet.known_by_all(0, &evacuation(5, true));
        fleet.cut.insert(7);
        fleet.peers[0].insert(evacuation(9, false));
        fleet.known_by_all(2_000, &evacuation(9, false));
        fleet.cut.clear();
        let took = fleet.known_by_all(60_000, &evacuation(9, false));
        assert!(took <= 6_000, "seed {seed}: {took} ms");
        let old = evacuation(5, true);
        assert!(fleet.peers.iter().all(|p| !p.all().contains(&old)));
    }
}

/// The order of arrival decides nothing.
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

/// A season's worth of upstreams that leave: memory and datagrams stay bounded, and an evacuation is never pushed out.
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
        let page = gossip.anti_entropy_batch();
        assert!(page.len() <= 16 && page.contains(&evacuation(1, true)));
    }
}

/// Guards against upstreams that leave together, of which the last are announced seconds after the first.
#[test]
fn hundreds_of_upstreams_that_leave_are_known_within_half_of_the_shortest_bound() {
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
        // The list of upstreams, and pages, bring what all datagrams about it were lost.
        let missing: usize = known.iter().map(|k| upstreams - k).sum();
        let most = count * upstreams / 10_000;
        assert!(missing <= most, "{count} instances: {missing} of {most}");
        assert!(each <= 12.0 * (upstreams as f64 / 16.0 + 8.0), "{each}");
        assert!(fleet.away <= fleet.datagrams / 4, "{} away", fleet.away);
    }
}

/// Guards against notices that are forgotten unsent where more upstreams leave together than a small fleet has.
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
