//! The software versions that have served each service.

use crate::record::{Origin, SeenVersion};

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
        origins
            .into_iter()
            .fold(false, |any_new, origin| self.add(now, origin) | any_new)
    }

    /// Adds the versions that another instance tells; returns whether any of them is new. Instances must
    /// not keep a version from expiring by telling it to each other.
    pub fn merge(&mut self, now: u64, versions: &[SeenVersion]) -> bool {
        let recent = versions.iter().filter(|v| v.ago_ms < RETENTION_MS);
        recent.fold(false, |any_new, version| {
            let seen_at = now.saturating_sub(version.ago_ms);
            self.add(seen_at, &version.origin) | any_new
        })
    }

    /// Adds the versions that the store has; returns whether any of them is new. When they were seen is
    /// not known: a new one counts as seen now.
    pub fn add_stored(&mut self, now: u64, stored: &[Origin]) -> bool {
        let known: Vec<Origin> = self.recent(now).cloned().collect();
        let new = stored.iter().filter(|origin| !known.contains(origin));
        self.observe(now, new)
    }

    fn add(&mut self, seen_at: u64, origin: &Origin) -> bool {
        let known = self.seen.iter_mut().find(|(known, _)| known == origin);
        let Some((_, known_at)) = known else {
            self.seen.push((origin.clone(), seen_at));
            return true;
        };
        *known_at = seen_at.max(*known_at);
        false
    }

    /// Records that nothing from before the start of this instance is missing.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Returns the only version that a service has had; `None` if there were several, or if some may
    /// be missing.
    pub fn sole_version(&self, now: u64, service: &str) -> Option<&str> {
        let mut versions = self.recent(now).filter(|o| o.service == service);
        let first = versions.next().filter(|_| self.complete)?;
        versions.next().is_none().then_some(first.version.as_str())
    }

    /// Returns the versions that each service has had; `None` if some may be missing.
    pub fn list(&self, now: u64) -> Option<Vec<Origin>> {
        self.complete.then(|| self.recent(now).cloned().collect())
    }

    /// Returns the versions that each service has had, for another instance; `None` if some may be
    /// missing.
    pub fn report(&self, now: u64) -> Option<Vec<SeenVersion>> {
        let versions = self.seen.iter().map(|(origin, seen_at)| SeenVersion {
            origin: origin.clone(),
            ago_ms: now.saturating_sub(*seen_at),
        });
        let recent = versions.filter(|v| v.ago_ms < RETENTION_MS);
        self.complete.then(|| recent.collect())
    }

    /// Returns whether the store has other versions than those that count.
    pub fn differs_from(&self, now: u64, stored: &[Origin]) -> bool {
        let Some(known) = self.list(now) else {
            return false;
        };
        known.len() != stored.len() || known.iter().any(|origin| !stored.contains(origin))
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
