//! Callers open more connections than the instance can keep.

use place::{Admission, CallerConnections, ConnectionId, Descriptors};

/// Hashes of two customers.
const HEAVY: u64 = 7;
const LIGHT: u64 = 8;

/// Returns the connections of an instance with a maximum number of them.
fn connections(max: usize) -> CallerConnections {
    CallerConnections::new(None, Some(max))
}

fn open(connections: &mut CallerConnections) -> ConnectionId {
    match connections.open() {
        Admission::Accepted(id) | Admission::Replaces { id, .. } => id,
        Admission::Denied => panic!("no connection is idle"),
    }
}

/// Opens a connection and serves a request on it.
fn serve(connections: &mut CallerConnections, customer: u64) -> ConnectionId {
    let id = open(connections);
    assert!(connections.begin(id));
    connections.end(id, customer);
    id
}

/// Guards against a process that is killed for the memory of its connections, or has no descriptors left for its
/// upstreams: the smallest instances have 88 MB, and 3,075 descriptors.
#[test]
fn the_scarcer_resource_limits_the_connections() {
    for (memory_mb, max_fds, most) in [(110, 4_100, 2_460), (88, 3_075, 1_845), (16, 4_100, 614)] {
        let max = Descriptors::divide(max_fds).callers;
        let mut connections = CallerConnections::new(Some(memory_mb), Some(max));
        for _ in 0..10_000 {
            connections.open();
        }
        assert_eq!(connections.open_count(), most);
    }
    let mut unlimited = CallerConnections::new(None, None);
    assert!((0..10_000).all(|_| matches!(unlimited.open(), Admission::Accepted(_))));
}

#[test]
fn the_connection_that_has_been_idle_for_longest_is_closed() {
    let mut connections = connections(3);
    let ids = [(); 3].map(|()| serve(&mut connections, LIGHT));
    assert!(connections.begin(ids[0]));
    connections.end(ids[0], LIGHT);
    let Admission::Replaces { closed, .. } = connections.open() else {
        panic!("the limit is reached");
    };
    assert_eq!(closed, ids[1]);
    assert!(!connections.begin(ids[1]), "closed before its next request");
    assert!(connections.begin(ids[0]) && connections.begin(ids[2]));
}

/// Guards against one customer whose many connections close those of all others.
#[test]
fn connections_of_the_customer_with_the_most_idle_ones_are_closed() {
    let mut connections = connections(20);
    let light = [(); 4].map(|()| serve(&mut connections, LIGHT));
    for _ in 0..200 {
        serve(&mut connections, HEAVY);
    }
    assert!(light.iter().all(|id| connections.begin(*id)));
}

/// Guards against closing a connection whose request is in progress.
#[test]
fn connections_in_use_stay_open() {
    let mut connections = connections(2);
    let ids = [(); 2].map(|()| open(&mut connections));
    assert!(ids.iter().all(|id| connections.begin(*id)));
    assert_eq!(connections.busy_count(), 2);
    assert_eq!(connections.open(), Admission::Denied);
    connections.close(ids[0]);
    assert_eq!((connections.open_count(), connections.busy_count()), (1, 1));
    assert!(matches!(connections.open(), Admission::Accepted(_)));
    // The end of a connection that is closed meanwhile changes nothing.
    connections.end(ids[0], LIGHT);
    assert_eq!(connections.open_count(), 2);
}
