//! Reader of the server-sent events in an engine's response.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::StreamExt;
use serde_json::Value;

/// Maximum size of an event: limits the memory that a faulty engine can use.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An item of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum SseItem {
    /// A JSON event.
    Data(Value),
    /// The `[DONE]` marker.
    Done,
    /// The stream ended early, or contained an invalid event.
    Failed(String),
}

/// Reads the events of a response.
pub struct SseReader {
    bytes: BoxStream<'static, reqwest::Result<Bytes>>,
    buf: Vec<u8>,
}

impl SseReader {
    /// Creates a reader of a response body.
    pub fn new(res: reqwest::Response) -> SseReader {
        SseReader {
            bytes: res.bytes_stream().boxed(),
            buf: Vec::new(),
        }
    }

    /// Returns the next item.
    pub async fn next(&mut self) -> SseItem {
        loop {
            if let Some(line) = self.take_line() {
                match parse_line(&line) {
                    Some(item) => return item,
                    None => continue,
                }
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return SseItem::Failed(format!("an event exceeds {MAX_EVENT_BYTES} bytes"));
            }
            match self.bytes.next().await {
                Some(Ok(bytes)) => self.buf.extend_from_slice(&bytes),
                Some(Err(e)) => return SseItem::Failed(e.to_string()),
                None => return SseItem::Failed("the stream ended before [DONE]".to_string()),
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let rest = self.buf.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.buf, rest);
        line.truncate(end);
        Some(line)
    }
}

fn parse_line(line: &[u8]) -> Option<SseItem> {
    let data = line.strip_prefix(b"data:")?;
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Some(SseItem::Done);
    }
    match serde_json::from_slice(data) {
        Ok(value) => Some(SseItem::Data(value)),
        Err(e) => Some(SseItem::Failed(format!("invalid JSON in an event: {e}"))),
    }
}
