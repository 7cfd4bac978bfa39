//! Addresses of the instances of a simulated zone.

use std::net::SocketAddr;

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
