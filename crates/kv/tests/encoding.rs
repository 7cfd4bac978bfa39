//! The encoding of requests to the key-value store and of its responses, which must not change.

use kv::client::parse_key_values;
use kv::wire::{self, EncodedKeyValue};
use kv::{Precondition, Put, Txn};

#[test]
fn key_values_keep_their_encoding() {
    let sample = r#"{"key":"YQ==","value":"b25l","mod_revision":"7"}"#;
    let value: EncodedKeyValue = serde_json::from_str(sample).expect("a sample");
    assert_eq!(serde_json::to_string(&value).expect("JSON"), sample);
    let value: EncodedKeyValue = serde_json::from_str("{}").expect("a sample");
    let whole = r#"{"key":"","value":"","mod_revision":null}"#;
    assert_eq!(serde_json::to_string(&value).expect("JSON"), whole);
}

#[test]
fn transactions_keep_their_encoding() {
    let expect = Precondition {
        key: "a".to_string(),
        revision: 3,
    };
    let put = Put {
        key: "b".to_string(),
        value: b"one".to_vec(),
        lease: 9,
    };
    let txn = Txn {
        preconditions: vec![expect],
        puts: vec![put],
        deletes: vec!["c".to_string()],
    };
    let sample = r#"{
        "compare": [{"key": "YQ==", "target": "MOD", "result": "EQUAL", "mod_revision": "3"}],
        "success": [
            {"request_put": {"key": "Yg==", "value": "b25l", "lease": "9"}},
            {"request_delete_range": {"key": "Yw=="}}
        ],
        "failure": [{"request_range": {"key": "YQ=="}}]
    }"#;
    let sample: serde_json::Value = serde_json::from_str(sample).expect("a sample");
    assert_eq!(wire::txn(&txn), sample);
}

/// Guards against a list that counts as empty because of one odd item in it.
#[test]
fn odd_items_do_not_hide_the_others() {
    let kvs = serde_json::json!([
        {"key": "YQ==", "value": 1e300, "mod_revision": "1"},
        {"key": ["YQ=="], "value": "b25l", "mod_revision": "2"},
        7,
        {"key": "Yg==", "value": "b25l", "mod_revision": "3"},
    ]);
    let keys: Vec<String> = parse_key_values(&kvs)
        .into_iter()
        .map(|kv| kv.key)
        .collect();
    assert_eq!(keys, ["b"]);
}
