//! Detects requests that crash the upstreams running them (queries of death), and segments of prompts
//! that do so in whatever request.
//!
//! Such a request crashes every upstream that starts to run it, and all other requests running
//! there fail with it. Its caller sends it again, with another id and to any instance, so that each
//! attempt takes one more upstream away from all callers. A crash does not show its cause, and most
//! of the requests that were running are harmless. The one that caused it stands out by having been
//! present at the crashes of several upstreams without ever getting a complete response.
//!
//! A segment stands out by never surviving: no response to a request with it goes on after it has
//! begun, while the other segments that were present at the same crashes survive elsewhere.
//!
//! A crash is any end of an upstream that it has not announced beforehand. Instances share what
//! they know of a suspect: a set of crashed upstreams, so that records can be merged late,
//! repeatedly and in any order. The crate does no I/O and uses neither a clock nor randomness: the
//! time is passed in with each event, in milliseconds.

mod broken_connections;
mod digest;
mod entry;
mod outcomes;
mod recent_answers;
mod record;
mod segment;
mod subject;
mod survivals;
mod table;
mod verdicts;

pub use digest::Digest;
pub use record::{CrashReport, SuspectRecord};
pub use segment::Segment;
pub use subject::Subject;
pub use table::{
    Admission, CrashHistory, CrashObservation, SuspectTable, Verdict, VerdictChanges, Withdrawal,
};
