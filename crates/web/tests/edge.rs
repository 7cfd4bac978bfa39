//! What callers do that no client library would.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use web::{Req, Res, Service};

const LIMIT: usize = 1024;
const PATIENCE: Duration = Duration::from_secs(30);

struct Echo;

impl Service for Echo {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        Res::new(
            200,
            "text/plain",
            req.header("x-odd").unwrap_or("none").to_string(),
        )
    }
}

async fn open() -> (web::ServerHandle, TcpStream) {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let handle = web::bind(addr, LIMIT, Arc::new(Echo))
        .await
        .expect("a free port");
    let stream = TcpStream::connect(handle.addr()).await.expect("it listens");
    (handle, stream)
}

/// Sends bytes and returns all that comes back until the end or the patience's.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> String {
    // The other side may close in the middle of a flood.
    let _ = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

/// Symptom: one caller takes the memory of all.
/// Sequence: it sends headers without end.
/// Cause: headers without a bound.
#[tokio::test]
async fn flood_of_headers_is_refused() {
    let (_handle, mut stream) = open().await;
    let mut flood = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
    for i in 0..5_000 {
        flood.extend_from_slice(format!("x-{i}: {}\r\n", "y".repeat(100)).as_bytes());
    }
    let answer = send(&mut stream, &flood).await;
    assert!(
        answer.is_empty() || answer.contains(" 431 ") || answer.contains(" 400 "),
        "{answer}"
    );
}

/// Symptom: connections pile up that never ask for anything.
/// Sequence: a caller sends half of its headers and then nothing.
/// Cause: no limit of time on the headers.
#[tokio::test]
async fn slow_headers_end_the_connection() {
    let (_handle, mut stream) = open().await;
    let began = Instant::now();
    send(&mut stream, b"GET / HTTP/1.1\r\nhost: a\r\n").await;
    assert!(began.elapsed() < PATIENCE);
}

#[tokio::test]
async fn bytes_that_are_no_text_are_no_header() {
    let (_handle, mut stream) = open().await;
    let req = b"GET / HTTP/1.1\r\nhost: a\r\nx-odd: \xff\xfe\r\nconnection: close\r\n\r\n";
    let answer = send(&mut stream, req).await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("none"),
        "{answer}"
    );
}

#[tokio::test]
async fn body_without_an_announced_length_is_bounded() {
    let (_handle, mut stream) = open().await;
    let mut req =
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
            .to_vec();
    for _ in 0..4 {
        req.extend_from_slice(format!("400\r\n{}\r\n", "z".repeat(1024)).as_bytes());
    }
    req.extend_from_slice(b"0\r\n\r\n");
    let answer = send(&mut stream, &req).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}
