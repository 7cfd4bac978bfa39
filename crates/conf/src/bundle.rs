//! A configuration as stored in the platform's key-value service: a head that refers to chunks by hash.
//!
//! The head alone determines what is in force. Chunks are immutable, so a head whose chunks are all
//! present is complete, and a change can't be in force partially.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::customer::{hex, Config};

/// Number of chunks that the customers are distributed over, so that a change rewrites few bytes.
const CUSTOMER_CHUNKS: u64 = 128;
/// Maximum number of changes in the head's history.
const MAX_HISTORY: usize = 64;

/// An accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that resulted from the change.
    pub revision: u64,
    /// Chosen by the operator's tool, which finds the change by it if the response was lost.
    pub change_id: String,
    /// Author.
    pub who: String,
    /// Time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// One-line description.
    pub what: String,
}

/// The head record, the only one that a change replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with each change.
    pub revision: u64,
    /// Hashes of the chunks.
    pub chunks: Vec<String>,
    /// The latest changes, oldest first.
    pub history: Vec<Change>,
}

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hash of the text.
    pub hash: String,
    /// Partial configuration in JSON: either the templates and model versions, or some of the customers.
    pub text: String,
}

/// A head with its chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The head.
    pub head: Head,
    /// The chunks, by hash.
    pub chunks: BTreeMap<String, String>,
}

impl Bundle {
    /// Splits a configuration into chunks, with a new head that follows `previous`.
    pub fn build(previous: &Head, config: &Config, change: Change) -> Bundle {
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
            let text = serde_json::to_string(part).expect("serializable configuration");
            let hash = chunk_hash(&text);
            bundle.head.chunks.push(hash.clone());
            bundle.chunks.insert(hash, text);
        }
        bundle.head.revision = previous.revision + 1;
        bundle.head.history = previous.history.clone();
        bundle.head.history.push(change);
        let excess = bundle.head.history.len().saturating_sub(MAX_HISTORY);
        bundle.head.history.drain(..excess);
        bundle
    }

    /// Assembles the configuration from the chunks.
    ///
    /// # Errors
    ///
    /// Returns which chunk is missing, or why one can't be parsed.
    pub fn assemble(&self) -> Result<Config, String> {
        let mut config = Config::default();
        for hash in &self.head.chunks {
            let text = self
                .chunks
                .get(hash)
                .ok_or(format!("chunk {hash} is missing"))?;
            let part: Config = serde_json::from_str(text).map_err(|e| e.to_string())?;
            config.templates.extend(part.templates);
            config.customers.extend(part.customers);
            config.versions.extend(part.versions);
        }
        Ok(config)
    }

    /// Adds a chunk if its text matches its hash; returns whether it does.
    pub fn add_chunk(&mut self, chunk: Chunk) -> bool {
        let matches = chunk_hash(&chunk.text) == chunk.hash;
        if matches {
            self.chunks.insert(chunk.hash, chunk.text);
        }
        matches
    }

    /// Returns the hashes in the head whose chunks are missing.
    pub fn missing_chunks(&self) -> Vec<String> {
        let is_missing = |h: &&String| !self.chunks.contains_key(*h);
        self.head
            .chunks
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }
}

/// Returns the hash of a chunk's text.
pub fn chunk_hash(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}
