//! An instance of the router between callers and upstreams. It forwards requests of any method, and
//! leaves path and body unchanged.
//!
//! Each request is read, matched to a route and a customer, given tokens from the customer's
//! budget, sent to an upstream, answered and settled. A [`Dialect`] defines the formats on the wire
//! and in the store.
//!
//! The decisions are made by crates that do no I/O: `place` chooses upstreams, `engine` keeps what is
//! known of their load, `escrow` divides budgets among instances, `relay` selects the instances that read
//! the store, `notice` spreads urgent changes, `suspect` detects requests that crash upstreams, `origin`
//! keeps which software version began a stream, `transit` decides when another instance forwards a request,
//! and `waiting` in which order requests wait for upstreams. This crate runs the tasks and does the I/O.
//! Tasks share state through handles that can be cloned.

mod accounts;
mod attempt;
mod attempt_error;
mod body;
mod budgets;
mod buffered;
mod caller_stream;
mod client_limits;
mod config;
mod connect;
mod connection;
mod connections;
mod datagram;
mod dialect;
#[cfg(test)]
#[path = "../tests/encoding/mod.rs"]
mod encoding;
mod evacuation;
pub mod event;
mod exchange;
mod fleet;
mod follower;
mod instance;
mod listen;
mod liveness;
mod log;
mod metrics;
mod notices;
mod ops;
mod origins;
mod overload_log;
mod peers;
mod pipeline;
mod refusal;
mod relay;
mod replication;
mod request_body;
mod request_context;
mod request_info;
mod response_end;
mod response_memory;
mod roster;
mod router;
mod sse;
mod store_calls;
mod store_health;
mod stream;
mod suspect_gossip;
mod suspect_store;
mod suspects;
mod traffic;
mod transit;
mod upstream_list;
mod version_store;
mod wait;
mod wait_queues;

pub use dialect::{AdvertisedLimit, Dialect, Disposition, Pause, ResponseInfo};
pub use instance::{Instance, InstanceDeps};
pub use log::exit_on_panic;
pub use refusal::Refusal;
pub use request_info::{AttemptContext, RequestInfo};
pub use sse::SseParser;
