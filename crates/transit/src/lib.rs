//! Requests of an instance that has lost its paths to upstreams go through another instance.
//!
//! An instance may lose its paths while callers and other instances still reach it. It still decides
//! about its requests; another instance only forwards them to the upstreams that it has chosen. The
//! crate decides when requests need that, which instance forwards them, and how many an instance
//! forwards for others. It does no I/O and uses neither a clock nor randomness.

mod capacity;
mod paths;
mod peers;

pub use capacity::Capacity;
pub use paths::{Mode, Paths, Probe, ProbeResult, Tick};
pub use peers::{Criteria, Denial, Distance, Peer, Peers, Report};
