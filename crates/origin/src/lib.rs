//! Which software version of an upstream began a stream, for callers that continue it.
//!
//! Upstreams of several software versions may serve one service, and a stream may go on only at the
//! version that began it. A caller that continues a stream names only the request that began it, at
//! any instance. The instance that begins a stream therefore sends a record to a few others, its
//! holders, which all instances derive from the id of that request. Records are never changed: of two
//! that differ neither is used. The crate does no I/O and uses neither a clock nor randomness: the
//! time is passed in with each event, in milliseconds.

mod history;
mod holders;
mod record;
mod table;

pub use history::{VersionHistory, RETENTION_MS};
pub use holders::{order_candidates, CANDIDATES, HOLDERS};
pub use record::{Origin, OriginRecord, SeenVersion, StreamKey};
pub use table::{Lookup, OriginTable};
