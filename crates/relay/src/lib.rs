//! Who reads the store, and what the others get from those that do.
//!
//! Were each instance to watch the store by itself, each change would cost as many calls as there are instances,
//! and so would each stretch of time in which nothing changes. In a zone of many instances two of them read
//! for all: they tell the others how far they have read, and the others fetch what is newer from them. An
//! instance that hears of no reader for a while reads by itself, so nothing depends on agreement: a third
//! reader costs calls, and a missing one some hundred milliseconds.
//!
//! No I/O, clock or randomness: the time comes in with each event, in milliseconds.

mod catch_up;
mod fetch_limiter;
mod readers;
mod replica;

pub use catch_up::{CatchUp, CatchUpSource};
pub use fetch_limiter::FetchLimiter;
pub use readers::{Candidate, Heartbeat, InitialSource, Readers, Role, HEARTBEAT_INTERVAL_MS};
pub use replica::{Cursor, Delta, Entry, Page, Replica};
