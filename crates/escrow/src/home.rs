//! Selection of the instances that hold a customer's tokens.
//!
//! A customer's tokens are held by one instance, its home, from which the others draw what a request needs. With a
//! share at every instance, the shares were smaller than one prompt near the end of a budget, and always so in a large
//! fleet: requests had to wait for the store, their writes conflicted on the customer's record, and in the end a tenth
//! of the budget was held where nobody could use it. The instances need not agree on the home: two homes only cost a
//! few more writes.
//!
//! A customer with more requests than one instance can answer has a home in each availability zone. Only the
//! customer's own demand decides this, not the size of the fleet.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum draws per second that one instance answers for a customer, in addition to its own requests. With more, each
/// availability zone has a home of its own.
const MAX_DRAWS_PER_SEC: u64 = 250;
/// Number of instances to ask: the home, and those that replace it when it does not answer or is cut off from the
/// store. If half of the fleet is cut off, so are all three in one case out of eight.
pub const HOME_CANDIDATES: usize = 3;

/// Returns whether a customer has more draws per second than one instance answers.
pub fn exceeds_home_capacity(draws_per_sec: u64) -> bool {
    draws_per_sec > MAX_DRAWS_PER_SEC
}

/// Returns the instances that may hold a customer's tokens, in the order in which to ask them.
///
/// `hash_of` returns the hash of an instance's name, which stays the same over restarts.
pub fn home_candidates<'a, T>(
    customer: &str,
    instances: impl IntoIterator<Item = &'a T>,
    hash_of: impl Fn(&T) -> u64,
) -> SmallVec<[&'a T; HOME_CANDIDATES]> {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    rendezvous_select(seed, instances, hash_of)
}

/// Selects `N` instances by rendezvous hashing, in ascending order of the hash of instance and seed.
pub fn rendezvous_select<'a, T, const N: usize>(
    seed: u64,
    instances: impl IntoIterator<Item = &'a T>,
    hash_of: impl Fn(&T) -> u64,
) -> SmallVec<[&'a T; N]>
where
    [&'a T; N]: smallvec::Array<Item = &'a T>,
{
    let mut selected: SmallVec<[(u64, &T); 4]> = SmallVec::new();
    for instance in instances {
        let rank = xxh3_64_with_seed(&hash_of(instance).to_le_bytes(), seed);
        if selected.len() == N && selected.last().is_some_and(|(last, _)| *last <= rank) {
            continue;
        }
        let at = selected.partition_point(|(other, _)| *other < rank);
        selected.insert(at, (rank, instance));
        selected.truncate(N);
    }
    selected.into_iter().map(|(_, instance)| instance).collect()
}
