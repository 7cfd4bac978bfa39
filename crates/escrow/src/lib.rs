//! Budgets of an instance that holds its own grants: how many tokens it takes, keeps, hands back
//! and passes on.
//!
//! The record of a customer in the store is the only truth: the sum of what all incarnations that ever
//! took tokens have taken. Each has its own lines beside it, with counters that only grow, in its
//! instance's book. What an incarnation took stays charged until it hands it back itself: one that
//! vanished may have spent all of it. So the sum of all that is taken never passes what is prepaid,
//! whoever crashes, freezes or is cut off.
//!
//! No I/O, clock or randomness: the time comes in with each event, in milliseconds.

mod holdback;
mod home;
mod local_budget;
mod rate;
mod record;
mod request_sizes;
mod totals;

pub use home::{exceeds_home_capacity, home_candidates, rendezvous_select, HOME_CANDIDATES};
pub use local_budget::{LocalBudget, RecordSnapshot, ReserveError};
pub use rate::Rate;
pub use record::{BudgetRecord, Ledger, LedgerEntry};
pub use totals::CumulativeTotal;
