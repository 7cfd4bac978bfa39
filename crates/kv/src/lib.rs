//! Client of the platform's key-value service, in the etcd v3 JSON protocol.
//!
//! Only single-key compare-and-swap, leases and watches are used. Every call is counted.

pub mod client;
pub mod wire;

pub use client::{Client, Counts, Failure, Found, Swap};
