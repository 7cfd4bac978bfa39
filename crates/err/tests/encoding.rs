//! The encoding of errors, which callers and instances of other versions read: it must not change.

use err::{Error, Kind, Ran};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn errors_keep_their_encoding() {
    assert_kept::<Kind>(include_str!("data/outer/kinds.json"));
    assert_kept::<Ran>(include_str!("data/outer/ran.json"));
    assert_kept::<Error>(include_str!("data/outer/errors.json"));
}

/// Log lines of refused requests contain the Debug output.
#[test]
fn ran_values_keep_their_debug_output() {
    assert_eq!(format!("{:?}", Ran::No), "No");
    assert_eq!(format!("{:?}", Ran::Unknown), "Unknown");
    assert_eq!(format!("{:?}", Ran::Yes), "Yes");
}

#[test]
fn error_responses_keep_their_encoding() {
    let error: Error = serde_json::from_str(
        r#"{"kind":"overloaded","message":"busy","ran":"no","retry_after_secs":1}"#,
    )
    .expect("a sample");
    assert_eq!(error.to_string(), "overloaded: busy");
    let body = r#"{"error":{"type":"invalid_request_error","code":"overloaded","message":"busy","ran":"no"}}"#;
    let body: serde_json::Value = serde_json::from_str(body).expect("a sample");
    assert_eq!(error.body(), body);
}

/// Deserializes each sample, serializes it again and compares the texts.
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
