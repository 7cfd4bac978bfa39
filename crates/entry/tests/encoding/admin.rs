//! Request bodies that operators' tools of other versions send: their fields must not change.

use serde::de::DeserializeOwned;

use super::{PutConfig, Release, TopUp};

/// Checks that a body can be parsed: no field may be unknown or missing.
fn assert_parses<T: DeserializeOwned>(text: &str) {
    let value: serde_json::Result<T> = serde_json::from_str(text);
    assert!(value.is_ok(), "{:?}: {text}", value.err());
}

#[test]
fn operator_requests_are_parsed() {
    assert_parses::<PutConfig>(
        r#"{"config":{},"change_id":"c-1","who":"ann","what":"a line","dry_run":true}"#,
    );
    assert_parses::<PutConfig>(r#"{"config":{},"change_id":"c-1","who":"ann","what":"a line"}"#);
    assert_parses::<TopUp>(r#"{"id":"invoice-1","tokens":1000}"#);
    assert_parses::<Release>(r#"{"id":"x-1","holder":"r9.5f","reason":"lost","who":"ann"}"#);
}
