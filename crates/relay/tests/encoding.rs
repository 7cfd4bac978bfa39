//! Instances of other versions read what this one passes on: its encoding stays.

use relay::{Cursor, Delta, Entry, Heartbeat, Page};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn passed_lists_keep_their_encoding() {
    assert_kept::<Entry>(include_str!("data/outer/entries.json"));
    assert_kept::<Delta>(include_str!("data/outer/since.json"));
    assert_kept::<Cursor>(include_str!("data/outer/cursors.json"));
    assert_kept::<Page>(include_str!("data/outer/pages.json"));
}

#[test]
fn words_of_readers_keep_their_encoding() {
    assert_kept::<Heartbeat>(include_str!("data/outer/heads.json"));
}

/// Reads each sample and writes it again.
fn assert_kept<T: Serialize + DeserializeOwned>(samples: &str) {
    let samples: Vec<Box<RawValue>> = serde_json::from_str(samples).expect("a list of samples");
    assert!(!samples.is_empty());
    for sample in samples {
        let value: serde_json::Result<T> = serde_json::from_str(sample.get());
        let value = value.unwrap_or_else(|e| panic!("{e}: {sample}"));
        let written = serde_json::to_string(&value).expect("a value that JSON can hold");
        assert_eq!(written, sample.get());
    }
}
