//! Calls of plain services: forwarded as a whole, and repeated only where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use claim::{State, StoredResponse};
use err::{Error, Kind, Ran, FINAL_STATUSES};
use route::upstream;
use tokio::sync::oneshot;
use web::{Req, Res};

use super::claims::{self, ClaimOutcome, OwnedClaim};
use super::context::RequestContext;
use super::stream::add_headers;
use super::{auth, choose};
use crate::shared_state::SharedState;
use crate::upstream_body::{self, MAX_RESPONSE_BYTES};

const SERVICE: upstream::UpstreamKind = upstream::UpstreamKind::Service;
/// Maximum number of attempts, each at a different upstream.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum size of a response body that is stored to be replayed, in bytes.
const MAX_STORED_BYTES: usize = 256 << 10;
/// Headers of the caller that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", "accept-language"];

/// The response of a service.
#[derive(Clone, Debug)]
struct ServiceResponse {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// How an attempt ended.
enum CallEnd {
    Responded(ServiceResponse),
    NotRun(String),
    Unknown(String),
}

/// Handles a call of a plain service.
pub async fn handle(shared: &Arc<SharedState>, req: Req) -> Result<Res, Error> {
    let cx = auth::authenticate(shared, &req)?;
    let segments = req.segments();
    let [_, _, service, ..] = segments.as_slice() else {
        return Err(Error::new(
            Kind::NotFound,
            "the path does not name a service",
        ));
    };
    let service = (*service).to_string();
    if !cx.policy.services.contains(&service) {
        let message = format!("service {service:?} is not enabled for this customer");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let (tx, rx) = oneshot::channel();
    // In a separate task: a call that must not be repeated is completed even if the caller
    // disconnects.
    tokio::spawn(async move {
        let _ = tx.send(run(cx, req, service).await);
    });
    let lost = |_| Error::new(Kind::Internal, "the request task ended without a response");
    rx.await.map_err(lost)?
}

async fn run(mut cx: RequestContext, req: Req, service: String) -> Result<Res, Error> {
    let in_flight = cx.shared.track_in_flight();
    let at_most_once = cx.policy.not_repeatable.contains(&service);
    let result = if at_most_once {
        run_once(&mut cx, &req, &service).await
    } else {
        run_repeatable(&mut cx, &req, &service).await
    };
    let code = match &result {
        Ok(_) => "ok",
        Err(error) => error.kind.response().code,
    };
    cx.record_step(format!("finished with {code}"));
    cx.shared.metrics.count_request(code);
    drop(in_flight);
    let response = result?;
    Ok(add_headers(
        &cx,
        Res::new(response.status, &response.content_type, response.body),
    ))
}

/// Runs a call that must not be repeated.
async fn run_once(
    cx: &mut RequestContext,
    req: &Req,
    service: &str,
) -> Result<ServiceResponse, Error> {
    let owned = match claims::acquire(cx, req).await? {
        ClaimOutcome::Run(owned) => owned,
        ClaimOutcome::Replay(stored) => return replay(stored),
    };
    loop {
        let end = match choose::choose(cx, SERVICE, service, None).await {
            Ok(()) => attempt(cx, req, service, true).await,
            Err(error) => {
                claims::finish(&cx.shared, owned, State::NotRun).await;
                return Err(error);
            }
        };
        match end {
            CallEnd::Responded(response) => {
                finish(cx, owned, &response).await;
                return Ok(response);
            }
            // The call did not run, so another attempt does not repeat it.
            CallEnd::NotRun(_) if cx.attempts < MAX_ATTEMPTS => {}
            CallEnd::NotRun(why) => {
                claims::finish(&cx.shared, owned, State::NotRun).await;
                return Err(Error::new(Kind::NoUpstream, why));
            }
            CallEnd::Unknown(why) => {
                claims::finish(&cx.shared, owned, State::Unknown).await;
                let message =
                    format!("the service did not respond, and the call is not repeated: {why}");
                return Err(Error::new(Kind::OutcomeUnknown, message));
            }
        }
    }
}

/// Runs a call that may be repeated.
async fn run_repeatable(
    cx: &mut RequestContext,
    req: &Req,
    service: &str,
) -> Result<ServiceResponse, Error> {
    cx.shared
        .retry_budget
        .lock()
        .expect("lock not poisoned")
        .record_request();
    let mut ran = Ran::No;
    loop {
        choose::choose(cx, SERVICE, service, None)
            .await
            .map_err(|e| if ran == Ran::No { e } else { e.ran(ran) })?;
        let (kind, why) = match attempt(cx, req, service, false).await {
            CallEnd::Responded(response) => return Ok(response),
            CallEnd::NotRun(why) => (Kind::NoUpstream, why),
            CallEnd::Unknown(why) => {
                ran = Ran::Unknown;
                (Kind::UpstreamError, why)
            }
        };
        let may_retry = cx.attempts < MAX_ATTEMPTS && cx.remaining_ms() > 0;
        if !may_retry
            || !cx
                .shared
                .retry_budget
                .lock()
                .expect("lock not poisoned")
                .try_acquire()
        {
            let kind = if cx.remaining_ms() == 0 {
                Kind::DeadlinePassed
            } else {
                kind
            };
            return Err(Error::new(kind, why).ran(ran));
        }
    }
}

async fn attempt(cx: &mut RequestContext, req: &Req, service: &str, at_most_once: bool) -> CallEnd {
    cx.attempts += 1;
    cx.shared.metrics.attempts.inc();
    let end = send(cx, req, service, at_most_once).await;
    let ok = matches!(end, CallEnd::Responded(_));
    let what = match &end {
        CallEnd::Responded(response) => format!("responded with status {}", response.status),
        CallEnd::NotRun(why) => format!("did not run: {why}"),
        CallEnd::Unknown(why) => format!("outcome unknown: {why}"),
    };
    cx.record_step(format!("attempt {}: {what}", cx.attempts));
    choose::finish_attempt(cx, SERVICE, service, ok);
    end
}

async fn send(cx: &RequestContext, req: &Req, service: &str, at_most_once: bool) -> CallEnd {
    let Some(upstream) = &cx.upstream else {
        return CallEnd::NotRun("no upstream was chosen".to_string());
    };
    let prefix = format!("/v1/services/{service}");
    let rest = req.path.strip_prefix(&prefix).unwrap_or("/");
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    // The service may close a pooled connection just as the request is written. The outcome would
    // then be unknown, or the client would repeat the request. A new connection can only fail to
    // open.
    let http = if at_most_once {
        &cx.shared.http_no_reuse
    } else {
        &cx.shared.http
    };
    let url = format!("{}{rest}{query}", upstream.url);
    let mut request = http
        .request(web::parse_method(&req.method), url)
        .header("x-request-id", &cx.id)
        .header("x-customer", &cx.customer)
        .timeout(Duration::from_millis(cx.remaining_ms().max(1)))
        .body(req.body.clone());
    for name in FORWARDED_HEADERS {
        if let Some(value) = req.header(name) {
            request = request.header(name, value);
        }
    }
    let res = match request.send().await {
        Ok(res) => res,
        Err(e) if e.is_connect() => return CallEnd::NotRun(e.to_string()),
        Err(e) => return CallEnd::Unknown(e.to_string()),
    };
    if res.headers().contains_key("x-not-run") {
        return CallEnd::NotRun(format!("refused with status {}", res.status()));
    }
    let status = res.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return CallEnd::Unknown(format!("invalid status {status}"));
    }
    let content_type = res.headers().get("content-type");
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream");
    let content_type = content_type.to_string();
    match upstream_body::read(res, MAX_RESPONSE_BYTES).await {
        Ok(body) => CallEnd::Responded(ServiceResponse {
            status,
            content_type,
            body,
        }),
        Err(e) => CallEnd::Unknown(e.to_string()),
    }
}

/// Stores the response of a claimed call.
async fn finish(cx: &RequestContext, owned: OwnedClaim, response: &ServiceResponse) {
    let fits = response.body.len() <= MAX_STORED_BYTES;
    let stored = StoredResponse {
        status: response.status,
        media: response.content_type.clone(),
        body: fits.then(|| BASE64_STANDARD.encode(&response.body)),
    };
    claims::finish(&cx.shared, owned, State::Done(stored)).await;
}

/// Returns the stored response of a call that has already run.
fn replay(stored: StoredResponse) -> Result<ServiceResponse, Error> {
    let body = stored.body.and_then(|b| BASE64_STANDARD.decode(b).ok());
    let Some(body) = body else {
        let message = "the request ran, but its response was too large to be stored";
        return Err(Error::new(Kind::AnswerGone, message));
    };
    Ok(ServiceResponse {
        status: stored.status,
        content_type: stored.media,
        body: body.into(),
    })
}
