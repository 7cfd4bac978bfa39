//! The encoding of entries in the store, of load reports of upstreams and of the dump, which must
//! not change.

use route::{Choice, ChoiceReason, Load, Spec, Upstream, UpstreamKey, UpstreamKind};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn entries_and_load_reports_keep_their_encoding() {
    assert_kept::<Spec>(include_str!("data/outer/specs.json"));
    assert_kept::<UpstreamKind>(include_str!("data/outer/kinds.json"));
    assert_kept::<Load>(include_str!("data/outer/loads.json"));
    assert_filled::<Spec>(
        r#"{"id":"e","kind":"engine","url":"u","zone":"z","serves":[]}"#,
        r#"{"id":"e","kind":"engine","url":"u","zone":"z","serves":[],"leaving":false}"#,
    );
    assert_filled::<Load>(
        r#"{"slots":8,"running":2,"waiting":1}"#,
        r#"{"slots":8,"running":2,"waiting":1,"draining":false}"#,
    );
}

/// Upstreams are only serialized, for the dump.
#[test]
fn dumped_upstreams_keep_their_encoding() {
    let spec: Spec = serde_json::from_str(r#"{"id":"engine-1","kind":"engine","url":"http://10.0.0.2:80","zone":"zone-1","serves":["m1","m2"],"leaving":true}"#).expect("a sample");
    let upstream = Upstream {
        versions: [("m1".to_string(), "v2".to_string())].into(),
        load: serde_json::from_str(r#"{"slots":8,"running":2,"waiting":1,"draining":true}"#)
            .expect("a sample"),
        load_at: Some(55),
        inflight: 3,
        since_report: 4,
        failures: 5,
        ejected_until: 6,
        ejections: 7,
        leaving: true,
        ..Upstream::new(spec)
    };
    let sample = r#"{"spec":{"id":"engine-1","kind":"engine","url":"http://10.0.0.2:80","zone":"zone-1","serves":["m1","m2"],"leaving":true},"versions":{"m1":"v2"},"load":{"slots":8,"running":2,"waiting":1,"draining":true},"load_at":55,"inflight":3,"since_report":4,"failures":5,"ejected_until":6,"ejections":7,"leaving":true}"#;
    assert_eq!(serde_json::to_string(&upstream).expect("JSON"), sample);
}

#[test]
fn choices_keep_their_encoding() {
    let whys = [
        ChoiceReason::Prefix,
        ChoiceReason::OwnZone,
        ChoiceReason::LeastOfTwo,
        ChoiceReason::Joined,
    ];
    let sample = r#"["prefix","own_zone","least_of_two","joined"]"#;
    assert_eq!(serde_json::to_string(&whys).expect("JSON"), sample);
    let choice = Choice {
        key: UpstreamKey(3),
        id: "engine-1".to_string(),
        url: "http://10.0.0.2:80".to_string(),
        reason: ChoiceReason::Prefix,
    };
    let sample = r#"{"key":3,"id":"engine-1","url":"http://10.0.0.2:80","why":"prefix"}"#;
    assert_eq!(serde_json::to_string(&choice).expect("JSON"), sample);
}

/// The request journal contains the Debug output.
#[test]
fn choice_reasons_keep_their_debug_output() {
    assert_eq!(format!("{:?}", ChoiceReason::Prefix), "Prefix");
    assert_eq!(format!("{:?}", ChoiceReason::OwnZone), "OwnZone");
    assert_eq!(format!("{:?}", ChoiceReason::LeastOfTwo), "LeastOfTwo");
    assert_eq!(format!("{:?}", ChoiceReason::Joined), "Joined");
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

/// Deserializes a sample without its optional fields; checks that it is serialized with their
/// defaults.
fn assert_filled<T: Serialize + DeserializeOwned>(short: &str, whole: &str) {
    let value: T = serde_json::from_str(short).expect("a sample");
    let written = serde_json::to_string(&value).expect("a value that JSON can hold");
    assert_eq!(written, whole);
}
