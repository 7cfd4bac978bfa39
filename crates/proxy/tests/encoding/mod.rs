//! What instances of other versions read and send, and what stands in the store: its encoding stays.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::datagram::Datagram;
use crate::fleet::Member;
mod texts;

use crate::budgets::{DrawRequest, DrawResponse};
use crate::peers::{TokenRequest, TokenTransfer};
use crate::replication::{DeltaRequest, DeltaResponse};
use crate::suspects::{TrialRequest, TrialResponse};

#[test]
fn instance_datagrams_keep_their_encoding() {
    assert_kept::<Datagram>(include_str!("../data/outer/datagrams.json"));
}

#[test]
fn instance_messages_keep_their_encoding() {
    assert_kept::<TokenRequest>(include_str!("../data/outer/wants.json"));
    assert_kept::<TokenTransfer>(include_str!("../data/outer/gifts.json"));
    assert_kept::<DrawRequest>(include_str!("../data/outer/draws.json"));
    assert_kept::<DrawResponse>(include_str!("../data/outer/drawn.json"));
    assert_kept::<DeltaRequest>(include_str!("../data/outer/asks.json"));
    assert_kept::<DeltaResponse>(include_str!("../data/outer/passed.json"));
    assert_kept::<TrialRequest>(include_str!("../data/outer/ask_trials.json"));
    assert_kept::<TrialResponse>(include_str!("../data/outer/trials.json"));
}

/// Guards what an instance of an earlier version sends, which lacks these fields.
#[test]
fn short_instance_messages_are_read() {
    assert_filled::<DrawRequest>(
        r#"{"customer":"alpha","tokens":1,"size":2,"spent":{"from":"r1.6a","to":"r2.6b","total":4},"prepaid":3}"#,
        r#"{"customer":"alpha","tokens":1,"size":2,"spent":{"from":"r1.6a","to":"r2.6b","total":4},"prepaid":3,"zone":false}"#,
    );
    assert_filled::<DeltaRequest>(
        r#"{"topic":"Config","revision":3}"#,
        r#"{"topic":"Config","revision":3,"after":null,"fetch":0}"#,
    );
    assert_filled::<DeltaResponse>(
        r#"{"since":{"All":[]},"revision":3}"#,
        r#"{"since":{"All":[]},"revision":3,"next":null}"#,
    );
}

#[test]
fn entries_of_instances_keep_their_encoding() {
    assert_kept::<Member>(include_str!("../data/outer/members.json"));
    assert_filled::<Member>(
        r#"{"id":"r1.6a","addr":"10.0.0.1:7000","zone":"zone-1"}"#,
        r#"{"id":"r1.6a","addr":"10.0.0.1:7000","zone":"zone-1","link_mbps":null}"#,
    );
}

/// Reads each sample and writes it again.
pub(crate) fn assert_kept<T: Serialize + DeserializeOwned>(samples: &str) {
    let samples: Vec<Box<RawValue>> = serde_json::from_str(samples).expect("a list of samples");
    assert!(!samples.is_empty());
    for sample in samples {
        let value: serde_json::Result<T> = serde_json::from_str(sample.get());
        let value = value.unwrap_or_else(|e| panic!("{e}: {sample}"));
        let written = serde_json::to_string(&value).expect("a value that JSON can hold");
        assert_eq!(written, sample.get());
    }
}

/// Reads a sample without the fields that may be left out, and writes it with them.
fn assert_filled<T: Serialize + DeserializeOwned>(short: &str, whole: &str) {
    let value: T = serde_json::from_str(short).expect("a sample");
    let written = serde_json::to_string(&value).expect("a value that JSON can hold");
    assert_eq!(written, whole);
}
