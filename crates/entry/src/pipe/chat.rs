//! One chat completion through its filters, with the attempts that it may take.

use std::sync::Arc;

use budget::msg::UnconfirmedUsage;
use err::{Error, Kind, Ran};
use route::upstream;
use tokio::sync::oneshot;
use web::{Req, Res};

use super::cx::{Cx, Hold};
use super::parse::{self, Chat};
use super::relay::{relay, End, Out};
use super::settle::{settle, Spent};
use super::{auth, choose, reserve};
use crate::bank_io;
use crate::event::Event;
use crate::msg::{method, DropOutMsg};
use crate::shared::Shared;

const ENGINE: upstream::UpstreamKind = upstream::UpstreamKind::Engine;
/// Attempts at different upstreams.
const ATTEMPTS: u32 = 3;

/// Answers a chat completion.
pub async fn answer(shared: &Arc<Shared>, req: &Req) -> Result<Res, Error> {
    let cx = auth::auth(shared, req)?;
    let chat = parse::chat(&req.body, &cx.policy)?;
    let (tx, rx) = oneshot::channel();
    let out = Out::open(tx, chat.stream);
    // A task of its own: the bill must be settled even when the caller leaves.
    tokio::spawn(run(cx, chat, out));
    let lost = |_| Error::new(Kind::Internal, "the request's task ended without an answer");
    rx.await.map_err(lost)?
}

async fn run(mut cx: Cx, chat: Chat, mut out: Out) {
    let busy = cx.shared.begin();
    cx.shared
        .retry
        .lock()
        .expect("no panic inside")
        .record_request();
    let code = match attempts(&mut cx, &chat, &mut out).await {
        Ok(()) => {
            out.finish(&cx, &chat).await;
            "ok"
        }
        Err(error) => {
            cx.step(format!("ends with {error}"));
            let code = error.kind.response().code;
            out.fail(error).await;
            code
        }
    };
    cx.shared.metrics.ended(code);
    drop(busy);
}

/// Tries upstreams until the answer is whole, or there is nothing left to try.
async fn attempts(cx: &mut Cx, chat: &Chat, out: &mut Out) -> Result<(), Error> {
    let mut spent = Spent {
        body: chat.hash,
        ..Spent::default()
    };
    loop {
        // Boxed, as all that is not relaying: a stream would keep their large states as it lasts.
        if let Err(error) = Box::pin(prepare(cx, chat, &spent)).await {
            choose::done(cx, ENGINE, &chat.model, true);
            Box::pin(settle(cx, spent.clone())).await;
            return Err(blame(error, &spent));
        }
        cx.attempts += 1;
        cx.shared.metrics.attempts.inc();
        let joined = cx.hold.as_ref().is_some_and(|h| h.joined.is_some());
        let end = relay(cx, chat, out, joined).await;
        cx.step(format!("attempt {} ended: {end:?}", cx.attempts));
        let ok = matches!(end, End::Whole(_) | End::CallerLeft | End::Late | End::Gone);
        match Box::pin(after(cx, chat, out, end, &mut spent)).await {
            Next::Whole => {
                choose::done(cx, ENGINE, &chat.model, ok);
                return Ok(());
            }
            Next::Again => choose::done(cx, ENGINE, &chat.model, ok),
            Next::Stop(error) => {
                choose::done(cx, ENGINE, &chat.model, ok);
                return Err(error);
            }
        }
    }
}

/// An error after an attempt must not say that nothing ran.
fn blame(error: Error, spent: &Spent) -> Error {
    if spent.tokens > 0 || !spent.doubts.is_empty() {
        return error.ran(Ran::Unknown);
    }
    error
}

/// Chooses an upstream and has its cost held back.
async fn prepare(cx: &mut Cx, chat: &Chat, spent: &Spent) -> Result<(), Error> {
    choose::choose(cx, ENGINE, &chat.model, chat.prefix).await?;
    if let Some(hold) = &cx.hold {
        // The hold still stands, less what the earlier attempts spent or may have spent.
        let doubted: u64 = spent.doubts.iter().map(|d| d.tokens).sum();
        let wanted = spent.tokens + doubted + cost(chat);
        let tokens = wanted.saturating_sub(hold.tokens);
        return reserve::extend(cx, tokens).await;
    }
    reserve::reserve(cx, chat).await?;
    let joined = cx.hold.as_ref().and_then(|h| h.joined.clone());
    if let Some(at) = joined {
        choose::done(cx, ENGINE, &chat.model, true);
        choose::join(cx, &at)?;
    }
    Ok(())
}

