//! The encoding of messages, stored records and the dump. It must not change: instances of other
//! versions and later incarnations read it.

use budget::grant::GrantSizing;
use budget::joint_grant::LocalJointGrant;
use budget::local_account::Hold;
use budget::msg::{AttemptRef, ReserveRequest, UnconfirmedUsage};
use budget::range_set::RangeSet;
use budget::record::{BillSegment, JointGrant, Release};
use budget::{
    Account, Bill, Durability, LedgerEntry, OperatorCommand, OperatorReply, ReserveReply, Role,
    Settlement, ShardRecord,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn stored_records_keep_their_encoding() {
    assert_round_trip::<ShardRecord>(include_str!("data/outer/records.json"));
    assert_round_trip::<Account>(include_str!("data/outer/accounts.json"));
    assert_round_trip::<BillSegment>(include_str!("data/outer/segments.json"));
    assert_round_trip::<JointGrant>(include_str!("data/outer/joints.json"));
    assert_round_trip::<LedgerEntry>(include_str!("data/outer/lines.json"));
    assert_round_trip::<RangeSet>(include_str!("data/outer/ranges.json"));
    assert_round_trip::<Bill>(include_str!("data/outer/bills.json"));
    assert_round_trip::<Release>(include_str!("data/outer/releases.json"));
    assert_round_trip::<AttemptRef>(include_str!("data/outer/run_at.json"));
}

/// Guards that records of an earlier version, which had fewer fields, can still be read.
#[test]
fn stored_records_without_newer_fields_are_read() {
    assert_defaults_added::<ShardRecord>(
        r#"{"accounts":{}}"#,
        r#"{"accounts":{},"writers":{},"tombstones":[]}"#,
    );
    assert_defaults_added::<Account>(
        r#"{"topups":{},"lines":{}}"#,
        r#"{"topups":{},"lines":{},"folded":0,"bills":[]}"#,
    );
    assert_defaults_added::<LedgerEntry>(
        r#"{"granted":1,"settled":2}"#,
        r#"{"granted":1,"settled":2,"written_off":0,"posted":[],"released":0}"#,
    );
}

#[test]
fn messages_keep_their_encoding() {
    assert_round_trip::<ReserveRequest>(include_str!("data/outer/reserves.json"));
    assert_round_trip::<ReserveReply>(include_str!("data/outer/reserve_replies.json"));
    assert_round_trip::<Durability>(include_str!("data/outer/settled.json"));
    assert_round_trip::<Settlement>(include_str!("data/outer/posts.json"));
    assert_round_trip::<UnconfirmedUsage>(include_str!("data/outer/doubts.json"));
    assert_round_trip::<OperatorCommand>(include_str!("data/outer/acts.json"));
    assert_round_trip::<OperatorReply>(include_str!("data/outer/act_replies.json"));
    assert_round_trip::<GrantSizing>(include_str!("data/outer/sizings.json"));
}

/// Holds and joint grants are only serialized, for the dump.
#[test]
fn dumped_holds_keep_their_encoding() {
    let attempt =
        || serde_json::from_str(r#"{"upstream":"engine-1","run":"r-7"}"#).expect("a sample");
    let hold = Hold {
        request_id: "q-1".to_string(),
        body_hash: u64::MAX,
        entries: ["r1.6a".to_string(), "r2.6b".to_string()].into(),
        attempt: attempt(),
        tokens: 500,
        settled: 10,
        unconfirmed: true,
        cancel_at: Some(77),
    };
    let sample = r#"{"request":"q-1","body":18446744073709551615,"entries":["r1.6a","r2.6b"],"at":{"upstream":"engine-1","run":"r-7"},"tokens":500,"paid":10,"uncertain":true,"probe_at":77}"#;
    assert_eq!(serde_json::to_string(&hold).expect("JSON"), sample);
    let joint = LocalJointGrant {
        key: "r1.6a+r2.6b+1+alpha".to_string(),
        opened: 40,
        pending_step: Some((5, 60)),
        is_watched: true,
        closing: false,
    };
    let sample = r#"{"key":"r1.6a+r2.6b+1+alpha","opened":40,"asked":[5,60],"is_watched":true,"closing":false}"#;
    assert_eq!(serde_json::to_string(&joint).expect("JSON"), sample);
}

/// The dump contains the Debug output of roles, and the request journal that of durabilities.
#[test]
fn roles_and_durabilities_keep_their_debug_output() {
    let roles = [Role::Home, Role::Standby, Role::None];
    assert_eq!(format!("{roles:?}"), "[Home, Standby, None]");
    let durabilities: [Result<Durability, ()>; 2] =
        [Ok(Durability::Recorded), Ok(Durability::Copied)];
    assert_eq!(format!("{durabilities:?}"), "[Ok(Recorded), Ok(Copied)]");
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

/// Deserializes a sample without its optional fields; checks that it is serialized with their
/// defaults.
fn assert_defaults_added<T: Serialize + DeserializeOwned>(short: &str, full: &str) {
    let value: T = serde_json::from_str(short).expect("a sample");
    let written = serde_json::to_string(&value).expect("the value serializes");
    assert_eq!(written, full);
}
