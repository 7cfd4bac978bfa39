//! Runs instances as separate processes, with stubs of the platform and proxies on loopback in the
//! controlling process, injects faults by a seeded schedule, and checks from outside what callers,
//! upstreams and the store saw.

pub mod callers;
pub mod checks;
pub mod coverage;
pub mod fleet;
pub mod peer_paths;
pub mod report;
mod retry_schedule;
pub mod run;
pub mod schedule;
