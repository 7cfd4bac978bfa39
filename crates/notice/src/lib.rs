//! Small and urgent news, spread from instance to instance by gossip.
//!
//! A change of the configuration or of the list of upstreams may be large, and waits behind what else a link carries. What
//! must not wait is small: that there is a newer version, that a key is revoked, that an upstream leaves or is gone, that a
//! zone is evacuated. Whoever learns of it sends it to a few peers at once, and so does each of them; later on it is sent to one
//! peer after the other, for those that were cut off.
//!
//! A notice is ordered by the store's revision, or the version, that it stems from: the highest one wins, whatever the
//! order in which they arrive. No I/O, clock or randomness: who is a peer, and when, is the caller's.

mod gossip;
mod notice;

pub use gossip::{Gossip, Received, FANOUT, ROUNDS, SAME_ZONE_FANOUT};
pub use notice::{Notice, Subject};
