//! The key-value store: the trait that the product uses, and a client of the etcd v3 JSON protocol.
//!
//! Every call is counted.

pub mod client;
mod etcd;
pub mod store;
pub mod wire;

pub use client::{CallCounts, Client, KeyValue, StoreError, SwapResult};
pub use store::{
    Change, Consistency, Listing, Precondition, Put, Store, StoreFuture, Txn, TxnResult,
    WatchResult, MAX_TXN_OPS,
};
