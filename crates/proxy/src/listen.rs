//! Listeners for callers, and for instances whose requests this one forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use place::Intake;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connection;
use crate::connections::OpenConnection;
use crate::event::Event;
use crate::router::Router;

/// Delay after a connection could not be accepted, by which file descriptors may be free again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which it is logged what an overloaded instance has closed and refused.
const OVERLOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

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
                Ok((stream, _)) => {
                    // Without room for one more connection, it is closed like those above.
                    let Some(open) = OpenConnection::new(&router) else {
                        continue;
                    };
                    let id = open.id();
                    let (served, phase) = (Arc::clone(&router), phase.clone());
                    let task =
                        tokio::spawn(connection::serve(stream, clients, open, served, phase));
                    router.connections.set_task(id, task.abort_handle());
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
}

/// Starts the task that logs how many new connections were closed unread, and which customers' requests
/// were refused, because this instance is overloaded.
pub(crate) fn spawn_overload_log(router: Arc<Router>) {
    tokio::spawn(async move {
        let (mut logged_closed, mut logged_abandoned, mut logged_slow) = (0, 0, 0);
        let mut logged_replaced = 0;
        loop {
            sleep(OVERLOAD_LOG_INTERVAL).await;
            let closed = router.metrics.connections_closed.get();
            if closed > logged_closed {
                let per_sec = router.with_intake(Intake::per_sec);
                let count = closed - logged_closed;
                let detail = format_args!("closed={count} new_per_sec={per_sec}");
                router.log.event(Event::ConnectionsClosed, detail);
                logged_closed = closed;
            }
            let idle_closed = router.metrics.idle_connections_closed.get();
            let denied = router.metrics.connections_denied.get();
            if idle_closed + denied > logged_replaced {
                let open = router.connections.count();
                let count = idle_closed + denied - logged_replaced;
                let detail = format_args!(
                    "count={count} open={open} all_idle_closed={idle_closed} all_denied={denied}"
                );
                router.log.event(Event::ConnectionLimitReached, detail);
                logged_replaced = idle_closed + denied;
            }
            let abandoned = router.metrics.connections_abandoned.get();
            if abandoned > logged_abandoned {
                let detail = format_args!("count={}", abandoned - logged_abandoned);
                router.log.event(Event::ConnectionsAbandoned, detail);
                logged_abandoned = abandoned;
            }
            let slow = router.metrics.slow_callers.get();
            if slow > logged_slow {
                let detail = format_args!("count={}", slow - logged_slow);
                router.log.event(Event::SlowCallers, detail);
                logged_slow = slow;
            }
            let refused = {
                let mut shares = router.shares.lock().expect("lock not poisoned");
                shares.take_refused()
            };
            for (customer, count) in refused {
                let customer = if customer.is_empty() { "-" } else { &customer };
                let detail = format_args!("customer={customer} refused={count}");
                router.log.event(Event::CustomerOverShare, detail);
            }
        }
    });
}
