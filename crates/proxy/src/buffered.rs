//! Whole answers: read to their end before the caller gets a byte, so that one that breaks off can be
//! asked for again where that is allowed, and is never taken for whole.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Response;
use place::Outcome;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::attempt::{attempt, AttemptError, AttemptHistory, OpenResponse};
use crate::body::{ResponseAborted, ResponseBody};
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::router::Router;

/// An answer up to this size is read whole, in bytes; a larger one goes on as it comes.
const WHOLE_MOST: usize = 1 << 20;
/// Parts of a large answer that may wait for a slow caller.
const PARTS_DEPTH: usize = 4;

/// How the reading of an answer ended.
enum Read {
    Whole(Bytes),
    Large(Bytes, Incoming),
    Broken(String),
}

/// Answers a request whose answer is no stream.
///
/// # Errors
///
/// Returns why there is no answer.
pub(crate) async fn respond(mut job: RequestContext) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = AttemptHistory::new();
    // An error that an upstream answered with is better than none of ours.
    let mut second_best = None;
    let after_event = job.info.last_event_id;
    loop {
        let failed = match attempt(&mut job, after_event).await {
            Ok(open) => match finish(&mut job, open).await {
                Ok(Done::Answered(res)) => return Ok(res),
                Ok(Done::Error(res)) => {
                    second_best = Some(res);
                    AttemptError::Unknown("answered with an error".to_string())
                }
                Err(why) => AttemptError::Unknown(why),
            },
            Err(failed) => failed,
        };
        if !attempts.try_retry(&job, &failed) {
            let res = second_best.ok_or_else(|| attempts.refusal(&job, failed));
            if res.is_ok() {
                job.record_end("upstream_error", "-");
            }
            return res;
        }
    }
}

enum Done {
    Answered(Response<ResponseBody>),
    /// An error of the upstream, on a request that might be sent once more.
    Error(Response<ResponseBody>),
}

/// Reads an answer whose head was read; the error says how it broke off.
pub(crate) async fn read_response(
    job: &mut RequestContext,
    open: OpenResponse,
) -> Result<Response<ResponseBody>, String> {
    match finish(job, open).await? {
        Done::Answered(res) | Done::Error(res) => Ok(res),
    }
}

async fn finish(job: &mut RequestContext, open: OpenResponse) -> Result<Done, String> {
    let OpenResponse {
        guard: slot,
        conn,
        head,
        body,
        info: reading,
    } = open;
    let upstream = slot.choice.spec.id.clone();
    let until = job.router.clock.at(job.deadline);
    let read = timeout_at(until, read(body)).await;
    let bytes = match read {
        Ok(Read::Whole(bytes)) => bytes,
        Ok(Read::Large(bytes, rest)) => {
            slot.record_latency();
            let open = OpenResponse {
                guard: slot,
                conn,
                head,
                body: rest,
                info: reading,
            };
            return Ok(Done::Answered(pass_on(job, open, bytes)));
        }
        Ok(Read::Broken(why)) => {
            slot.end(Outcome::InvalidResponse);
            return Err(format!("upstream={upstream} the answer broke off: {why}"));
        }
        Err(_) => {
            slot.end(Outcome::Unresponsive);
            return Err(format!(
                "upstream={upstream} the answer did not end in time"
            ));
        }
    };
    slot.record_latency();
    let is_error = head.status.is_server_error();
    slot.end(if is_error {
        Outcome::ErrorResponse
    } else {
        Outcome::Success
    });
    job.router.dialer.keep(conn, reading.keep_alive);
    job.router
        .with_link(|l, now| l.record_response(now, bytes.len()));
    let res = whole(job, &head, bytes);
    if is_error && job.is_retryable() {
        return Ok(Done::Error(res));
    }
    job.record_first_output();
    job.record_end(if is_error { "upstream_error" } else { "ok" }, &upstream);
    Ok(Done::Answered(res))
}

fn whole(job: &RequestContext, head: &response::Parts, bytes: Bytes) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::Buffered(bytes));
    *res.status_mut() = head.status;
    *res.headers_mut() = job.router.dialect.response_headers(head);
    res
}

async fn read(mut body: Incoming) -> Read {
    let mut buf = BytesMut::new();
    loop {
        match body.frame().await {
            None => return Read::Whole(buf.freeze()),
            Some(Err(e)) => return Read::Broken(e.to_string()),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buf.extend_from_slice(data);
                }
            }
        }
        if buf.len() > WHOLE_MOST {
            return Read::Large(buf.freeze(), body);
        }
    }
}

/// Passes a large answer on as it comes.
fn pass_on(job: &RequestContext, open: OpenResponse, begun: Bytes) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(PARTS_DEPTH);
    let mut res = whole(job, &open.head, Bytes::new());
    *res.body_mut() = ResponseBody::Streamed(rx);
    let until = job.router.clock.at(job.deadline);
    let (log, id) = (job.router.log.clone(), job.info.id.clone());
    let router = job.router.clone();
    job.record_end("ok", &open.guard.choice.spec.id);
    tokio::spawn(async move {
        let passed = timeout_at(until, pass(open.body, begun, &router, &tx)).await;
        match passed {
            Ok(Ok(())) => {
                open.guard.end(Outcome::Success);
                router.dialer.keep(open.conn, open.info.keep_alive);
            }
            Ok(Err(why)) => {
                open.guard.end(Outcome::InvalidResponse);
                log.request_event(Event::ResponseAborted, &id, why);
                // A caller that left needs no end.
                let _ = tx.send(Err(ResponseAborted)).await;
            }
            Err(_) => {
                log.request_event(Event::ResponseAborted, &id, "deadline");
                let _ = tx.try_send(Err(ResponseAborted));
            }
        }
    });
    res
}

async fn pass(
    mut body: Incoming,
    begun: Bytes,
    router: &Router,
    tx: &mpsc::Sender<Result<Bytes, ResponseAborted>>,
) -> Result<(), String> {
    let left = |_| "the caller left".to_string();
    tx.send(Ok(begun)).await.map_err(left)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            router.with_link(|l, now| l.record_response(now, data.len()));
            tx.send(Ok(data)).await.map_err(left)?;
        }
    }
    Ok(())
}
