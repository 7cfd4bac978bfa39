//! Gossip of small, urgent notices between instances.
//!
//! A change of the configuration or of the list of upstreams may be large, and queues behind other traffic on a link. What is
//! urgent about it is small: a newer version exists, a key is revoked, an upstream is leaving or gone, a request rate limit
//! changed, its address is used by another one, a zone is evacuated. An instance that learns of one of these sends a notice to a few peers at once, and so does
//! each of them. Later, notices are sent again to one peer at a time, for instances that were partitioned.
//!
//! Notices on the same subject are ordered by the store's revision, the version or the number of changes that they stem from:
//! the highest one wins, whatever the order of arrival. The crate does no I/O and uses no clock or randomness: the caller
//! chooses the peers and the times.

mod gossip;
mod notice;

pub use gossip::{Gossip, Received, FANOUT, ROUNDS, SAME_ZONE_FANOUT};
pub use notice::{deserialize_known, split_by_age, Notice, Subject};
