//! Checks a JSON document against its shape and reports every fault with its path.

use std::fmt;
use std::net::SocketAddr;

use serde_json::Value;

use crate::schema::{Field, Schema};

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Where, as a JSON pointer.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(f, "at {path}: {}", self.message)
    }
}

/// Parses a text and checks it against a shape.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str, shape: &Schema) -> Result<Value, Vec<ValidationError>> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        vec![ValidationError {
            path: String::new(),
            message: format!("not JSON: {e}"),
        }]
    })?;
    let faults = validate(&value, shape);
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(faults)
    }
}

/// Returns every fault of a value.
pub fn validate(value: &Value, shape: &Schema) -> Vec<ValidationError> {
    let mut out = Vec::new();
    walk(value, shape, "", &mut out);
    out
}

fn walk(value: &Value, shape: &Schema, path: &str, out: &mut Vec<ValidationError>) {
    match shape {
        Schema::Array(item) => match value.as_array() {
            Some(list) => {
                for (i, v) in list.iter().enumerate() {
                    walk(v, item, &format!("{path}/{i}"), out);
                }
            }
            None => wrong(value, "a list", path, out),
        },
        Schema::Map(item) => match value.as_object() {
            Some(map) => {
                for (name, v) in map {
                    walk(v, item, &child(path, name), out);
                }
            }
            None => wrong(value, "an object", path, out),
        },
        Schema::Object(groups) => match value.as_object() {
            Some(map) => object(map, groups, path, out),
            None => wrong(value, "an object", path, out),
        },
        leaf => {
            if let Some(allowed) = leaf_fault(value, leaf) {
                wrong(value, &allowed, path, out);
            }
        }
    }
}

fn object(
    map: &serde_json::Map<String, Value>,
    groups: &[&[Field]],
    path: &str,
    out: &mut Vec<ValidationError>,
) {
    let fields = || groups.iter().copied().flatten();
    for field in fields() {
        match map.get(field.name) {
            Some(v) => walk(v, &field.schema, &child(path, field.name), out),
            None if field.required => out.push(ValidationError {
                path: child(path, field.name),
                message: "missing, but required".to_string(),
            }),
            None => {}
        }
    }
    for name in map.keys() {
        if !fields().any(|f| f.name == name) {
            let known: Vec<_> = fields().map(|f| f.name).collect();
            out.push(ValidationError {
                path: child(path, name),
                message: format!("unknown field; allowed are {}", known.join(", ")),
            });
        }
    }
}

/// Returns what is allowed instead, when the value does not fit.
fn leaf_fault(value: &Value, shape: &Schema) -> Option<String> {
    let text = value.as_str().unwrap_or_default();
    let (fits, allowed) = match shape {
        Schema::NonEmptyString => (!text.is_empty(), "a text that is not empty".to_string()),
        Schema::Name => (is_name(text), "letters, digits, - and _".to_string()),
        Schema::Integer(lo, hi) => (
            value.as_u64().is_some_and(|n| n >= *lo && n <= *hi),
            format!("a whole number from {lo} to {hi}"),
        ),
        Schema::Number(lo, hi) => (
            value.as_f64().is_some_and(|n| n >= *lo && n <= *hi),
            format!("a number from {lo} to {hi}"),
        ),
        Schema::Bool => (value.is_boolean(), "true or false".to_string()),
        Schema::SocketAddr => (
            text.parse::<SocketAddr>().is_ok(),
            "an IP address with a port, as 127.0.0.1:8080".to_string(),
        ),
        Schema::Url => (
            text.strip_prefix("http://")
                .is_some_and(|a| a.parse::<SocketAddr>().is_ok()),
            "http:// with an IP address and a port".to_string(),
        ),
        Schema::KeyHash => (
            is_key_hash(text),
            "sha256: and 64 hexadecimal digits".to_string(),
        ),
        Schema::Enum(words) => (
            words.contains(&text),
            format!("one of {}", words.join(", ")),
        ),
        Schema::Array(_) | Schema::Map(_) | Schema::Object(_) => (true, String::new()),
    };
    (!fits).then_some(allowed)
}

fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(plain)
}

fn is_key_hash(text: &str) -> bool {
    let digits = text.strip_prefix("sha256:").unwrap_or_default();
    digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_hexdigit())
}

fn wrong(value: &Value, allowed: &str, path: &str, out: &mut Vec<ValidationError>) {
    let mut shown = value.to_string();
    if shown.len() > 40 {
        shown = shown.chars().take(40).collect::<String>() + "…";
    }
    out.push(ValidationError {
        path: path.to_string(),
        message: format!("{shown} is not {allowed}"),
    });
}

fn child(path: &str, name: &str) -> String {
    format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"))
}
