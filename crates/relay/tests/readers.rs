//! Simulates the selection of readers in zones, mostly one of 39 instances, two of which read the store for all.

use std::net::SocketAddr;

use relay::{Candidate, Heartbeat, Readers, Role, HEARTBEAT_INTERVAL_MS};

/// The shortest time within which a change of the configuration must be in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 1))
}

fn heartbeat(rank: usize, revision: i64, store_unreachable: bool) -> Heartbeat {
    Heartbeat {
        rank,
        revisions: vec![revision],
        store_unreachable,
        last_call_failed: false,
        ms_since_recovery: None,
    }
}

fn candidate(name: &str, link_mbps: u32) -> Candidate<'_> {
    Candidate {
        name,
        link_mbps: Some(link_mbps),
    }
}

/// A zone in which heartbeats arrive at once.
struct Zone {
    instances: Vec<Readers>,
    /// Instances that send no heartbeats: they are frozen, crashed or partitioned.
    silent: Vec<usize>,
    /// Instances that can't reach the store.
    store_unreachable: Vec<usize>,
}

impl Zone {
    fn new(count: usize) -> Zone {
        let names: Vec<String> = (0..count).map(|i| format!("n{i}")).collect();
        let zone: Vec<Candidate<'_>> = names.iter().map(|n| candidate(n, 10)).collect();
        let new = |me: &Candidate<'_>| {
            let mut readers = Readers::new(0);
            readers.set_zone(me, &zone);
            readers
        };
        Zone {
            instances: zone.iter().map(new).collect(),
            silent: Vec::new(),
            store_unreachable: Vec::new(),
        }
    }

    /// Has the readers send heartbeats, and returns which instances are readers.
    fn send_heartbeats(&mut self, now: u64, revision: i64) -> Vec<usize> {
        let reads = |i: &usize| self.instances[*i].role(now) == Role::Reader;
        let reading: Vec<usize> = (0..self.instances.len()).filter(reads).collect();
        for i in reading.iter().filter(|i| !self.silent.contains(i)) {
            let store_unreachable = self.store_unreachable.contains(i);
            let heartbeat = heartbeat(self.instances[*i].rank(), revision, store_unreachable);
            for (j, other) in self.instances.iter_mut().enumerate() {
                if j != *i {
                    other.record_heartbeat(now, addr(*i), heartbeat.clone());
                }
            }
        }
        reading
    }

    fn run(&mut self, from: u64, to: u64) -> Vec<usize> {
        let mut reading = Vec::new();
        for now in (from..=to).step_by(25) {
            if now % HEARTBEAT_INTERVAL_MS == 0 {
                reading = self.send_heartbeats(now, 1);
            }
        }
        reading
    }
}

#[test]
fn two_of_a_large_zone_read_and_all_of_a_small_one() {
    assert_eq!(Zone::new(39).run(0, 10_000).len(), 2);
    assert_eq!(Zone::new(7).run(0, 10_000).len(), 2);
    assert_eq!(Zone::new(6).run(0, 10_000).len(), 6);
    assert_eq!(Zone::new(1).run(0, 10_000).len(), 1);
}

/// Both readers fail at once, just before a change: others take over in time for it.
#[test]
fn others_take_over_when_both_readers_fail() {
    let mut zone = Zone::new(39);
    let readers = zone.run(0, 3_000);
    zone.silent = readers.clone();
    let late = IN_FORCE_MS / 2 + 400;
    for now in (3_000..3_000 + late).step_by(HEARTBEAT_INTERVAL_MS as usize) {
        zone.send_heartbeats(now, 1);
    }
    let now = 3_000 + late;
    let others = (0..39).filter(|i| !readers.contains(i));
    let has_no_source = |i: &usize| {
        let other = &zone.instances[*i];
        other.role(now) == Role::Follower && !other.has_live_reader(now)
    };
    assert_eq!(
        others.filter(has_no_source).count(),
        0,
        "each instance reads or has a live reader"
    );
    let reading = zone.send_heartbeats(now, 1);
    assert!(reading.len() < 20, "{} read", reading.len());
}

