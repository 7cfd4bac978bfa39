//! The few messages of the etcd v3 JSON protocol that are used.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Encodes bytes as the protocol wants them.
pub fn b64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a field; what is not base64 is empty.
pub fn un64(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// Reads a number that the protocol writes as a text.
pub fn number(value: &Value) -> i64 {
    match value {
        Value::String(s) => s.parse().unwrap_or_default(),
        other => other.as_i64().unwrap_or_default(),
    }
}

/// A stored key with its value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key, in base64.
    #[serde(default)]
    pub key: String,
    /// The value, in base64.
    #[serde(default)]
    pub value: String,
    /// The store's revision of the last write to the key.
    #[serde(default)]
    pub mod_revision: Value,
}

/// Returns the end of the range that holds all keys with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

/// Returns the body of a compare-and-swap of one key; revision 0 means that the key is absent.
pub fn swap(key: &str, revision: i64, value: &[u8], lease: i64) -> Value {
    let key = b64(key.as_bytes());
    json!({
        "compare": [{
            "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string(),
        }],
        "success": [{"request_put": {
            "key": key, "value": b64(value), "lease": lease.to_string(),
        }}],
        "failure": [{"request_range": {"key": key}}],
    })
}
