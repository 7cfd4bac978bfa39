//! Encoding of the messages of the etcd v3 JSON protocol that the client uses.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::store::{Precondition, Put, Txn};

/// Encodes bytes as the protocol requires.
pub fn encode_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a field; returns no bytes if it is not valid base64.
pub fn decode_base64(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// Parses an integer, which the protocol encodes as a string; returns 0 if it is invalid.
pub fn parse_int(value: &Value) -> i64 {
    match value {
        Value::String(s) => s.parse().unwrap_or_default(),
        other => other.as_i64().unwrap_or_default(),
    }
}

/// A stored key with its value, as the protocol encodes it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EncodedKeyValue {
    /// The key, in base64.
    #[serde(default)]
    pub key: String,
    /// The value, in base64.
    #[serde(default)]
    pub value: String,
    /// Revision of the last write to the key.
    #[serde(default)]
    pub mod_revision: Value,
}

/// Returns the end, itself excluded, of the range of all keys with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

/// Returns the body of a compare-and-swap of one key; revision 0 means that the key does not exist.
pub fn compare_and_swap(key: &str, revision: i64, value: &[u8], lease: i64) -> Value {
    let put = Put {
        key: key.to_string(),
        value: value.to_vec(),
        lease,
    };
    let precondition = Precondition {
        key: key.to_string(),
        revision,
    };
    txn(&Txn {
        preconditions: vec![precondition],
        puts: vec![put],
        deletes: Vec::new(),
    })
}

/// Returns the body of a transaction, which reads the keys of its preconditions if one does not hold.
pub fn txn(txn: &Txn) -> Value {
    let compare = |c: &Precondition| {
        json!({
            "key": encode_base64(c.key.as_bytes()), "target": "MOD", "result": "EQUAL",
            "mod_revision": c.revision.to_string(),
        })
    };
    let put = |p: &Put| {
        json!({"request_put": {
            "key": encode_base64(p.key.as_bytes()),
            "value": encode_base64(&p.value),
            "lease": p.lease.to_string(),
        }})
    };
    let delete = |k: &String| json!({"request_delete_range": {"key": encode_base64(k.as_bytes())}});
    let read =
        |c: &Precondition| json!({"request_range": {"key": encode_base64(c.key.as_bytes())}});
    let success = txn
        .puts
        .iter()
        .map(put)
        .chain(txn.deletes.iter().map(delete));
    json!({
        "compare": txn.preconditions.iter().map(compare).collect::<Vec<_>>(),
        "success": success.collect::<Vec<_>>(),
        "failure": txn.preconditions.iter().map(read).collect::<Vec<_>>(),
    })
}
