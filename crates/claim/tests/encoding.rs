//! Claims in the store outlive versions: their encoding stays.

use claim::{AttemptStatus, Claim, State, StoredResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn stored_claims_keep_their_encoding() {
    assert_kept::<Claim>(include_str!("data/outer/claims.json"));
    assert_kept::<State>(include_str!("data/outer/states.json"));
    assert_kept::<StoredResponse>(include_str!("data/outer/answers.json"));
}

#[test]
fn words_of_holders_keep_their_encoding() {
    assert_kept::<AttemptStatus>(include_str!("data/outer/words.json"));
}

/// The steps of a request name these.
#[test]
fn words_of_holders_keep_their_texts() {
    let words = [
        AttemptStatus::Running,
        AttemptStatus::NotRun,
        AttemptStatus::Unknown,
        AttemptStatus::Silent,
    ];
    assert_eq!(format!("{words:?}"), "[Running, NotRun, Unknown, Silent]");
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
