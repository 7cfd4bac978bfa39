//! Processing of chat completions, with retries at other upstreams.

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

const ENGINE: upstream::UpstreamKind = upstream::UpstreamKind::Engine;
/// Maximum number of attempts, each at a different upstream.
const MAX_ATTEMPTS: u32 = 3;

/// Handles a chat completion.
pub async fn handle(shared: &Arc<SharedState>, req: &Req) -> Result<Res, Error> {
    let cx = auth::authenticate(shared, req)?;
    let chat = chat_request::parse(&req.body, &cx.policy)?;
    let (tx, rx) = oneshot::channel();
    let response = CallerResponse::new(tx, chat.stream);
    // In a separate task, since the bill must be settled even if the caller disconnects.
    tokio::spawn(run(cx, chat, response));
    let lost = |_| Error::new(Kind::Internal, "the request task ended without a response");
    rx.await.map_err(lost)?
}

async fn run(mut cx: RequestContext, chat: ChatRequest, mut response: CallerResponse) {
    let in_flight = cx.shared.track_in_flight();
    cx.shared
        .retry_budget
        .lock()
        .expect("lock not poisoned")
        .record_request();
    let code = match run_attempts(&mut cx, &chat, &mut response).await {
        Ok(()) => {
            response.finish(&cx, &chat).await;
            "ok"
        }
        Err(error) => {
            cx.record_step(format!("finished with error {error}"));
            let code = error.kind.response().code;
            response.fail(error).await;
            code
        }
    };
    cx.shared.metrics.count_request(code);
    drop(in_flight);
}

/// Tries upstreams until the response is complete or no further attempt is possible.
async fn run_attempts(
    cx: &mut RequestContext,
    chat: &ChatRequest,
    response: &mut CallerResponse,
) -> Result<(), Error> {
    let mut usage = Usage {
        body_hash: chat.body_hash,
        ..Usage::default()
    };
    loop {
        // Boxed, like every stage except relaying: otherwise this future would hold memory for the
        // large state of these stages while a stream lasts.
        if let Err(error) = Box::pin(prepare(cx, chat, &usage)).await {
            choose::finish_attempt(cx, ENGINE, &chat.model, true);
            Box::pin(settle(cx, usage.clone())).await;
            return Err(mark_possibly_run(error, &usage));
        }
        cx.attempts += 1;
        cx.shared.metrics.attempts.inc();
        let joined = cx.hold.as_ref().is_some_and(|h| h.joined.is_some());
        let end = relay_attempt(cx, chat, response, joined).await;
        cx.record_step(format!("attempt {} ended: {end:?}", cx.attempts));
        let ok = matches!(
            end,
            AttemptEnd::Whole(_) | AttemptEnd::CallerLeft | AttemptEnd::Late | AttemptEnd::Gone
        );
        match Box::pin(after_attempt(cx, chat, response, end, &mut usage)).await {
            NextStep::Done => {
                choose::finish_attempt(cx, ENGINE, &chat.model, ok);
                return Ok(());
            }
            NextStep::Retry => choose::finish_attempt(cx, ENGINE, &chat.model, ok),
            NextStep::Fail(error) => {
                choose::finish_attempt(cx, ENGINE, &chat.model, ok);
                return Err(error);
            }
        }
    }
}

/// Marks an error as possibly run if earlier attempts spent tokens or may have done so: it must not
/// claim that nothing ran.
fn mark_possibly_run(error: Error, usage: &Usage) -> Error {
    if usage.tokens > 0 || !usage.unconfirmed.is_empty() {
        return error.ran(Ran::Unknown);
    }
    error
}

/// Chooses an upstream and reserves the maximum cost of an attempt.
async fn prepare(cx: &mut RequestContext, chat: &ChatRequest, usage: &Usage) -> Result<(), Error> {
    choose::choose(cx, ENGINE, &chat.model, chat.prefix_hash).await?;
    if let Some(hold) = &cx.hold {
        // The hold must also cover what earlier attempts spent or may have spent.
        let unconfirmed: u64 = usage.unconfirmed.iter().map(|u| u.tokens).sum();
        let required = usage.tokens + unconfirmed + max_cost(chat);
        let tokens = required.saturating_sub(hold.tokens);
        return reservation::extend(cx, tokens).await;
    }
    reservation::reserve(cx, chat).await?;
    let joined = cx.hold.as_ref().and_then(|h| h.joined.clone());
    if let Some(attempt) = joined {
        choose::finish_attempt(cx, ENGINE, &chat.model, true);
        choose::join_attempt(cx, &attempt)?;
    }
    Ok(())
}

/// Returns the maximum number of tokens that an attempt can cost.
fn max_cost(chat: &ChatRequest) -> u64 {
    chat.max_prompt_tokens + chat.max_tokens
}

