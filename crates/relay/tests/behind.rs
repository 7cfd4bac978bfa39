//! Whom an instance turns to that has heard of something newer than what it has.

use std::net::SocketAddr;

use relay::{Behind, Next};

/// Half of the shortest time in which a change is to be in force, in milliseconds.
const HALF_MS: u64 = 1_000;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Guards against an instance that waits for its readers though it could know that it is behind.
#[test]
fn what_is_lacking_is_asked_of_readers_then_of_a_holder_then_of_the_store() {
    let mut behind = Behind::default();
    behind.has(7);
    assert_eq!(behind.next(0, 0), Next::Readers);
    behind.hear(100, 9);
    behind.hold(addr(1), 9, false);
    behind.hold(addr(2), 9, true);
    assert_eq!(behind.next(150, 0), Next::Readers);
    assert_eq!(behind.next(450, 0), Next::Peer(addr(2)), "the near one");
    behind.forget(addr(2));
    assert_eq!(behind.next(450, 0), Next::Peer(addr(1)));
    behind.forget(addr(1));
    assert_eq!(behind.next(450, 0), Next::Readers);
    assert_eq!(behind.next(100 + HALF_MS, 200), Next::Store);
    behind.has(9);
    assert_eq!(behind.next(100 + HALF_MS, 200), Next::Readers, "it has it");
    assert_eq!(behind.holder(), None);
}

/// In a storm of versions the time runs from the oldest one that is lacking, and starts anew with each that arrives.
#[test]
fn later_news_do_not_put_it_off() {
    let mut behind = Behind::default();
    behind.has(7);
    for (now, version) in [(0, 8), (300, 9), (600, 10), (900, 11)] {
        behind.hear(now, version);
        behind.hold(addr(1), version, true);
    }
    assert_eq!(behind.next(HALF_MS, 300), Next::Store);
    behind.has(9);
    assert_eq!(behind.next(HALF_MS, 300), Next::Peer(addr(1)), "since 600");
    behind.has(10);
    assert_eq!(behind.next(HALF_MS, 300), Next::Readers, "since 900");
}

/// More versions than are kept: the oldest one still counts.
#[test]
fn a_long_storm_keeps_its_beginning() {
    let mut behind = Behind::default();
    for version in 1..100 {
        behind.hear(version, version);
    }
    assert_eq!(behind.next(1 + HALF_MS, 0), Next::Store);
    behind.has(99);
    assert_eq!(behind.next(5_000, 0), Next::Readers);
}

/// Guards against an instance that asks one and the same holder without a pause, which has the version and can't pass it on.
#[test]
fn a_holder_is_asked_once_until_it_says_so_again() {
    let mut behind = Behind::default();
    behind.has(7);
    behind.hear(0, 9);
    behind.hold(addr(1), 9, true);
    assert_eq!(behind.turn(400, 0), Next::Peer(addr(1)));
    assert_eq!(behind.turn(400, 0), Next::Readers);
    behind.hold(addr(1), 9, true);
    assert_eq!(behind.turn(500, 0), Next::Peer(addr(1)));
    assert_eq!(behind.turn(700, 0), Next::Store);
}

/// An older word changes nothing.
#[test]
fn older_news_are_left_out() {
    let mut behind = Behind::default();
    behind.has(7);
    behind.hear(0, 9);
    behind.hear(10, 8);
    behind.hold(addr(3), 7, true);
    assert_eq!(behind.holder(), None);
    behind.hear(20, 5);
    behind.has(3);
    behind.hold(addr(1), 8, false);
    assert_eq!(behind.next(400, 0), Next::Peer(addr(1)));
}

/// Guards against an instance whose whole zone lacks a version, and that asks only its zone: the one in another zone that is known to
/// have it comes first.
#[test]
fn a_holder_in_another_zone_goes_before_neighbours_that_may_lack_it_too() {
    let (neighbour, holder) = (addr(2), addr(9));
    let mut behind = Behind::default();
    behind.has(7);
    behind.hear(0, 9);
    behind.hold(holder, 9, false);
    let peer = Some(neighbour);
    assert_eq!(behind.elsewhere(100, 0, peer), Next::Peer(neighbour));
    assert_eq!(behind.elsewhere(350, 0, peer), Next::Peer(holder));
    // It did not answer.
    assert_eq!(behind.elsewhere(400, 0, peer), Next::Peer(neighbour));
    assert_eq!(behind.elsewhere(700, 0, peer), Next::Store);
}
