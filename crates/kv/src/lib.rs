//! The trait of the key-value store that routers use, and a client of the etcd v3 JSON protocol that
//! implements it.
//!
//! The client counts its calls.

pub mod client;
mod etcd;
pub mod store;
pub mod wire;

pub use client::{CallCounts, Client, KeyValue, StoreError, SwapResult};
pub use store::{
    Change, Consistency, Listing, Precondition, Put, Store, StoreFuture, Txn, TxnResult,
    WatchResult, MAX_TXN_OPS,
};
