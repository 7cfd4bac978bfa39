//! The instances of a simulated zone, and the heartbeats of its readers.

use std::net::SocketAddr;

use relay::{Candidate, Heartbeat, Readers};

/// Returns the names of a number of instances.
pub(crate) fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("n{i}")).collect()
}

/// Returns the instances with these names, all with narrow links.
pub(crate) fn zone(names: &[String]) -> Vec<Candidate<'_>> {
    let candidates = names.iter().map(|name| Candidate {
        name,
        link_mbps: Some(20),
    });
    candidates.collect()
}

/// Sends a heartbeat of one instance, which has read up to a revision, to all others.
pub(crate) fn broadcast_heartbeat(readers: &mut [Readers], now: u64, from: usize, revision: i64) {
    let heartbeat = Heartbeat {
        rank: readers[from].rank(),
        revisions: vec![revision],
        store_unreachable: false,
        last_call_failed: false,
        ms_since_recovery: None,
    };
    let others = readers.iter_mut().enumerate().filter(|(i, _)| *i != from);
    for (_, other) in others {
        other.record_heartbeat(now, addr(from), heartbeat.clone());
    }
}

/// Returns the address of an instance.
pub(crate) fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 256) as u8, (i % 256) as u8], 1))
}

/// Returns the index of the instance with an address.
pub(crate) fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("not an address of the simulation");
    };
    let octets = addr.ip().octets();
    usize::from(octets[2]) * 256 + usize::from(octets[3])
}
