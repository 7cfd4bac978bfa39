//! Validates a JSON document against a schema, and reports every error with its path.

use std::fmt;
use std::net::SocketAddr;

use serde_json::Value;

use crate::schema::{Field, Schema};

/// An error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Location, as a JSON pointer.
    pub path: String,
    /// What is wrong, and what is allowed instead.
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

/// Parses a document and validates it against a schema.
///
/// # Errors
///
/// Returns all errors found.
pub fn parse(text: &str, schema: &Schema) -> Result<Value, Vec<ValidationError>> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        vec![ValidationError {
            path: String::new(),
            message: format!("invalid JSON: {e}"),
        }]
    })?;
    let errors = validate(&value, schema);
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

/// Returns all errors of a value.
pub fn validate(value: &Value, schema: &Schema) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    validate_value(value, schema, "", &mut errors);
    errors
}

fn validate_value(value: &Value, schema: &Schema, path: &str, errors: &mut Vec<ValidationError>) {
    match schema {
        Schema::Array(item) => match value.as_array() {
            Some(list) => {
                for (i, v) in list.iter().enumerate() {
                    validate_value(v, item, &format!("{path}/{i}"), errors);
                }
            }
            None => push_mismatch(value, "an array", path, errors),
        },
        Schema::Map(item) => match value.as_object() {
            Some(map) => {
                for (name, v) in map {
                    validate_value(v, item, &child_path(path, name), errors);
                }
            }
            None => push_mismatch(value, "an object", path, errors),
        },
        Schema::Object(groups) => match value.as_object() {
            Some(map) => validate_fields(map, groups, path, errors),
            None => push_mismatch(value, "an object", path, errors),
        },
        scalar => {
            if let Some(allowed) = scalar_mismatch(value, scalar) {
                push_mismatch(value, &allowed, path, errors);
            }
        }
    }
}

fn validate_fields(
    map: &serde_json::Map<String, Value>,
    groups: &[&[Field]],
    path: &str,
    errors: &mut Vec<ValidationError>,
) {
    let fields = || groups.iter().copied().flatten();
    for field in fields() {
        match map.get(field.name) {
            Some(v) => validate_value(v, &field.schema, &child_path(path, field.name), errors),
            None if field.required => errors.push(ValidationError {
                path: child_path(path, field.name),
                message: "required field is missing".to_string(),
            }),
            None => {}
        }
    }
    for name in map.keys() {
        if !fields().any(|f| f.name == name) {
            let known: Vec<_> = fields().map(|f| f.name).collect();
            errors.push(ValidationError {
                path: child_path(path, name),
                message: format!("unknown field; allowed fields are {}", known.join(", ")),
            });
        }
    }
}

/// Returns what is allowed instead if a value does not match the schema; `None` if it does.
fn scalar_mismatch(value: &Value, schema: &Schema) -> Option<String> {
    let text = value.as_str().unwrap_or_default();
    let (matches, allowed) = match schema {
        Schema::NonEmptyString => (!text.is_empty(), "a non-empty string".to_string()),
        Schema::Name => (
            is_name(text),
            "a name of letters, digits, - and _".to_string(),
        ),
        Schema::Integer(lo, hi) => (
            value.as_u64().is_some_and(|n| n >= *lo && n <= *hi),
            format!("an integer from {lo} to {hi}"),
        ),
        Schema::Number(lo, hi) => (
            value.as_f64().is_some_and(|n| n >= *lo && n <= *hi),
            format!("a number from {lo} to {hi}"),
        ),
        Schema::Bool => (value.is_boolean(), "true or false".to_string()),
        Schema::SocketAddr => (
            text.parse::<SocketAddr>().is_ok(),
            "an IP address with a port, such as 127.0.0.1:8080".to_string(),
        ),
        Schema::Url => (
            text.strip_prefix("http://")
                .is_some_and(|a| a.parse::<SocketAddr>().is_ok()),
            "an http:// URL with an IP address and a port".to_string(),
        ),
        Schema::KeyHash => (
            is_key_hash(text),
            "sha256: followed by 64 hexadecimal digits".to_string(),
        ),
        Schema::Enum(values) => (
            values.contains(&text),
            format!("one of {}", values.join(", ")),
        ),
        Schema::Array(_) | Schema::Map(_) | Schema::Object(_) => (true, String::new()),
    };
    (!matches).then_some(allowed)
}

fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(is_allowed)
}

fn is_key_hash(text: &str) -> bool {
    let digits = text.strip_prefix("sha256:").unwrap_or_default();
    digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_hexdigit())
}

fn push_mismatch(value: &Value, allowed: &str, path: &str, errors: &mut Vec<ValidationError>) {
    let mut shown = value.to_string();
    if shown.len() > 40 {
        shown = shown.chars().take(40).collect::<String>() + "…";
    }
    errors.push(ValidationError {
        path: path.to_string(),
        message: format!("{shown} is not {allowed}"),
    });
}

/// Returns the JSON pointer of a field.
fn child_path(path: &str, name: &str) -> String {
    format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"))
}
