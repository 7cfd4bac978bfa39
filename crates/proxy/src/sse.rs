//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes, to bound the memory that a faulty upstream can make this
/// process use.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The bytes as received.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// Parses a stream that is received in chunks.
#[derive(Debug, Default)]
pub struct SseParser {
    /// Received bytes that were not returned as events yet.
    buf: BytesMut,
    /// Number of bytes in `buf` that are known to contain no end of an event.
    searched: usize,
}

impl SseParser {
    /// Appends received bytes; returns whether the buffered bytes are within the maximum size of an
    /// event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the number of received bytes that were not returned as events yet.
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.event_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.searched = 0;
        let id = parse_event_id(&bytes);
        Some(SseEvent { bytes, id })
    }

    /// Returns whether the buffer contains no part of an incomplete event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buf.iter().all(|b| b"\r\n".contains(b))
    }

    /// Returns the length of the first complete event, including the empty line that ends it.
    fn event_end(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(i) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let rest = &self.buf[at + i + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(at + i + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(at + i + 3);
            }
            if rest.len() < 2 {
                // The next line may turn out to be empty once more bytes are received.
                self.searched = at + i;
                return None;
            }
            at += i + 1;
        }
        self.searched = self.buf.len();
        None
    }
}

/// Returns an event's id, if it is a number.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    let value = std::str::from_utf8(value).ok()?;
    value.trim().parse().ok()
}
