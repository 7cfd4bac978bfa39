//! One chat completion through its filters, with the attempts that it may take.

use std::sync::Arc;

use budget::msg::UnconfirmedUsage;
use err::{Error, Kind, Ran};
use route::upstream;
use tokio::sync::oneshot;
use web::{Req, Res};

use super::chat_request::{self, ChatRequest};
use super::context::{Hold, RequestContext};
use super::settlement::{settle, Usage};
use super::stream::{relay_attempt, AttemptEnd, CallerResponse};
use super::{auth, choose, reservation};
use crate::budget_io;
use crate::event::Event;
use crate::messages::{method, DetachMsg};
use crate::shared_state::SharedState;

const ENGINE: upstream::Kind = upstream::Kind::Engine;
/// Attempts at different upstreams.
const ATTEMPTS: u32 = 3;

/// Answers a chat completion.
pub async fn handle(shared: &Arc<SharedState>, req: &Req) -> Result<Res, Error> {
    let cx = auth::authenticate(shared, req)?;
    let chat = chat_request::parse(&req.body, &cx.policy)?;
    let (tx, rx) = oneshot::channel();
    let out = CallerResponse::new(tx, chat.stream);
    // A task of its own: the bill must be settled even when the caller leaves.
    tokio::spawn(run(cx, chat, out));
    let lost = |_| Error::new(Kind::Internal, "the request's task ended without an answer");
    rx.await.map_err(lost)?
}

async fn run(mut cx: RequestContext, chat: ChatRequest, mut out: CallerResponse) {
    let busy = cx.shared.track_in_flight();
    cx.shared
        .retry_budget
        .lock()
        .expect("no panic inside")
        .request();
    let code = match attempts(&mut cx, &chat, &mut out).await {
        Ok(()) => {
            out.finish(&cx, &chat).await;
            "ok"
        }
        Err(error) => {
            cx.record_step(format!("ends with {error}"));
            let code = error.kind.answer().code;
            out.fail(error).await;
            code
        }
    };
    cx.shared.metrics.count_request(code);
    drop(busy);
}

/// Tries upstreams until the answer is whole, or there is nothing left to try.
async fn attempts(
    cx: &mut RequestContext,
    chat: &ChatRequest,
    out: &mut CallerResponse,
) -> Result<(), Error> {
    let mut spent = Usage {
        body_hash: chat.body_hash,
        ..Usage::default()
    };
    loop {
        // Boxed, as all that is not relaying: a stream would keep their large states as it lasts.
        if let Err(error) = Box::pin(prepare(cx, chat, &spent)).await {
            choose::finish_attempt(cx, ENGINE, &chat.model, true);
            Box::pin(settle(cx, spent.clone())).await;
            return Err(blame(error, &spent));
        }
        cx.attempts += 1;
        cx.shared.metrics.attempts.inc();
        let joined = cx.hold.as_ref().is_some_and(|h| h.joined.is_some());
        let end = relay_attempt(cx, chat, out, joined).await;
        cx.record_step(format!("attempt {} ended: {end:?}", cx.attempts));
        let ok = matches!(
            end,
            AttemptEnd::Whole(_) | AttemptEnd::CallerLeft | AttemptEnd::Late | AttemptEnd::Gone
        );
        match Box::pin(after(cx, chat, out, end, &mut spent)).await {
            Next::Whole => {
                choose::finish_attempt(cx, ENGINE, &chat.model, ok);
                return Ok(());
            }
            Next::Again => choose::finish_attempt(cx, ENGINE, &chat.model, ok),
            Next::Stop(error) => {
                choose::finish_attempt(cx, ENGINE, &chat.model, ok);
                return Err(error);
            }
        }
    }
}

/// An error after an attempt must not say that nothing ran.
fn blame(error: Error, spent: &Usage) -> Error {
    if spent.tokens > 0 || !spent.unconfirmed.is_empty() {
        return error.ran(Ran::Unknown);
    }
    error
}

/// Chooses an upstream and has its cost held back.
async fn prepare(cx: &mut RequestContext, chat: &ChatRequest, spent: &Usage) -> Result<(), Error> {
    choose::choose(cx, ENGINE, &chat.model, chat.prefix_hash).await?;
    if let Some(hold) = &cx.hold {
        // The hold still stands, less what the earlier attempts spent or may have spent.
        let doubted: u64 = spent.unconfirmed.iter().map(|d| d.tokens).sum();
        let wanted = spent.tokens + doubted + cost(chat);
        let tokens = wanted.saturating_sub(hold.tokens);
        return reservation::extend(cx, tokens).await;
    }
    reservation::reserve(cx, chat).await?;
    let joined = cx.hold.as_ref().and_then(|h| h.joined.clone());
    if let Some(at) = joined {
        choose::finish_attempt(cx, ENGINE, &chat.model, true);
        choose::join_attempt(cx, &at)?;
    }
    Ok(())
}

