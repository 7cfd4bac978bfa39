//! The encoding of gossip and of entries in the store, which instances of other versions read: it
//! must not change.

use peer::{Heartbeat, Member, MembershipUpdate, Status};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn gossip_keeps_its_encoding() {
    assert_kept::<MembershipUpdate>(include_str!("data/outer/told.json"));
    assert_kept::<Member>(include_str!("data/outer/members.json"));
    assert_kept::<Heartbeat>(include_str!("data/outer/beats.json"));
    assert_kept::<Status>(include_str!("data/outer/standings.json"));
}

/// Log lines contain the Debug output.
#[test]
fn standings_keep_their_debug_output() {
    let standings = [Status::Live, Status::Leaving, Status::Left];
    assert_eq!(format!("{standings:?}"), "[Live, Leaving, Left]");
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
