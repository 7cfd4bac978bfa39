//! Keys with revisions, and leases: the data of the stub of the platform's key-value store.

use std::collections::BTreeMap;

/// A stored value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the store at the last write of the key.
    pub revision: i64,
    /// Lease with which the key expires; 0 for none.
    pub lease: i64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at_ms: u64,
}

/// Keys, revisions and leases.
#[derive(Debug, Default)]
pub struct Store {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

impl Store {
    /// Returns the revision of the store.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the entries from `key` up to `end`, which is not included; if `end` is empty, only
    /// the entry of `key`.
    pub fn range(&self, key: &[u8], end: &[u8]) -> Vec<(Vec<u8>, Entry)> {
        let clone = |(k, e): (&Vec<u8>, &Entry)| (k.clone(), e.clone());
        if end.is_empty() {
            let found = self.keys.get_key_value(key);
            return found.map(clone).into_iter().collect();
        }
        let range = key.to_vec()..end.to_vec();
        self.keys.range(range).map(clone).collect()
    }

    /// Writes a key if `revision` is the one of its last write; 0 means that the key is absent.
    pub fn compare_and_swap(
        &mut self,
        key: &[u8],
        revision: i64,
        value: Vec<u8>,
        lease: i64,
    ) -> bool {
        let current = self.keys.get(key).map_or(0, |e| e.revision);
        if current != revision {
            return false;
        }
        self.put(key, value, lease);
        true
    }

    /// Writes a key.
    pub fn put(&mut self, key: &[u8], value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let entry = Entry {
            value,
            revision: self.revision,
            lease,
        };
        self.keys.insert(key.to_vec(), entry);
    }

    /// Creates a lease and returns its id.
    pub fn grant_lease(&mut self, now_ms: u64, ttl_ms: u64) -> i64 {
        self.last_lease += 1;
        let expires_at_ms = now_ms + ttl_ms;
        let lease = Lease {
            ttl_ms,
            expires_at_ms,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; returns its time to live in seconds, or 0 if there is no such lease.
    pub fn keep_alive(&mut self, now_ms: u64, id: i64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        lease.ttl_ms / 1000
    }

    /// Deletes the expired leases and their keys; returns whether any key was deleted.
    pub fn expire_leases(&mut self, now_ms: u64) -> bool {
        let leases = &mut self.leases;
        leases.retain(|_, l| l.expires_at_ms > now_ms);
        let count_before = self.keys.len();
        self.keys
            .retain(|_, e| e.lease == 0 || leases.contains_key(&e.lease));
        let any_deleted = self.keys.len() < count_before;
        if any_deleted {
            self.revision += 1;
        }
        any_deleted
    }
}
