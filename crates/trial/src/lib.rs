//! Randomised runs and policy trials: the real budget decisions in a step loop with small fakes.
//!
//! The fakes stand at the interfaces of the decisions: a platform, a network between instances,
//! engines that count what they serve, and callers. Time is a number; nothing waits.

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