/// One reader is partitioned from the store, or rejected by it: the other one is enough.
#[test]
fn nobody_takes_over_when_one_reader_cannot_reach_the_store() {
    let mut zone = Zone::new(39);
    let readers = zone.run(0, 3_000);
    zone.store_unreachable = vec![readers[0]];
    assert_eq!(zone.run(3_000, 9_000), readers);
    let other = (0..39).find(|i| !readers.contains(i)).expect("37 more");
    assert!(zone.instances[other].has_live_reader(9_000));
    assert!(!zone.instances[other].all_report_store_unreachable(9_000));
}

/// A reader that reports the store unreachable does not count: others try to read the store.
#[test]
fn others_take_over_when_the_store_rejects_both_readers() {
    let mut zone = Zone::new(39);
    zone.store_unreachable = zone.run(0, 3_000);
    zone.run(3_000, 6_000);
    for now in (6_000..9_000).step_by(HEARTBEAT_INTERVAL_MS as usize) {
        let reading = zone.send_heartbeats(now, 1);
        assert!((3..6).contains(&reading.len()), "{reading:?} at {now}");
    }
    let reading = zone.run(9_000, 12_000);
    let follower = (0..39).find(|i| !reading.contains(i));
    assert!(zone.instances[follower.expect("a follower")].has_live_reader(12_000));
}

#[test]
fn a_follower_fetches_from_a_reader_that_is_ahead() {
    let mut readers = Readers::new(0);
    let names: Vec<String> = (0..39).map(|i| format!("n{i}")).collect();
    let zone: Vec<Candidate<'_>> = names.iter().map(|n| candidate(n, 10)).collect();
    readers.set_zone(&zone[0], &zone);
    readers.record_heartbeat(10, addr(1), heartbeat(0, 5, false));
    readers.record_heartbeat(10, addr(2), heartbeat(1, 7, false));
    assert_eq!(readers.reader_ahead(20, 0, 7), None);
    assert_eq!(readers.reader_ahead(20, 0, 5), Some(addr(2)));
    readers.remove_reader(addr(2));
    assert_eq!(readers.reader_ahead(20, 0, 5), None);
    assert_eq!(readers.reader_ahead(20, 0, 4), Some(addr(1)));
    assert_eq!(
        readers.reader_ahead(5_000, 0, 4),
        None,
        "the heartbeat has timed out"
    );
}

/// Guards against a version that takes a second to reach a zone, because readers with narrow links send it to a dozen others each.
#[test]
fn the_instances_with_the_highest_bandwidth_read() {
    let names: Vec<String> = (0..24).map(|i| format!("n{i}")).collect();
    let bandwidth = |i: usize| if i % 11 == 3 { 200 } else { 10 };
    let zone: Vec<Candidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(i, n)| candidate(n, bandwidth(i)))
        .collect();
    for (i, me) in zone.iter().enumerate() {
        let mut readers = Readers::new(0);
        readers.set_zone(me, &zone);
        assert_eq!(readers.role(0) == Role::Reader, bandwidth(i) == 200);
    }
}

/// Guards against followers that wait for readers whose calls get no answer, until those consider the store unreachable.
#[test]
fn a_reader_whose_calls_fail_does_not_count() {
    let names: Vec<String> = (0..9).map(|i| format!("n{i}")).collect();
    let zone: Vec<Candidate<'_>> = names.iter().map(|n| candidate(n, 10)).collect();
    let follower = |me: &Candidate<'_>| {
        let mut readers = Readers::new(0);
        readers.set_zone(me, &zone);
        (readers.role(0) == Role::Follower).then_some(readers)
    };
    let mut readers = zone.iter().find_map(follower).expect("a follower");
    let failing = Heartbeat {
        last_call_failed: true,
        ..heartbeat(0, 5, false)
    };
    for now in (0..1_500).step_by(HEARTBEAT_INTERVAL_MS as usize) {
        readers.record_heartbeat(now, addr(1), failing.clone());
        readers.record_heartbeat(now, addr(2), failing.clone());
    }
    assert!(
        !readers.has_live_reader(1_000),
        "half of the shortest bound"
    );
    assert_eq!(readers.role(1_500), Role::Reader);
    assert!(
        !readers.all_report_store_unreachable(1_500),
        "the store may answer again at any moment"
    );
}
