//! Who reads the store: a zone of 39 instances, two of which are to read for all.

use std::net::SocketAddr;

use relay::{Candidate, Heartbeat, Readers, Role, HEARTBEAT_INTERVAL_MS};

/// The shortest time in which a change of the configuration is to be in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 2_000;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 1))
}

fn head(rank: usize, revision: i64, out: bool) -> Heartbeat {
    Heartbeat {
        rank,
        revisions: vec![revision],
        store_unreachable: out,
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

/// A zone whose instances hear each other's words at once.
struct Zone {
    all: Vec<Readers>,
    /// Those that say nothing: they froze, ended, or are cut off from the others.
    silent: Vec<usize>,
    /// Those that the store does not answer.
    out: Vec<usize>,
}

impl Zone {
    fn open(count: usize) -> Zone {
        let names: Vec<String> = (0..count).map(|i| format!("n{i}")).collect();
        let zone: Vec<Candidate<'_>> = names.iter().map(|n| candidate(n, 10)).collect();
        let open = |me: &Candidate<'_>| {
            let mut readers = Readers::new(0);
            readers.set_zone(me, &zone);
            readers
        };
        Zone {
            all: zone.iter().map(open).collect(),
            silent: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Lets those that read say so, and returns who they are.
    fn beat(&mut self, now: u64, revision: i64) -> Vec<usize> {
        let reads = |i: &usize| self.all[*i].role(now) == Role::Reader;
        let reading: Vec<usize> = (0..self.all.len()).filter(reads).collect();
        for i in reading.iter().filter(|i| !self.silent.contains(i)) {
            let head = head(self.all[*i].rank(), revision, self.out.contains(i));
            for (j, other) in self.all.iter_mut().enumerate() {
                if j != *i {
                    other.record_heartbeat(now, addr(*i), head.clone());
                }
            }
        }
        reading
    }

    fn run(&mut self, from: u64, to: u64) -> Vec<usize> {
        let mut reading = Vec::new();
        for now in (from..=to).step_by(25) {
            if now % HEARTBEAT_INTERVAL_MS == 0 {
                reading = self.beat(now, 1);
            }
        }
        reading
    }
}

#[test]
fn two_of_a_large_zone_read_and_all_of_a_small_one() {
    assert_eq!(Zone::open(39).run(0, 10_000).len(), 2);
    assert_eq!(Zone::open(7).run(0, 10_000).len(), 2);
    assert_eq!(Zone::open(6).run(0, 10_000).len(), 6);
    assert_eq!(Zone::open(1).run(0, 10_000).len(), 1);
}

/// Both readers fall silent at once: others read in time for a change that comes just then.
#[test]
fn others_read_when_both_readers_fall_silent() {
    let mut zone = Zone::open(39);
    let readers = zone.run(0, 3_000);
    zone.silent = readers.clone();
    let late = IN_FORCE_MS / 2 + 400;
    for now in (3_000..3_000 + late).step_by(HEARTBEAT_INTERVAL_MS as usize) {
        zone.beat(now, 1);
    }
    let now = 3_000 + late;
    let unfed = (0..39).filter(|i| !readers.contains(i));
    let blind = |i: &usize| {
        let other = &zone.all[*i];
        other.role(now) == Role::Follower && !other.has_live_reader(now)
    };
    assert_eq!(
        unfed.filter(blind).count(),
        0,
        "nobody is left without news"
    );
    let reading = zone.beat(now, 1);
    assert!(reading.len() < 20, "{} read", reading.len());
}

/// One reader is cut off from the store, or turned away by it: the other one is enough.
#[test]
fn one_reader_out_of_reach_of_the_store_changes_nothing() {
    let mut zone = Zone::open(39);
    let readers = zone.run(0, 3_000);
    zone.out = vec![readers[0]];
    assert_eq!(zone.run(3_000, 9_000), readers);
    let other = (0..39).find(|i| !readers.contains(i)).expect("37 more");
    assert!(zone.all[other].has_live_reader(9_000));
    assert!(!zone.all[other].all_report_store_unreachable(9_000));
}

/// Readers that say that the store is out of their reach feed nobody: the others look for themselves.
#[test]
fn others_read_when_the_store_turns_both_readers_away() {
    let mut zone = Zone::open(39);
    zone.out = zone.run(0, 3_000);
    zone.run(3_000, 6_000);
    for now in (6_000..9_000).step_by(HEARTBEAT_INTERVAL_MS as usize) {
        let reading = zone.beat(now, 1);
        assert!((3..6).contains(&reading.len()), "{reading:?} at {now}");
    }
    let reading = zone.run(9_000, 12_000);
    let follower = (0..39).find(|i| !reading.contains(i));
    assert!(zone.all[follower.expect("a follower")].has_live_reader(12_000));
}

#[test]
fn a_follower_fetches_from_one_that_knows_more() {
    let mut readers = Readers::new(0);
    let names: Vec<String> = (0..39).map(|i| format!("n{i}")).collect();
    let zone: Vec<Candidate<'_>> = names.iter().map(|n| candidate(n, 10)).collect();
    readers.set_zone(&zone[0], &zone);
    readers.record_heartbeat(10, addr(1), head(0, 5, false));
    readers.record_heartbeat(10, addr(2), head(1, 7, false));
    assert_eq!(readers.reader_ahead(20, 0, 7), None);
    assert_eq!(readers.reader_ahead(20, 0, 5), Some(addr(2)));
    readers.remove_reader(addr(2));
    assert_eq!(readers.reader_ahead(20, 0, 5), None);
    assert_eq!(readers.reader_ahead(20, 0, 4), Some(addr(1)));
    assert_eq!(
        readers.reader_ahead(5_000, 0, 4),
        None,
        "a word that is old says nothing"
    );
}

/// Guards against a version that takes a second to reach a zone: it goes from each reader to a dozen others.
#[test]
fn the_widest_links_read() {
    let names: Vec<String> = (0..24).map(|i| format!("n{i}")).collect();
    let width = |i: usize| if i % 11 == 3 { 200 } else { 10 };
    let zone: Vec<Candidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(i, n)| candidate(n, width(i)))
        .collect();
    for (i, me) in zone.iter().enumerate() {
        let mut readers = Readers::new(0);
        readers.set_zone(me, &zone);
        assert_eq!(readers.role(0) == Role::Reader, width(i) == 200);
    }
}

/// Guards against followers that wait for readers whose calls have no answer, until those take the store for out of reach.
#[test]
fn a_reader_whose_calls_fail_feeds_nobody() {
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
        ..head(0, 5, false)
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
        "it may be back any moment"
    );
}
