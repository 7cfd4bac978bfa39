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

use crate::attempt::{attempt, Attempts, Failed, Open};
use crate::body::{Cut, Out};
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::Job;
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
pub(crate) async fn answer(mut job: Job) -> Result<Response<Out>, Refusal> {
    let mut attempts = Attempts::none();
    // An error that an upstream answered with is better than none of ours.
    let mut second_best = None;
    let after_event = job.ask.last_event_id;
    loop {
        let failed = match attempt(&mut job, after_event).await {
            Ok(open) => match finish(&mut job, open).await {
                Ok(Done::Answered(res)) => return Ok(res),
                Ok(Done::Error(res)) => {
                    second_best = Some(res);
                    Failed::Unknown("answered with an error".to_string())
                }
                Err(why) => Failed::Unknown(why),
            },
            Err(failed) => failed,
        };
        if !attempts.again(&job, &failed) {
            let res = second_best.ok_or_else(|| attempts.refusal(&job, failed));
            if res.is_ok() {
                job.ended("upstream_error", "-");
            }
            return res;
        }
    }
}

enum Done {
    Answered(Response<Out>),
    /// An error of the upstream, on a request that might be sent once more.
    Error(Response<Out>),
}

/// Reads an answer whose head was read; the error says how it broke off.
pub(crate) async fn finish_any(job: &mut Job, open: Open) -> Result<Response<Out>, String> {
    match finish(job, open).await? {
        Done::Answered(res) | Done::Error(res) => Ok(res),
    }
}

async fn finish(job: &mut Job, open: Open) -> Result<Done, String> {
    let Open {
        slot,
        conn,
        head,
        body,
        reading,
    } = open;
    let upstream = slot.choice.spec.id.clone();
    let until = job.router.clock.at(job.deadline);
    let read = timeout_at(until, read(body)).await;
    let bytes = match read {
        Ok(Read::Whole(bytes)) => bytes,
        Ok(Read::Large(bytes, rest)) => {
            slot.first();
            let open = Open {
                slot,
                conn,
                head,
                body: rest,
                reading,
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
    slot.first();
    let is_error = head.status.is_server_error();
    slot.end(if is_error {
        Outcome::ErrorResponse
    } else {
        Outcome::Success
    });
    job.router.dialer.keep(conn, reading.keep_alive);
    job.router
        .link(|l, now| l.record_response(now, bytes.len()));
    let res = whole(job, &head, bytes);
    if is_error && job.is_repeatable() {
        return Ok(Done::Error(res));
    }
    job.first_came();
    job.ended(if is_error { "upstream_error" } else { "ok" }, &upstream);
    Ok(Done::Answered(res))
}

fn whole(job: &Job, head: &response::Parts, bytes: Bytes) -> Response<Out> {
    let mut res = Response::new(Out::Whole(bytes));
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
fn pass_on(job: &Job, open: Open, begun: Bytes) -> Response<Out> {
    let (tx, rx) = mpsc::channel(PARTS_DEPTH);
    let mut res = whole(job, &open.head, Bytes::new());
    *res.body_mut() = Out::Parts(rx);
    let until = job.router.clock.at(job.deadline);
    let (log, id) = (job.router.log.clone(), job.ask.id.clone());
    let router = job.router.clone();
    job.ended("ok", &open.slot.choice.spec.id);
    tokio::spawn(async move {
        let passed = timeout_at(until, pass(open.body, begun, &router, &tx)).await;
        match passed {
            Ok(Ok(())) => {
                open.slot.end(Outcome::Success);
                router.dialer.keep(open.conn, open.reading.keep_alive);
            }
            Ok(Err(why)) => {
                open.slot.end(Outcome::InvalidResponse);
                log.request_event(Event::ResponseAborted, &id, why);
                // A caller that left needs no end.
                let _ = tx.send(Err(Cut)).await;
            }
            Err(_) => {
                log.request_event(Event::ResponseAborted, &id, "deadline");
                let _ = tx.try_send(Err(Cut));
            }
        }
    });
    res
}

async fn pass(
    mut body: Incoming,
    begun: Bytes,
    router: &Router,
    tx: &mpsc::Sender<Result<Bytes, Cut>>,
) -> Result<(), String> {
    let left = |_| "the caller left".to_string();
    tx.send(Ok(begun)).await.map_err(left)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            router.link(|l, now| l.record_response(now, data.len()));
            tx.send(Ok(data)).await.map_err(left)?;
        }
    }
    Ok(())
}
