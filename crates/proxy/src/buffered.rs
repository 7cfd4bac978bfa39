//! Responses other than event streams. They are read to their end before the caller gets any byte,
//! so that a request whose response is aborted can be retried if that is allowed, and an aborted
//! response is never taken for a complete one. Large responses are forwarded in chunks instead.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response;
use hyper::{Response, StatusCode};
use place::Outcome;
use tokio::time::timeout_at;

use crate::attempt::{attempt, OpenResponse};
use crate::attempt_error::{AttemptError, AttemptHistory};
use crate::body::{BodySender, CallerDisconnected, ResponseBody};
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::{InFlightGuard, RequestContext};
use crate::response_end::must_have_body;
use crate::response_memory::ResponseMemory;
use crate::router::Router;

/// Maximum size of a buffered response, in bytes; a larger one is forwarded as it is received.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Maximum number of chunks of a large response that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 1;
/// Memory of a large response that is forwarded to a slow caller, in bytes: chunks of up to 64 kB in the buffers of both
/// connections, in the queue, and on their way into it.
const FORWARDED_BYTES: usize = 6 * (64 << 10);
/// Size up to which a response is buffered even if the memory for responses is used up, in bytes: error responses
/// are smaller, and must not go out instead of another attempt. So much fits into a caller's send buffer.
pub(crate) const ALWAYS_BUFFERED_BYTES: usize = 16 << 10;
/// Step in which memory for a response of unknown length is reserved, in bytes.
const MEMORY_STEP_BYTES: usize = 64 << 10;

/// The result of reading a response body.
enum Read {
    Complete(Bytes),
    /// The bytes received so far, and the rest of a body that is too large to be buffered, or for which
    /// there is no memory left.
    Large(Bytes, Incoming),
    Aborted(String),
}

/// Responds to a request whose response is not a stream.
///
/// # Errors
///
/// Returns why there is no response.
pub(crate) async fn respond(mut ctx: RequestContext) -> Result<Response<ResponseBody>, Refusal> {
    let mut history = AttemptHistory::new();
    // Returned if the retries fail too: an upstream's error response is better than a refusal.
    let mut error_response = None;
    let last_event_id = ctx.info.last_event_id;
    loop {
        let error = match attempt(&mut ctx, last_event_id).await {
            Ok(open) => match finish(&mut ctx, open).await {
                Ok(Finished::Final(res)) => return Ok(res),
                Ok(Finished::RetryableError(res)) => {
                    error_response = Some(res);
                    AttemptError::Unknown("the upstream responded with an error".to_string())
                }
                Err(why) => AttemptError::Unknown(why),
            },
            Err(error) => error,
        };
        if !history.try_retry(&mut ctx, &error) {
            let res = error_response.ok_or_else(|| history.refusal(&ctx, error));
            if res.is_ok() {
                ctx.record_end("upstream_error", "-");
            }
            return res;
        }
    }
}

/// A response that was read.
enum Finished {
    Final(Response<ResponseBody>),
    /// An error of the upstream to a request that may be retried.
    RetryableError(Response<ResponseBody>),
}

/// Reads the body of a response; the error says why it was aborted.
pub(crate) async fn read_response(
    ctx: &mut RequestContext,
    open: OpenResponse,
) -> Result<Response<ResponseBody>, String> {
    match finish(ctx, open).await? {
        Finished::Final(res) | Finished::RetryableError(res) => Ok(res),
    }
}

async fn finish(ctx: &mut RequestContext, open: OpenResponse) -> Result<Finished, String> {
    let OpenResponse {
        guard,
        conn,
        head,
        body,
        info,
    } = open;
    ctx.record_answered();
    let upstream = guard.choice.spec.id.clone();
    let until = ctx.router.clock.at(ctx.deadline);
    let mut path = guard.path_watch();
    let read = path
        .run(timeout_at(until, read_body(&ctx.router, body)))
        .await;
    let Ok(read) = read else {
        return Err(format!(
            "upstream={upstream} path lost before the end of the response"
        ));
    };
    let bytes = match read {
        Ok(Read::Complete(bytes))
            if bytes.is_empty() && must_have_body(&ctx.head.method, &head) =>
        {
            guard.record_alive();
            guard.end(Outcome::InvalidResponse);
            return Err(format!(
                "upstream={upstream} connection closed before the body"
            ));
        }
        Ok(Read::Complete(bytes)) => bytes,
        Ok(Read::Large(bytes, rest)) => {
            guard.record_latency();
            let open = OpenResponse {
                guard,
                conn,
                head,
                body: rest,
                info,
            };
            return Ok(Finished::Final(forward_large(ctx, open, bytes)));
        }
        Ok(Read::Aborted(why)) => {
            guard.record_alive();
            guard.end(Outcome::InvalidResponse);
            return Err(format!("upstream={upstream} response aborted: {why}"));
        }
        Err(_) => {
            guard.end(path.timeout_outcome());
            return Err(format!(
                "upstream={upstream} response not complete before the deadline"
            ));
        }
    };
    guard.record_latency();
    let is_error = head.status.is_server_error();
    guard.end(response_outcome(head.status));
    ctx.router.dialer.put_idle(conn, info.keep_alive);
    ctx.router
        .with_link(|l, now| l.record_response(now, bytes.len()));
    let res = new_response(ctx, &head, bytes);
    if is_error && ctx.is_retryable() {
        return Ok(Finished::RetryableError(res));
    }
    ctx.record_first_output();
    ctx.record_end(if is_error { "upstream_error" } else { "ok" }, &upstream);
    Ok(Finished::Final(res))
}

