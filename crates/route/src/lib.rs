//! Which upstream serves a request, who waits, who is refused, and what may be tried again.

pub mod pool;
pub mod queue;
pub mod retry;
pub mod upstream;

pub use pool::{Choice, Pool, Rooms, Why};
pub use queue::{Queue, Ticket, Verdict};
pub use retry::RetryBudget;
pub use upstream::{Key, Kind, Load, Spec, Upstream};
