//! Instances of other versions and operators read these: their encoding stays.

use entry::journal::Journal;
use entry::msg::{
    DropOutMsg, ExtendMsg, GossipMsg, KeepMsg, OpenMsg, PullMsg, PullReply, RecallMsg, ReserveMsg,
    SettleMsg, VoidMsg,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn instance_messages_keep_their_encoding() {
    assert_kept::<ReserveMsg>(include_str!("data/outer/reserve_msgs.json"));
    assert_kept::<ExtendMsg>(include_str!("data/outer/extend_msgs.json"));
    assert_kept::<VoidMsg>(include_str!("data/outer/void_msgs.json"));
    assert_kept::<DropOutMsg>(include_str!("data/outer/drop_out_msgs.json"));
    assert_kept::<SettleMsg>(include_str!("data/outer/settle_msgs.json"));
    assert_kept::<KeepMsg>(include_str!("data/outer/keep_msgs.json"));
    assert_kept::<RecallMsg>(include_str!("data/outer/recall_msgs.json"));
    assert_kept::<OpenMsg>(include_str!("data/outer/open_msgs.json"));
    assert_kept::<GossipMsg>(include_str!("data/outer/gossip_msgs.json"));
    assert_kept::<PullMsg>(include_str!("data/outer/pull_msgs.json"));
    assert_kept::<PullReply>(include_str!("data/outer/pull_replies.json"));
}

/// These are written only, to operators.
#[test]
fn steps_of_requests_keep_their_encoding() {
    let journal = Journal::default();
    journal.add(12, "q-1", "asked");
    let sample = r#"[{"at":12,"what":"asked"}]"#;
    assert_eq!(
        serde_json::to_string(&journal.get("q-1")).expect("JSON"),
        sample
    );
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
