//! Which instances of a large availability zone hold a customer's tokens.
//!
//! Were each of thirty instances to hold its own part, the parts would be smaller than one prompt: each
//! second request had to wait for the store, and met the others' at the customer's record. So a zone
//! holds a customer's tokens at one instance, its home, from which the others draw what a request
//! needs. Nothing depends on everyone agreeing who that is: two homes cost a few writes more.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// In zones of up to so many instances each one holds tokens itself: the parts are large enough, and a
/// crash strands one of them only.
const SMALL_ZONE: usize = 6;
/// Instances that are asked: the home, and the one that takes its place when it does not answer.
const ASKED: usize = 2;

/// Returns the instances of a zone that hold a customer's tokens, the one to ask first at first; none
/// where each one does itself.
///
/// An instance is known by the name that it keeps over restarts.
pub fn homes<'a, T>(
    customer: &str,
    zone: &'a [T],
    name: impl Fn(&T) -> &str,
) -> SmallVec<[&'a T; ASKED]> {
    if zone.len() <= SMALL_ZONE {
        return SmallVec::new();
    }
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let mut ranked: Vec<&T> = zone.iter().collect();
    ranked.sort_by_cached_key(|t| xxh3_64_with_seed(name(t).as_bytes(), seed));
    ranked.into_iter().take(ASKED).collect()
}
