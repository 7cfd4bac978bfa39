//! The filters that a request passes, one file each.
//!
//! A chat goes parse → authenticate → admit and choose → reserve → relay → settle. A plain call
//! goes authenticate → claim (if it may not be repeated) → admit and choose → forward.

pub mod auth;
pub mod chat;
pub mod choose;
pub mod claim;
pub mod cx;
pub mod forward;
pub mod parse;
pub mod relay;
pub mod reserve;
pub mod settle;
pub mod sse;

pub use cx::Cx;
