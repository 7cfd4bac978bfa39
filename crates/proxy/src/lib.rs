//! One instance between callers and upstreams: any method, path and body goes on unchanged.
//!
//! A request passes: read → route and customer → tokens → upstream → answer → settlement. What callers,
//! upstreams and the store speak is a [`Dialect`]; decisions are those of `escrow` and `place`; each
//! task here owns its state and hands out a handle.

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
