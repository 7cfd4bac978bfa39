//! Relays one attempt at an engine to the caller: in order, without gaps, from this request only.

use std::time::Duration;

use bytes::Bytes;
use err::Error;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until};
use web::Res;

use super::cx::Cx;
use super::parse::Chat;
use super::sse::{Events, Item};
use crate::clock::wall_ms;
use crate::event::Event;

/// How often a cut link is taken up again at the same upstream.
const RESUMES: u32 = 5;
/// First pause before a link is taken up again; doubles each time.
const RESUME_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause before an upstream's headers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's side of an answer.
pub struct Out {
    head: Option<oneshot::Sender<Result<Res, Error>>>,
    parts: Option<mpsc::Sender<Bytes>>,
    text: String,
    streamed: bool,
    /// Tokens passed on so far; the next one has this position.
    pub at: u64,
    usage: Option<Value>,
    finish: Option<String>,
}

impl Out {
    /// Opens the caller's side; the answer's head, or an error, goes to `head`.
    pub fn open(head: oneshot::Sender<Result<Res, Error>>, streamed: bool) -> Out {
        Out {
            head: Some(head),
            parts: None,
            text: String::new(),
            streamed,
            at: 0,
            usage: None,
            finish: None,
        }
    }

    /// Waits until the caller has left.
    async fn left(&mut self) {
        match (&mut self.head, &self.parts) {
            (Some(head), _) => head.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Sends a part of a streamed answer; a caller that left is noticed by `left`.
    async fn send(&mut self, cx: &Cx, part: Bytes) {
        if let Some(head) = self.head.take() {
            let (tx, res) = Res::event_stream();
            self.parts = Some(tx);
            let _ = head.send(Ok(headers(cx, res)));
        }
        if let Some(parts) = &self.parts {
            let _ = parts.send(part).await;
        }
    }

    /// Ends the answer.
    pub async fn finish(mut self, cx: &Cx, chat: &Chat) {
        if self.streamed {
            if chat.usage {
                let usage = json!({
                    "id": format!("chatcmpl-{}", cx.id), "object": "chat.completion.chunk",
                    "model": chat.model, "choices": [], "usage": self.usage,
                });
                self.send(cx, web::sse_event(&usage)).await;
            }
            self.send(cx, "data: [DONE]\n\n".into()).await;
            return;
        }
        let whole = json!({
            "id": format!("chatcmpl-{}", cx.id),
            "object": "chat.completion",
            "created": wall_ms() / 1000,
            "model": chat.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish.as_deref().unwrap_or("stop"),
            }],
            "usage": self.usage,
        });
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(headers(cx, Res::json(200, &whole))));
        }
    }

    /// Ends with an error: as an answer of its own, or as the last event of a broken stream.
    pub async fn fail(mut self, error: Error) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error));
            return;
        }
        if let Some(parts) = &self.parts {
            let text = format!("event: error\ndata: {}\n\n", error.body());
            let _ = parts.send(text.into()).await;
        }
    }
}

/// Adds the headers that every answer has.
pub fn headers(cx: &Cx, res: Res) -> Res {
    res.with_header("x-request-id", cx.id.clone())
        .with_header("x-oriolehitch-instance", cx.shared.me.clone())
        .with_header("x-oriolehitch-attempts", cx.attempts.to_string())
}

/// How an attempt ended.
#[derive(Debug)]
pub enum End {
    /// The answer is whole; the upstream counted these tokens.
    Whole(u64),
    /// Nothing ran.
    NotRun(String),
    /// It broke off and can't be taken up again.
    Broken(String),
    /// The upstream has forgotten it, or cancelled it.
    Gone,
    /// The caller has left, for good as far as known.
    CallerLeft,
    /// More came than was asked for.
    Overrun,
    /// The caller's time is over.
    Late,
}

enum Link {
    Up(Events),
    NotRun(String),
    Down(String),
    Gone,
}

/// Relays one attempt, and takes it up again where a link was cut.
pub async fn relay(cx: &Cx, chat: &Chat, out: &mut Out, joined: bool) -> End {
    let mut resumes = 0;
    let mut grace = None;
    loop {
        let fresh = resumes == 0 && !joined;
        // Boxed: its state is large, and would be kept for as long as the stream lasts.
        let end = match Box::pin(connect(cx, chat, out.at, fresh)).await {
            Link::Up(events) => read(cx, chat, out, events, &mut grace).await,
            Link::NotRun(why) => return End::NotRun(why),
            Link::Gone => return End::Gone,
            Link::Down(why) => End::Broken(why),
        };
        let End::Broken(why) = end else {
            return end;
        };
        cx.step(format!("cut at token {}: {why}", out.at));
        if resumes >= RESUMES || cx.left_ms() == 0 {
            return End::Broken(why);
        }
        sleep(RESUME_PAUSE * (1 << resumes)).await;
        resumes += 1;
        cx.shared.metrics.resumes.inc();
    }
}

