//! Listeners for callers, and for instances whose requests this one forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connection;
use crate::router::Router;

/// Delay after a connection could not be accepted, by which file descriptors may be free again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How the listener treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Connections are accepted, and kept open between requests.
    Serving,
    /// A planned stop has begun: idle connections are closed, and new ones are accepted for one
    /// request each.
    Draining,
}

/// Whose requests a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Clients {
    /// Callers.
    Callers,
    /// Instances that have lost their paths to upstreams.
    Instances,
}

/// Receive buffer of a connection as a power of two of the memory limit: what a client sends beyond its request stays
/// there, unread.
const RECEIVE_BUFFER_SHIFT: usize = 12;
/// Minimum size of that buffer, in bytes: what a link of 25 Mbit/s carries within 5 ms.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Binds the listener of a process that may have a memory limit in megabytes; with one, the receive buffers of its
/// connections don't grow.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) fn bind(
    addr: SocketAddr,
    memory_mb: Option<u64>,
) -> std::io::Result<(TcpListener, SocketAddr)> {
    let size =
        |mb: u64| ((mb as usize) << 20 >> RECEIVE_BUFFER_SHIFT).max(MIN_RECEIVE_BUFFER_BYTES);
    let receive_buffer_bytes = memory_mb.map(size);
    let listener = web::bind_socket(addr, receive_buffer_bytes)?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Serves connections until the process ends, because a refused connection looks like a crash.
pub(crate) fn serve(
    listener: TcpListener,
    clients: Clients,
    router: Arc<Router>,
    phase: watch::Receiver<Phase>,
) {
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                // Closed before anything is read: the caller connects to another instance.
                Ok(_) if clients == Clients::Callers && !router.accepts_connection() => {}
                Ok((stream, _)) => connection::spawn(stream, clients, &router, phase.clone()),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
}
