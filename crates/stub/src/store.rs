//! The stand-in's key-value store: keys with revisions, and leases.

use std::collections::BTreeMap;

/// A stored value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of its last write.
    pub revision: i64,
    /// The lease that it ends with; 0 for none.
    pub lease: i64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    ends_at: u64,
}

/// Keys, revisions and leases.
#[derive(Debug, Default)]
pub struct Store {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Store {
    /// Returns the store's revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the entries from a key to an end; an empty end means this key alone.
    pub fn range(&self, key: &[u8], end: &[u8]) -> Vec<(Vec<u8>, Entry)> {
        let row = |(k, e): (&Vec<u8>, &Entry)| (k.clone(), e.clone());
        if end.is_empty() {
            let found = self.keys.get_key_value(key);
            return found.map(row).into_iter().collect();
        }
        let range = key.to_vec()..end.to_vec();
        self.keys.range(range).map(row).collect()
    }

    /// Writes a key if its revision is still the given one; 0 means absent.
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

    /// Makes a lease.
    pub fn grant_lease(&mut self, now: u64, ttl_ms: u64) -> i64 {
        self.next_lease += 1;
        let ends_at = now + ttl_ms;
        self.leases
            .insert(self.next_lease, Lease { ttl_ms, ends_at });
        self.next_lease
    }

    /// Renews a lease; returns its seconds, 0 when it is gone.
    pub fn keep_alive(&mut self, now: u64, id: i64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends_at = now + lease.ttl_ms;
        lease.ttl_ms / 1000
    }

    /// Drops the leases that have ended, with their keys; returns whether a key went.
    pub fn expire_leases(&mut self, now: u64) -> bool {
        let leases = &mut self.leases;
        leases.retain(|_, l| l.ends_at > now);
        let before = self.keys.len();
        self.keys
            .retain(|_, e| e.lease == 0 || leases.contains_key(&e.lease));
        let gone = self.keys.len() < before;
        if gone {
            self.revision += 1;
        }
        gone
    }
}
