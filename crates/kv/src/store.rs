//! The trait of a key-value store, which every client of one implements.

use std::future::Future;
use std::pin::Pin;

use crate::client::{KeyValue, StoreError};

/// Maximum number of preconditions, writes and deletions of a transaction altogether. The platform's
/// store refuses a larger transaction as a whole.
pub const MAX_TXN_OPS: usize = 32;

/// The future result of a call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys with their values, sorted by key.
    pub entries: Vec<KeyValue>,
    /// Revision of the store at which they were read; a watch continues from it.
    pub revision: i64,
    /// Whether there are further keys that were not read.
    pub has_more: bool,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The result contains every write that was acknowledged before the read.
    Linearizable,
    /// The result may be seconds old. The read costs the store less, and succeeds even if request rate
    /// limits are exhausted. A watch from the result's revision returns the later changes.
    Serializable,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The changes since the given revision, oldest first; empty if the wait timed out.
    Changes {
        /// Changed keys with their new values.
        changes: Vec<Change>,
        /// Revision up to which the changes are complete.
        revision: i64,
    },
    /// The store has discarded that part of its history: the keys must be listed again.
    Compacted,
}

/// A changed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the write or deletion.
    pub revision: i64,
    /// The key with its new value; `None` if it was deleted.
    pub current: Option<KeyValue>,
}

/// A write of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key is attached to; 0 for none. The key is deleted when the lease ends.
    pub lease: i64,
}

/// A condition on the revision of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Expected revision of its last write; 0 if the key must not exist.
    pub revision: i64,
}

/// A transaction: its writes and deletions take effect atomically if all preconditions hold, else none
/// does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The preconditions.
    pub preconditions: Vec<Precondition>,
    /// The writes.
    pub puts: Vec<Put>,
    /// The keys to delete.
    pub deletes: Vec<String>,
}

impl Txn {
    /// Returns the number of preconditions, writes and deletions.
    pub fn op_count(&self) -> usize {
        self.preconditions.len() + self.puts.len() + self.deletes.len()
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnResult {
    /// It took effect at this revision.
    Done(i64),
    /// A precondition did not hold. Contains the current values of the keys in the preconditions; keys
    /// that do not exist are left out.
    Conflict(Vec<KeyValue>),
    /// A lease that it refers to has ended; nothing was written.
    LeaseEnded,
}

/// A key-value store with revisions, leases and watches.
///
/// Each call has its own timeout. After [`StoreError::Unknown`] a write may have taken effect, or may
/// still do so as long as its preconditions hold.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>>;

    /// Reads all keys with a prefix.
    fn list<'a>(&'a self, prefix: &'a str, consistency: Consistency) -> StoreFuture<'a, Listing>;

    /// Reads the first page of the keys with a prefix, with a single call.
    fn first_page<'a>(
        &'a self,
        prefix: &'a str,
        consistency: Consistency,
    ) -> StoreFuture<'a, Listing>;

    /// Returns the changes of keys with a prefix after a revision; if there are none, waits for the next
    /// one, but at most `wait_ms`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: i64,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchResult>;

    /// Runs a transaction.
    fn commit(&self, txn: Txn) -> StoreFuture<'_, TxnResult>;

    /// Creates a lease with a time to live, and returns its id.
    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, i64>;

    /// Renews a lease; returns whether it still existed.
    fn renew_lease(&self, lease: i64) -> StoreFuture<'_, bool>;

    /// Revokes a lease, which deletes the keys attached to it.
    fn revoke_lease(&self, lease: i64) -> StoreFuture<'_, ()>;
}
