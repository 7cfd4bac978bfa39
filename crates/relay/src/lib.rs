//! Selects the instances that read the store, and replicates what they read to the others.
//!
//! If each instance watched the store by itself, each change would cost as many calls as there are instances, and so would each
//! interval in which nothing changes. In an availability zone of many instances two of them read for all: they broadcast how far
//! they have read, and the others fetch what is newer from them. An instance that receives no heartbeat of a reader for a while
//! reads the store itself, so nothing depends on agreement: a third reader costs calls, and a missing one some hundred
//! milliseconds.
//!
//! The crate does no I/O and uses no clock or randomness: the time is passed in with each event, in milliseconds.

mod catch_up;
mod fetch_limiter;
mod readers;
mod replica;

pub use catch_up::{CatchUp, CatchUpSource};
pub use fetch_limiter::FetchLimiter;
pub use readers::{Candidate, Heartbeat, InitialSource, Readers, Role, HEARTBEAT_INTERVAL_MS};
pub use replica::{Cursor, Delta, Entry, Page, Replica};
