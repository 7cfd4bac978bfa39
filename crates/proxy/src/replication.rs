//! Messages by which instances replicate what was read from the store.

use kv::{Change, KeyValue};
use relay::{Cursor, Delta, Entry};
use serde::{Deserialize, Serialize};

/// A set of keys that is replicated among instances. The order is that of the revisions in a
/// heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// The operators' configuration.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// The list of instances.
    Instances,
}

/// Number of topics.
pub(crate) const TOPIC_COUNT: usize = 3;

/// A request for what has changed since a revision, to an instance that may have newer data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DeltaRequest {
    pub(crate) topic: Topic,
    /// The revision up to which the requesting instance knows the topic; 0 for none.
    pub(crate) revision: i64,
    /// The end of the previous page of the same response; `None` for the first page.
    #[serde(default)]
    pub(crate) after: Option<Cursor>,
    /// Identifies the fetch that the pages of one response belong to.
    #[serde(default, rename = "fetch")]
    pub(crate) fetch_id: u64,
}

impl DeltaRequest {
    /// Returns a request for the first page of what has changed since a revision.
    pub(crate) fn first_page(topic: Topic, revision: i64) -> DeltaRequest {
        DeltaRequest {
            topic,
            revision,
            after: None,
            fetch_id: rand::random(),
        }
    }
}

/// The response to a [`DeltaRequest`], or one page of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DeltaResponse {
    #[serde(rename = "since")]
    pub(crate) delta: Delta,
    /// The revision up to which the response is complete; of several pages, the one of the first
    /// page counts. 0 if nothing is known, or the request is rejected.
    pub(crate) revision: i64,
    /// Where the next page begins; `None` for the last page.
    #[serde(default)]
    pub(crate) next: Option<Cursor>,
}

impl DeltaResponse {
    /// Returns the total size of the keys and values, in bytes.
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

/// Converts a key that was read to a replica's entry.
pub(crate) fn key_value_to_entry(key_value: &KeyValue) -> Entry {
    Entry {
        key: key_value.key.clone(),
        value: Some(String::from_utf8_lossy(&key_value.value).into_owned()),
        revision: key_value.revision,
    }
}

/// Converts a change to a replica's entry.
pub(crate) fn change_to_entry(change: &Change) -> Entry {
    let entry = change.current.as_ref().map(key_value_to_entry);
    entry.unwrap_or_else(|| Entry {
        key: change.key.clone(),
        value: None,
        revision: change.revision,
    })
}

/// Converts a replica's entry to the change that wrote or deleted the key.
pub(crate) fn entry_to_change(entry: Entry) -> Change {
    let key_value = entry.value.map(|value| KeyValue {
        key: entry.key.clone(),
        value: value.into_bytes(),
        revision: entry.revision,
    });
    Change {
        key: entry.key,
        revision: entry.revision,
        current: key_value,
    }
}
