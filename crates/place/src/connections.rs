//! Limit on the connections of one instance to an upstream, out of those that all instances share.
//!
//! A single caller may send many times what others do, all of it through the instance that its address
//! maps to. An equal share of the connections, such as five of four hundred in a fleet of eighty, would
//! hold it up there while the upstream has capacity left.

/// Percentage of an upstream's connections that all instances together use: other clients may use the
/// upstream too.
const USED_PCT: usize = 80;
/// An instance with more than its share of the load uses at most one in this many of the connections:
/// a few such instances fit beside the equal shares of the others.
const HEAVY_DIVISOR: usize = 8;

/// Returns the maximum number of connections that one of `sharers` instances may have to an upstream
/// that accepts `total`; none if `total` is 0, which stands for no limit.
pub fn max_connections(total: usize, sharers: usize) -> Option<usize> {
    let used = total * USED_PCT / 100;
    let equal = used / sharers.max(1);
    (total > 0).then_some(equal.max(used / HEAVY_DIVISOR).max(1))
}
