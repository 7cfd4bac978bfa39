//! Stubs of the platform's key-value store, of model engines and of plain services, for development
//! and tests.
//!
//! Each stub keeps its own account of the calls that it executed, which tests and benchmarks read
//! at `/ledger`. It injects the faults that are posted to `/fault`.

pub mod engine;
pub mod platform;
pub mod registration;
pub mod scheduler;
pub mod service;
pub mod store;
