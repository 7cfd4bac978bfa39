//! Whom an instance turns to that has heard of something newer than what it has.

use std::net::SocketAddr;

use relay::{Lack, Next};

/// Half of the shortest time in which a change is to be in force, in milliseconds.
const HALF_MS: u64 = 1_000;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Guards against an instance that waits for its readers though it could know that it is behind.
#[test]
fn what_is_lacking_is_asked_of_readers_then_of_a_holder_then_of_the_store() {
    let mut lack = Lack::default();
    lack.has(7);
    assert_eq!(lack.next(0, 0), Next::Readers);
    lack.hear(100, 9);
    lack.hold(addr(1), 9, false);
    lack.hold(addr(2), 9, true);
    assert_eq!(lack.next(150, 0), Next::Readers);
    assert_eq!(lack.next(450, 0), Next::Peer(addr(2)), "the near one");
    lack.forget(addr(2));
    assert_eq!(lack.next(450, 0), Next::Peer(addr(1)));
    lack.forget(addr(1));
    assert_eq!(lack.next(450, 0), Next::Readers);
    assert_eq!(lack.next(100 + HALF_MS, 200), Next::Store);
    lack.has(9);
    assert_eq!(lack.next(100 + HALF_MS, 200), Next::Readers, "it has it");
    assert_eq!(lack.holder(), None);
}

/// In a storm of versions the time runs from the oldest one that is lacking, and starts anew with each that arrives.
#[test]
fn later_news_do_not_put_it_off() {
    let mut lack = Lack::default();
    lack.has(7);
    for (now, version) in [(0, 8), (300, 9), (600, 10), (900, 11)] {
        lack.hear(now, version);
        lack.hold(addr(1), version, true);
    }
    assert_eq!(lack.next(HALF_MS, 300), Next::Store);
    lack.has(9);
    assert_eq!(lack.next(HALF_MS, 300), Next::Peer(addr(1)), "since 600");
    lack.has(10);
    assert_eq!(lack.next(HALF_MS, 300), Next::Readers, "since 900");
}

/// More versions than are kept: the oldest one still counts.
#[test]
fn a_long_storm_keeps_its_beginning() {
    let mut lack = Lack::default();
    for version in 1..100 {
        lack.hear(version, version);
    }
    assert_eq!(lack.next(1 + HALF_MS, 0), Next::Store);
    lack.has(99);
    assert_eq!(lack.next(5_000, 0), Next::Readers);
}

/// Guards against an instance that asks one and the same holder without a pause, which has the version and can't pass it on.
#[test]
fn a_holder_is_asked_once_until_it_says_so_again() {
    let mut lack = Lack::default();
    lack.has(7);
    lack.hear(0, 9);
    lack.hold(addr(1), 9, true);
    assert_eq!(lack.turn(400, 0), Next::Peer(addr(1)));
    assert_eq!(lack.turn(400, 0), Next::Readers);
    lack.hold(addr(1), 9, true);
    assert_eq!(lack.turn(500, 0), Next::Peer(addr(1)));
    assert_eq!(lack.turn(700, 0), Next::Store);
}

/// An older word changes nothing.
#[test]
fn older_news_are_left_out() {
    let mut lack = Lack::default();
    lack.has(7);
    lack.hear(0, 9);
    lack.hear(10, 8);
    lack.hold(addr(3), 7, true);
    assert_eq!(lack.holder(), None);
    lack.hear(20, 5);
    lack.has(3);
    lack.hold(addr(1), 8, false);
    assert_eq!(lack.next(400, 0), Next::Peer(addr(1)));
}
