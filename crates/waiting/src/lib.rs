//! Requests that wait at one instance because the upstreams of their service accept none at the moment.
//!
//! The load: customers compete for little capacity for seconds at a time, with requests of several
//! priorities and with limits from less than a second to fifteen seconds; one of them sends six times its
//! usual rate for a few seconds. An instance has a few hundred requests in flight at most.
//!
//! - Order: priority, then the customer's share, then deadline. Urgency grows with the time waited: every
//!   sixteenth place goes to the priority that has waited longest for one, so that each is served eventually.
//! - Shares: weighted by what each customer usually sends ([`Queues::record_request`]).
//! - A request waits only if a place is expected before its latest useful start: its deadline less the time
//!   that requests like it take.
//! - Instances don't see each other's queues. While many of them have one, the less urgent requests let a moment
//!   pass before they try for a place, so that more urgent ones elsewhere can take it.
//! - A queue is bounded in requests and bytes. When it is full, the least urgent request with the largest
//!   excess over its customer's share is refused.
//!
//! No I/O, no clock: time is passed in, in milliseconds.

mod pace;
mod queue;
mod queues;
mod share;

pub use pace::Outlook;
pub use queues::{Joined, Limits, QueueReport, Queues};

use smallvec::SmallVec;

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(u64);

/// Requests of a service with the same class may be sent to the same upstreams, so they compete for places.
pub type Class = u64;

/// Requests of the same kind have the same class and about the same size: if one of them is accepted by no
/// upstream, neither are the others. A larger one may be denied because its response would come too late.
pub type Kind = u64;

/// Kinds of which a request was accepted by no upstream a moment ago.
pub type Kinds = SmallVec<[Kind; 4]>;

/// Why a request is told to try for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request of this instance ended at an upstream, or one that was told to try was sent.
    Freed,
    /// The regular check, since requests of other instances end as well.
    Check,
    /// A regular check at which requests that are held back try as well.
    FullCheck,
}

/// A customer that has requests of one priority for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Customer(u32);

/// A request that may wait.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Its kind.
    pub kind: Kind,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Its customer.
    pub customer: Customer,
    /// When the response is no longer wanted, in milliseconds.
    pub deadline: u64,
    /// Size of the body, in bytes.
    pub bytes: usize,
    /// How long such a request is expected to take as long as none has been measured, in milliseconds.
    pub default_took_ms: u64,
}

/// Why a request does not wait, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No place is expected before its latest useful start.
    TooLate,
    /// The queue is full of requests that go before it.
    Full,
    /// Its latest useful start has come.
    Expired,
    /// The instance stops before a place is expected.
    Stopping,
}

/// A request that does not wait, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Number of requests that wait.
    pub length: usize,
    /// Its position among them; 1 is the next one.
    pub position: usize,
    /// Time until a place is expected for it, in milliseconds.
    pub expected_ms: u64,
}
