//! Prepaid budgets: who may spend how much, decided without I/O.
//!
//! The record in the platform's service is the only truth. An instance spends only tokens that the
//! record grants to it, so instances that can't hear each other can't overspend together.

mod archived_bills;
pub mod grant;
pub mod joint_grant;
pub mod local_account;
pub mod msg;
pub mod params;
pub mod placement;
pub mod range_set;
pub mod record;
mod record_sync;
mod reservation;
mod settle;
pub mod shard;
pub mod shard_manager;
mod transfer;
pub mod write_limiter;

pub use msg::{
    Action, Durability, Event, OperatorCommand, OperatorReply, ReserveReply, Settlement,
};
pub use record::{Account, Bill, LedgerEntry, ShardRecord};
pub use shard::{Role, Shard};
pub use shard_manager::{ShardAction, ShardManager};
