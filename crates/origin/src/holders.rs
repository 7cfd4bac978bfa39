//! The instances that hold the record of a stream.

use smallvec::SmallVec;

/// Number of other instances that get the record of a stream. A third of a fleet may be lost at once
/// together with the instance that began the stream.
pub const HOLDERS: usize = 3;
/// Number of instances, in the order of their ranks, that may hold the record of a stream: lists that
/// differ by a few instances have most of them in common.
pub const CANDIDATES: usize = 8;

/// Orders the instances that rank first for a stream so that the first [`HOLDERS`] are in different
/// availability zones where possible: a zone may be lost with all its instances.
pub fn order_candidates<'a, T, Z: PartialEq>(
    ranked: SmallVec<[&'a T; CANDIDATES]>,
    zone_of: impl Fn(&'a T) -> Z,
) -> SmallVec<[&'a T; CANDIDATES]> {
    let mut first: SmallVec<[&T; CANDIDATES]> = SmallVec::new();
    let mut rest: SmallVec<[&T; CANDIDATES]> = SmallVec::new();
    for instance in ranked {
        let new_zone = first.iter().all(|f| zone_of(f) != zone_of(instance));
        if new_zone && first.len() < HOLDERS {
            first.push(instance);
        } else {
            rest.push(instance);
        }
    }
    first.extend(rest);
    first
}
