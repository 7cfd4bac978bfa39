//! The encoding of suspect records. It must not change: instances of other versions and later
//! incarnations read it.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;
use suspect::{CrashHistory, CrashReport, Digest, SuspectRecord};

#[test]
fn suspect_records_keep_their_encoding() {
    assert_round_trip::<Digest>(include_str!("data/outer/digests.json"));
    assert_round_trip::<CrashReport>(include_str!("data/outer/ended.json"));
    assert_round_trip::<SuspectRecord>(include_str!("data/outer/words.json"));
}

/// Log lines and error messages to callers contain the Display output.
#[test]
fn suspects_keep_their_display_output() {
    let digest: Digest = serde_json::from_str("[81985529216486895,7]").expect("a sample");
    assert_eq!(digest.to_string(), "0123456789abcdef");
    let all_digits = "0123456789abcdef0000000000000007";
    assert_eq!(format!("{digest:.32}"), all_digits);
    let crash =
        |upstream: &str, seen_by: &str, ago_ms| (upstream.to_string(), seen_by.to_string(), ago_ms);
    let history = CrashHistory {
        crashes: vec![
            crash("engine-1@5", "r1.6a", 250),
            crash("engine-2@6", "r2.6b", 0),
        ],
        trials: 2,
        retry_ms: Some(40),
    };
    let text = "upstreams crashed while running this request: engine-1@5 (seen by r1.6a 250 ms ago) engine-2@6 (seen by r2.6b 0 ms ago) trials=2";
    assert_eq!(history.to_string(), text);
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
