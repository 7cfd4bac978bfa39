//! Splits a byte stream into complete events.

use proxy::SseParser;

const STREAM: &str = "id: 1\ndata: a\n\nversions: 3\nid: 2\ndata: b\r\n\r\ndata: no id\n\n";

/// Guards against events that are split or merged because the chunks of the connection are taken
/// for events.
#[test]
fn any_chunk_size_yields_the_same_events() {
    for size in 1..STREAM.len() {
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        for chunk in STREAM.as_bytes().chunks(size) {
            assert!(parser.push(chunk));
            while let Some(event) = parser.next_event() {
                events.push((event.id, event.bytes));
            }
        }
        let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "chunks of {size}");
        let joined: Vec<u8> = events.iter().flat_map(|(_, b)| b.to_vec()).collect();
        assert_eq!(joined, STREAM.as_bytes(), "chunks of {size}");
        assert!(parser.is_at_event_boundary());
    }
}

#[test]
fn incomplete_event_is_not_returned() {
    let mut parser = SseParser::default();
    parser.push(b"id: 1\ndata: a\n");
    assert!(parser.next_event().is_none());
    assert!(!parser.is_at_event_boundary());
}

#[test]
fn event_without_an_end_exceeds_the_maximum_size() {
    let mut parser = SseParser::default();
    let chunk = vec![b'x'; 1 << 16];
    assert!((0..64).any(|_| !parser.push(&chunk)));
}
