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

/// Memory and bandwidth of a machine of capacity 1: the smallest that instances are given. Machines with more of them
/// have a larger processor share as well.
const UNIT_MEMORY_MB: u64 = 64;
const UNIT_LINK_MBPS: u64 = 10;
/// Maximum capacity, so that a wrong setting of one instance does not make it the home of all customers.
const MAX_CAPACITY: u32 = 16;
/// Fleets of up to this many instances ignore capacities: one large machine would be the home of nearly all customers,
/// and its loss would strand the tokens of all of them.
const MAX_UNWEIGHTED_FLEET: usize = 9;
/// Maximum share of one instance in the sum of all weights: with one large machine among small ones, it limits the
/// customers whose tokens are stranded when that machine fails. Where the limit applies, a machine that leaves moves some
/// homes of others as well.
const MAX_WEIGHT_SHARE: f64 = 0.2;
/// Rounds in which the limit of a weight is determined: it hardly changes after them.
const LIMIT_ROUNDS: usize = 30;

/// Returns the capacity of an instance to hold customers' tokens, relative to the smallest machines: it has to answer the
/// draws for all of a customer's requests.
pub fn home_capacity(memory_mb: u64, link_mbps: u64) -> u32 {
    let units = (memory_mb / UNIT_MEMORY_MB).min(link_mbps / UNIT_LINK_MBPS);
    units.clamp(1, u64::from(MAX_CAPACITY)) as u32
}

/// Returns whether a customer has more draws per second than one instance answers.
pub fn exceeds_home_capacity(draws_per_sec: u64) -> bool {
    draws_per_sec > MAX_DRAWS_PER_SEC
}

/// Returns the instances that may hold a customer's tokens, in the order in which to ask them.
///
/// `hash_of` returns the hash of an instance's name, which stays the same over restarts, and `capacity_of` its capacity.
/// With equal capacities, and in small fleets, the order is that of `rendezvous_select`.
pub fn home_candidates<'a, T>(
    customer: &str,
    instances: impl IntoIterator<Item = &'a T> + Clone,
    hash_of: impl Fn(&T) -> u64,
    capacity_of: impl Fn(&T) -> u32,
) -> SmallVec<[&'a T; HOME_CANDIDATES]> {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let weights = instances.clone().into_iter();
    let max_weight = max_weight(weights.map(|i| weight(capacity_of(i))).collect());
    select_lowest(instances, |instance| {
        let rank = rendezvous_rank(hash_of(instance), seed);
        let weight = weight(capacity_of(instance)).min(max_weight);
        (weighted_score(rank, weight), rank)
    })
}

/// Returns the weight of an instance: the square of its capacity. In proportion to the capacity, half of the customers
/// would have their homes on the small machines of a fleet with a few large ones, also the customers with the highest
/// demand.
fn weight(capacity: u32) -> f64 {
    f64::from(capacity.clamp(1, MAX_CAPACITY)).powi(2)
}

/// Returns the limit of a weight, with which no instance exceeds its maximum share, given the weights of all. In a small
/// fleet, all weights are the same.
fn max_weight(weights: Vec<f64>) -> f64 {
    if weights.len() <= MAX_UNWEIGHTED_FLEET {
        return 1.0;
    }
    let mut limit = f64::INFINITY;
    for _ in 0..LIMIT_ROUNDS {
        let sum: f64 = weights.iter().map(|w| w.min(limit)).sum();
        limit = limit.min(sum * MAX_WEIGHT_SHARE);
    }
    limit
}

/// Returns the score of weighted rendezvous hashing: an instance has the lowest one with a probability in proportion to
/// its weight.
fn weighted_score(rank: u64, weight: f64) -> f64 {
    let uniform = rank as f64 / u64::MAX as f64;
    -(-uniform).ln_1p() / weight
}

fn rendezvous_rank(hash: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), seed)
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
    select_lowest(instances, |instance| {
        rendezvous_rank(hash_of(instance), seed)
    })
}

/// Selects the `N` instances of the lowest ranks, in ascending order.
fn select_lowest<'a, T, R: PartialOrd + Copy, const N: usize>(
    instances: impl IntoIterator<Item = &'a T>,
    rank_of: impl Fn(&T) -> R,
) -> SmallVec<[&'a T; N]>
where
    [&'a T; N]: smallvec::Array<Item = &'a T>,
{
    let mut selected: SmallVec<[(R, &T); 4]> = SmallVec::new();
    for instance in instances {
        let rank = rank_of(instance);
        if selected.len() == N && selected.last().is_some_and(|(last, _)| *last <= rank) {
            continue;
        }
        let at = selected.partition_point(|(other, _)| *other < rank);
        selected.insert(at, (rank, instance));
        selected.truncate(N);
    }
    selected.into_iter().map(|(_, instance)| instance).collect()
}
