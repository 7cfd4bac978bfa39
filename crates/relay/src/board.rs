//! The keys under one prefix as an instance knows them, and what changed lately.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Changes that are kept for instances that are behind; one that is behind further gets all keys. A season's
/// change of the upstreams of a zone fits.
const KEPT: usize = 256;

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
pub enum Since {
    /// What has changed since, oldest first.
    Changed(Vec<Entry>),
    /// All keys: what has changed since is not kept.
    All(Vec<Entry>),
}

/// The keys under one prefix.
#[derive(Clone, Debug, Default)]
pub struct Board {
    values: BTreeMap<String, String>,
    /// Changes up to this revision are known.
    revision: i64,
    changes: VecDeque<Entry>,
    /// All changes after this revision are kept.
    kept_from: i64,
}

impl Board {
    /// Returns the revision up to which all changes are known; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Takes changes, oldest first, that follow on what is known.
    pub fn change(&mut self, changes: impl IntoIterator<Item = Entry>) {
        // One transaction writes several keys at one revision.
        let known = self.revision;
        for entry in changes {
            if entry.revision > known {
                self.take(entry);
            }
        }
    }

    /// Takes all keys as they were at a revision.
    ///
    /// A list that is older than what is known says nothing.
    pub fn list(&mut self, entries: Vec<Entry>, revision: i64) {
        if revision <= self.revision {
            return;
        }
        // Nothing that was kept of before the first list follows on it.
        let first = self.revision == 0;
        let listed: BTreeMap<String, Entry> =
            entries.into_iter().map(|e| (e.key.clone(), e)).collect();
        let gone = self.values.keys().filter(|k| !listed.contains_key(*k));
        let gone = gone.map(|key| Entry {
            key: key.clone(),
            value: None,
            revision,
        });
        let differs = |e: &&Entry| self.values.get(&e.key) != e.value.as_ref();
        // Whoever has read up to this list has them, whenever they were written.
        let news = listed.values().filter(differs).map(|e| Entry {
            revision,
            ..e.clone()
        });
        let news: Vec<Entry> = gone.chain(news).collect();
        for entry in news {
            self.take(entry);
        }
        self.caught_up(revision);
        if first {
            self.kept_from = revision;
            self.changes.clear();
        }
    }

    /// Takes what another board that is known up to a revision had since this one's.
    pub fn follow(&mut self, since: &Since, revision: i64) {
        match since {
            Since::Changed(changes) => self.change(changes.iter().cloned()),
            Since::All(entries) => self.list(entries.clone(), revision),
        }
        // Else it would be asked for again and again where nothing differs.
        self.caught_up(revision);
    }

    /// Takes the word that there is no other change up to a revision.
    fn caught_up(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns what an instance lacks that has read up to a revision.
    pub fn since(&self, revision: i64) -> Since {
        if revision >= self.kept_from {
            let newer = self.changes.iter().filter(|e| e.revision > revision);
            return Since::Changed(newer.cloned().collect());
        }
        let entry = |(key, value): (&String, &String)| Entry {
            key: key.clone(),
            value: Some(value.clone()),
            revision: self.revision,
        };
        Since::All(self.values.iter().map(entry).collect())
    }

    fn take(&mut self, entry: Entry) {
        match &entry.value {
            Some(value) => self.values.insert(entry.key.clone(), value.clone()),
            None => self.values.remove(&entry.key),
        };
        self.revision = self.revision.max(entry.revision);
        self.changes.push_back(entry);
        while self.changes.len() > KEPT {
            let oldest = self.changes.pop_front().expect("more than it keeps");
            self.kept_from = oldest.revision;
        }
    }
}
