//! Reads an engine's stream of server-sent events.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::StreamExt;
use serde_json::Value;

/// Longest event; a longer one is a fault of the engine.
const EVENT_MOST: usize = 1 << 20;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum SseItem {
    /// A JSON event.
    Data(Value),
    /// The mark of the end.
    Done,
    /// The stream broke off, or holds what is no event.
    Failed(String),
}

/// A stream that is being read.
pub struct SseReader {
    bytes: BoxStream<'static, reqwest::Result<Bytes>>,
    buf: Vec<u8>,
}

impl SseReader {
    /// Starts to read an answer.
    pub fn new(res: reqwest::Response) -> SseReader {
        SseReader {
            bytes: res.bytes_stream().boxed(),
            buf: Vec::new(),
        }
    }

    /// Returns the next event.
    pub async fn next(&mut self) -> SseItem {
        loop {
            if let Some(line) = self.take_line() {
                match parse(&line) {
                    Some(item) => return item,
                    None => continue,
                }
            }
            if self.buf.len() > EVENT_MOST {
                return SseItem::Failed("an event is too long".to_string());
            }
            match self.bytes.next().await {
                Some(Ok(bytes)) => self.buf.extend_from_slice(&bytes),
                Some(Err(e)) => return SseItem::Failed(e.to_string()),
                None => return SseItem::Failed("the stream ended early".to_string()),
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

fn parse(line: &[u8]) -> Option<SseItem> {
    let data = line.strip_prefix(b"data:")?;
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Some(SseItem::Done);
    }
    match serde_json::from_slice(data) {
        Ok(value) => Some(SseItem::Data(value)),
        Err(e) => Some(SseItem::Failed(format!("an event is not JSON: {e}"))),
    }
}
