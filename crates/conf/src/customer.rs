//! The operators' configuration: templates, customers and model versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::check::{self, ValidationError};
use crate::schema;

const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_MAX_TOKENS: u64 = 4096;
const DEFAULT_WEIGHT: u8 = 25;

/// Defaults that customers share, or what one customer overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Models that may be used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Plain services that may be called.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Plain services whose requests must run at most once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_repeatable: Option<Vec<String>>,
    /// Priority from 0 to 9; 9 is the highest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Maximum number of tokens in a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Percentage of the free budget that one grant may take. With a high one, requests are refused
    /// later, but more tokens are stranded when an instance fails.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u8>,
}

/// A customer: a template, API keys and overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the template.
    pub template: String,
    /// Hashes of the customer's API keys, from [`hash_key`].
    pub key_hashes: Vec<String>,
    /// What differs from the template.
    #[serde(flatten)]
    pub overrides: Template,
}

/// The complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Templates by name.
    pub templates: BTreeMap<String, Template>,
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
    /// The version of each model that is to serve requests.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, String>,
}

/// The effective settings of a customer: its overrides, else those of its template, else the defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Models that may be used.
    pub models: Vec<String>,
    /// Plain services that may be called.
    pub services: Vec<String>,
    /// Plain services whose requests must run at most once.
    pub not_repeatable: Vec<String>,
    /// Priority from 0 to 9; 9 is the highest.
    pub priority: u8,
    /// Maximum number of tokens in a response.
    pub max_tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns all errors found, including unknown templates and API keys that customers share.
    pub fn parse(text: &str) -> Result<Config, Vec<ValidationError>> {
        let error = |message: String| {
            vec![ValidationError {
                path: String::new(),
                message,
            }]
        };
        let value: Value =
            serde_json::from_str(text).map_err(|e| error(format!("invalid JSON: {e}")))?;
        let mut errors = check::validate(&value, &schema::CONFIG);
        errors.extend(validate_customers(&value));
        if !errors.is_empty() {
            return Err(errors);
        }
        serde_json::from_value(value).map_err(|e| error(e.to_string()))
    }

    /// Returns the effective settings of a customer; `None` if the customer or its template is unknown.
    pub fn policy(&self, customer: &str) -> Option<Policy> {
        let own = self.customers.get(customer)?;
        let base = self.templates.get(&own.template)?;
        let over = &own.overrides;
        Some(Policy {
            models: inherit(&over.models, &base.models).unwrap_or_default(),
            services: inherit(&over.services, &base.services).unwrap_or_default(),
            not_repeatable: inherit(&over.not_repeatable, &base.not_repeatable).unwrap_or_default(),
            priority: inherit(&over.priority, &base.priority).unwrap_or(DEFAULT_PRIORITY),
            max_tokens: inherit(&over.max_tokens, &base.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS),
            weight: inherit(&over.weight, &base.weight).unwrap_or(DEFAULT_WEIGHT),
        })
    }
}

/// Returns an error for each unknown template, and for each key that another customer has too.
fn validate_customers(value: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, customer) in value["customers"].as_object().into_iter().flatten() {
        let template = customer["template"].as_str().unwrap_or_default();
        if !template.is_empty() && value["templates"].get(template).is_none() {
            errors.push(ValidationError {
                path: format!("/customers/{name}/template"),
                message: format!("unknown template {template:?}"),
            });
        }
        let hashes = customer["key_hashes"].as_array().into_iter().flatten();
        for (i, hash) in hashes.filter_map(Value::as_str).enumerate() {
            if let Some(other) = owners.insert(hash, name) {
                errors.push(ValidationError {
                    path: format!("/customers/{name}/key_hashes/{i}"),
                    message: format!("already a key of customer {other:?}"),
                });
            }
        }
    }
    errors
}

fn inherit<T: Clone>(over: &Option<T>, base: &Option<T>) -> Option<T> {
    over.clone().or_else(|| base.clone())
}

/// Returns the hash of an API key, as it appears in the configuration.
pub fn hash_key(key: &str) -> String {
    format!("sha256:{}", hex(&Sha256::digest(key.as_bytes())))
}

/// Encodes bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
