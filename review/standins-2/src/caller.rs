//! A requester: sends one request over a new channel and reads its answer to the end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::Conn;

/// What a requester has seen.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the channel ended without a status.
    pub status: u16,
    /// Whole events received.
    pub events: u64,
    /// Whether the answer came to its end.
    pub whole: bool,
    pub text: String,
    pub took_ms: u128,
}

/// A request for a stream, or a plain one if `usage` is none.
pub struct Call<'a> {
    pub to: SocketAddr,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub usage: Option<(u64, u64)>,
}

pub fn call(call: &Call<'_>) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(call, &mut answer);
    answer.took_ms = began.elapsed().as_millis();
    answer
}

fn exchange(call: &Call<'_>, answer: &mut Answer) -> std::io::Result<()> {
    let mut conn = Conn::connect(call.to, Duration::from_secs(1))?;
    let limit = Duration::from_millis(call.deadline_ms + 2_000);
    conn.stream.set_read_timeout(Some(limit))?;
    let mut head = format!(
        "POST {} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer {}\r\n\
         oriolehitch-request-id: {}\r\noriolehitch-deadline-ms: {}\r\ncontent-length: 4\r\n",
        call.path, call.key, call.id, call.deadline_ms
    );
    if let Some((prompt, most)) = call.usage {
        head += &format!(
            "oriolehitch-model: m\r\noriolehitch-token-usage: {prompt},{most}\r\n\
             oriolehitch-prefix-hash: {}:{prompt}\r\n",
            call.id
        );
    }
    conn.write((head + "\r\nbody").as_bytes())?;
    let head = conn.head()?;
    answer.status = head.status();
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = conn.chunk()?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
            answer.events = body.windows(2).filter(|w| w == b"\n\n").count() as u64;
        }
    } else if let Some(n) = head.header("content-length").and_then(|n| n.parse().ok()) {
        body = conn.take(n)?;
    }
    answer.whole = true;
    answer.text = String::from_utf8_lossy(&body).into_owned();
    Ok(())
}
