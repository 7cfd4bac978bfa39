//! The key-value store: the trait that the product uses, and a client of the etcd v3 JSON protocol.
//!
//! Every call is counted.

pub mod client;
mod etcd;
pub mod store;
pub mod wire;

pub use client::{Client, Counts, Failure, Found, Swap};
pub use store::{
    Answer, Change, Commit, Expect, Listing, News, Put, Reading, Store, Txn, TXN_MOST,
};