async fn connect(cx: &Cx, chat: &Chat, at: u64, fresh: bool) -> Link {
    let Some(upstream) = &cx.upstream else {
        return Link::NotRun("no upstream".to_string());
    };
    let mut req = cx
        .shared
        .http
        .post(format!("{}/v1/chat/completions", upstream.url))
        .header("x-request-id", &cx.run)
        .header("x-customer", &cx.customer)
        .header("x-priority", cx.policy.priority.to_string())
        .json(&chat.body);
    if !fresh {
        req = req.header("x-resume-from", at.to_string());
    }
    let sent = tokio::time::timeout(HEAD_TIMEOUT, req.send()).await;
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() && fresh => return Link::NotRun(e.to_string()),
        Ok(Err(e)) => return Link::Down(e.to_string()),
        Err(_) => return Link::Down("no headers in time".to_string()),
    };
    let status = res.status();
    if status.is_success() {
        return Link::Up(Events::open(res));
    }
    let not_run = res.headers().contains_key("x-not-run");
    match (status.as_u16(), fresh) {
        (404 | 410, false) => Link::Gone,
        _ if not_run && fresh => {
            note_leaving(cx, status.as_u16());
            Link::NotRun(format!("status {status}"))
        }
        _ => Link::Down(format!("status {status}")),
    }
}

/// A draining upstream says so itself: it gets nothing more from here.
fn note_leaving(cx: &Cx, status: u16) {
    let Some(upstream) = cx.upstream.as_ref().filter(|_| status == 503) else {
        return;
    };
    let mut pool = cx.shared.pool.lock().expect("no panic inside");
    let news = pool.mark_leaving(&upstream.id);
    drop(pool);
    if news {
        let detail = format!("{}, by its own answer", upstream.id);
        cx.shared.log(Event::UpstreamLeaving, detail);
    }
}

/// Reads one link to its end. `grace` is when a caller that left is given up.
async fn read(
    cx: &Cx,
    chat: &Chat,
    out: &mut Out,
    mut events: Events,
    grace: &mut Option<u64>,
) -> End {
    let clock = cx.shared.clock;
    loop {
        let until = grace.unwrap_or(cx.deadline).min(cx.deadline);
        let gone = grace.is_some();
        tokio::select! {
            biased;
            () = out.left(), if !gone => {
                if !cx.keyed {
                    return End::CallerLeft;
                }
                // It chose the id, so it may come back for the answer.
                cx.step("caller left; waits for it to come back");
                *grace = Some(clock.now() + cx.shared.settings.orphan_grace_ms());
            }
            item = events.next() => {
                if let Some(end) = take(cx, chat, out, item).await {
                    return end;
                }
            }
            () = sleep_until(clock.at(until)) => {
                return if gone { End::CallerLeft } else { End::Late };
            }
        }
    }
}

/// Takes one event; returns the end if it is one.
async fn take(cx: &Cx, chat: &Chat, out: &mut Out, item: Item) -> Option<End> {
    let mut event = match item {
        Item::Data(event) => event,
        Item::Broken(why) => return Some(End::Broken(why)),
        Item::Done => return Some(whole(out)),
    };
    if event["id"].as_str() != Some(cx.run.as_str()) {
        // Passed on, this would be another caller's answer.
        cx.shared
            .log(Event::Mixed, format!("{}: {}", cx.run, event["id"]));
        return Some(End::Broken("an answer to another request".to_string()));
    }
    if !event["usage"].is_null() {
        out.usage = Some(event["usage"].take());
        return None;
    }
    let choice = &event["choices"][0];
    if let Some(finish) = choice["finish_reason"].as_str() {
        out.finish = Some(finish.to_string());
    }
    match event["position"].as_u64() {
        Some(at) if at < out.at => return None,
        Some(at) if at > out.at => return Some(End::Broken(format!("token {at} came early"))),
        Some(_) if out.at >= chat.max_tokens => return Some(End::Overrun),
        Some(_) => first_token(cx, out),
        None => {}
    }
    pass_on(cx, chat, out, event).await;
    None
}

fn first_token(cx: &Cx, out: &mut Out) {
    if out.at == 0 {
        let took = cx.shared.clock.now_us() - cx.began_us;
        cx.shared.metrics.first_token.observe(took as f64 / 1e6);
    }
    out.at += 1;
    cx.shared.metrics.tokens.inc();
}

async fn pass_on(cx: &Cx, chat: &Chat, out: &mut Out, mut event: Value) {
    if !out.streamed {
        let content = event["choices"][0]["delta"]["content"].as_str();
        out.text.push_str(content.unwrap_or_default());
        return;
    }
    if let Some(fields) = event.as_object_mut() {
        fields.remove("position");
        fields.insert("id".to_string(), format!("chatcmpl-{}", cx.id).into());
        fields.insert("model".to_string(), chat.model.clone().into());
    }
    out.send(cx, web::sse_event(&event)).await;
}

/// An end mark counts only when every token that the upstream billed has come.
fn whole(out: &Out) -> End {
    let Some(usage) = &out.usage else {
        return End::Broken("an end without a usage".to_string());
    };
    let produced = usage["completion_tokens"].as_u64();
    match usage["total_tokens"].as_u64() {
        Some(total) if produced == Some(out.at) => End::Whole(total),
        _ => End::Broken(format!("an end after {} of {produced:?} tokens", out.at)),
    }
}
