//! Whom an instance turns to that has heard of something newer than what it has.

use std::net::SocketAddr;

use relay::{CatchUp, CatchUpSource};

/// Half of the shortest time in which a change is to be in force, in milliseconds.
const HALF_MS: u64 = 1_000;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Guards against an instance that waits for its readers though it could know that it is behind.
#[test]
fn what_is_lacking_is_asked_of_readers_then_of_a_holder_then_of_the_store() {
    let mut behind = CatchUp::default();
    behind.set_current(7);
    assert_eq!(behind.peek_source(0, 0), CatchUpSource::Readers);
    behind.record_version(100, 9);
    behind.add_holder(addr(1), 9, false);
    behind.add_holder(addr(2), 9, true);
    assert_eq!(behind.peek_source(150, 0), CatchUpSource::Readers);
    assert_eq!(
        behind.peek_source(450, 0),
        CatchUpSource::Peer(addr(2)),
        "the near one"
    );
    behind.remove_holder(addr(2));
    assert_eq!(behind.peek_source(450, 0), CatchUpSource::Peer(addr(1)));
    behind.remove_holder(addr(1));
    assert_eq!(behind.peek_source(450, 0), CatchUpSource::Readers);
    assert_eq!(behind.peek_source(100 + HALF_MS, 200), CatchUpSource::Store);
    behind.set_current(9);
    assert_eq!(
        behind.peek_source(100 + HALF_MS, 200),
        CatchUpSource::Readers,
        "it has it"
    );
    assert_eq!(behind.holder(), None);
}

/// In a storm of versions the time runs from the oldest one that is lacking, and starts anew with each that arrives.
#[test]
fn later_news_do_not_put_it_off() {
    let mut behind = CatchUp::default();
    behind.set_current(7);
    for (now, version) in [(0, 8), (300, 9), (600, 10), (900, 11)] {
        behind.record_version(now, version);
        behind.add_holder(addr(1), version, true);
    }
    assert_eq!(behind.peek_source(HALF_MS, 300), CatchUpSource::Store);
    behind.set_current(9);
    assert_eq!(
        behind.peek_source(HALF_MS, 300),
        CatchUpSource::Peer(addr(1)),
        "since 600"
    );
    behind.set_current(10);
    assert_eq!(
        behind.peek_source(HALF_MS, 300),
        CatchUpSource::Readers,
        "since 900"
    );
}

/// More versions than are kept: the oldest one still counts.
#[test]
fn a_long_storm_keeps_its_beginning() {
    let mut behind = CatchUp::default();
    for version in 1..100 {
        behind.record_version(version, version);
    }
    assert_eq!(behind.peek_source(1 + HALF_MS, 0), CatchUpSource::Store);
    behind.set_current(99);
    assert_eq!(behind.peek_source(5_000, 0), CatchUpSource::Readers);
}

/// Guards against an instance that asks one and the same holder without a pause, which has the version and can't pass it on.
#[test]
fn a_holder_is_asked_once_until_it_says_so_again() {
    let mut behind = CatchUp::default();
    behind.set_current(7);
    behind.record_version(0, 9);
    behind.add_holder(addr(1), 9, true);
    assert_eq!(behind.next_source(400, 0), CatchUpSource::Peer(addr(1)));
    assert_eq!(behind.next_source(400, 0), CatchUpSource::Readers);
    behind.add_holder(addr(1), 9, true);
    assert_eq!(behind.next_source(500, 0), CatchUpSource::Peer(addr(1)));
    assert_eq!(behind.next_source(700, 0), CatchUpSource::Store);
}

/// An older word changes nothing.
#[test]
fn older_news_are_left_out() {
    let mut behind = CatchUp::default();
    behind.set_current(7);
    behind.record_version(0, 9);
    behind.record_version(10, 8);
    behind.add_holder(addr(3), 7, true);
    assert_eq!(behind.holder(), None);
    behind.record_version(20, 5);
    behind.set_current(3);
    behind.add_holder(addr(1), 8, false);
    assert_eq!(behind.peek_source(400, 0), CatchUpSource::Peer(addr(1)));
}

/// Guards against an instance whose whole zone lacks a version, and that asks only its zone: the one in another zone that is known to
/// have it comes first.
#[test]
fn a_holder_in_another_zone_goes_before_neighbours_that_may_lack_it_too() {
    let (neighbour, holder) = (addr(2), addr(9));
    let mut behind = CatchUp::default();
    behind.set_current(7);
    behind.record_version(0, 9);
    behind.add_holder(holder, 9, false);
    let peer = Some(neighbour);
    assert_eq!(
        behind.alternative_source(100, 0, peer),
        CatchUpSource::Peer(neighbour)
    );
    assert_eq!(
        behind.alternative_source(350, 0, peer),
        CatchUpSource::Peer(holder)
    );
    // It did not answer.
    assert_eq!(
        behind.alternative_source(400, 0, peer),
        CatchUpSource::Peer(neighbour)
    );
    assert_eq!(
        behind.alternative_source(700, 0, peer),
        CatchUpSource::Store
    );
}
