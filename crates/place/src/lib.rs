//! Which upstream serves a request, who is refused, and what may be repeated.
//!
//! The load that this answers: long prompts that share long beginnings, on engines that keep the
//! beginnings they read; short calls of plain services beside them; many instances that choose at the
//! same time and see late reports only. No I/O, clock or randomness: the time comes in with each
//! event, in milliseconds.

mod cold;
mod health;
mod known;
mod limit;
mod link;
mod missing;
mod pool;
mod rate;
mod retry;
mod room;
mod said;
mod senders;
mod sent;
mod share;
mod upstream;
mod usual;
mod want;

pub use cold::ColdStart;
pub use limit::{RateLimit, VersionedLimit};
pub use link::Link;
pub use missing::MissingEntries;
pub use pool::{EntryChange, Pool};
pub use retry::{RetryBudget, RetryLimits};
pub use room::RequestMemory;
pub use senders::Senders;
pub use share::max_connections;
pub use upstream::{
    AttemptId, InstanceLoad, Load, Outcome, PromptSegment, Spec, Upstream, UpstreamKey,
};
pub use want::{Choice, ChooseError, Criteria};
