//! Connections to upstreams.
//!
//! A general HTTP client hides what has to be decided here: whether a failed request was sent at all,
//! whether an idle connection can be reused, when a connection is closed because its caller has
//! disconnected, and how many connections an upstream accepts. HTTP/1.1 itself is implemented by hyper.

mod conn;
mod pool;
mod socket;

pub use conn::{is_lost, Conn, SendError};
pub use pool::{set_send_buffer_size, set_socket_options, ConnectError, Dialer, Target};
