//! Relays the response of an engine to the caller.
//!
//! Tokens are forwarded in order and without gaps, and only if they belong to the attempt.

use std::time::Duration;

use bytes::Bytes;
use err::Error;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until};
use web::Res;

use super::chat_request::ChatRequest;
use super::context::RequestContext;
use super::sse::{SseItem, SseReader};
use crate::clock::wall_ms;
use crate::event::Event;

/// Maximum number of times that an attempt is resumed at its upstream after a lost connection.
const MAX_RESUMES: u32 = 5;
/// Delay before the first resumption; it doubles each time.
const RESUME_BACKOFF: Duration = Duration::from_millis(30);
/// Time in which an upstream must send the headers of its response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The response to the caller.
pub struct CallerResponse {
    /// Receives the head of the response or an error; taken once it is sent.
    head: Option<oneshot::Sender<Result<Res, Error>>>,
    /// Receives the events of a streamed response once its head is sent.
    body: Option<mpsc::Sender<Bytes>>,
    /// The content of a response that is not streamed.
    text: String,
    streamed: bool,
    /// Number of tokens received so far, which is the position of the next one.
    pub position: u64,
    usage: Option<Value>,
    finish_reason: Option<String>,
}

impl CallerResponse {
    /// Creates a response; its head, or an error, is sent to `head`.
    pub fn new(head: oneshot::Sender<Result<Res, Error>>, streamed: bool) -> CallerResponse {
        CallerResponse {
            head: Some(head),
            body: None,
            text: String::new(),
            streamed,
            position: 0,
            usage: None,
            finish_reason: None,
        }
    }

    /// Waits until the caller has disconnected.
    async fn disconnected(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Sends an event of a streamed response. Send errors are ignored: [`Self::disconnected`]
    /// notices a caller that has disconnected.
    async fn send_event(&mut self, cx: &RequestContext, event: Bytes) {
        if let Some(head) = self.head.take() {
            let (tx, res) = Res::event_stream();
            self.body = Some(tx);
            let _ = head.send(Ok(add_headers(cx, res)));
        }
        if let Some(body) = &self.body {
            let _ = body.send(event).await;
        }
    }

    /// Completes the response.
    pub async fn finish(mut self, cx: &RequestContext, chat: &ChatRequest) {
        if self.streamed {
            if chat.include_usage {
                let usage = json!({
                    "id": format!("chatcmpl-{}", cx.id), "object": "chat.completion.chunk",
                    "model": chat.model, "choices": [], "usage": self.usage,
                });
                self.send_event(cx, web::sse_event(&usage)).await;
            }
            self.send_event(cx, "data: [DONE]\n\n".into()).await;
            return;
        }
        let completion = json!({
            "id": format!("chatcmpl-{}", cx.id),
            "object": "chat.completion",
            "created": wall_ms() / 1000,
            "model": chat.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason.as_deref().unwrap_or("stop"),
            }],
            "usage": self.usage,
        });
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(add_headers(cx, Res::json(200, &completion))));
        }
    }

    /// Ends the response with an error: as the whole response, or as the last event of a stream
    /// that has started.
    pub async fn fail(mut self, error: Error) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error));
            return;
        }
        if let Some(body) = &self.body {
            let event = format!("event: error\ndata: {}\n\n", error.body());
            let _ = body.send(event.into()).await;
        }
    }
}

/// Adds the headers that every successful response has.
pub fn add_headers(cx: &RequestContext, res: Res) -> Res {
    res.with_header("x-request-id", cx.id.clone())
        .with_header("x-oriolehitch-instance", cx.shared.own_id.clone())
        .with_header("x-oriolehitch-attempts", cx.attempts.to_string())
}

/// How an attempt ended.
///
/// The names of the variants are written to the request journal.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The response is complete; the upstream counted these tokens.
    Whole(u64),
    /// The upstream did not run the request.
    NotRun(String),
    /// The response was aborted and could not be resumed.
    Broken(String),
    /// The upstream no longer knows the attempt, or has cancelled it.
    Gone,
    /// The caller disconnected and has not come back.
    CallerLeft,
    /// The upstream sent more tokens than requested.
    Overrun,
    /// The deadline passed.
    Late,
}

