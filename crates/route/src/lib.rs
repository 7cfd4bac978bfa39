//! Which upstream serves a request, who waits, who is refused, and what may be tried again.

pub mod pool;
pub mod queue;
pub mod retry;
pub mod upstream;

pub use pool::{Capacity, Choice, ChoiceReason, Pool};
pub use queue::{AdmissionDecision, Queue, WaiterId};
pub use retry::RetryBudget;
pub use upstream::{Load, Spec, Upstream, UpstreamKey, UpstreamKind};
