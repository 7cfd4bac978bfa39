//! An instance of the router between callers and upstreams. It forwards requests of any method, and
//! leaves path and body unchanged.
//!
//! Each request is read, matched to a route and a customer, given tokens from the customer's
//! budget, sent to an upstream, answered and settled. A [`Dialect`] defines the formats on the wire
//! and in the store. The crates `escrow` and `place` make the decisions. Each task owns its state
//! and hands out a handle to it.

mod attempt;
mod bank;
mod body;
mod buffered;
mod config;
mod datagram;
mod dialect;
#[cfg(test)]
#[path = "../tests/encoding/mod.rs"]
mod encoding;
mod evacuation;
pub mod event;
mod fleet;
mod follow;
mod instance;
mod kept;
mod listen;
mod listing;
mod log;
mod metrics;
mod notices;
mod ops;
mod passed;
mod peers;
mod pipeline;
mod reach;
mod refusal;
mod relay;
mod request_context;
mod request_info;
mod roster;
mod router;
mod sse;
mod store_calls;
mod stream;
mod suspects;
mod tell;
mod traffic;

pub use dialect::{AdvertisedLimit, Dialect, Disposition, Pause, ResponseInfo};
pub use instance::{Dependencies, Instance};
pub use log::exit_on_panic;
pub use refusal::Refusal;
pub use request_info::{AttemptContext, RequestInfo};
pub use sse::SseParser;