/// Returns the outcome of an attempt with a complete response.
fn response_outcome(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::ErrorResponse
    } else {
        Outcome::Success
    }
}

/// Returns a response with the given body, and status and headers from the upstream's head.
fn new_response(
    ctx: &RequestContext,
    head: &response::Parts,
    bytes: Bytes,
) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::Buffered(bytes));
    *res.status_mut() = head.status;
    *res.headers_mut() = ctx.router.dialect.response_headers(head);
    res
}

/// Reads a body as far as there is memory for it.
async fn read_body(router: &Arc<Router>, mut body: Incoming) -> Read {
    let mut memory = ResponseMemory::new(router);
    let length = body.size_hint().exact();
    let length = length.and_then(|n| usize::try_from(n).ok()).unwrap_or(0);
    let length = length.min(MAX_BUFFERED_BYTES);
    if length > ALWAYS_BUFFERED_BYTES && !memory.grow_to(length) {
        return Read::Large(Bytes::new(), body);
    }
    let mut buf = Vec::with_capacity(length);
    loop {
        let frame = match body.frame().await {
            None => return Read::Complete(memory.hold(buf)),
            Some(Err(e)) => return Read::Aborted(e.to_string()),
            Some(Ok(frame)) => frame,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > buf.capacity() {
            let step = if len > ALWAYS_BUFFERED_BYTES {
                MEMORY_STEP_BYTES
            } else {
                ALWAYS_BUFFERED_BYTES - buf.len()
            };
            buf.reserve_exact(data.len().max(step));
        }
        buf.extend_from_slice(data);
        let fits = len <= ALWAYS_BUFFERED_BYTES || memory.grow_to(buf.capacity());
        if len > MAX_BUFFERED_BYTES || !fits {
            return Read::Large(memory.hold(buf), body);
        }
    }
}

/// Forwards a large response as it is received.
fn forward_large(
    ctx: &RequestContext,
    open: OpenResponse,
    received: Bytes,
) -> Response<ResponseBody> {
    let (tx, body) = BodySender::new(MAX_QUEUED_CHUNKS);
    let mut res = new_response(ctx, &open.head, Bytes::new());
    *res.body_mut() = body;
    let until = ctx.router.clock.at(ctx.deadline);
    let (log, id) = (ctx.router.log.clone(), ctx.info.id.clone());
    let router = ctx.router.clone();
    ctx.record_end("ok", &open.guard.choice.spec.id);
    let outcome = response_outcome(open.head.status);
    let in_flight = InFlightGuard::new(&ctx.router);
    // The request has run, so its response is forwarded although there may be no memory left.
    let mut memory = ResponseMemory::new(&ctx.router);
    memory.grow_anyway(FORWARDED_BYTES);
    tokio::spawn(async move {
        let _guards = (in_flight, memory);
        let forwarded = timeout_at(until, forward_chunks(open.body, received, &router, &tx)).await;
        match forwarded {
            Ok(Ok(())) => {
                tx.complete();
                open.guard.end(outcome);
                router.dialer.put_idle(open.conn, open.info.keep_alive);
            }
            Ok(Err(why)) => {
                open.guard.record_alive();
                open.guard.end(Outcome::InvalidResponse);
                log.request_event(Event::ResponseAborted, &id, why);
            }
            Err(_) => log.request_event(Event::ResponseAborted, &id, "deadline"),
        }
    });
    res
}

/// Sends the bytes received so far, and then the rest of the body.
async fn forward_chunks(
    mut body: Incoming,
    received: Bytes,
    router: &Router,
    tx: &BodySender,
) -> Result<(), String> {
    let disconnected = |CallerDisconnected| "the caller disconnected".to_string();
    if !received.is_empty() {
        tx.send(received).await.map_err(disconnected)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            router.with_link(|l, now| l.record_response(now, data.len()));
            tx.send(data).await.map_err(disconnected)?;
        }
    }
    Ok(())
}
