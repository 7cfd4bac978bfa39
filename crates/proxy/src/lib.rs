//! One instance between callers and upstreams: any method, path and body goes on unchanged.
//!
//! A request passes: read → route and customer → tokens → upstream → answer → settlement. What callers,
//! upstreams and the store speak is a [`Dialect`]; decisions are those of `escrow` and `place`; each
//! task here owns its state and hands out a handle.

mod ask;
mod attempt;
mod body;
mod budgets;
mod calls;
mod config;
mod datagram;
mod dialect;
#[cfg(test)]
#[path = "../tests/encoding/mod.rs"]
mod encoding;
mod evacuation;
pub mod event;
mod events;
mod fleet;
mod follow;
mod instance;
mod job;
mod kept;
mod listen;
mod listing;
mod log;
mod metric;
mod notices;
mod ops;
mod passed;
mod peers;
mod pipe;
mod plain;
mod reach;
mod refusal;
mod relay;
mod roster;
mod router;
mod stream;
mod suspects;
mod tell;
mod traffic;

pub use ask::{Ask, Sending};
pub use dialect::{AdvertisedLimit, Dialect, Reading, Rest, Word};
pub use events::Events;
pub use instance::{Instance, Parts};
pub use log::end_on_panic;
pub use refusal::Refusal;
