//! One running instance: listeners, filters of a request, and the tasks around the decisions.

pub mod accept;
pub mod admin;
pub mod admission;
pub mod bank;
pub mod bank_io;
pub mod bankd;
pub mod callers;
pub mod configd;
pub mod event;
pub mod gossip;
pub mod instance;
pub mod journal;
pub mod lines;
pub mod loads;
pub mod metric;
pub mod msg;
pub mod orders;
pub mod peers;
pub mod pipe;
pub mod registry;
pub mod rpc;
pub mod shared;

pub use ::clock;
pub use instance::Instance;
