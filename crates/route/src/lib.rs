//! Choice of an upstream for a request, admission queues, load limits, retries and ejection.

pub mod pool;
pub mod queue;
pub mod retry;
pub mod upstream;

pub use pool::{Capacity, Choice, ChoiceReason, Pool};
pub use queue::{AdmissionDecision, Queue, WaiterId};
pub use retry::RetryBudget;
pub use upstream::{Load, Spec, Upstream, UpstreamKey, UpstreamKind};