fn cost(chat: &Chat) -> u64 {
    chat.prompt_bound + chat.max_tokens
}

enum Next {
    Whole,
    Again,
    Stop(Error),
}

/// Decides what follows from an attempt's end, and settles when it was the last one.
async fn after(cx: &mut Cx, chat: &Chat, out: &Out, end: End, spent: &mut Spent) -> Next {
    let hold = cx.hold.clone();
    let finished = hold.as_ref().is_some_and(|h| h.billed.is_some());
    let shared_run = cx.keyed && !matches!(end, End::Whole(_)) && !finished && others(cx).await;
    match end {
        End::Whole(tokens) => {
            spent.tokens += tokens;
            spent.billed = true;
            settle(cx, spent.clone()).await;
            Next::Whole
        }
        End::NotRun(why) => {
            if may_retry(cx) {
                return Next::Again;
            }
            settle(cx, spent.clone()).await;
            let message = format!("no upstream took the request: {why}");
            Next::Stop(blame(Error::new(Kind::NoUpstream, message), spent))
        }
        End::CallerLeft => {
            if !shared_run && !finished {
                stop_run(cx, chat, out, spent).await;
                spent.billed = true;
                settle(cx, spent.clone()).await;
            }
            Next::Stop(Error::new(Kind::Incomplete, "the caller left"))
        }
        End::Overrun => {
            cx.shared.log(Event::Excess, &cx.id);
            stop_run(cx, chat, out, spent).await;
            spent.billed = true;
            settle(cx, spent.clone()).await;
            Next::Whole
        }
        End::Late => {
            if !shared_run && !finished {
                stop_run(cx, chat, out, spent).await;
                settle(cx, spent.clone()).await;
            }
            Next::Stop(Error::new(
                Kind::DeadlinePassed,
                "the caller's time is over",
            ))
        }
        End::Gone if finished => Next::Stop(Error::new(
            Kind::AnswerGone,
            "the request was billed before, and its answer is no longer kept",
        )),
        End::Broken(why) if shared_run || finished => {
            let message = format!("the answer can't be taken up now: {why}");
            Next::Stop(Error::new(Kind::InProgress, message))
        }
        End::Gone if shared_run => Next::Stop(Error::new(
            Kind::InProgress,
            "the request runs at another instance",
        )),
        End::Gone | End::Broken(_) => {
            stop_run(cx, chat, out, spent).await;
            if out.at == 0 && may_retry(cx) {
                if let Some(hold) = &mut cx.hold {
                    // What it had joined is cancelled: the next attempt is its own.
                    hold.joined = None;
                }
                return Next::Again;
            }
            settle(cx, spent.clone()).await;
            cx.shared.log(Event::Incomplete, &cx.id);
            let message = format!("the answer broke off after {} tokens", out.at);
            Next::Stop(Error::new(Kind::Incomplete, message))
        }
    }
}

fn may_retry(cx: &Cx) -> bool {
    let left = cx.attempts < ATTEMPTS && cx.left_ms() > 0;
    left && cx
        .shared
        .retry
        .lock()
        .expect("no panic inside")
        .try_acquire()
}

/// Cancels the current attempt and adds what it spent, or may have spent.
async fn stop_run(cx: &Cx, chat: &Chat, out: &Out, spent: &mut Spent) {
    let at = cx.run_at();
    match bank_io::probe(&cx.shared, &at).await {
        Some(tokens) => spent.tokens += tokens,
        None => {
            let paid = out.at;
            spent.tokens += paid;
            spent.doubts.push(UnconfirmedUsage {
                attempt: at,
                tokens: cost(chat) - paid,
                settled: paid,
            });
        }
    }
}

/// Returns whether other entries still serve the request, so that it must not be cancelled.
async fn others(cx: &Cx) -> bool {
    let Some(Hold { holder, number, .. }) = cx.hold.clone() else {
        return false;
    };
    let shared = &cx.shared;
    let msg = DropOutMsg {
        account: cx.customer.clone(),
        hold: number,
        entry: shared.me.clone(),
    };
    if holder == shared.me {
        return shared.bank.drop_out(msg).await.unwrap_or(true);
    }
    let Some(addr) = shared.peer_addr(&holder) else {
        return true;
    };
    let reply = shared
        .peers
        .call(&shared.metrics, &addr, method::DROP_OUT, &msg)
        .await;
    reply.unwrap_or(true)
}
