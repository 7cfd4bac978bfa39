//! The number of connections to all upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use dial::{Conn, ConnectError, Dialer, Target};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 3;
/// Upstream that is connected for a probe.
const PROBED: &str = "probed";

/// Binds a listener that keeps its connections.
async fn listen() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    addr
}

async fn connect(dialer: &Dialer, upstream: &str, addr: SocketAddr) -> Result<Conn, ConnectError> {
    let target = Target {
        upstream,
        addr,
        max_connections: usize::MAX,
        is_probe: upstream == PROBED,
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    dialer.connect(target, deadline).await
}

/// Guards against connections to upstreams for which the process has no descriptors left: the failure looks like one
/// of the upstream.
#[tokio::test]
async fn an_idle_connection_to_any_upstream_is_closed_for_a_new_one() {
    let addr = listen().await;
    let dialer = Dialer::new(Some(MAX_CONNECTIONS));
    for (upstream, keep_alive_secs) in [("a", 9), ("b", 5), ("c", 7)] {
        let conn = connect(&dialer, upstream, addr).await.expect("connected");
        dialer.put_idle(conn, Some(Duration::from_secs(keep_alive_secs)));
    }
    assert_eq!(dialer.idle_count(), MAX_CONNECTIONS);
    let conn = connect(&dialer, "d", addr).await.expect("connected");
    assert_eq!(dialer.connection_count(), MAX_CONNECTIONS);
    assert!(
        dialer.take_idle("b").is_none(),
        "it would have expired first"
    );
    let others = ["a", "c"].map(|u| dialer.take_idle(u).expect("still open"));
    assert_eq!(dialer.idle_count(), 0);
    let denied = connect(&dialer, "e", addr).await;
    assert!(matches!(denied, Err(ConnectError::Full)));
    let probe = connect(&dialer, PROBED, addr).await;
    assert!(probe.is_ok(), "a probe shows whether the upstream works");
    drop((conn, others, probe));
    assert_eq!(dialer.connection_count(), 0);
    assert!(connect(&dialer, "e", addr).await.is_ok());
}
