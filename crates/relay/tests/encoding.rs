//! The encoding of what instances pass on to each other. It must not change: instances of other
//! versions read it.

use relay::{Cursor, Delta, Entry, Heartbeat, Page};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn replicated_entries_keep_their_encoding() {
    assert_round_trip::<Entry>(include_str!("data/outer/entries.json"));
    assert_round_trip::<Delta>(include_str!("data/outer/since.json"));
    assert_round_trip::<Cursor>(include_str!("data/outer/cursors.json"));
    assert_round_trip::<Page>(include_str!("data/outer/pages.json"));
}

#[test]
fn heartbeats_keep_their_encoding() {
    assert_round_trip::<Heartbeat>(include_str!("data/outer/heads.json"));
}

/// Deserializes each sample, serializes it again and compares the texts.
fn assert_round_trip<T: Serialize + DeserializeOwned>(samples: &str) {
    let samples: Vec<Box<RawValue>> = serde_json::from_str(samples).expect("a list of samples");
    assert!(!samples.is_empty());
    for sample in samples {
        let value: serde_json::Result<T> = serde_json::from_str(sample.get());
        let value = value.unwrap_or_else(|e| panic!("{e}: {sample}"));
        let written = serde_json::to_string(&value).expect("the value serializes");
        assert_eq!(written, sample.get());
    }
}
