//! A replica of the keys under one prefix of the store, and what has changed in it since a revision.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Tombstones are kept for as many deleted keys as there are live keys, but at least for this many. An instance that does
/// not know an older deletion receives all keys.
const MIN_TOMBSTONES: usize = 256;
/// Size of the keys and values at which a page is complete, in bytes: a dozen pages at once pass a narrow link well within the
/// timeout of a call.
const PAGE_BYTES: usize = 32 << 10;

/// A write or deletion of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value; none if the key was deleted.
    #[serde(rename = "v")]
    pub value: Option<String>,
    /// The store's revision of the write or deletion, or a later one.
    #[serde(rename = "r")]
    pub revision: i64,
}

/// Update from a replica for an instance that knows all changes up to a given revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The latest change of each key that has changed since that revision, oldest first.
    Changed(Vec<Entry>),
    /// All live keys, because not all deletions since that revision are remembered.
    All(Vec<Entry>),
}

impl Delta {
    /// Returns the entries.
    pub fn entries(&self) -> &[Entry] {
        match self {
            Delta::Changed(entries) | Delta::All(entries) => entries,
        }
    }

    /// Appends the delta of the next page; returns whether it is of the same variant.
    #[must_use]
    pub fn append(&mut self, page: Delta) -> bool {
        match (self, page) {
            (Delta::Changed(entries), Delta::Changed(more))
            | (Delta::All(entries), Delta::All(more)) => entries.extend(more),
            _ => return false,
        }
        true
    }
}

/// Identifies the last entry of a page, after which the next page begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    revision: i64,
    key: String,
}

/// A part of a delta. The pages of a delta are not a snapshot: what changes while they are fetched is newer than the replica's
/// revision at the first one, and is fetched later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The entries of this page.
    #[serde(rename = "since")]
    pub delta: Delta,
    /// The cursor for the next page; none for the last one.
    pub next: Option<Cursor>,
}

/// The latest change of a key.
#[derive(Clone, Debug)]
struct KeyState {
    value: Option<Arc<str>>,
    revision: i64,
}

/// A replica of the keys under one prefix.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Live keys and tombstones.
    keys: BTreeMap<Arc<str>, KeyState>,
    by_revision: BTreeSet<(i64, Arc<str>)>,
    tombstones: BTreeSet<(i64, Arc<str>)>,
    /// All changes up to this revision are known.
    revision: i64,
    /// The tombstones of all deletions after this revision are kept.
    tombstones_since: i64,
}

impl Replica {
    /// Returns the revision up to which all changes are known; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Applies the changes that follow the known revision, oldest first.
    pub fn apply_changes(&mut self, changes: impl IntoIterator<Item = Entry>) {
        // A transaction writes several keys at one revision, so all changes are compared with the revision before the first.
        let known = self.revision;
        for entry in changes.into_iter().filter(|e| e.revision > known) {
            self.revision = self.revision.max(entry.revision);
            self.apply(&entry);
        }
    }

    /// Replaces the keys by a list of all keys at a revision. A list that is not newer than the known revision is ignored.
    pub fn apply_list(&mut self, entries: &[Entry], revision: i64) {
        if revision <= self.revision {
            return;
        }
        // Deletions before the first list are not known.
        let is_first = self.revision == 0;
        let listed: BTreeSet<&str> = entries.iter().map(|e| e.key.as_str()).collect();
        let live = self.keys.iter().filter(|(_, state)| state.value.is_some());
        let deleted = live.filter(|(key, _)| !listed.contains(&***key));
        let deleted: Vec<Entry> = deleted
            .map(|(key, _)| Entry {
                key: key.to_string(),
                value: None,
                revision,
            })
            .collect();
        for entry in deleted {
            self.apply(&entry);
        }
        for entry in entries {
            let known = self.keys.get(entry.key.as_str());
            let known = known.and_then(|state| state.value.as_deref());
            if known != entry.value.as_deref() {
                // Recorded at the list's revision, whenever the change was written: an instance with an older revision may lack
                // it.
                self.apply(&Entry {
                    revision,
                    ..entry.clone()
                });
            }
        }
        self.advance_to(revision);
        if is_first {
            self.tombstones_since = revision;
        }
    }

