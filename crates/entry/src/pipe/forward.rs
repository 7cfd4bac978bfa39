//! One call of a plain service: forwarded whole, repeated only where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use claim::{State, StoredResponse};
use err::{Error, Kind, Ran};
use route::upstream;
use tokio::sync::oneshot;
use web::{Req, Res};

use super::claim::{self as claims, Held, Outcome};
use super::cx::Cx;
use super::relay::headers;
use super::{auth, choose};
use crate::shared::Shared;

const SERVICE: upstream::UpstreamKind = upstream::UpstreamKind::Service;
/// Attempts at different upstreams.
const ATTEMPTS: u32 = 3;
/// Largest answer that is stored for a retry, in bytes.
const STORED_MOST: usize = 256 << 10;
/// Headers of the caller that go on to the service.
const FORWARDED: [&str; 3] = ["content-type", "accept", "accept-language"];

/// A service's answer.
#[derive(Clone, Debug)]
struct Reply {
    status: u16,
    media: String,
    body: Bytes,
}

/// How an attempt ended.
enum End {
    Answered(Reply),
    NotRun(String),
    Unknown(String),
}

/// Answers a call of a plain service.
pub async fn answer(shared: &Arc<Shared>, req: Req) -> Result<Res, Error> {
    let cx = auth::auth(shared, &req)?;
    let segments = req.segments();
    let [_, _, service, ..] = segments.as_slice() else {
        return Err(Error::new(Kind::NotFound, "a service's name is wanted"));
    };
    let service = (*service).to_string();
    if !cx.policy.services.contains(&service) {
        let message = format!("service {service:?} is not among this customer's");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let (tx, rx) = oneshot::channel();
    // A task of its own: a call that may not be repeated is carried through without its caller.
    tokio::spawn(async move {
        let _ = tx.send(run(cx, req, service).await);
    });
    let lost = |_| Error::new(Kind::Internal, "the request's task ended without an answer");
    rx.await.map_err(lost)?
}

async fn run(mut cx: Cx, req: Req, service: String) -> Result<Res, Error> {
    let busy = cx.shared.begin();
    let once = cx.policy.not_repeatable.contains(&service);
    let end = if once {
        run_once(&mut cx, &req, &service).await
    } else {
        run_repeatable(&mut cx, &req, &service).await
    };
    let code = match &end {
        Ok(_) => "ok",
        Err(error) => error.kind.response().code,
    };
    cx.step(format!("ends with {code}"));
    cx.shared.metrics.ended(code);
    drop(busy);
    let reply = end?;
    Ok(headers(
        &cx,
        Res::new(reply.status, &reply.media, reply.body),
    ))
}

async fn run_once(cx: &mut Cx, req: &Req, service: &str) -> Result<Reply, Error> {
    let held = match claims::claim(cx, req).await? {
        Outcome::Run(held) => held,
        Outcome::Answer(answer) => return stored(answer),
    };
    loop {
        let end = match choose::choose(cx, SERVICE, service, None).await {
            Ok(()) => attempt(cx, req, service, true).await,
            Err(error) => {
                claims::end(&cx.shared, held, State::NotRun).await;
                return Err(error);
            }
        };
        match end {
            End::Answered(reply) => {
                finish(cx, held, &reply).await;
                return Ok(reply);
            }
            // Nothing ran, so another upstream is no repetition.
            End::NotRun(_) if cx.attempts < ATTEMPTS => {}
            End::NotRun(why) => {
                claims::end(&cx.shared, held, State::NotRun).await;
                return Err(Error::new(Kind::NoUpstream, why));
            }
            End::Unknown(why) => {
                claims::end(&cx.shared, held, State::Unknown).await;
                let message = format!("the service did not answer, and is not asked again: {why}");
                return Err(Error::new(Kind::OutcomeUnknown, message));
            }
        }
    }
}

async fn run_repeatable(cx: &mut Cx, req: &Req, service: &str) -> Result<Reply, Error> {
    cx.shared
        .retry
        .lock()
        .expect("no panic inside")
        .record_request();
    let mut ran = Ran::No;
    loop {
        choose::choose(cx, SERVICE, service, None)
            .await
            .map_err(|e| if ran == Ran::No { e } else { e.ran(ran) })?;
        let (kind, why) = match attempt(cx, req, service, false).await {
            End::Answered(reply) => return Ok(reply),
            End::NotRun(why) => (Kind::NoUpstream, why),
            End::Unknown(why) => {
                ran = Ran::Unknown;
                (Kind::UpstreamError, why)
            }
        };
        let again = cx.attempts < ATTEMPTS && cx.left_ms() > 0;
        if !again
            || !cx
                .shared
                .retry
                .lock()
                .expect("no panic inside")
                .try_acquire()
        {
            let kind = if cx.left_ms() == 0 {
                Kind::DeadlinePassed
            } else {
                kind
            };
            return Err(Error::new(kind, why).ran(ran));
        }
    }
}

async fn attempt(cx: &mut Cx, req: &Req, service: &str, once: bool) -> End {
    cx.attempts += 1;
    cx.shared.metrics.attempts.inc();
    let end = send(cx, req, service, once).await;
    let ok = matches!(end, End::Answered(_));
    let what = match &end {
        End::Answered(reply) => format!("answered with {}", reply.status),
        End::NotRun(why) => format!("did not run: {why}"),
        End::Unknown(why) => format!("outcome unknown: {why}"),
    };
    cx.step(format!("attempt {}: {what}", cx.attempts));
    choose::done(cx, SERVICE, service, ok);
    end
}

async fn send(cx: &Cx, req: &Req, service: &str, once: bool) -> End {
    let Some(upstream) = &cx.upstream else {
        return End::NotRun("no upstream".to_string());
    };
    let prefix = format!("/v1/services/{service}");
    let rest = req.path.strip_prefix(&prefix).unwrap_or("/");
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    // A kept connection may be closed by the service just as the request is written, which looks
    // like an unknown outcome, or makes a client repeat it: a new one can only fail to open.
    let http = if once {
        &cx.shared.http_once
    } else {
        &cx.shared.http
    };
    let url = format!("{}{rest}{query}", upstream.url);
    let mut call = http
        .request(web::parse_method(&req.method), url)
        .header("x-request-id", &cx.id)
        .header("x-customer", &cx.customer)
        .timeout(Duration::from_millis(cx.left_ms().max(1)))
        .body(req.body.clone());
    for name in FORWARDED {
        if let Some(value) = req.header(name) {
            call = call.header(name, value);
        }
    }
    let res = match call.send().await {
        Ok(res) => res,
        Err(e) if e.is_connect() => return End::NotRun(e.to_string()),
        Err(e) => return End::Unknown(e.to_string()),
    };
    if res.headers().contains_key("x-not-run") {
        return End::NotRun(format!("refused with {}", res.status()));
    }
    let status = res.status().as_u16();
    let media = res.headers().get("content-type");
    let media = media
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream");
    let media = media.to_string();
    match res.bytes().await {
        Ok(body) => End::Answered(Reply {
            status,
            media,
            body,
        }),
        Err(e) => End::Unknown(e.to_string()),
    }
}

async fn finish(cx: &Cx, held: Held, reply: &Reply) {
    let fits = reply.body.len() <= STORED_MOST;
    let answer = StoredResponse {
        status: reply.status,
        media: reply.media.clone(),
        body: fits.then(|| BASE64_STANDARD.encode(&reply.body)),
    };
    claims::end(&cx.shared, held, State::Done(answer)).await;
}

fn stored(answer: StoredResponse) -> Result<Reply, Error> {
    let body = answer.body.and_then(|b| BASE64_STANDARD.decode(b).ok());
    let Some(body) = body else {
        let message = "the request ran, and its answer was too large to keep";
        return Err(Error::new(Kind::AnswerGone, message));
    };
    Ok(Reply {
        status: answer.status,
        media: answer.media,
        body: body.into(),
    })
}
