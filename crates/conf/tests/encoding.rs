//! The encoding of settings and configurations, which operators, the store and instances of other
//! versions hold: it must not change.

use conf::bundle::Change;
use conf::{Bundle, Chunk, Config, Customer, Fleet, Head, Settings, Template, ValidationError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn stored_configurations_keep_their_encoding() {
    assert_kept::<Bundle>(include_str!("data/outer/bundles.json"));
    assert_kept::<Head>(include_str!("data/outer/heads.json"));
    assert_kept::<Change>(include_str!("data/outer/changes.json"));
    assert_kept::<Chunk>(include_str!("data/outer/chunks.json"));
    assert_kept::<Config>(include_str!("data/outer/configs.json"));
    assert_kept::<Customer>(include_str!("data/outer/customers.json"));
    assert_kept::<Template>(include_str!("data/outer/templates.json"));
}

#[test]
fn settings_keep_their_encoding() {
    assert_kept::<Settings>(include_str!("data/outer/settings.json"));
    assert_kept::<Fleet>(include_str!("data/outer/fleets.json"));
}

/// Guards against a field that is missing in the table of allowed fields, which is kept apart from
/// the types.
#[test]
fn complete_documents_are_accepted() {
    let text = include_str!("data/outer/whole_settings.json");
    let settings = Settings::parse(text).expect("settings without a fault");
    let written = serde_json::to_string(&settings).expect("JSON");
    assert_eq!(written, text.trim_end());
    let text = r#"{"templates":{"base":{"models":["m1"],"services":["s1"],"not_repeatable":["s1"],"priority":9,"max_tokens":100,"weight":50},"empty":{}},"customers":{"alpha":{"template":"base","key_hashes":["sha256:0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f"],"models":["m1"],"services":["s1"],"not_repeatable":["s1"],"priority":9,"max_tokens":100,"weight":50},"beta":{"template":"empty","key_hashes":[]}},"versions":{"m1":"v2"}}"#;
    let config = Config::parse(text).expect("a configuration without a fault");
    assert_eq!(serde_json::to_string(&config).expect("JSON"), text);
}

/// Policies are only serialized.
#[test]
fn policies_keep_their_encoding() {
    let config: Config = serde_json::from_str(
        r#"{"templates":{"base":{"models":["m1"],"services":["s1"],"not_repeatable":["s1"],"priority":9,"max_tokens":100,"weight":50},"empty":{}},"customers":{"alpha":{"template":"base","key_hashes":["sha256:0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f"],"models":["m1"],"services":["s1"],"not_repeatable":["s1"],"priority":9,"max_tokens":100,"weight":50},"beta":{"template":"empty","key_hashes":[]}},"versions":{"m1":"v2"}}"#,
    )
    .expect("a sample");
    let policy = config.policy("alpha").expect("a known customer");
    let sample = r#"{"models":["m1"],"services":["s1"],"not_repeatable":["s1"],"priority":9,"max_tokens":100,"weight":50}"#;
    assert_eq!(serde_json::to_string(&policy).expect("JSON"), sample);
}

/// Operators see the Display output.
#[test]
fn faults_keep_their_text() {
    let fault = ValidationError {
        path: "/zone".to_string(),
        message: "is missing".to_string(),
    };
    assert_eq!(fault.to_string(), "at /zone: is missing");
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
