//! How many connections an instance may have to one upstream, out of those that all instances share.
//!
//! The load that this answers: one caller sends many times what others do, and all of it through the instance that its address
//! leads to. An equal part of the connections, five of four hundred in a fleet of eighty, stops it there while the
//! upstream has room.

/// Part of an upstream's connections that all instances together use: others may use it too.
const USED_PCT: usize = 80;
/// An instance that carries more than its part takes so many of them at most, in parts of all: a few such instances and the
/// equal parts of the others fit beside each other.
const HEAVY_PART: usize = 8;

/// Returns the connections that one of some instances may have to an upstream that takes so many in all; none where it names
/// no bound.
pub fn max_connections(all: usize, sharers: usize) -> Option<usize> {
    let used = all * USED_PCT / 100;
    let equal = used / sharers.max(1);
    (all > 0).then_some(equal.max(used / HEAVY_PART).max(1))
}
