//! Upstream selection, admission limits and retry budgets of one instance.
//!
//! The crate is built for LLM engines that cache prompt prefixes and get long prompts with long
//! shared prefixes, for plain services with short calls, and for many instances that choose
//! concurrently while load reports arrive late. It does no I/O and uses neither a clock nor
//! randomness: callers pass the time with each event, in milliseconds.

mod announcements;
mod caller_connections;
mod choice;
mod client_memory;
mod cold_start;
mod connections;
mod cost;
mod descriptors;
mod health;
mod intake;
mod latency;
mod limit;
mod link;
mod missing;
mod pauses;
mod pool;
mod request_memory;
mod retry_budget;
mod reused_addresses;
mod room;
mod senders;
mod shares;
mod throttled;
mod upstream;
mod usage;

pub use caller_connections::{Admission, CallerConnections, ConnectionId};
pub use choice::{Choice, ChooseError, Criteria};
pub use client_memory::ClientMemory;
pub use cold_start::ColdStart;
pub use connections::max_connections;
pub use descriptors::Descriptors;
pub use engine::{Estimate, InstanceLoad, Load, MemoryView};
pub use intake::Intake;
pub use limit::{RateLimit, VersionedLimit};
pub use link::Link;
pub use missing::MissingEntries;
pub use pauses::Pauses;
pub use pool::{
    shared_segment_sizes, shared_segments, EntryChange, GoneUpstream, InquiredEngine, Inquiry,
    KnownEngine, Pool,
};
pub use request_memory::{RequestMemory, HEAD_BYTES};
pub use retry_budget::{RetryBudget, RetryLimits, RetryUsage, SlackPart};
pub use reused_addresses::AddressState;
pub use room::Entry;
pub use senders::Senders;
pub use shares::Shares;
pub use upstream::{AttemptId, Outcome, PromptSegment, Spec, Upstream, UpstreamKey};
pub use usage::ServiceUsage;
