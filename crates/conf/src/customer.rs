//! Templates and customers: what operators change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::check::{self, ValidationError};
use crate::schema;

const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_MAX_TOKENS: u64 = 4096;
const DEFAULT_WEIGHT: u8 = 25;

/// Defaults that customers share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Models that may be used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Plain services that may be called.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// Plain services whose calls run at most once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_repeatable: Option<Vec<String>>,
    /// Priority, 9 first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Most tokens of one answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Percentage of the free budget that one grant may take: high refuses late, strands more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u8>,
}

/// One customer: a template, keys and overrides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The template's name.
    pub template: String,
    /// Hashes of the keys that name this customer.
    pub key_hashes: Vec<String>,
    /// What differs from the template.
    #[serde(flatten)]
    pub overrides: Template,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Templates by name.
    pub templates: BTreeMap<String, Template>,
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
    /// The version of each model that serves requests.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, String>,
}

/// What holds for one customer after its overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Models that may be used.
    pub models: Vec<String>,
    /// Plain services that may be called.
    pub services: Vec<String>,
    /// Plain services whose calls run at most once.
    pub not_repeatable: Vec<String>,
    /// Priority, 9 first.
    pub priority: u8,
    /// Most tokens of one answer.
    pub max_tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns every fault found, also names that lead nowhere.
    pub fn parse(text: &str) -> Result<Config, Vec<ValidationError>> {
        let fault = |what: String| {
            vec![ValidationError {
                path: String::new(),
                message: what,
            }]
        };
        let value: Value =
            serde_json::from_str(text).map_err(|e| fault(format!("not JSON: {e}")))?;
        let mut faults = check::validate(&value, &schema::CONFIG);
        faults.extend(dangling(&value));
        if !faults.is_empty() {
            return Err(faults);
        }
        serde_json::from_value(value).map_err(|e| fault(e.to_string()))
    }

    /// Returns what holds for a customer.
    pub fn policy(&self, customer: &str) -> Option<Policy> {
        let own = self.customers.get(customer)?;
        let base = self.templates.get(&own.template)?;
        let over = &own.overrides;
        Some(Policy {
            models: pick(&over.models, &base.models).unwrap_or_default(),
            services: pick(&over.services, &base.services).unwrap_or_default(),
            not_repeatable: pick(&over.not_repeatable, &base.not_repeatable).unwrap_or_default(),
            priority: pick(&over.priority, &base.priority).unwrap_or(DEFAULT_PRIORITY),
            max_tokens: pick(&over.max_tokens, &base.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS),
            weight: pick(&over.weight, &base.weight).unwrap_or(DEFAULT_WEIGHT),
        })
    }
}

/// Returns names that lead nowhere and keys that two customers share.
fn dangling(value: &Value) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, customer) in value["customers"].as_object().into_iter().flatten() {
        let template = customer["template"].as_str().unwrap_or_default();
        if !template.is_empty() && value["templates"].get(template).is_none() {
            faults.push(ValidationError {
                path: format!("/customers/{name}/template"),
                message: format!("there is no template {template:?}"),
            });
        }
        let hashes = customer["key_hashes"].as_array().into_iter().flatten();
        for (i, hash) in hashes.filter_map(Value::as_str).enumerate() {
            if let Some(other) = owners.insert(hash, name) {
                faults.push(ValidationError {
                    path: format!("/customers/{name}/key_hashes/{i}"),
                    message: format!("also a key of customer {other:?}"),
                });
            }
        }
    }
    faults
}

fn pick<T: Clone>(over: &Option<T>, base: &Option<T>) -> Option<T> {
    over.clone().or_else(|| base.clone())
}

/// Returns the hash under which a key is configured.
pub fn hash_key(key: &str) -> String {
    format!("sha256:{}", hex(&Sha256::digest(key.as_bytes())))
}

/// Returns bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
