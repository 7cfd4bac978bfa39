//! What operators' tools of other versions send: its fields stay.

use serde::de::DeserializeOwned;

use super::{PutConfig, Release, TopUp};

/// Reads a document with all fields: none of them may be unknown, none lacking.
fn assert_read<T: DeserializeOwned>(text: &str) {
    let value: serde_json::Result<T> = serde_json::from_str(text);
    assert!(value.is_ok(), "{:?}: {text}", value.err());
}

#[test]
fn orders_of_operators_are_read() {
    assert_read::<PutConfig>(
        r#"{"config":{},"change_id":"c-1","who":"ann","what":"a line","dry_run":true}"#,
    );
    assert_read::<PutConfig>(r#"{"config":{},"change_id":"c-1","who":"ann","what":"a line"}"#);
    assert_read::<TopUp>(r#"{"id":"invoice-1","tokens":1000}"#);
    assert_read::<Release>(r#"{"id":"x-1","holder":"r9.5f","reason":"lost","who":"ann"}"#);
}
