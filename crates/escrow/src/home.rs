//! Which instances hold a customer's tokens.
//!
//! Were each instance to hold its own part, the parts would be smaller than one prompt near the end of a budget,
//! and in a fleet of many instances always: requests had to wait for the store, and met the others' at the
//! customer's record, and in the end a tenth of the budget lay where nobody could use it. So a customer's tokens
//! are held by one instance, its home, from which the others draw what a request needs. Nothing depends on
//! everyone agreeing who that is: two homes cost a few writes more.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fleets of up to so many instances have one home for a customer; larger ones have one in each zone, since the
/// requests of a whole fleet that ask one small instance would be its main work.
///
/// Homes of several zones write to the same record, and of two writes that meet one is for nothing: with five zones that
/// were 3,033 of 6,929 writes in a minute, with one home 301 of 2,562, and the tokens that a customer has left lie
/// in one place. The limit is the largest fleet in which what a home does was measured.
const ONE_HOME_MOST: usize = 200;
/// Instances that are asked: the home, and those that take its place when it does not answer, or is cut off from
/// the store. With half of a fleet cut off, three of them are in one case of eight.
pub const ASKED: usize = 3;

/// Returns the instances that hold a customer's tokens for those of a zone, the one to ask first at first.
///
/// An instance is known by the name that it keeps over restarts; `of` returns that and its zone.
pub fn homes<'a, T>(
    customer: &str,
    fleet: &'a [T],
    zone: &str,
    of: impl Fn(&T) -> (&str, &str),
) -> SmallVec<[&'a T; ASKED]> {
    let seed = xxh3_64_with_seed(customer.as_bytes(), 0);
    let small = fleet.len() <= ONE_HOME_MOST;
    let near = fleet.iter().filter(|t| small || of(t).1 == zone);
    let mut ranked: Vec<&T> = near.collect();
    ranked.sort_by_cached_key(|t| xxh3_64_with_seed(of(t).0.as_bytes(), seed));
    ranked.into_iter().take(ASKED).collect()
}
