//! Instances of other versions and later incarnations read these words: their encoding stays.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;
use suspect::{Digest, Ended, Word};

#[test]
fn words_of_suspects_keep_their_encoding() {
    assert_kept::<Digest>(include_str!("data/outer/digests.json"));
    assert_kept::<Ended>(include_str!("data/outer/ended.json"));
    assert_kept::<Word>(include_str!("data/outer/words.json"));
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
