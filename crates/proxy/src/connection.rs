//! A connection of a caller, or of an instance whose requests this one forwards. Between requests it consists of its
//! socket: the buffers of the HTTP library and the state of a request are many times as large, and most open
//! connections wait for their next request.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use conf::RequestLimits;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_stream::CallerStream;
use crate::connections::OpenConnection;
use crate::exchange::Exchange;
use crate::listen::{Clients, Phase};
use crate::request_body::ReceivingMemory;
use crate::router::Router;
use crate::transit;

/// Maximum wait for what has arrived on a new connection: what came while it waited to be accepted is there
/// at once.
const FIRST_READ_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of bytes that are read ahead of a request's processing, or queued to be written, for each
/// connection.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Maximum size of the headers that an instance adds to those of its caller, in bytes.
const ADDED_HEADER_BYTES: usize = 4 << 10;

/// Starts the task that serves a new connection. If there are too many, the connection is closed unread: the caller
/// connects to another instance.
pub(crate) fn spawn(
    stream: TcpStream,
    clients: Clients,
    router: &Arc<Router>,
    phase: watch::Receiver<Phase>,
) {
    let Some(open) = OpenConnection::new(router) else {
        return;
    };
    let id = open.id();
    let served = serve(stream, clients, open, Arc::clone(router), phase);
    let task = tokio::spawn(served);
    router.connections.set_task(id, task.abort_handle());
}

/// Serves the requests of a connection until it is closed.
async fn serve(
    stream: TcpStream,
    clients: Clients,
    open: OpenConnection,
    router: Arc<Router>,
    mut phase: watch::Receiver<Phase>,
) {
    // Otherwise small events would wait for the caller's acknowledgement. Fails only if the
    // connection is closed.
    let _ = match clients {
        Clients::Callers => stream.set_nodelay(true).and_then(|()| {
            let size = router.send_buffer_bytes;
            size.map_or(Ok(()), |size| dial::set_send_buffer_size(&stream, size))
        }),
        Clients::Instances => dial::set_socket_options(&stream),
    };
    // A connection that has waited for longer than its caller does is worth no work.
    if clients == Clients::Callers && router.is_late() && has_caller_left(&stream).await {
        router.metrics.connections_abandoned.inc();
        return;
    }
    let exchange = Exchange::default();
    // Without a memory limit, callers may read as late as they want.
    let is_watched = clients == Clients::Callers && router.send_buffer_bytes.is_some();
    let watcher = is_watched.then(|| Arc::clone(&router));
    let mut stream = CallerStream::new(stream, exchange.clone(), watcher);
    // A connection that was accepted during a planned stop is closed after its first response. Closing it at once
    // would look like a refused connection.
    let may_wait = *phase.borrow() == Phase::Serving;
    loop {
        let idle_timeout = Duration::from_millis(limits(&router).idle_timeout_ms);
        tokio::select! {
            biased;
            arrived = stream.wait_for_request() => if !matches!(arrived, Ok(true)) {
                return;
            },
            _ = phase.wait_for(|p| *p != Phase::Serving), if may_wait => return,
            () = sleep(idle_timeout) => return,
        }
        if !open.begin() {
            return;
        }
        // Without memory for a head, the connection is closed unread: its caller may send the request again.
        let Some(memory) = ReceivingMemory::reserve(&router) else {
            router.metrics.connections_closed.inc();
            return;
        };
        exchange.reset(memory);
        // Boxed, since the connection keeps room for the largest future that it contains.
        let served = Box::pin(serve_request(
            stream, clients, &router, &exchange, &mut phase,
        ));
        match served.await {
            Some(rest) => stream = rest,
            None => return,
        }
        open.end(exchange.customer());
    }
}

fn limits(router: &Router) -> RequestLimits {
    let limits = router.config.active().map(|a| a.routing.limits);
    limits.unwrap_or_default()
}

/// Returns whether the caller of a new connection has left.
async fn has_caller_left(stream: &TcpStream) -> bool {
    let ready = timeout(FIRST_READ_WAIT, stream.ready(Interest::READABLE)).await;
    matches!(ready, Ok(Ok(ready)) if ready.is_read_closed())
}

/// Serves a request that has begun to arrive, and those that arrive with it; returns the socket if the connection
/// stays open.
async fn serve_request(
    stream: CallerStream,
    clients: Clients,
    router: &Arc<Router>,
    exchange: &Exchange,
    phase: &mut watch::Receiver<Phase>,
) -> Option<CallerStream> {
    let service = service_fn(|req| {
        let (router, exchange) = (Arc::clone(router), exchange.clone());
        async move {
            let req = exchange.begin(req);
            let res = match clients {
                // Boxed, so that its memory is free while the rest of a stream is sent.
                Clients::Callers => Box::pin(router.handle(req)).await,
                Clients::Instances => transit::handle(&router, req).await,
            };
            Ok::<_, Infallible>(exchange.respond(res))
        }
    });
    let limits = limits(router);
    let max_header_bytes = match clients {
        Clients::Callers => limits.max_header_bytes,
        Clients::Instances => limits.max_header_bytes + ADDED_HEADER_BYTES,
    };
    let mut conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_header_size(max_header_bytes)
        .max_buf_size(MAX_BUFFER_BYTES.max(max_header_bytes))
        .serve_connection(TokioIo::new(stream), service);
    let may_wait = *phase.borrow() == Phase::Serving;
    let until_complete = poll_fn(|cx| match Pin::new(&mut conn).poll(cx) {
        // An error is the caller's: it closed the connection, or sent something that is not a request.
        Poll::Ready(_) => Poll::Ready(false),
        Poll::Pending if exchange.is_complete() => Poll::Ready(true),
        Poll::Pending => Poll::Pending,
    });
    tokio::select! {
        is_open = until_complete => return is_open.then(|| {
            let parts = conn.into_parts();
            let mut stream = parts.io.into_inner();
            stream.put_back(parts.read_buf);
            stream
        }),
        _ = phase.wait_for(|p| *p != Phase::Serving), if may_wait => {}
    }
    Pin::new(&mut conn).graceful_shutdown();
    // An error is the caller's here, too.
    let _ = conn.await;
    None
}
