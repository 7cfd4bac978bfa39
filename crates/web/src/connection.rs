//! A connection of a client.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

use crate::limits::{Limits, BODY_TIMEOUT, HEADER_TIMEOUT, STEP_BYTES, WITH_HEAD_BYTES};
use crate::listener::OpenConnection;
use crate::memory::Reservation;
use crate::response::{convert, ResponseBody};
use crate::stream::{Exchange, GuardedStream};
use crate::{BodyError, Req, Service};

/// Records on drop that the HTTP library has all of a response.
pub(crate) struct ResponseEnd(Exchange);

impl Drop for ResponseEnd {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Serves the requests of a connection until it is closed, or until the deadline of a stop.
pub(crate) async fn serve<S: Service>(
    stream: TcpStream,
    remote_addr: SocketAddr,
    connection: OpenConnection,
    limits: Limits,
    service: Arc<S>,
    mut stop: watch::Receiver<Option<Instant>>,
) {
    // Otherwise small responses would wait for the client's acknowledgement. Fails only if the connection is closed.
    let _ = stream.set_nodelay(true);
    // Without buffers before anything has arrived.
    tokio::select! {
        ready = timeout(HEADER_TIMEOUT, stream.readable()) => if !matches!(ready, Ok(Ok(()))) {
            return;
        },
        Ok(_) = stop.wait_for(Option::is_some) => return,
    }
    let exchange = Exchange::new(connection);
    let io = GuardedStream::new(stream, limits.clone(), exchange.clone());
    let handler = service_fn(|req| {
        let (exchange, limits, service) = (exchange.clone(), limits.clone(), Arc::clone(&service));
        async move {
            // The connection may have been closed for a new one meanwhile: its request must not run.
            if !exchange.begin() {
                return Err(Error::from(ErrorKind::ConnectionAborted));
            }
            let end = ResponseEnd(exchange);
            Ok(respond(req, remote_addr, end, limits, service).await)
        }
    });
    let mut conn = pin!(http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes)
        .serve_connection(TokioIo::new(io), handler));
    tokio::select! {
        // An error is the client's: it closed the connection, or sent something that is not a request.
        _ = conn.as_mut() => return,
        Ok(_) = stop.wait_for(Option::is_some) => {}
    }
    conn.as_mut().graceful_shutdown();
    let deadline = stop.borrow().unwrap_or_else(Instant::now);
    tokio::select! {
        _ = conn => {}
        () = sleep_until(deadline) => {}
    }
}

/// Reads a request and returns the response of the service.
async fn respond<S: Service>(
    req: Request<Incoming>,
    remote_addr: SocketAddr,
    end: ResponseEnd,
    limits: Limits,
    service: Arc<S>,
) -> hyper::Response<ResponseBody> {
    let (head, body) = req.into_parts();
    let mut req = Req {
        method: head.method.as_str().to_string(),
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        headers: head.headers,
        body: Bytes::new(),
        remote_addr,
    };
    if let Err(res) = service.admit(&req) {
        return convert(res, end, body.is_end_stream());
    }
    let read = timeout(BODY_TIMEOUT, read_body(body, &limits)).await;
    match read.unwrap_or(Err(BodyError::Incomplete)) {
        Ok(body) => {
            req.body = body;
            let res = service.call(req).await;
            convert(res, end, true)
        }
        Err(error) => convert(service.unreadable_body(error), end, false),
    }
}

/// Reads a body, which keeps its memory until it is dropped.
///
/// # Errors
///
/// Returns why it was not read.
async fn read_body(mut body: Incoming, limits: &Limits) -> Result<Bytes, BodyError> {
    let max_bytes = limits.max_body_bytes();
    let length = body.size_hint().exact();
    let length = length.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if length.is_some_and(|n| n > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut memory = Reservation::empty(&limits.memory);
    // The system provides the memory as it is filled.
    let mut buf = Vec::with_capacity(length.unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if len > WITH_HEAD_BYTES && !memory.grow_to(len.next_multiple_of(STEP_BYTES)) {
            return Err(BodyError::NoMemory);
        }
        if len > buf.capacity() {
            buf.reserve_exact(len.next_multiple_of(STEP_BYTES) - buf.len());
        }
        buf.extend_from_slice(data);
    }
    Ok(memory.hold(buf))
}
