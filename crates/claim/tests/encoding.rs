//! The encoding of claims and of messages about them. It must not change: claims in the store are
//! read by later versions, messages by instances of other versions.

use claim::{AttemptStatus, Claim, State, StoredResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn stored_claims_keep_their_encoding() {
    assert_round_trip::<Claim>(include_str!("data/outer/claims.json"));
    assert_round_trip::<State>(include_str!("data/outer/states.json"));
    assert_round_trip::<StoredResponse>(include_str!("data/outer/answers.json"));
}

#[test]
fn attempt_statuses_keep_their_encoding() {
    assert_round_trip::<AttemptStatus>(include_str!("data/outer/words.json"));
}

/// The request journal contains the Debug output.
#[test]
fn attempt_statuses_keep_their_debug_output() {
    let statuses = [
        AttemptStatus::Running,
        AttemptStatus::NotRun,
        AttemptStatus::Unknown,
        AttemptStatus::Silent,
    ];
    assert_eq!(
        format!("{statuses:?}"),
        "[Running, NotRun, Unknown, Silent]"
    );
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
