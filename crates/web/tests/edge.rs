//! Malformed and malicious requests that no client library sends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use web::{Limits, Memory, Req, Res, Service};

const LIMIT: usize = 1024;
const CONNECTIONS: usize = 10;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

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
    let limits = Limits {
        body_bytes: LIMIT,
        ..Limits::small(CONNECTIONS)
    };
    let handle = web::bind(addr, limits, Arc::new(Echo))
        .await
        .expect("a free port");
    let stream = TcpStream::connect(handle.addr()).await.expect("it listens");
    (handle, stream)
}

/// Sends bytes and returns everything received until the connection is closed, or until the timeout.
async fn send(stream: &mut TcpStream, bytes: &[u8]) -> String {
    // The server may close the connection before everything is sent.
    let _ = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let _ = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

/// A caller that sends headers without end must not exhaust the memory of the process: the size of the
/// headers is limited.
#[tokio::test]
async fn endless_headers_are_refused() {
    let (_handle, mut stream) = open().await;
    let mut req = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
    for i in 0..5_000 {
        req.extend_from_slice(format!("x-{i}: {}\r\n", "y".repeat(100)).as_bytes());
    }
    let response = send(&mut stream, &req).await;
    assert!(
        response.is_empty() || response.contains(" 431 ") || response.contains(" 400 "),
        "{response}"
    );
}

/// Connections of callers that send only a part of their headers must not accumulate: the time to
/// receive the headers is limited.
#[tokio::test]
async fn incomplete_headers_time_out() {
    let (_handle, mut stream) = open().await;
    let began = Instant::now();
    send(&mut stream, b"GET / HTTP/1.1\r\nhost: a\r\n").await;
    assert!(began.elapsed() < RESPONSE_TIMEOUT);
}

#[tokio::test]
async fn header_with_invalid_bytes_counts_as_missing() {
    let (_handle, mut stream) = open().await;
    let req = b"GET / HTTP/1.1\r\nhost: a\r\nx-odd: \xff\xfe\r\nconnection: close\r\n\r\n";
    let response = send(&mut stream, req).await;
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("none"),
        "{response}"
    );
}

#[tokio::test]
async fn body_without_content_length_is_limited() {
    let (_handle, mut stream) = open().await;
    let mut req =
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
            .to_vec();
    for _ in 0..4 {
        req.extend_from_slice(format!("400\r\n{}\r\n", "z".repeat(1024)).as_bytes());
    }
    req.extend_from_slice(b"0\r\n\r\n");
    let response = send(&mut stream, &req).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

/// A service for nobody.
struct Closed;

impl Service for Closed {
    async fn call(self: Arc<Self>, _req: Req) -> Res {
        Res::new(200, "text/plain", "")
    }

    fn admit(&self, _req: &Req) -> Result<(), Res> {
        Err(Res::new(401, "text/plain", "unknown key"))
    }
}

/// A body must not be read for a client that is refused by its headers: the response does not wait for the body.
#[tokio::test]
async fn body_of_a_refused_client_is_not_read() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let handle = web::bind(addr, Limits::small(CONNECTIONS), Arc::new(Closed)).await;
    let handle = handle.expect("a free port");
    let mut stream = TcpStream::connect(handle.addr()).await.expect("it listens");
    let response = send(
        &mut stream,
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n",
    )
    .await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

/// Size of a response that does not fit into the buffers of a connection, in bytes.
const LONG: usize = 16 << 20;

struct Long;

impl Service for Long {
    async fn call(self: Arc<Self>, _req: Req) -> Res {
        Res::new(200, "text/plain", vec![b'x'; LONG])
    }
}

/// A connection must not be closed for a new one while its response is still being written: a caller that reads
/// slowly would get a part of it.
#[tokio::test]
async fn connection_with_an_unread_response_is_not_idle() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let handle = web::bind(addr, Limits::small(1), Arc::new(Long)).await;
    let addr = handle.expect("a free port").addr();
    let mut stream = TcpStream::connect(addr).await.expect("it listens");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("connected");
    stream.readable().await.expect("a response");
    let mut other = TcpStream::connect(addr).await.expect("it listens");
    let refused = send(&mut other, request).await;
    assert!(refused.is_empty(), "{} bytes", refused.len());
    let response = send(&mut stream, b"").await;
    assert!(response.len() > LONG, "{} bytes", response.len());
}

/// Memory of a listener with few heads, in bytes, and the largest body for which it has room.
const MEMORY: usize = 256 << 10;
const MAX_BODY: usize = 128 << 10;

fn scarce() -> Limits {
    let memory = Memory::new(MEMORY);
    let limits = Limits {
        body_bytes: MEMORY,
        memory,
        ..Limits::small(CONNECTIONS)
    };
    limits.with_room_for_heads()
}

async fn send_once(handle: &web::ServerHandle, bytes: &[u8]) -> String {
    let connected = TcpStream::connect(handle.addr()).await;
    send(&mut connected.expect("it listens"), bytes).await
}

/// A body must not be refused as one that fits later if it never fits: clients would send it again and again.
#[tokio::test]
async fn body_that_never_fits_is_too_large() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let bound = web::bind(addr, scarce(), Arc::new(Echo)).await;
    let handle = bound.expect("a free port");
    for (bytes, status) in [(MAX_BODY, 200), (MAX_BODY + 1, 413)] {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
        );
        // Only the head of the one that is too large, since its response could be lost with the connection.
        let body = if status == 200 { bytes } else { 0 };
        let request = [head.as_bytes(), &vec![b'x'; body]].concat();
        let response = send_once(&handle, &request).await;
        let expected = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&expected), "{bytes} bytes: {response}");
    }
}

/// Clients that send their headers slowly must not keep others out by the memory that is reserved for them.
#[tokio::test]
async fn slow_headers_keep_nobody_out() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let bound = web::bind(addr, scarce(), Arc::new(Echo)).await;
    let handle = bound.expect("a free port");
    let mut slow = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(handle.addr()).await.expect("it listens");
        // Fails if the connection is closed at once.
        let _ = stream.write_all(b"GET / HTTP/1.1\r\n").await;
        slow.push(stream);
    }
    // By then the listener has read what was sent.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = send_once(&handle, request).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
