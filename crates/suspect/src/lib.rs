//! Knows a request again that comes with another id.
//!
//! No I/O, clock or randomness.

mod digest;

pub use digest::Digest;
