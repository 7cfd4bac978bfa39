//! Decisions on prepaid token budgets, as state machines without I/O.
//!
//! The accounts are grouped into shards, and the platform's key-value store keeps one record per
//! shard, which is the source of truth. A *holder*, an incarnation of an instance, spends only
//! tokens that a record grants to it or that another holder transfers to it, so instances that
//! cannot reach each other cannot overspend a budget together.
//!
//! The instance that received a request is its *entry*. It reserves the most that the request can
//! cost at the *home*, the instance that is responsible for the account's shard, or at a *standby*
//! in another availability zone. The reservation is a *hold* of the instance that made it. A hold
//! ends when it is settled: the tokens spent are posted to the record, usually with a bill.

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
