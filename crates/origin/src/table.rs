//! The origins of streams that one instance knows.

use std::collections::HashMap;
use std::sync::Arc;

use crate::history::RETENTION_MS;
use crate::record::{Origin, OriginRecord, StreamKey};

/// Maximum time for which a record is kept, in milliseconds, whatever its caller says.
const MAX_TTL_MS: u64 = RETENTION_MS;
/// Maximum number of records, to bound memory. Streams whose records do not fit can't be continued
/// with the help of this instance.
const MAX_ENTRIES: usize = 1 << 16;
/// Number of records from which expired ones are looked for.
const MIN_SWEEP: usize = 256;

/// What is known of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing.
    Unknown,
    /// The stream began there.
    Known(Arc<Origin>),
    /// Records of the same stream differ.
    Conflicting,
}

#[derive(Clone, Debug)]
struct Entry {
    /// None if records of the stream differ.
    origin: Option<Arc<Origin>>,
    expires_at: u64,
}

/// A stream that the callers of this instance may continue.
#[derive(Clone, Debug)]
struct OwnStream {
    request: String,
    origin: Arc<Origin>,
    expires_at: u64,
}

/// The origins of streams that one instance knows: of its own, and of those whose records it holds.
#[derive(Debug)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    own: HashMap<StreamKey, OwnStream>,
    /// The distinct origins of all entries.
    origins: Vec<Arc<Origin>>,
    /// Number of entries at which expired ones are removed.
    sweep_from: usize,
}

impl Default for OriginTable {
    fn default() -> OriginTable {
        OriginTable {
            entries: HashMap::new(),
            own: HashMap::new(),
            origins: Vec::new(),
            sweep_from: MIN_SWEEP,
        }
    }
}

impl OriginTable {
    /// Adds the record of a stream that this instance has begun or taken up.
    pub fn insert_own(&mut self, now: u64, record: &OriginRecord) {
        self.insert(now, record);
        let stream = OwnStream {
            request: record.request.clone(),
            origin: self.intern(&record.origin),
            expires_at: now + record.ttl_ms.min(MAX_TTL_MS),
        };
        self.own.insert(StreamKey::of(&record.request), stream);
    }

    /// Forgets a stream of this instance that was received to its end, so that nobody continues it.
    pub fn remove_own(&mut self, request: &str) {
        let key = StreamKey::of(request);
        self.own.remove(&key);
        self.entries.remove(&key);
    }

    /// Adds the record of a stream.
    pub fn insert(&mut self, now: u64, record: &OriginRecord) {
        if self.entries.len() >= self.sweep_from {
            self.sweep(now);
        }
        let key = StreamKey::of(&record.request);
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&key) {
            return;
        }
        let origin = self.intern(&record.origin);
        let expires_at = now + record.ttl_ms.min(MAX_TTL_MS);
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            origin: Some(Arc::clone(&origin)),
            expires_at,
        });
        if entry.origin.as_ref() != Some(&origin) {
            entry.origin = None;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
    }

    /// Returns what is known of the origin of the stream that a request began.
    pub fn lookup(&self, now: u64, request: &str) -> Lookup {
        let entry = self.entries.get(&StreamKey::of(request));
        match entry.filter(|e| now < e.expires_at) {
            None => Lookup::Unknown,
            Some(entry) => match &entry.origin {
                Some(origin) => Lookup::Known(Arc::clone(origin)),
                None => Lookup::Conflicting,
            },
        }
    }

    /// Returns the record of the stream that a request began, for another instance; none unless it is
    /// known for sure.
    pub fn record(&self, now: u64, request: &str) -> Option<OriginRecord> {
        let entry = self.entries.get(&StreamKey::of(request))?;
        let origin = entry.origin.as_ref().filter(|_| now < entry.expires_at)?;
        Some(OriginRecord {
            request: request.to_string(),
            origin: Origin::clone(origin),
            ttl_ms: entry.expires_at - now,
        })
    }

    /// Returns the records of this instance's streams that may still be continued.
    pub fn own_records(&mut self, now: u64) -> Vec<OriginRecord> {
        self.own.retain(|_, stream| now < stream.expires_at);
        let records = self.own.values().map(|stream| OriginRecord {
            request: stream.request.clone(),
            origin: Origin::clone(&stream.origin),
            ttl_ms: stream.expires_at - now,
        });
        records.collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sweep(&mut self, now: u64) {
        self.entries.retain(|_, entry| now < entry.expires_at);
        self.own.retain(|_, stream| now < stream.expires_at);
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
        self.sweep_from = (self.entries.len() * 2).max(MIN_SWEEP);
    }

    /// Returns the shared copy of an origin: there are as many as versions that serve.
    fn intern(&mut self, origin: &Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.iter().find(|o| ***o == *origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.origins.push(Arc::clone(&origin));
        origin
    }
}
