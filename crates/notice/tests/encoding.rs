//! The encoding of notices, which instances of other versions read: it must not change.

use notice::Notice;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn notices_keep_their_encoding() {
    assert_round_trip::<Notice>(include_str!("data/outer/notices.json"));
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
