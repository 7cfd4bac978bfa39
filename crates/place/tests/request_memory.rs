//! Memory for requests in progress.

use place::{RequestMemory, HEAD_BYTES};

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

/// Guards against callers that read slowly and keep others out: their responses use a part of the memory only, and
/// requests use what is left.
#[test]
fn responses_leave_memory_for_requests() {
    let mut memory = RequestMemory::new(Some(88));
    let mut responses = 0;
    while memory.reserve_response(1 << 20) {
        responses += 1;
    }
    assert!((18..=21).contains(&responses), "{responses}");
    assert!(memory.is_short_for_responses());
    let requests = (0..1_000)
        .filter(|_| memory.reserve(10_000).is_some())
        .count();
    assert!(requests > 400, "{requests}");
    assert!(memory.is_nearly_full());
    memory.release_response(10 << 20);
    assert!(!memory.is_short_for_responses());
    assert!(memory.reserve(10_000).is_some());
}

/// Guards against slow callers whose heads and bodies fill the memory while nothing of it is reserved, and against
/// slow callers that keep others out.
#[test]
fn what_is_being_received_counts_and_leaves_memory_for_requests() {
    let mut memory = RequestMemory::new(Some(88));
    let mut bodies = 0;
    while memory.receive_body(1 << 20) {
        bodies += 1;
    }
    assert!((13..=16).contains(&bodies), "{bodies}");
    let heads = (0..1_000).filter(|_| memory.receive_head()).count();
    assert!((150..200).contains(&heads), "{heads}");
    memory.end_receiving(heads * HEAD_BYTES);
    let requests = (0..1_000)
        .filter(|_| memory.reserve(10_000).is_some())
        .count();
    assert!(requests > 400, "{requests}");
    assert!(!memory.receive_body(1 << 20));
    memory.end_receiving(10 << 20);
    assert!(memory.reserve(10_000).is_some());
}

/// Guards against closing a connection unread although its request could be refused with a time to come back.
#[test]
fn a_head_fits_when_requests_fill_the_memory() {
    let mut memory = RequestMemory::new(Some(88));
    while memory.reserve(10_000).is_some() {}
    let heads = (0..1_000).filter(|_| memory.receive_head()).count();
    assert!((100..200).contains(&heads), "{heads}");
}

/// Guards against idle connections to upstreams that take memory from requests while nobody counts them.
#[test]
fn idle_connections_to_upstreams_count_until_they_are_closed() {
    let mut memory = RequestMemory::new(Some(88));
    assert!(memory.reserve_beside(10_000, 1_600).is_some());
    assert!(memory.reserve_beside(10_000, 1_700).is_none());
    assert!(memory.reserve_beside(10_000, 0).is_some());
    let mut unlimited = RequestMemory::new(None);
    assert!(unlimited.reserve_beside(10_000, 1_000_000).is_some());
}
