//! The notices, and which of two on the same subject takes precedence.

use std::net::SocketAddr;

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};

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
    /// Another upstream uses the address of an upstream's incarnation, or no longer does.
    Address {
        /// The incarnation.
        upstream: String,
        /// The address.
        addr: SocketAddr,
        /// Number of changes of the state so far.
        changes: u32,
        /// Whether another upstream uses the address.
        reused: bool,
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
    /// The address of an upstream's incarnation.
    Address(String),
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
            Notice::Address { upstream, .. } => Subject::Address(upstream.clone()),
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
            // Of two concurrent changes the one that keeps requests away wins.
            Notice::Address {
                changes, reused, ..
            } => u64::from(*changes) << 1 | u64::from(*reused),
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
            | Notice::Address { .. }
            | Notice::Gone { .. } => false,
        }
    }

    /// Returns whether some versions of the program that exchange notices do not know this kind.
    fn is_recent(&self) -> bool {
        matches!(self, Notice::Address { .. })
    }
}

/// Splits a batch into the notices of kinds that all versions of the program know, and the others: a
/// version that does not skip unknown kinds drops the whole batch. Empty batches are left out.
pub fn split_by_age(batch: Vec<Notice>) -> impl Iterator<Item = Vec<Notice>> {
    let (recent, old): (Vec<Notice>, Vec<Notice>) = batch.into_iter().partition(Notice::is_recent);
    [old, recent].into_iter().filter(|b| !b.is_empty())
}

/// A notice, or one that this version of the program does not know.
#[derive(Deserialize)]
#[serde(untagged)]
enum Received {
    Known(Notice),
    Unknown(IgnoredAny),
}

/// Deserializes a batch of notices, and skips those of unknown kinds or with fields of other types.
///
/// # Errors
///
/// Returns why the batch is not a list.
pub fn deserialize_known<'de, D>(deserializer: D) -> Result<Vec<Notice>, D::Error>
where
    D: Deserializer<'de>,
{
    let received = Vec::<Received>::deserialize(deserializer)?;
    let known = received.into_iter().filter_map(|r| match r {
        Received::Known(notice) => Some(notice),
        Received::Unknown(_) => None,
    });
    Ok(known.collect())
}
