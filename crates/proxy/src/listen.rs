//! The listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::router::Router;

/// Pause after a connection could not be accepted: descriptors may be free again then.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Everything is taken.
    Serving,
    /// Idle connections are closed; new ones are taken for one request each.
    Draining,
}

/// Binds the listener.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Serves connections until the end of the process: one that is refused looks like a crash.
pub(crate) fn serve(listener: TcpListener, router: Arc<Router>, phase: watch::Receiver<Phase>) {
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(connection(stream, Arc::clone(&router), phase.clone()));
                }
                Err(_) => sleep(ACCEPT_AGAIN).await,
            }
        }
    });
}

async fn connection(stream: TcpStream, router: Arc<Router>, mut phase: watch::Receiver<Phase>) {
    // Without it small events wait for the caller's acknowledgement; it fails on closed ones only.
    let _ = stream.set_nodelay(true);
    let limits = router.config.active().map(|a| a.routing.limits);
    let limits = limits.unwrap_or_default();
    let answer = service_fn(move |req| {
        let router = Arc::clone(&router);
        async move { Ok::<_, Infallible>(router.handle(req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_header_size(limits.header_bytes)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(conn);
    if *phase.borrow() != Phase::Serving {
        // Its first answer closes it. Closed at once, it would look like a refused connection.
        let _ = conn.await;
        return;
    }
    tokio::select! {
        // An error is the caller's: it left, or sent what is no request.
        _ = conn.as_mut() => return,
        _ = phase.wait_for(|p| *p != Phase::Serving) => {}
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}