/// The result of connecting to an upstream.
enum Connection {
    Open(SseReader),
    NotRun(String),
    Failed(String),
    Gone,
}

/// Relays an attempt, and resumes it where the connection was lost.
///
/// `joined` means that the attempt was started by an earlier request with the same id.
pub async fn relay_attempt(
    cx: &RequestContext,
    chat: &ChatRequest,
    response: &mut CallerResponse,
    joined: bool,
) -> AttemptEnd {
    let mut resumes = 0;
    let mut give_up_at = None;
    loop {
        let is_first = resumes == 0 && !joined;
        // Boxed: otherwise this future would hold memory for its large state while the stream
        // lasts.
        let end = match Box::pin(connect(cx, chat, response.position, is_first)).await {
            Connection::Open(events) => {
                read_stream(cx, chat, response, events, &mut give_up_at).await
            }
            Connection::NotRun(why) => return AttemptEnd::NotRun(why),
            Connection::Gone => return AttemptEnd::Gone,
            Connection::Failed(why) => AttemptEnd::Broken(why),
        };
        let AttemptEnd::Broken(why) = end else {
            return end;
        };
        cx.record_step(format!("interrupted at token {}: {why}", response.position));
        if resumes >= MAX_RESUMES || cx.remaining_ms() == 0 {
            return AttemptEnd::Broken(why);
        }
        sleep(RESUME_BACKOFF * (1 << resumes)).await;
        resumes += 1;
        cx.shared.metrics.resumes.inc();
    }
}

/// Starts an attempt, or resumes it from a position.
async fn connect(
    cx: &RequestContext,
    chat: &ChatRequest,
    position: u64,
    is_first: bool,
) -> Connection {
    let Some(upstream) = &cx.upstream else {
        return Connection::NotRun("no upstream was chosen".to_string());
    };
    let mut req = cx
        .shared
        .http
        .post(format!("{}/v1/chat/completions", upstream.url))
        .header("x-request-id", &cx.attempt_id)
        .header("x-customer", &cx.customer)
        .header("x-priority", cx.policy.priority.to_string())
        .json(&chat.engine_body);
    if !is_first {
        req = req.header("x-resume-from", position.to_string());
    }
    let sent = tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, req.send()).await;
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() && is_first => return Connection::NotRun(e.to_string()),
        Ok(Err(e)) => return Connection::Failed(e.to_string()),
        Err(_) => return Connection::Failed("no response headers in time".to_string()),
    };
    let status = res.status();
    if status.is_success() {
        return Connection::Open(SseReader::new(res));
    }
    let not_run = res.headers().contains_key("x-not-run");
    match (status.as_u16(), is_first) {
        (404 | 410, false) => Connection::Gone,
        _ if not_run && is_first => {
            mark_if_draining(cx, status.as_u16());
            Connection::NotRun(format!("status {status}"))
        }
        _ => Connection::Failed(format!("status {status}")),
    }
}

/// Marks the upstream as leaving if it refused the request with status 503, by which a draining
/// upstream announces itself.
fn mark_if_draining(cx: &RequestContext, status: u16) {
    let Some(upstream) = cx.upstream.as_ref().filter(|_| status == 503) else {
        return;
    };
    let mut pool = cx.shared.pool.lock().expect("lock not poisoned");
    let is_new = pool.mark_leaving(&upstream.id);
    drop(pool);
    if is_new {
        let detail = format!("{}, according to its response", upstream.id);
        cx.shared.log(Event::UpstreamLeaving, detail);
    }
}

