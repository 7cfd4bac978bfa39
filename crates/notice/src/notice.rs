//! The notices, and which of two on the same subject takes precedence.

use serde::{Deserialize, Serialize};

/// A notice as instances exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A version of the configuration exists.
    Version {
        /// The version.
        version: u64,
    },
    /// A version of the configuration no longer contains a key that the previous one contained.
    Revoked {
        /// The key's hash.
        key: u64,
        /// The version without the key.
        version: u64,
    },
    /// An upstream's incarnation is leaving; this is never revoked.
    Leaving {
        /// The incarnation.
        upstream: String,
    },
    /// The request rate limit that an upstream's incarnation advertises changed.
    Limit {
        /// The incarnation.
        upstream: String,
        /// Number of changes of the limit so far.
        changes: u32,
        /// The limit as a fixed-point number; none if the incarnation no longer advertises one.
        rate: Option<u32>,
    },
    /// An upstream's entry was removed from the list.
    Gone {
        /// The upstream's id.
        upstream: String,
        /// The store's revision of the removal, or a later one at which the entry was missing.
        revision: i64,
    },
    /// The evacuation of a zone has started or ended.
    Evacuation {
        /// The zone.
        zone: String,
        /// The store's revision of that change, or of a list that showed it.
        revision: i64,
        /// Whether the zone is evacuated now.
        evacuated: bool,
    },
}

/// What a notice is about: of several on the same subject only the one with the highest precedence is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The configuration.
    Version,
    /// A customer's key, by its hash.
    Key(u64),
    /// An incarnation of an upstream.
    Incarnation(String),
    /// The request rate limit of an upstream's incarnation.
    Limit(String),
    /// An upstream's entry in the list, by the upstream's id.
    Entry(String),
    /// A zone, by its name.
    Zone(String),
}

impl Notice {
    /// Returns the subject of this notice.
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

    /// Returns the precedence of this notice among those on the same subject: the highest one wins.
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

    /// Returns whether this notice applies until it is replaced: it is never evicted, and each anti-entropy batch begins with
    /// such notices.
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
