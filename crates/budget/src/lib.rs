//! Prepaid budgets: who may spend how much, decided without I/O.
//!
//! The record in the platform's service is the only truth. An instance spends only tokens that the
//! record grants to it, so instances that can't hear each other can't overspend together.

pub mod bank;
mod decide;
pub mod grant;
mod handover;
pub mod home;
pub mod joint;
pub mod local;
pub mod msg;
mod older;
pub mod pacer;
pub mod params;
pub mod place;
mod propose;
pub mod ranges;
pub mod record;
mod settle;

pub use bank::{Bank, Output};
pub use home::{Home, Role};
pub use msg::{Act, ActReply, Action, Event, Post, ReserveReply, Settled};
pub use record::{Account, Bill, Line, Record};
