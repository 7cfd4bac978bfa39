//! Whole events out of bytes that come in any pieces.

use proxy::SseParser;

const STREAM: &str = "id: 1\ndata: a\n\nversions: 3\nid: 2\ndata: b\r\n\r\ndata: no id\n\n";

/// Symptom: half an event, or two in one. Cause: the pieces of a connection were taken for events.
#[test]
fn any_cut_brings_the_same_events() {
    for size in 1..STREAM.len() {
        let mut events = SseParser::default();
        let mut seen = Vec::new();
        for piece in STREAM.as_bytes().chunks(size) {
            assert!(events.push(piece));
            while let Some(event) = events.next_event() {
                seen.push((event.id, event.bytes));
            }
        }
        let ids: Vec<_> = seen.iter().map(|(id, _)| *id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "pieces of {size}");
        let joined: Vec<u8> = seen.iter().flat_map(|(_, b)| b.to_vec()).collect();
        assert_eq!(joined, STREAM.as_bytes(), "pieces of {size}");
        assert!(events.is_at_event_boundary());
    }
}

#[test]
fn a_part_of_an_event_is_none() {
    let mut events = SseParser::default();
    events.push(b"id: 1\ndata: a\n");
    assert!(events.next_event().is_none());
    assert!(!events.is_at_event_boundary());
}

#[test]
fn an_event_without_an_end_is_given_up() {
    let mut events = SseParser::default();
    let piece = vec![b'x'; 1 << 16];
    assert!((0..64).any(|_| !events.push(&piece)));
}
