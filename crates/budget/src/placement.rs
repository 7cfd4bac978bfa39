//! Assignment of shards to instances by rendezvous hashing, without consensus.
//!
//! If two instances disagree about the home of a shard, both take grants from its budgets; neither
//! can overspend them.

use xxhash_rust::xxh3::xxh3_64;

/// An instance that can be home or standby of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Incarnation; the part before the first dot is the instance's name.
    pub id: String,
    /// Availability zone.
    pub zone: String,
}

/// Returns the number of an account's shard.
pub fn shard_of(account: &str, shards: u32) -> u32 {
    (xxh3_64(account.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Returns the candidates in order of preference for a shard.
///
/// Only the instance's name is hashed, so an instance keeps its shards across restarts.
pub fn rank_candidates(shard: u32, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<_> = candidates.iter().collect();
    ranked.sort_by_key(|c| {
        let name = c.id.split('.').next().unwrap_or_default();
        let key = format!("{shard}/{name}");
        (std::cmp::Reverse(xxh3_64(key.as_bytes())), c.id.clone())
    });
    ranked
}

/// Returns the home of a shard, followed by its standbys: the first candidate of every other zone.
pub fn home_and_standbys(shard: u32, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut out: Vec<&Candidate> = Vec::new();
    for candidate in rank_candidates(shard, candidates) {
        if !out.iter().any(|c| c.zone == candidate.zone) {
            out.push(candidate);
        }
    }
    out
}
