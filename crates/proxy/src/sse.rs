//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// A larger event is none: bounds what a faulty upstream can make this process keep.
const EVENT_MOST: usize = 1 << 20;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id, when it has a number for one.
    pub id: Option<u64>,
}

/// Bytes of a stream that are not yet whole events.
#[derive(Debug, Default)]
pub struct SseParser {
    buf: BytesMut,
    /// Bytes that were searched for an end before.
    searched: usize,
}

impl SseParser {
    /// Takes bytes as they came; returns whether a whole event may still come of them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_MOST
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.searched = 0;
        let id = id_of(&bytes);
        Some(SseEvent { bytes, id })
    }

    /// Returns whether the rest is no part of an event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buf.iter().all(|b| b"\r\n".contains(b))
    }

    /// Returns the length of the first whole event: up to an empty line.
    fn end(&mut self) -> Option<usize> {
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
                // The empty line may be on its way.
                self.searched = at + i;
                return None;
            }
            at += i + 1;
        }
        self.searched = self.buf.len();
        None
    }
}

/// Returns an event's id, when it has a number for one.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    let value = std::str::from_utf8(value).ok()?;
    value.trim().parse().ok()
}
