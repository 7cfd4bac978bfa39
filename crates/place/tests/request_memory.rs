//! Memory for requests under way.

use place::RequestMemory;

/// Symptom: a process is killed for its memory, and all of its requests with it. Sequence: requests
/// with bodies of 100 kB come faster than they are answered. Cause: nothing bounded how many.
#[test]
fn what_does_not_fit_is_refused_until_there_is_room() {
    let mut room = RequestMemory::new(Some(88));
    let mut taken = Vec::new();
    while let Some(bytes) = room.reserve(100_000) {
        taken.push(bytes);
    }
    let all: usize = taken.iter().sum();
    assert!((300..400).contains(&taken.len()), "{}", taken.len());
    assert!(all < 88 * 1024 * 1024 * 6 / 10);
    room.release(taken[0]);
    assert!(room.reserve(100_000).is_some());
    assert!(room.reserve(100_000).is_none());
}

#[test]
fn without_a_limit_everything_fits() {
    let mut room = RequestMemory::new(None);
    assert!((0..100_000).all(|_| room.reserve(1 << 20).is_some()));
}
