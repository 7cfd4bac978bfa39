//! What the product asks of a key-value store; every client of one implements it.

use std::future::Future;
use std::pin::Pin;

use crate::client::{KeyValue, StoreError};

/// Conditions, writes and deletions that one transaction holds together at most: the platform's store
/// refuses a larger one whole.
pub const MAX_TXN_OPS: usize = 32;

/// The future answer of a call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys with their values, in the order of the keys.
    pub entries: Vec<KeyValue>,
    /// The store's revision at which they were read: a watch goes on from here.
    pub revision: i64,
    /// Whether there are more keys than were read.
    pub has_more: bool,
}

/// How new a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It shows every write that was answered before it.
    Linearizable,
    /// It may be seconds old, costs the store less, and is answered where rates are used up. A watch from
    /// its revision brings what it lacks.
    Serializable,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// What has changed since, oldest first; nothing when the wait ended.
    Changes {
        /// Keys with their new values.
        changes: Vec<Change>,
        /// The revision up to which this is everything.
        revision: i64,
    },
    /// The store no longer keeps that part of its history: the keys must be listed again.
    Compacted,
}

/// A changed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The store's revision of the write or deletion.
    pub revision: i64,
    /// The value written; none when the key was deleted.
    pub current: Option<KeyValue>,
}

/// A write of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease with which the key ends; 0 for none.
    pub lease: i64,
}

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision of its last write; 0 when it must be absent.
    pub revision: i64,
}

/// Conditions and the writes that happen when all of them hold: all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub preconditions: Vec<Precondition>,
    /// The writes.
    pub puts: Vec<Put>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

impl Txn {
    /// Returns how many conditions, writes and deletions it holds.
    pub fn op_count(&self) -> usize {
        self.preconditions.len() + self.puts.len() + self.deletes.len()
    }
}

/// The end of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnResult {
    /// It took effect and made this revision.
    Done(i64),
    /// A condition did not hold; the keys of the conditions as they are now, absent ones left out.
    Conflict(Vec<KeyValue>),
    /// A lease that it names has ended; nothing was written.
    LeaseEnded,
}

/// A key-value store with revisions, leases and watches.
///
/// Each call has its own timeout. After `Failure::Unknown` a write may have taken effect, or may
/// still do so as long as its conditions hold.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>>;

    /// Reads all keys with a prefix.
    fn list<'a>(&'a self, prefix: &'a str, reading: Consistency) -> StoreFuture<'a, Listing>;

    /// Reads the first page of the keys with a prefix: one call, however many there are.
    fn first_page<'a>(&'a self, prefix: &'a str, reading: Consistency) -> StoreFuture<'a, Listing>;

    /// Waits until a key with a prefix changes after a revision, or for `wait_ms`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: i64,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchResult>;

    /// Runs a transaction.
    fn commit(&self, txn: Txn) -> StoreFuture<'_, TxnResult>;

    /// Makes a lease.
    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, i64>;

    /// Renews a lease; returns whether it still lives.
    fn renew_lease(&self, lease: i64) -> StoreFuture<'_, bool>;

    /// Ends a lease, and its keys with it.
    fn revoke_lease(&self, lease: i64) -> StoreFuture<'_, ()>;
}
