//! Which instances hold a customer's tokens.
//!
//! Were each instance to hold its own part, the parts would be smaller than one prompt near the end of a budget,
//! and in a fleet of many instances always: requests had to wait for the store, and met the others' at the
//! customer's record, and in the end a tenth of the budget lay where nobody could use it. So a customer's tokens
//! are held by one instance, its home, from which the others draw what a request needs. Nothing depends on
//! everyone agreeing who that is: two homes cost a few writes more.
//!
//! A customer whose requests are too many for one instance has a home in each availability zone. What decides that is the
//! customer's own demand: the size of the fleet says nothing about it.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Draws a second that one instance answers for a customer, beside its own requests; beyond that each availability zone has a
/// home of its own.
const MAX_DRAWS_PER_SEC: u64 = 250;
/// Instances that are asked: the home, and those that take its place when it does not answer, or is cut off from
/// the store. With half of a fleet cut off, three of them are in one case of eight.
pub const HOME_CANDIDATES: usize = 3;

/// Returns whether a customer's draws a second are more than one instance answers.
pub fn exceeds_home_capacity(draws_per_sec: u64) -> bool {
    draws_per_sec > MAX_DRAWS_PER_SEC
}

/// Returns which of some instances hold a customer's tokens, the one to ask first at first.
///
/// An instance is known by the hash of the name that it keeps over restarts.
pub fn home_candidates<'a, T>(
    customer: &str,
    instances: impl IntoIterator<Item = &'a T>,
    hash_of: impl Fn(&T) -> u64,
) -> SmallVec<[&'a T; HOME_CANDIDATES]> {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    rendezvous_select(seed, instances, hash_of)
}

/// Returns the first instances of an order that depends on a seed.
pub fn rendezvous_select<'a, T, const N: usize>(
    seed: u64,
    instances: impl IntoIterator<Item = &'a T>,
    hash_of: impl Fn(&T) -> u64,
) -> SmallVec<[&'a T; N]>
where
    [&'a T; N]: smallvec::Array<Item = &'a T>,
{
    let mut first: SmallVec<[(u64, &T); 4]> = SmallVec::new();
    for instance in instances {
        let rank = xxh3_64_with_seed(&hash_of(instance).to_le_bytes(), seed);
        if first.len() == N && first.last().is_some_and(|(last, _)| *last <= rank) {
            continue;
        }
        let at = first.partition_point(|(other, _)| *other < rank);
        first.insert(at, (rank, instance));
        first.truncate(N);
    }
    first.into_iter().map(|(_, instance)| instance).collect()
}
