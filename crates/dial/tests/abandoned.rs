//! How a connection ends whose request was given up.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use dial::{Conn, Dialer, Target};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

const UPSTREAM: &str = "u";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Returns a connection and its other side.
async fn connect(dialer: &Dialer) -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = Target {
        upstream: UPSTREAM,
        addr: listener.local_addr().expect("a bound address"),
        max_connections: usize::MAX,
        is_probe: false,
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    let conn = dialer.connect(target, deadline).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("a connection");
    (conn, stream)
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"body")))
}

/// Reads to the end of a connection; returns whether it was reset.
async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_end(&mut bytes));
    let read = read.await.expect("the connection ends");
    read.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
}

/// Guards against a request that reaches an upstream after it was given up: a partition holds up its bytes, which a closed
/// connection still delivers when the partition ends.
#[tokio::test]
async fn a_connection_is_reset_when_its_request_is_given_up() {
    let dialer = Dialer::new(None);
    let (mut conn, mut upstream) = connect(&dialer).await;
    let sent = timeout(Duration::from_millis(100), conn.send(request())).await;
    assert!(sent.is_err(), "the upstream does not respond");
    drop(conn);
    assert!(is_reset(&mut upstream).await);
}

/// Guards against the same where all connections to an upstream that has started again are closed.
#[tokio::test]
async fn a_connection_in_use_is_reset_when_all_are_closed() {
    let dialer = Dialer::new(None);
    let (mut conn, mut upstream) = connect(&dialer).await;
    let sent = timeout(Duration::from_millis(100), conn.send(request())).await;
    assert!(sent.is_err(), "the upstream does not respond");
    dialer.close_all(UPSTREAM);
    assert!(is_reset(&mut upstream).await);
}

/// Guards against upstreams that take each closed idle connection for a failure.
#[tokio::test]
async fn an_idle_connection_is_closed_without_a_reset() {
    let dialer = Dialer::new(None);
    let (mut conn, mut upstream) = connect(&dialer).await;
    let (response, written) = tokio::join!(conn.send(request()), async {
        let mut head = [0; 1024];
        let read = upstream.read(&mut head).await.expect("a request");
        assert!(read > 0);
        upstream.write_all(RESPONSE).await
    });
    written.expect("the response is written");
    let body = response.expect("a response").into_body().collect();
    assert_eq!(body.await.expect("a body").to_bytes(), "ok");
    dialer.put_idle(conn, None);
    dialer.close_idle(UPSTREAM);
    assert!(!is_reset(&mut upstream).await);
}
