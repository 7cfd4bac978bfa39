//! Small stand-ins for the platform, the engines and plain services.
//!
//! Each keeps its own ledger, which proofs read, and has switches for its faults.

pub mod engine;
pub mod platform;
pub mod registration;
pub mod scheduler;
pub mod service;
pub mod store;
