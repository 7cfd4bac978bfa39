//! Connections to upstreams.
//!
//! A general HTTP client hides what has to be decided here: whether a request that failed was sent at
//! all, whether a kept connection is still clean, when one is closed because its caller left, and
//! how many an upstream takes. HTTP/1.1 itself is hyper's.

mod conn;
mod pool;

pub use conn::{Conn, SendError};
pub use pool::{ConnectError, Dialer, Target};
