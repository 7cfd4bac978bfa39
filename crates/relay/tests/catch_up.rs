//! Which source an instance fetches from that knows of a newer version than its own.

use std::net::SocketAddr;

use relay::{CatchUp, CatchUpSource};

/// Half of the shortest time within which a change must be in force, in milliseconds.
const HALF_BOUND_MS: u64 = 1_000;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Guards against an instance that keeps waiting for its readers though it knows of a newer version.
#[test]
fn readers_come_before_a_holder_and_a_holder_before_the_store() {
    let mut catch_up = CatchUp::default();
    catch_up.set_current(7);
    assert_eq!(catch_up.peek_source(0, 0), CatchUpSource::Readers);
    catch_up.record_version(100, 9);
    catch_up.add_holder(addr(1), 9, false);
    catch_up.add_holder(addr(2), 9, true);
    assert_eq!(catch_up.peek_source(150, 0), CatchUpSource::Readers);
    assert_eq!(
        catch_up.peek_source(450, 0),
        CatchUpSource::Peer(addr(2)),
        "the holder in the own zone"
    );
    catch_up.remove_holder(addr(2));
    assert_eq!(catch_up.peek_source(450, 0), CatchUpSource::Peer(addr(1)));
    catch_up.remove_holder(addr(1));
    assert_eq!(catch_up.peek_source(450, 0), CatchUpSource::Readers);
    assert_eq!(
        catch_up.peek_source(100 + HALF_BOUND_MS, 200),
        CatchUpSource::Store
    );
    catch_up.set_current(9);
    assert_eq!(
        catch_up.peek_source(100 + HALF_BOUND_MS, 200),
        CatchUpSource::Readers,
        "nothing is missing"
    );
    assert_eq!(catch_up.holder(), None);
}

/// When versions follow each other quickly, the time counts from the oldest missing one, and from the next one once that is in
/// force.
#[test]
fn later_versions_do_not_delay_the_fetch_of_earlier_ones() {
    let mut catch_up = CatchUp::default();
    catch_up.set_current(7);
    for (now, version) in [(0, 8), (300, 9), (600, 10), (900, 11)] {
        catch_up.record_version(now, version);
        catch_up.add_holder(addr(1), version, true);
    }
    assert_eq!(
        catch_up.peek_source(HALF_BOUND_MS, 300),
        CatchUpSource::Store
    );
    catch_up.set_current(9);
    assert_eq!(
        catch_up.peek_source(HALF_BOUND_MS, 300),
        CatchUpSource::Peer(addr(1)),
        "behind since 600"
    );
    catch_up.set_current(10);
    assert_eq!(
        catch_up.peek_source(HALF_BOUND_MS, 300),
        CatchUpSource::Readers,
        "behind since 900"
    );
}

/// More versions are missing than are remembered: the time still counts from the oldest one.
#[test]
fn the_oldest_missing_version_is_remembered() {
    let mut catch_up = CatchUp::default();
    for version in 1..100 {
        catch_up.record_version(version, version);
    }
    assert_eq!(
        catch_up.peek_source(1 + HALF_BOUND_MS, 0),
        CatchUpSource::Store
    );
    catch_up.set_current(99);
    assert_eq!(catch_up.peek_source(5_000, 0), CatchUpSource::Readers);
}

/// Guards against an instance that asks the same holder in a loop, though that has the version but can't pass it on.
#[test]
fn a_holder_is_asked_once_for_each_of_its_reports() {
    let mut catch_up = CatchUp::default();
    catch_up.set_current(7);
    catch_up.record_version(0, 9);
    catch_up.add_holder(addr(1), 9, true);
    assert_eq!(catch_up.next_source(400, 0), CatchUpSource::Peer(addr(1)));
    assert_eq!(catch_up.next_source(400, 0), CatchUpSource::Readers);
    catch_up.add_holder(addr(1), 9, true);
    assert_eq!(catch_up.next_source(500, 0), CatchUpSource::Peer(addr(1)));
    assert_eq!(catch_up.next_source(700, 0), CatchUpSource::Store);
}

/// Reports of older versions, or of the version in force, change nothing.
#[test]
fn outdated_reports_are_ignored() {
    let mut catch_up = CatchUp::default();
    catch_up.set_current(7);
    catch_up.record_version(0, 9);
    catch_up.record_version(10, 8);
    catch_up.add_holder(addr(3), 7, true);
    assert_eq!(catch_up.holder(), None);
    catch_up.record_version(20, 5);
    catch_up.set_current(3);
    catch_up.add_holder(addr(1), 8, false);
    assert_eq!(catch_up.peek_source(400, 0), CatchUpSource::Peer(addr(1)));
}

/// Guards against an instance that asks only its own zone while the whole zone lacks a version: a known holder in another zone
/// comes first.
#[test]
fn a_holder_in_another_zone_comes_before_zone_peers_that_may_lack_the_version() {
    let (zone_peer, holder) = (addr(2), addr(9));
    let mut catch_up = CatchUp::default();
    catch_up.set_current(7);
    catch_up.record_version(0, 9);
    catch_up.add_holder(holder, 9, false);
    let peer = Some(zone_peer);
    assert_eq!(
        catch_up.alternative_source(100, 0, peer),
        CatchUpSource::Peer(zone_peer)
    );
    assert_eq!(
        catch_up.alternative_source(350, 0, peer),
        CatchUpSource::Peer(holder)
    );
    // The holder did not answer.
    assert_eq!(
        catch_up.alternative_source(400, 0, peer),
        CatchUpSource::Peer(zone_peer)
    );
    assert_eq!(
        catch_up.alternative_source(700, 0, peer),
        CatchUpSource::Store
    );
}
