//! The stages of request processing.
//!
//! A chat completion is authenticated, parsed, admitted to an upstream, covered by a reservation,
//! relayed and settled. A call of a plain service is authenticated, claimed if it must not be
//! repeated, admitted to an upstream and forwarded.

pub mod auth;
pub mod chat;
pub mod chat_request;
pub mod choose;
pub mod claims;
pub mod context;
pub mod reservation;
pub mod service_call;
pub mod settlement;
pub mod sse;
pub mod stream;

pub use context::RequestContext;
