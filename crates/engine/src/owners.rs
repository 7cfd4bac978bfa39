//! Selection of the instances that keep an engine's account.

use std::cmp::Ordering;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of owners of an account: one of them may be lost.
pub const OWNERS: usize = 2;
/// Weight of an instance whose link is not known to be limited.
const UNLIMITED_LINK_WEIGHT: u32 = 100;
/// Maximum weight of an instance.
const MAX_WEIGHT: u32 = 1_000;

/// The owners of an account, in the order in which they are asked.
pub type Owners<T> = SmallVec<[T; OWNERS]>;

/// An instance that may keep accounts.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its name.
    pub name_hash: u64,
    /// Whether it is in the engine's zone.
    pub same_zone: bool,
    /// Bandwidth of its link, in megabits per second; none if it is not limited.
    pub link_mbps: Option<u32>,
}

impl Candidate {
    /// Returns its score for an engine; the highest ones own the account. The probability to be the
    /// first one of a zone is in proportion to the weight.
    fn score(&self, engine: u64) -> f64 {
        let hash = xxh3_64_with_seed(&self.name_hash.to_le_bytes(), engine);
        // The upper 53 bits, which a float holds exactly; between 0 and 1.
        let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        let weight = self.link_mbps.unwrap_or(UNLIMITED_LINK_WEIGHT);
        unit.ln() / f64::from(weight.clamp(1, MAX_WEIGHT))
    }

    /// Orders candidates for an engine, the first owner first.
    fn compare(&self, other: &Candidate, engine: u64) -> Ordering {
        let zone = other.same_zone.cmp(&self.same_zone);
        let score = other.score(engine).total_cmp(&self.score(engine));
        let name = other.name_hash.cmp(&self.name_hash);
        zone.then(score).then(name)
    }
}

/// Returns the owners of the account of the engine with a hash: those instances of its zone that rank
/// highest, then others. An instance that does not reach the engine's zone does not need the account. An
/// instance with a small link answers late while prompts are queued on it, so it owns fewer accounts.
///
/// The cost grows with the number of instances, so the result is kept per instance list.
pub fn owners<T>(
    engine: u64,
    instances: impl IntoIterator<Item = T>,
    candidate: impl Fn(&T) -> Candidate,
) -> Owners<T> {
    let mut best: SmallVec<[(Candidate, T); OWNERS + 1]> = SmallVec::new();
    for instance in instances {
        best.push((candidate(&instance), instance));
        best.sort_by(|(a, _), (b, _)| a.compare(b, engine));
        best.truncate(OWNERS);
    }
    best.into_iter().map(|(_, instance)| instance).collect()
}
