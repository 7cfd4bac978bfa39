//! Simulations of the real budget and routing decisions: randomised runs with faults, and
//! comparisons of policies.
//!
//! The crates `budget` and `route` make the decisions. Everything around them is a small fake: the
//! platform, the network between instances, engines that count the tokens they serve, and callers.
//! Time is a number of milliseconds that the simulation advances, so a run never sleeps.

mod actions;
mod entry;
pub mod fault;
pub mod invariants;
pub mod load;
pub mod node;
pub mod platform;
pub mod policy;
pub mod report;
pub mod request;
mod sim_event;
pub mod simulation;
pub mod trace;

pub use policy::Policy;
pub use simulation::Simulation;
pub use trace::Trace;
