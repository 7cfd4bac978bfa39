//! Which instance is the home of a shard: rendezvous hashing, without agreement.
//!
//! Two instances that disagree about a home split a budget between them; neither can overspend.

use xxhash_rust::xxh3::xxh3_64;

/// An instance that may be a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its incarnation.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
}

/// Returns the shard of an account.
pub fn shard_of(account: &str, shards: u32) -> u32 {
    (xxh3_64(account.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Returns the candidates in order of preference for a shard.
///
/// Only the name before the incarnation counts, so a restart keeps its shards.
pub fn rank_candidates(shard: u32, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<_> = candidates.iter().collect();
    ranked.sort_by_key(|c| {
        let name = c.id.split('.').next().unwrap_or_default();
        let key = format!("{shard}/{name}");
        (std::cmp::Reverse(xxh3_64(key.as_bytes())), c.id.clone())
    });
    ranked
}

/// Returns the home of a shard, then the first instance of every other zone: its standbys.
pub fn home_and_standbys(shard: u32, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut out: Vec<&Candidate> = Vec::new();
    for candidate in rank_candidates(shard, candidates) {
        if !out.iter().any(|c| c.zone == candidate.zone) {
            out.push(candidate);
        }
    }
    out
}
