//! Reserves the maximum cost of a request before it is sent to an upstream.

use std::time::Duration;

use budget::msg::ReserveRequest;
use budget::placement;
use budget::ReserveReply;
use err::{Error, Kind};
use serde_json::Value;

use super::chat_request::ChatRequest;
use super::context::{Hold, RequestContext};
use crate::messages::{method, ExtendMsg, ReserveMsg, VoidMsg};
use crate::shared_state::SharedState;
use crate::upstream_body;

/// Time that a home has to obtain the tokens, in milliseconds.
const TOKEN_WAIT_MS: u64 = 1_500;
/// `Retry-After` when no home can be reached, in seconds.
const RETRY_AFTER_SECS: u32 = 2;
/// Timeout of a call that counts the tokens of a prompt.
const TOKENIZE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to void a reservation.
const VOID_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of attempts to void a reservation.
const MAX_VOID_ATTEMPTS: u32 = 60;

/// Reserves the maximum cost of a chat completion.
///
/// # Errors
///
/// Returns `BudgetExhausted` if the budget can't cover the cost, `BudgetOutOfReach` if it may cover
/// it later, and `IdReused` if the id was used with another body.
pub async fn reserve(cx: &mut RequestContext, chat: &ChatRequest) -> Result<(), Error> {
    let started_us = cx.shared.clock.now_us();
    let bound = chat.max_prompt_tokens + chat.max_tokens;
    let mut reply = reserve_at_homes(cx, chat, bound).await?;
    let is_refused = |r: &ReserveReply| {
        matches!(
            r,
            ReserveReply::Exhausted { .. } | ReserveReply::OutOfReach { .. }
        )
    };
    if is_refused(&reply) {
        // The upper bound from the number of bytes is several times the actual number of tokens, so
        // the engine is asked to count them.
        if let Some(exact) = count_prompt_tokens(cx, chat).await {
            cx.record_step(format!(
                "reservation of {bound} tokens refused; the prompt has {exact} tokens"
            ));
            reply = reserve_at_homes(cx, chat, exact + chat.max_tokens).await?;
        }
    }
    let elapsed_us = cx.shared.clock.now_us() - started_us;
    cx.shared
        .metrics
        .reserve_seconds
        .observe(elapsed_us as f64 / 1e6);
    check_reply(cx, reply)
}

/// Returns the error of a refused reservation.
fn check_reply(cx: &mut RequestContext, reply: ReserveReply) -> Result<(), Error> {
    match reply {
        ReserveReply::Held { .. } | ReserveReply::Exists { .. } => Ok(()),
        ReserveReply::IdReused => Err(Error::new(
            Kind::IdReused,
            "this request id was already used with a different body",
        )),
        ReserveReply::Voided => Err(Error::new(
            Kind::BudgetOutOfReach,
            "this instance has already voided the reservation of this request",
        )),
        ReserveReply::Exhausted { left } => Err(Error::new(
            Kind::BudgetExhausted,
            format!("the budget has {left} tokens left, fewer than this request may cost"),
        )),
        ReserveReply::OutOfReach { retry_ms } => {
            cx.record_step("budget out of reach");
            let message =
                "the remaining tokens of the budget are reserved or held by other instances";
            let secs = retry_ms.div_ceil(1000) as u32;
            Err(Error::new(Kind::BudgetOutOfReach, message).retry_after(secs))
        }
    }
}

/// Requests the reservation from the home, then from the standbys, until one of them replies.
async fn reserve_at_homes(
    cx: &mut RequestContext,
    chat: &ChatRequest,
    tokens: u64,
) -> Result<ReserveReply, Error> {
    let mut msg = ReserveMsg {
        request: ReserveRequest {
            account: cx.customer.clone(),
            request_id: cx.id.clone(),
            body_hash: chat.body_hash,
            entry: cx.shared.own_id.clone(),
            attempt: Default::default(),
            tokens,
            weight: cx.policy.weight,
        },
        wait_ms: TOKEN_WAIT_MS,
    };
    for home in home_order(&cx.shared, &cx.customer) {
        cx.new_attempt_id();
        msg.request.attempt = cx.attempt_ref();
        let Some(reply) = reserve_at(&cx.shared, &home, &msg).await else {
            cx.record_step(format!("home {home} did not respond"));
            void_reservation(cx, &home);
            continue;
        };
        record_hold(cx, &reply, tokens);
        return Ok(reply);
    }
    let message = "neither the home of this budget nor a standby can be reached";
    Err(Error::new(Kind::BudgetOutOfReach, message).retry_after(RETRY_AFTER_SECS))
}

