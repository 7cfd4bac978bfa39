//! The encoding of messages, journal steps and metrics, which instances of other versions and
//! operators read: it must not change.

use entry::journal::RequestJournal;
use entry::messages::{
    DetachMsg, ExtendMsg, GossipMsg, OpenStepMsg, PullConfigMsg, PullConfigReply, RecallMsg,
    ReserveMsg, SettleMsg, StoreCopyMsg, VoidMsg,
};
use entry::metrics::Metrics;
use entry::pipeline::stream::AttemptEnd;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn messages_keep_their_encoding() {
    assert_round_trip::<ReserveMsg>(include_str!("data/outer/reserve_msgs.json"));
    assert_round_trip::<ExtendMsg>(include_str!("data/outer/extend_msgs.json"));
    assert_round_trip::<VoidMsg>(include_str!("data/outer/void_msgs.json"));
    assert_round_trip::<DetachMsg>(include_str!("data/outer/drop_out_msgs.json"));
    assert_round_trip::<SettleMsg>(include_str!("data/outer/settle_msgs.json"));
    assert_round_trip::<StoreCopyMsg>(include_str!("data/outer/keep_msgs.json"));
    assert_round_trip::<RecallMsg>(include_str!("data/outer/recall_msgs.json"));
    assert_round_trip::<OpenStepMsg>(include_str!("data/outer/open_msgs.json"));
    assert_round_trip::<GossipMsg>(include_str!("data/outer/gossip_msgs.json"));
    assert_round_trip::<PullConfigMsg>(include_str!("data/outer/pull_msgs.json"));
    assert_round_trip::<PullConfigReply>(include_str!("data/outer/pull_replies.json"));
}

/// Steps are only serialized, for operators.
#[test]
fn journal_steps_keep_their_encoding() {
    let journal = RequestJournal::default();
    journal.record(12, "q-1", "asked");
    let sample = r#"[{"at":12,"what":"asked"}]"#;
    assert_eq!(
        serde_json::to_string(&journal.steps_of("q-1")).expect("JSON"),
        sample
    );
}

#[test]
fn attempt_ends_keep_their_debug_output() {
    let text = |end: AttemptEnd| format!("{end:?}");
    let why = || "reset".to_string();
    assert_eq!(text(AttemptEnd::Whole(30)), "Whole(30)");
    assert_eq!(text(AttemptEnd::NotRun(why())), r#"NotRun("reset")"#);
    assert_eq!(text(AttemptEnd::Broken(why())), r#"Broken("reset")"#);
    assert_eq!(text(AttemptEnd::Gone), "Gone");
    assert_eq!(text(AttemptEnd::CallerLeft), "CallerLeft");
    assert_eq!(text(AttemptEnd::Overrun), "Overrun");
    assert_eq!(text(AttemptEnd::Late), "Late");
}

/// Monitoring depends on the names and labels of the metrics.
#[test]
fn metrics_keep_their_names_and_labels() {
    let metrics = Metrics::create();
    metrics.count_request("ok");
    metrics.count_peer_message("settle", 5);
    metrics.set_platform_calls("read", 7);
    let text = metrics.encode_text();
    // Lines without the values, which follow the last space.
    let line = |l: &str| match l.rsplit_once(' ') {
        Some((name, _)) if !l.starts_with('#') => name.to_string(),
        _ => l.to_string(),
    };
    let lines: Vec<String> = text.lines().map(line).collect();
    let sample = include_str!("data/outer/metrics.txt");
    assert_eq!(lines, sample.lines().collect::<Vec<_>>());
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