/// What follows the end of an attempt.
enum NextStep {
    Done,
    Retry,
    Fail(Error),
}

/// Decides what follows the end of an attempt, and settles the hold after the last one.
async fn after_attempt(
    cx: &mut RequestContext,
    chat: &ChatRequest,
    response: &CallerResponse,
    end: AttemptEnd,
    usage: &mut Usage,
) -> NextStep {
    let hold = cx.hold.clone();
    let already_billed = hold.as_ref().is_some_and(|h| h.billed.is_some());
    let served_elsewhere = cx.has_caller_id
        && !matches!(end, AttemptEnd::Whole(_))
        && !already_billed
        && detach(cx).await;
    match end {
        AttemptEnd::Whole(tokens) => {
            usage.tokens += tokens;
            usage.billed = true;
            settle(cx, usage.clone()).await;
            NextStep::Done
        }
        AttemptEnd::NotRun(why) => {
            if try_acquire_retry(cx) {
                return NextStep::Retry;
            }
            settle(cx, usage.clone()).await;
            let message = format!("no upstream accepted the request: {why}");
            NextStep::Fail(mark_possibly_run(
                Error::new(Kind::NoUpstream, message),
                usage,
            ))
        }
        AttemptEnd::CallerLeft => {
            if !served_elsewhere && !already_billed {
                cancel_attempt(cx, chat, response, usage).await;
                usage.billed = true;
                settle(cx, usage.clone()).await;
            }
            NextStep::Fail(Error::new(Kind::Incomplete, "the caller disconnected"))
        }
        AttemptEnd::Overrun => {
            cx.shared.log(Event::TokensExceeded, &cx.id);
            cancel_attempt(cx, chat, response, usage).await;
            usage.billed = true;
            settle(cx, usage.clone()).await;
            NextStep::Done
        }
        AttemptEnd::Late => {
            if !served_elsewhere && !already_billed {
                cancel_attempt(cx, chat, response, usage).await;
                settle(cx, usage.clone()).await;
            }
            NextStep::Fail(Error::new(
                Kind::DeadlinePassed,
                "the deadline passed before the response was complete",
            ))
        }
        AttemptEnd::Gone if already_billed => NextStep::Fail(Error::new(
            Kind::AnswerGone,
            "the request was already billed, and its response is no longer available",
        )),
        AttemptEnd::Broken(why) if served_elsewhere || already_billed => {
            let message = format!("the response can't be resumed now: {why}");
            NextStep::Fail(Error::new(Kind::InProgress, message))
        }
        AttemptEnd::Gone if served_elsewhere => NextStep::Fail(Error::new(
            Kind::InProgress,
            "the request is in progress at another instance",
        )),
        AttemptEnd::Gone | AttemptEnd::Broken(_) => {
            cancel_attempt(cx, chat, response, usage).await;
            if response.position == 0 && try_acquire_retry(cx) {
                if let Some(hold) = &mut cx.hold {
                    // The attempt that was joined is cancelled; the next one is started here.
                    hold.joined = None;
                }
                return NextStep::Retry;
            }
            settle(cx, usage.clone()).await;
            cx.shared.log(Event::ResponseAborted, &cx.id);
            let message = format!(
                "the response was aborted after {} tokens",
                response.position
            );
            NextStep::Fail(Error::new(Kind::Incomplete, message))
        }
    }
}

/// Takes a retry from the retry budget; returns whether another attempt may be made.
fn try_acquire_retry(cx: &RequestContext) -> bool {
    let is_possible = cx.attempts < MAX_ATTEMPTS && cx.remaining_ms() > 0;
    is_possible
        && cx
            .shared
            .retry_budget
            .lock()
            .expect("lock not poisoned")
            .try_acquire()
}

/// Cancels the current attempt and adds the tokens that it spent, or may have spent, to the usage.
async fn cancel_attempt(
    cx: &RequestContext,
    chat: &ChatRequest,
    response: &CallerResponse,
    usage: &mut Usage,
) {
    let attempt = cx.attempt_ref();
    match budget_io::cancel_attempt(&cx.shared, &attempt).await {
        Some(tokens) => usage.tokens += tokens,
        None => {
            let delivered = response.position;
            usage.tokens += delivered;
            usage.unconfirmed.push(UnconfirmedUsage {
                attempt,
                tokens: max_cost(chat) - delivered,
                settled: delivered,
            });
        }
    }
}

/// Removes this instance from the hold; returns whether other entry instances still serve the
/// request or may do so, in which case the attempt must not be cancelled.
async fn detach(cx: &RequestContext) -> bool {
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
    let Some(peer) = shared.peer(&holder) else {
        return true;
    };
    let reply = shared
        .peers
        .call(&shared.metrics, &peer, method::DETACH, &msg)
        .await;
    reply.unwrap_or(true)
}