fn cost(chat: &ChatRequest) -> u64 {
    chat.max_prompt_tokens + chat.max_tokens
}

enum Next {
    Whole,
    Again,
    Stop(Error),
}

/// Decides what follows from an attempt's end, and settles when it was the last one.
async fn after(
    cx: &mut RequestContext,
    chat: &ChatRequest,
    out: &CallerResponse,
    end: AttemptEnd,
    spent: &mut Usage,
) -> Next {
    let hold = cx.hold.clone();
    let finished = hold.as_ref().is_some_and(|h| h.billed.is_some());
    let shared_run =
        cx.has_caller_id && !matches!(end, AttemptEnd::Whole(_)) && !finished && others(cx).await;
    match end {
        AttemptEnd::Whole(tokens) => {
            spent.tokens += tokens;
            spent.billed = true;
            settle(cx, spent.clone()).await;
            Next::Whole
        }
        AttemptEnd::NotRun(why) => {
            if may_retry(cx) {
                return Next::Again;
            }
            settle(cx, spent.clone()).await;
            let message = format!("no upstream took the request: {why}");
            Next::Stop(blame(Error::new(Kind::NoUpstream, message), spent))
        }
        AttemptEnd::CallerLeft => {
            if !shared_run && !finished {
                stop_run(cx, chat, out, spent).await;
                spent.billed = true;
                settle(cx, spent.clone()).await;
            }
            Next::Stop(Error::new(Kind::Incomplete, "the caller left"))
        }
        AttemptEnd::Overrun => {
            cx.shared.log(Event::TokensExceeded, &cx.id);
            stop_run(cx, chat, out, spent).await;
            spent.billed = true;
            settle(cx, spent.clone()).await;
            Next::Whole
        }
        AttemptEnd::Late => {
            if !shared_run && !finished {
                stop_run(cx, chat, out, spent).await;
                settle(cx, spent.clone()).await;
            }
            Next::Stop(Error::new(
                Kind::DeadlinePassed,
                "the caller's time is over",
            ))
        }
        AttemptEnd::Gone if finished => Next::Stop(Error::new(
            Kind::AnswerGone,
            "the request was billed before, and its answer is no longer kept",
        )),
        AttemptEnd::Broken(why) if shared_run || finished => {
            let message = format!("the answer can't be taken up now: {why}");
            Next::Stop(Error::new(Kind::InProgress, message))
        }
        AttemptEnd::Gone if shared_run => Next::Stop(Error::new(
            Kind::InProgress,
            "the request runs at another instance",
        )),
        AttemptEnd::Gone | AttemptEnd::Broken(_) => {
            stop_run(cx, chat, out, spent).await;
            if out.position == 0 && may_retry(cx) {
                if let Some(hold) = &mut cx.hold {
                    // What it had joined is cancelled: the next attempt is its own.
                    hold.joined = None;
                }
                return Next::Again;
            }
            settle(cx, spent.clone()).await;
            cx.shared.log(Event::ResponseAborted, &cx.id);
            let message = format!("the answer broke off after {} tokens", out.position);
            Next::Stop(Error::new(Kind::Incomplete, message))
        }
    }
}

fn may_retry(cx: &RequestContext) -> bool {
    let left = cx.attempts < ATTEMPTS && cx.remaining_ms() > 0;
    left && cx
        .shared
        .retry_budget
        .lock()
        .expect("no panic inside")
        .take()
}

/// Cancels the current attempt and adds what it spent, or may have spent.
async fn stop_run(
    cx: &RequestContext,
    chat: &ChatRequest,
    out: &CallerResponse,
    spent: &mut Usage,
) {
    let at = cx.attempt_ref();
    match budget_io::cancel_attempt(&cx.shared, &at).await {
        Some(tokens) => spent.tokens += tokens,
        None => {
            let paid = out.position;
            spent.tokens += paid;
            spent.unconfirmed.push(UnconfirmedUsage {
                attempt: at,
                tokens: cost(chat) - paid,
                settled: paid,
            });
        }
    }
}

/// Returns whether other entries still serve the request, so that it must not be cancelled.
async fn others(cx: &RequestContext) -> bool {
    let Some(Hold { holder, number, .. }) = cx.hold.clone() else {
        return false;
    };
    let shared = &cx.shared;
    let msg = DetachMsg {
        account: cx.customer.clone(),
        hold: number,
        entry: shared.own_id.clone(),
    };
    if holder == shared.own_id {
        return shared.budgets.detach(msg).await.unwrap_or(true);
    }
    let Some(addr) = shared.peer_addr(&holder) else {
        return true;
    };
    let reply = shared
        .peers
        .call(&shared.metrics, &addr, method::DETACH, &msg)
        .await;
    reply.unwrap_or(true)
}
