//! The software versions that have served each service.

use crate::record::Origin;

/// How long a version counts as one that may have begun a stream after it was last seen, in
/// milliseconds: records of streams are kept no longer.
pub const RETENTION_MS: u64 = 600_000;

/// The software versions that upstreams of each service have had.
///
/// While a service has had a single version, it began all streams there, and no records are needed.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Each service and version with the time when it was last seen.
    seen: Vec<(Origin, u64)>,
    /// Whether nothing from before the start of this instance is missing.
    complete: bool,
}

impl VersionHistory {
    /// Adds versions that upstreams have; returns whether any of them is new.
    pub fn observe<'a>(&mut self, now: u64, origins: impl IntoIterator<Item = &'a Origin>) -> bool {
        let mut any_new = false;
        for origin in origins {
            match self.seen.iter_mut().find(|(known, _)| known == origin) {
                Some((_, seen_at)) => *seen_at = now,
                None => {
                    self.seen.push((origin.clone(), now));
                    any_new = true;
                }
            }
        }
        any_new
    }

    /// Records that nothing from before the start of this instance is missing.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether nothing from before the start of this instance is missing.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the only version that a service has had; `None` if there were several, or if some may
    /// be missing.
    pub fn sole_version(&self, now: u64, service: &str) -> Option<&str> {
        let mut versions = self.recent(now).filter(|o| o.service == service);
        let first = versions.next().filter(|_| self.complete)?;
        versions.next().is_none().then_some(first.version.as_str())
    }

    /// Returns the versions that each service has had.
    pub fn list(&self, now: u64) -> Vec<Origin> {
        self.recent(now).cloned().collect()
    }

    /// Removes the versions that were not seen for long.
    pub fn expire(&mut self, now: u64) {
        self.seen
            .retain(|(_, seen_at)| now < seen_at + RETENTION_MS);
    }

    fn recent(&self, now: u64) -> impl Iterator<Item = &Origin> {
        let recent = self.seen.iter();
        let recent = recent.filter(move |(_, seen_at)| now < seen_at + RETENTION_MS);
        recent.map(|(origin, _)| origin)
    }
}
