//! The keys under one prefix as an instance knows them, and what has changed since any revision.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Deleted keys are remembered, as many as there are keys, but at least so many. An instance that lacks an older deletion gets all
/// keys.
const DELETED_LEAST: usize = 256;
/// Keys and values in one page, in bytes: a dozen pages at once pass a narrow link well within the timeout of a call.
const PAGE_BYTES: usize = 32 << 10;

/// A key as it was written, or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value; none when the key was deleted.
    #[serde(rename = "v")]
    pub value: Option<String>,
    /// The store's revision of the write or deletion, or a later one.
    #[serde(rename = "r")]
    pub revision: i64,
}

/// What an instance lacks that has read up to some revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The newest change of each key that has changed since, oldest first.
    Changed(Vec<Entry>),
    /// All keys: not all deletions since are remembered.
    All(Vec<Entry>),
}

impl Delta {
    /// Returns its entries.
    pub fn entries(&self) -> &[Entry] {
        match self {
            Delta::Changed(entries) | Delta::All(entries) => entries,
        }
    }

    /// Appends the next page of the same answer; returns whether it is of the same kind.
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

/// The last entry of a page, after which the next page begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    revision: i64,
    key: String,
}

/// A part of what an instance lacks. Pages are not a snapshot: what changes while they are fetched is newer than the revision
/// that came with the first one, and is fetched later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The entries.
    #[serde(rename = "since")]
    pub delta: Delta,
    /// Where the next page begins; none for the last one.
    pub next: Option<Cursor>,
}

/// The newest change of a key.
#[derive(Clone, Debug)]
struct Slot {
    value: Option<Arc<str>>,
    revision: i64,
}

/// The keys under one prefix.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Keys that are there, and deleted ones that are remembered.
    slots: BTreeMap<Arc<str>, Slot>,
    by_revision: BTreeSet<(i64, Arc<str>)>,
    deleted: BTreeSet<(i64, Arc<str>)>,
    /// Changes up to this revision are known.
    revision: i64,
    /// All deletions after this revision are remembered.
    kept_from: i64,
}

impl Replica {
    /// Returns the revision up to which all changes are known; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Takes changes, oldest first, that follow on what is known.
    pub fn apply_changes(&mut self, changes: impl IntoIterator<Item = Entry>) {
        // One transaction writes several keys at one revision.
        let known = self.revision;
        for entry in changes.into_iter().filter(|e| e.revision > known) {
            self.revision = self.revision.max(entry.revision);
            self.take(&entry);
        }
    }

    /// Takes all keys as they were at a revision.
    ///
    /// A list that is older than what is known says nothing.
    pub fn apply_list(&mut self, entries: &[Entry], revision: i64) {
        if revision <= self.revision {
            return;
        }
        // No deletion before the first list is known.
        let first = self.revision == 0;
        let listed: BTreeSet<&str> = entries.iter().map(|e| e.key.as_str()).collect();
        let present = self.slots.iter().filter(|(_, slot)| slot.value.is_some());
        let gone = present.filter(|(key, _)| !listed.contains(&***key));
        let gone: Vec<Entry> = gone
            .map(|(key, _)| Entry {
                key: key.to_string(),
                value: None,
                revision,
            })
            .collect();
        for entry in gone {
            self.take(&entry);
        }
        for entry in entries {
            let known = self.slots.get(entry.key.as_str());
            let known = known.and_then(|slot| slot.value.as_deref());
            if known != entry.value.as_deref() {
                // Whoever has read up to this list has it, whenever it was written.
                self.take(&Entry {
                    revision,
                    ..entry.clone()
                });
            }
        }
        self.caught_up(revision);
        if first {
            self.kept_from = revision;
        }
    }

    /// Takes what another board that is known up to a revision had since this one's.
    pub fn apply_delta(&mut self, since: &Delta, revision: i64) {
        match since {
            Delta::Changed(changes) => {
                // Some may be newer than the revision up to which all are known.
                let known = self.revision;
                for entry in changes.iter().filter(|e| e.revision > known) {
                    self.take(entry);
                }
            }
            Delta::All(entries) => self.apply_list(entries, revision),
        }
        // Else it would be asked for again and again where nothing differs.
        self.caught_up(revision);
    }

    /// Takes that there is no other change up to a revision.
    fn caught_up(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns what an instance lacks that has read up to a revision.
    pub fn delta_since(&self, revision: i64) -> Delta {
        let mut page = self.delta_page(revision, None);
        while let Some(next) = page.next {
            let more = self.delta_page(revision, Some(&next));
            let same = page.delta.append(more.delta);
            debug_assert!(same, "nothing changes meanwhile");
            page.next = more.next;
        }
        page.delta
    }

    /// Returns a page of what an instance lacks that has read up to a revision.
    pub fn delta_page(&self, revision: i64, after: Option<&Cursor>) -> Page {
        if revision >= self.kept_from {
            self.page_changed(revision, after)
        } else {
            self.page_all(after)
        }
    }

    fn page_changed(&self, revision: i64, after: Option<&Cursor>) -> Page {
        let from = match after {
            Some(cursor) => Bound::Excluded((cursor.revision, Arc::from(cursor.key.as_str()))),
            None => Bound::Included((revision.saturating_add(1), Arc::from(""))),
        };
        let newer = self.by_revision.range((from, Bound::Unbounded));
        let (entries, next) = fill(newer.map(|(_, key)| self.entry(key)));
        let delta = Delta::Changed(entries);
        Page { delta, next }
    }

    fn page_all(&self, after: Option<&Cursor>) -> Page {
        let from = after.map_or(Bound::Unbounded, |c| Bound::Excluded(c.key.as_str()));
        let slots = self.slots.range::<str, _>((from, Bound::Unbounded));
        let present = slots.filter(|(_, slot)| slot.value.is_some());
        let (entries, next) = fill(present.map(|(key, _)| self.entry(key)));
        let delta = Delta::All(entries);
        Page { delta, next }
    }

    fn entry(&self, key: &str) -> Entry {
        let slot = &self.slots[key];
        Entry {
            key: key.to_string(),
            value: slot.value.as_deref().map(str::to_string),
            revision: slot.revision,
        }
    }

    fn take(&mut self, entry: &Entry) {
        let key: Arc<str> = Arc::from(entry.key.as_str());
        let slot = Slot {
            value: entry.value.as_deref().map(Arc::from),
            revision: entry.revision,
        };
        let deleted = slot.value.is_none();
        if let Some(old) = self.slots.insert(Arc::clone(&key), slot) {
            let old = (old.revision, Arc::clone(&key));
            self.by_revision.remove(&old);
            self.deleted.remove(&old);
        }
        self.by_revision.insert((entry.revision, Arc::clone(&key)));
        if deleted {
            self.deleted.insert((entry.revision, key));
            self.forget_deleted();
        }
    }

    fn forget_deleted(&mut self) {
        while self.deleted.len() > DELETED_LEAST.max(self.slots.len() / 2) {
            let oldest = self.deleted.pop_first().expect("more than it keeps");
            self.kept_from = self.kept_from.max(oldest.0);
            self.slots.remove(&oldest.1);
            self.by_revision.remove(&oldest);
        }
    }
}

/// Returns the entries of one page, and where the next one begins.
fn fill(entries: impl Iterator<Item = Entry>) -> (Vec<Entry>, Option<Cursor>) {
    let (mut page, mut bytes) = (Vec::new(), 0);
    for entry in entries {
        if bytes >= PAGE_BYTES {
            let last: &Entry = page.last().expect("some bytes");
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
