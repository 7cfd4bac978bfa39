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

mod holding;
mod home;
mod keep;
mod rate;
mod record;
mod sizes;
mod totals;

pub use holding::{Holding, Known, Short};
pub use home::{first_by_rank, homes, is_crowded, ASKED};
pub use rate::Rate;
pub use record::{Book, Line, Record};
pub use totals::Told;