/// Sets the request's hold after a successful reservation.
fn record_hold(cx: &mut RequestContext, reply: &ReserveReply, tokens: u64) {
    match reply {
        ReserveReply::Held { holder, hold } => {
            cx.record_step(format!("reserved {tokens} tokens at {holder}, hold {hold}"));
            cx.hold = Some(Hold {
                holder: holder.clone(),
                number: *hold,
                tokens,
                joined: None,
                billed: None,
            });
        }
        ReserveReply::Exists {
            holder,
            hold,
            attempt,
            billed,
        } => {
            let upstream = &attempt.upstream;
            cx.record_step(format!(
                "already known at {holder}, upstream {upstream}, billed {billed:?}"
            ));
            cx.hold = Some(Hold {
                holder: holder.clone(),
                number: *hold,
                tokens,
                joined: Some(attempt.clone()),
                billed: *billed,
            });
        }
        _ => {}
    }
}

/// Returns the instances to ask for tokens of a budget, in this order: the home, the standby of
/// this instance's zone, the other standbys.
pub fn home_order(shared: &SharedState, account: &str) -> Vec<String> {
    let candidates = shared.home_candidates();
    let shard = placement::shard_of(account, shared.settings.shards());
    let mut order = placement::home_and_standbys(shard, &candidates);
    if order.len() > 1 {
        order[1..].sort_by_key(|c| c.zone != shared.settings.zone);
    }
    order.into_iter().map(|c| c.id.clone()).collect()
}

/// Requests a reservation from an instance; returns `None` if it does not reply.
async fn reserve_at(shared: &SharedState, home: &str, msg: &ReserveMsg) -> Option<ReserveReply> {
    if home == shared.own_id {
        return shared
            .budgets
            .reserve(msg.request.clone(), msg.wait_ms)
            .await;
    }
    let peer = shared.peer(home)?;
    shared
        .peers
        .call(&shared.metrics, &peer, method::RESERVE, msg)
        .await
        .ok()
}

/// Tells a home that did not reply in time that its reservation will not be used.
fn void_reservation(cx: &RequestContext, home: &str) {
    let shared = cx.shared.clone();
    let home = home.to_string();
    let msg = VoidMsg {
        account: cx.customer.clone(),
        request_id: cx.id.clone(),
        entry: shared.own_id.clone(),
    };
    tokio::spawn(async move {
        for _ in 0..MAX_VOID_ATTEMPTS {
            let Some(peer) = shared.peer(&home) else {
                return;
            };
            let reply = shared
                .peers
                .call::<_, bool>(&shared.metrics, &peer, method::VOID, &msg);
            if reply.await.is_ok() {
                return;
            }
            tokio::time::sleep(VOID_RETRY_INTERVAL).await;
        }
    });
}

/// Tells the holder of the hold about the next attempt, and adds tokens to the hold.
///
/// # Errors
///
/// Returns `BudgetOutOfReach` if the tokens were not added; the attempt must not be made then.
pub async fn extend(cx: &mut RequestContext, tokens: u64) -> Result<(), Error> {
    let not_covered = || {
        Error::new(
            Kind::BudgetOutOfReach,
            "the budget does not cover another attempt at present",
        )
    };
    let hold = cx.hold.clone().ok_or_else(not_covered)?;
    let msg = ExtendMsg {
        account: cx.customer.clone(),
        hold: hold.number,
        attempt: cx.attempt_ref(),
        tokens,
        wait_ms: TOKEN_WAIT_MS,
    };
    let shared = &cx.shared;
    let reply = if hold.holder == shared.own_id {
        shared.budgets.extend(msg).await
    } else {
        let peer = shared.peer(&hold.holder).ok_or_else(not_covered)?;
        let reply = shared
            .peers
            .call(&shared.metrics, &peer, method::EXTEND, &msg)
            .await;
        reply.ok()
    };
    match reply {
        Some(ReserveReply::Held { .. }) => {
            let hold = cx.hold.as_mut().expect("checked above");
            hold.tokens += tokens;
            Ok(())
        }
        _ => Err(not_covered()),
    }
}

/// Returns the number of tokens of the prompt, counted by the chosen engine.
async fn count_prompt_tokens(cx: &RequestContext, chat: &ChatRequest) -> Option<u64> {
    let url = format!("{}/tokenize", cx.upstream.as_ref()?.url);
    let sent = cx.shared.http.post(url).json(&chat.engine_body);
    let res = sent.timeout(TOKENIZE_TIMEOUT).send().await.ok()?;
    let value: Value = upstream_body::read_reply(res).await?;
    value["tokens"].as_u64()
}