/// Relays the events of a connection until it ends.
///
/// `give_up_at` is set once the caller has disconnected: if it may send the request again, the
/// attempt continues until that time.
async fn read_stream(
    cx: &RequestContext,
    chat: &ChatRequest,
    response: &mut CallerResponse,
    mut events: SseReader,
    give_up_at: &mut Option<u64>,
) -> AttemptEnd {
    let clock = cx.shared.clock;
    loop {
        let wake_at = give_up_at.unwrap_or(cx.deadline).min(cx.deadline);
        let caller_gone = give_up_at.is_some();
        tokio::select! {
            biased;
            () = response.disconnected(), if !caller_gone => {
                if !cx.has_caller_id {
                    return AttemptEnd::CallerLeft;
                }
                // The caller chose the id, so it may send the request again to get the response.
                cx.record_step("caller disconnected; continuing in case it comes back");
                *give_up_at = Some(clock.now() + cx.shared.settings.orphan_grace_ms());
            }
            item = events.next() => {
                if let Some(end) = handle_item(cx, chat, response, item).await {
                    return end;
                }
            }
            () = sleep_until(clock.at(wake_at)) => {
                return if caller_gone { AttemptEnd::CallerLeft } else { AttemptEnd::Late };
            }
        }
    }
}

/// Handles an item of the stream; returns the end of the attempt if the item causes it.
async fn handle_item(
    cx: &RequestContext,
    chat: &ChatRequest,
    response: &mut CallerResponse,
    item: SseItem,
) -> Option<AttemptEnd> {
    let mut event = match item {
        SseItem::Data(event) => event,
        SseItem::Failed(why) => return Some(AttemptEnd::Broken(why)),
        SseItem::Done => return Some(completed(response)),
    };
    if event["id"].as_str() != Some(cx.attempt_id.as_str()) {
        // Forwarding this event would show a caller the response to another request.
        cx.shared.log(
            Event::ResponseMismatch,
            format!("{}: {}", cx.attempt_id, event["id"]),
        );
        return Some(AttemptEnd::Broken(
            "received a response to another request".to_string(),
        ));
    }
    if !event["usage"].is_null() {
        response.usage = Some(event["usage"].take());
        return None;
    }
    let choice = &event["choices"][0];
    if let Some(finish) = choice["finish_reason"].as_str() {
        response.finish_reason = Some(finish.to_string());
    }
    match event["position"].as_u64() {
        Some(at) if at < response.position => return None,
        Some(at) if at > response.position => {
            return Some(AttemptEnd::Broken(format!(
                "received token {at} before token {}",
                response.position
            )))
        }
        Some(_) if response.position >= chat.max_tokens => return Some(AttemptEnd::Overrun),
        Some(_) => count_token(cx, response),
        None => {}
    }
    forward_event(cx, chat, response, event).await;
    None
}

/// Counts a token, and measures the time to the first one.
fn count_token(cx: &RequestContext, response: &mut CallerResponse) {
    if response.position == 0 {
        let elapsed_us = cx.shared.clock.now_us() - cx.arrived_us;
        cx.shared
            .metrics
            .first_token_seconds
            .observe(elapsed_us as f64 / 1e6);
    }
    response.position += 1;
    cx.shared.metrics.delivered_tokens.inc();
}

/// Sends an event to the caller, or collects its content if the response is not streamed.
async fn forward_event(
    cx: &RequestContext,
    chat: &ChatRequest,
    response: &mut CallerResponse,
    mut event: Value,
) {
    if !response.streamed {
        let content = event["choices"][0]["delta"]["content"].as_str();
        response.text.push_str(content.unwrap_or_default());
        return;
    }
    if let Some(fields) = event.as_object_mut() {
        fields.remove("position");
        fields.insert("id".to_string(), format!("chatcmpl-{}", cx.id).into());
        fields.insert("model".to_string(), chat.model.clone().into());
    }
    response.send_event(cx, web::sse_event(&event)).await;
}

/// Returns the end of the attempt after the `[DONE]` marker. The response is complete only if all
/// tokens that the upstream counted were received.
fn completed(response: &CallerResponse) -> AttemptEnd {
    let Some(usage) = &response.usage else {
        return AttemptEnd::Broken("the response ended without its usage".to_string());
    };
    let produced = usage["completion_tokens"].as_u64();
    match usage["total_tokens"].as_u64() {
        Some(total) if produced == Some(response.position) => AttemptEnd::Whole(total),
        _ => AttemptEnd::Broken(format!(
            "the response ended after {} of {produced:?} tokens",
            response.position
        )),
    }
}
