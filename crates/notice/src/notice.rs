//! What a notice says, and which of two is the newer one.

use serde::{Deserialize, Serialize};

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A version of the configuration exists.
    Version {
        /// The version.
        version: u64,
    },
    /// A version of the configuration no longer holds a key that the one before it held.
    Revoked {
        /// The key's hash.
        key: u64,
        /// That version.
        version: u64,
    },
    /// An upstream's incarnation leaves; never taken back.
    Leaving {
        /// The incarnation.
        upstream: String,
    },
    /// The request rate limit that an upstream's incarnation advertises changed.
    Limit {
        /// The incarnation.
        upstream: String,
        /// Number of changes so far.
        changes: u32,
        /// The limit as a fixed-point number; none if it no longer advertises one.
        rate: Option<u32>,
    },
    /// An upstream's entry was removed from the list.
    Gone {
        /// The upstream.
        upstream: String,
        /// The store's revision of the removal, or a later one at which the entry was missing.
        revision: i64,
    },
    /// A zone is evacuated, or no longer.
    Evacuation {
        /// The zone.
        zone: String,
        /// The store's revision of that.
        revision: i64,
        /// Whether it is evacuated.
        evacuated: bool,
    },
}

/// What a notice is about: of two about the same thing the newer one holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The configuration.
    Version,
    /// A key, by its hash.
    Key(u64),
    /// An incarnation of an upstream.
    Incarnation(String),
    /// The request rate limit of an upstream's incarnation.
    Limit(String),
    /// An upstream's entry.
    Entry(String),
    /// A zone.
    Zone(String),
}

impl Notice {
    /// Returns what it is about.
    pub fn subject(&self) -> Subject {
        match self {
            Notice::Version { .. } => Subject::Version,
            Notice::Revoked { key, .. } => Subject::Key(*key),
            Notice::Leaving { upstream } => Subject::Incarnation(upstream.clone()),
            Notice::Limit { upstream, .. } => Subject::Limit(upstream.clone()),
            Notice::Gone { upstream, .. } => Subject::Entry(upstream.clone()),
            Notice::Evacuation { zone, .. } => Subject::Zone(zone.clone()),
        }
    }

    /// Returns its place in the order of notices about the same thing.
    pub fn precedence(&self) -> u64 {
        let by_revision = |revision: i64| u64::try_from(revision).unwrap_or_default();
        match self {
            Notice::Version { version } | Notice::Revoked { version, .. } => *version,
            Notice::Leaving { .. } => 0,
            // The stricter of two concurrent changes wins.
            Notice::Limit { changes, rate, .. } => {
                let strictness = rate.map_or(0, |rate| u32::MAX - rate);
                u64::from(*changes) << 32 | u64::from(strictness)
            }
            Notice::Gone { revision, .. } | Notice::Evacuation { revision, .. } => {
                by_revision(*revision)
            }
        }
    }

    /// Returns whether it holds until it is replaced: it is never forgotten, and each page has it.
    pub(crate) fn is_persistent(&self) -> bool {
        match self {
            Notice::Version { .. } => true,
            Notice::Evacuation { evacuated, .. } => *evacuated,
            Notice::Revoked { .. }
            | Notice::Leaving { .. }
            | Notice::Limit { .. }
            | Notice::Gone { .. } => false,
        }
    }
}
