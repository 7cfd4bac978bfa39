//! Memory for requests in progress.

use place::RequestMemory;

/// Guards against a process that is killed for its memory use together with all of its requests. It happens if
/// requests with bodies of 100 kB arrive faster than they are answered, and nothing limits their number.
#[test]
fn a_request_that_does_not_fit_is_refused_until_memory_is_released() {
    let mut memory = RequestMemory::new(Some(88));
    let mut reserved = Vec::new();
    while let Some(bytes) = memory.reserve(100_000) {
        reserved.push(bytes);
    }
    let all: usize = reserved.iter().sum();
    assert!((300..400).contains(&reserved.len()), "{}", reserved.len());
    assert!(all < 88 * 1024 * 1024 * 6 / 10);
    memory.release(reserved[0]);
    assert!(memory.reserve(100_000).is_some());
    assert!(memory.reserve(100_000).is_none());
}

#[test]
fn without_a_limit_everything_fits() {
    let mut memory = RequestMemory::new(None);
    assert!((0..100_000).all(|_| memory.reserve(1 << 20).is_some()));
}
