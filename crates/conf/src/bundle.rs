//! A configuration in the platform's service: one head that names chunks by their hash.
//!
//! The head alone decides what is in force. A chunk never changes, so a head whose chunks are all
//! present is whole, and half of a change can't be in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::customer::{hex, Config};

/// Customers are spread over this many chunks, so that a change rewrites few bytes.
const CUSTOMER_CHUNKS: u64 = 128;
/// Changes that the head remembers.
const HISTORY: usize = 64;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change made.
    pub revision: u64,
    /// Chosen by the operator's tool; finds the change again when its answer was lost.
    pub change_id: String,
    /// Who made it.
    pub who: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What changed, in a line.
    pub what: String,
}

/// The head record: the one thing that a change swaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Goes up by one with each change.
    pub revision: u64,
    /// Hashes of the chunks.
    pub chunks: Vec<String>,
    /// The latest changes, oldest first.
    pub history: Vec<Change>,
}

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash of the text.
    pub hash: String,
    /// A configuration with some of the templates and customers, as JSON.
    pub text: String,
}

/// A head with all its chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The head.
    pub head: Head,
    /// The chunks, by hash.
    pub chunks: BTreeMap<String, String>,
}

impl Bundle {
    /// Splits a configuration into chunks under a new head.
    pub fn build(old: &Head, config: &Config, change: Change) -> Bundle {
        let mut parts: BTreeMap<u64, Config> = BTreeMap::new();
        let shared = parts.entry(0).or_default();
        shared.templates = config.templates.clone();
        shared.versions = config.versions.clone();
        for (name, customer) in &config.customers {
            let part = 1 + xxh3_64(name.as_bytes()) % CUSTOMER_CHUNKS;
            let customers = &mut parts.entry(part).or_default().customers;
            customers.insert(name.clone(), customer.clone());
        }
        let mut bundle = Bundle::default();
        for part in parts.values() {
            let text = serde_json::to_string(part).expect("a configuration is JSON");
            let hash = chunk_hash(&text);
            bundle.head.chunks.push(hash.clone());
            bundle.chunks.insert(hash, text);
        }
        bundle.head.revision = old.revision + 1;
        bundle.head.history = old.history.clone();
        bundle.head.history.push(change);
        let extra = bundle.head.history.len().saturating_sub(HISTORY);
        bundle.head.history.drain(..extra);
        bundle
    }

    /// Joins the chunks into the configuration.
    ///
    /// # Errors
    ///
    /// Returns what is missing or broken.
    pub fn assemble(&self) -> Result<Config, String> {
        let mut whole = Config::default();
        for hash in &self.head.chunks {
            let text = self.chunks.get(hash).ok_or(format!("no chunk {hash}"))?;
            let part: Config = serde_json::from_str(text).map_err(|e| e.to_string())?;
            whole.templates.extend(part.templates);
            whole.customers.extend(part.customers);
            whole.versions.extend(part.versions);
        }
        Ok(whole)
    }

    /// Adds a chunk if it is what its hash says; returns whether it was.
    pub fn add_chunk(&mut self, chunk: Chunk) -> bool {
        let fits = chunk_hash(&chunk.text) == chunk.hash;
        if fits {
            self.chunks.insert(chunk.hash, chunk.text);
        }
        fits
    }

    /// Returns the hashes that the head names and that are not here.
    pub fn missing_chunks(&self) -> Vec<String> {
        let has = |h: &&String| !self.chunks.contains_key(*h);
        self.head.chunks.iter().filter(has).cloned().collect()
    }
}

/// Returns a chunk's hash.
pub fn chunk_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}