    /// Applies the delta of another replica since this one's revision. The other replica knows all changes up to `revision`.
    pub fn apply_delta(&mut self, delta: &Delta, revision: i64) {
        match delta {
            Delta::Changed(changes) => {
                // Does not advance the revision to that of a change: some changes may be newer than `revision`, up to which all
                // are known.
                let known = self.revision;
                for entry in changes.iter().filter(|e| e.revision > known) {
                    self.apply(entry);
                }
            }
            Delta::All(entries) => self.apply_list(entries, revision),
        }
        // The revision advances even if nothing differs: otherwise the same delta would be fetched again and again.
        self.advance_to(revision);
    }

    /// Records that all changes up to a revision are known.
    fn advance_to(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the delta for an instance that knows all changes up to a revision.
    pub fn delta_since(&self, revision: i64) -> Delta {
        let mut page = self.delta_page(revision, None);
        while let Some(next) = page.next {
            let more = self.delta_page(revision, Some(&next));
            let same = page.delta.append(more.delta);
            debug_assert!(same, "the replica does not change between pages");
            page.next = more.next;
        }
        page.delta
    }

    /// Returns one page of the delta since a revision, starting after a cursor.
    pub fn delta_page(&self, revision: i64, after: Option<&Cursor>) -> Page {
        if revision >= self.tombstones_since {
            self.page_of_changes(revision, after)
        } else {
            self.page_of_all(after)
        }
    }

    fn page_of_changes(&self, revision: i64, after: Option<&Cursor>) -> Page {
        let from = match after {
            Some(cursor) => Bound::Excluded((cursor.revision, Arc::from(cursor.key.as_str()))),
            None => Bound::Included((revision.saturating_add(1), Arc::from(""))),
        };
        let newer = self.by_revision.range((from, Bound::Unbounded));
        let (entries, next) = take_page(newer.map(|(_, key)| self.entry(key)));
        let delta = Delta::Changed(entries);
        Page { delta, next }
    }

    fn page_of_all(&self, after: Option<&Cursor>) -> Page {
        let from = after.map_or(Bound::Unbounded, |c| Bound::Excluded(c.key.as_str()));
        let keys = self.keys.range::<str, _>((from, Bound::Unbounded));
        let live = keys.filter(|(_, state)| state.value.is_some());
        let (entries, next) = take_page(live.map(|(key, _)| self.entry(key)));
        let delta = Delta::All(entries);
        Page { delta, next }
    }

    fn entry(&self, key: &str) -> Entry {
        let state = &self.keys[key];
        Entry {
            key: key.to_string(),
            value: state.value.as_deref().map(str::to_string),
            revision: state.revision,
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let key: Arc<str> = Arc::from(entry.key.as_str());
        let state = KeyState {
            value: entry.value.as_deref().map(Arc::from),
            revision: entry.revision,
        };
        let is_tombstone = state.value.is_none();
        if let Some(old) = self.keys.insert(Arc::clone(&key), state) {
            let old = (old.revision, Arc::clone(&key));
            self.by_revision.remove(&old);
            self.tombstones.remove(&old);
        }
        self.by_revision.insert((entry.revision, Arc::clone(&key)));
        if is_tombstone {
            self.tombstones.insert((entry.revision, key));
            self.evict_tombstones();
        }
    }

    fn evict_tombstones(&mut self) {
        while self.tombstones.len() > MIN_TOMBSTONES.max(self.keys.len() / 2) {
            let oldest = self
                .tombstones
                .pop_first()
                .expect("more tombstones than the limit");
            self.tombstones_since = self.tombstones_since.max(oldest.0);
            self.keys.remove(&oldest.1);
            self.by_revision.remove(&oldest);
        }
    }
}

/// Returns the entries of one page, and the cursor for the next one.
fn take_page(entries: impl Iterator<Item = Entry>) -> (Vec<Entry>, Option<Cursor>) {
    let (mut page, mut bytes) = (Vec::new(), 0);
    for entry in entries {
        if bytes >= PAGE_BYTES {
            let last: &Entry = page.last().expect("a page with some bytes has an entry");
            let next = Cursor {
                revision: last.revision,
                key: last.key.clone(),
            };
            return (page, Some(next));
        }
        bytes += entry.key.len() + entry.value.as_ref().map_or(0, String::len);
        page.push(entry);
    }
    (page, None)
}
