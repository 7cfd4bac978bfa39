//! The load of engines: what one instance knows of it, and the accounts that instances keep for the
//! fleet.
//!
//! An engine reads prompts one after the other. How long a request waits for its first token depends on
//! what all instances have sent there in the last few hundred milliseconds, which no instance knows by
//! itself. Each engine therefore has an account at two instances, its owners: each attempt is entered
//! there when its engine is chosen, and instances with long prompts ask before they choose. The crate
//! does no I/O and uses neither a clock nor randomness: callers pass the time with each event, in
//! milliseconds.

mod account;
mod copies;
mod held;
mod load;
mod mean;
mod memory;
mod outputs;
mod owners;
mod prefix_cache;
mod silence;
mod state;

pub use account::{Accounts, Answer, AttemptKey, Entry, InvalidEntry, Summary};
pub use held::{HeldTokens, MemoryView};
pub use load::{InstanceLoad, Load, MAX_WORK_TIME_PCT};
pub use mean::Mean;
pub use memory::{MemoryReport, Segment};
pub use outputs::{possible_hint, OutputEstimates};
pub use owners::{owners, Candidate, Owners, OWNERS};
pub use prefix_cache::PrefixCache;
pub use silence::Silence;
pub use state::{Estimate, Source, State};

/// Least urgent priority.
pub const MAX_PRIORITY: u8 = 9;
/// Maximum prefill time that is believed of one prompt or one engine, in milliseconds: the longest
/// request deadlines are of this order.
pub const MAX_PREFILL_MS: f64 = 60_000.0;
/// Maximum number of requests that is believed to be in flight at one engine.
pub const MAX_INFLIGHT: u32 = 10_000;
