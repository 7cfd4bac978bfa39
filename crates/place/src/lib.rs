//! Which upstream serves a request, who is refused, and what may be repeated.
//!
//! The load that this answers: long prompts that share long beginnings, on engines that keep the
//! beginnings they read; short calls of plain services beside them; many instances that choose at the
//! same time and see late reports only. No I/O, clock or randomness: the time comes in with each
//! event, in milliseconds.

mod announcements;
mod choice;
mod cold_start;
mod connections;
mod cost;
mod health;
mod latency;
mod limit;
mod link;
mod missing;
mod pool;
mod prefix_cache;
mod request_memory;
mod retry_budget;
mod senders;
mod throttled;
mod upstream;

pub use choice::{Choice, ChooseError, Criteria};
pub use cold_start::ColdStart;
pub use connections::max_connections;
pub use limit::{RateLimit, VersionedLimit};
pub use link::Link;
pub use missing::MissingEntries;
pub use pool::{EntryChange, Pool};
pub use request_memory::RequestMemory;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use senders::Senders;
pub use upstream::{
    AttemptId, InstanceLoad, Load, Outcome, PromptSegment, Spec, Upstream, UpstreamKey,
};
