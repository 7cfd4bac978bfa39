//! The instances of a simulated zone, and what its readers broadcast.

use std::net::SocketAddr;

use relay::{Candidate, Heartbeat, Readers};

/// Returns the names of some instances.
pub(crate) fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("n{i}")).collect()
}

/// Returns the instances of those names, all with narrow links.
pub(crate) fn zone(names: &[String]) -> Vec<Candidate<'_>> {
    let candidates = names.iter().map(|name| Candidate {
        name,
        link_mbps: Some(20),
    });
    candidates.collect()
}

/// Has all others hear up to where one has read.
pub(crate) fn broadcast(readers: &mut [Readers], now: u64, from: usize, revision: i64) {
    let head = Heartbeat {
        rank: readers[from].rank(),
        revisions: vec![revision],
        store_unreachable: false,
        last_call_failed: false,
        ms_since_recovery: None,
    };
    let others = readers.iter_mut().enumerate().filter(|(i, _)| *i != from);
    for (_, other) in others {
        other.record_heartbeat(now, addr(from), head.clone());
    }
}

/// Returns the address of an instance.
pub(crate) fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 256) as u8, (i % 256) as u8], 1))
}

/// Returns which instance has an address.
pub(crate) fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("an address of the test");
    };
    let octets = addr.ip().octets();
    usize::from(octets[2]) * 256 + usize::from(octets[3])
}
