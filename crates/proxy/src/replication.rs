//! What instances ask each other of what is read of the store, and the answers.

use kv::{Change, Found};
use relay::{Cursor, Delta, Entry};
use serde::{Deserialize, Serialize};

/// What is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// The operators' configuration.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// The list of instances.
    Instances,
}

pub(crate) const TOPIC_COUNT: usize = 3;

/// What one instance asks another one that reads the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DeltaRequest {
    pub(crate) topic: Topic,
    /// What the asker knows.
    pub(crate) revision: i64,
    /// The end of the page before, of the same answer.
    #[serde(default)]
    pub(crate) after: Option<Cursor>,
    /// Tells the fetches of one answer apart.
    #[serde(default, rename = "fetch")]
    pub(crate) fetch_id: u64,
}

impl DeltaRequest {
    /// Returns an ask for the first page of what has changed since a revision.
    pub(crate) fn first_page(topic: Topic, revision: i64) -> DeltaRequest {
        DeltaRequest {
            topic,
            revision,
            after: None,
            fetch_id: rand::random(),
        }
    }
}

/// The answer, or a page of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DeltaResponse {
    #[serde(rename = "since")]
    pub(crate) delta: Delta,
    /// Up to where it tells everything, as its first page says; 0 where nothing is known.
    pub(crate) revision: i64,
    /// Where the next page begins.
    #[serde(default)]
    pub(crate) next: Option<Cursor>,
}

impl DeltaResponse {
    /// Returns the bytes of its keys and values.
    pub(crate) fn size_bytes(&self) -> usize {
        let entries = self.delta.entries().iter();
        entries
            .map(|e| e.key.len() + e.value.as_ref().map_or(0, String::len))
            .sum()
    }

    /// Returns the changes on this page.
    pub(crate) fn changes(&self) -> Vec<Change> {
        self.delta
            .entries()
            .iter()
            .cloned()
            .map(entry_to_change)
            .collect()
    }
}

pub(crate) fn found_to_entry(found: &Found) -> Entry {
    Entry {
        key: found.key.clone(),
        value: Some(String::from_utf8_lossy(&found.value).into_owned()),
        revision: found.revision,
    }
}

pub(crate) fn change_to_entry(change: &Change) -> Entry {
    let entry = change.now.as_ref().map(found_to_entry);
    entry.unwrap_or_else(|| Entry {
        key: change.key.clone(),
        value: None,
        revision: change.revision,
    })
}

pub(crate) fn entry_to_change(entry: Entry) -> Change {
    let found = entry.value.map(|value| Found {
        key: entry.key.clone(),
        value: value.into_bytes(),
        revision: entry.revision,
    });
    Change {
        key: entry.key,
        revision: entry.revision,
        now: found,
    }
}
