//! The software versions that have served each service.

use crate::record::{Origin, SeenVersion};

/// How long a version counts as one that may have begun a stream after it was last seen, in
/// milliseconds: records of streams are kept no longer.
pub const RETENTION_MS: u64 = 600_000;

/// How long a version counts as recorded in the store after the store was known to have it, or its upstreams were
/// listed, in milliseconds. The store has it for longer than that, also if another instance says that it has it.
const RECORDED_MS: u64 = RETENTION_MS / 3;

/// A version that the store has.
#[derive(Clone, Debug)]
struct Recorded {
    origin: Origin,
    /// Until when the store has it for sure, in milliseconds.
    until: u64,
}

/// The software versions that upstreams of each service have had.
///
/// While a service has had a single version, it began all streams there, and no records are needed. Streams begin only
/// at versions that the store has, so that an instance that starts after the loss of all others knows them.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Each service and version with the time when it was last seen.
    seen: Vec<(Origin, u64)>,
    /// Whether nothing from before the start of this instance is missing.
    complete: bool,
    /// The versions that the store has.
    recorded: Vec<Recorded>,
}

impl VersionHistory {
    /// Adds versions that upstreams have; returns whether any of them is new.
    pub fn observe<'a>(&mut self, now: u64, origins: impl IntoIterator<Item = &'a Origin>) -> bool {
        origins
            .into_iter()
            .fold(false, |any_new, origin| self.add(now, origin) | any_new)
    }

    /// Adds the versions of the listed upstreams; returns whether any of them is new. The store keeps those that it
    /// has.
    pub fn observe_listed(&mut self, now: u64, origins: &[Origin]) -> bool {
        let current = self.recorded.iter_mut().filter(|r| now < r.until);
        for recorded in current.filter(|r| origins.contains(&r.origin)) {
            recorded.until = now + RECORDED_MS;
        }
        self.observe(now, origins)
    }

    /// Records that the store has these versions.
    pub fn record_stored(&mut self, now: u64, stored: &[Origin]) {
        self.recorded.retain(|r| now < r.until);
        self.recorded.retain(|r| !stored.contains(&r.origin));
        let until = now + RECORDED_MS;
        let recorded = stored.iter().cloned();
        let recorded = recorded.map(|origin| Recorded { origin, until });
        self.recorded.extend(recorded);
    }

    /// Returns the versions that the store has.
    pub fn recorded(&self, now: u64) -> impl Iterator<Item = &Origin> {
        let recorded = self.recorded.iter().filter(move |r| now < r.until);
        recorded.map(|r| &r.origin)
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
