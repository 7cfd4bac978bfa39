//! The filters that a request passes, one file each.
//!
//! A chat goes parse → authenticate → admit and choose → reserve → relay → settle. A plain call
//! goes authenticate → claim (if it may not be repeated) → admit and choose → forward.

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
