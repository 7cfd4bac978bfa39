//! Which requests end the upstreams that run them.
//!
//! The load that this answers: a request that crashes each upstream which begins to run it, and with that upstream all else that
//! runs there. Its caller sends it again, with another id, to whichever instance; each upstream that it reaches is one
//! fewer for everybody. An upstream that ends says nothing of the cause, and most of what ran there is innocent: what
//! tells the one that did it is that it was there at the ends of several upstreams, and was never answered.
//!
//! Instances tell each other. What they know of a request is a set of ended upstreams, so that words may come twice, late and
//! in any order. No I/O, clock or randomness: the time comes in with each event, in milliseconds.

mod answered;
mod broken;
mod digest;
mod entry;
mod record;
mod table;

pub use digest::Digest;
pub use record::{CrashReport, SuspectRecord};
pub use table::{Admission, CrashHistory, SuspectTable};
