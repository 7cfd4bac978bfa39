//! Holds back the most that a request can cost, before anything is sent.

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

/// How long a home may look for tokens, in milliseconds.
const WAIT_MS: u64 = 1_500;
/// When to come back while no home can be reached, in seconds.
const RETRY_SECS: u32 = 2;
const TOKENIZE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to give up a reservation.
const VOID_EVERY: Duration = Duration::from_secs(1);
const VOID_TRIES: u32 = 60;

/// Holds back the most that a chat can cost.
///
/// # Errors
///
/// Returns `BudgetExhausted` when it can't be covered for good, `BudgetOutOfReach` when it may be
/// later, `IdReused` for an id with another body.
pub async fn reserve(cx: &mut RequestContext, chat: &ChatRequest) -> Result<(), Error> {
    let began = cx.shared.clock.now_us();
    let bound = chat.max_prompt_tokens + chat.max_tokens;
    let mut reply = ask_homes(cx, chat, bound).await?;
    let refused = |r: &ReserveReply| {
        matches!(
            r,
            ReserveReply::Exhausted { .. } | ReserveReply::OutOfReach { .. }
        )
    };
    if refused(&reply) {
        // The bound from bytes is several times the prompt: ask what it really is.
        if let Some(exact) = tokenize(cx, chat).await {
            cx.record_step(format!("bound {bound} does not fit, exact is {exact}"));
            reply = ask_homes(cx, chat, exact + chat.max_tokens).await?;
        }
    }
    let took = cx.shared.clock.now_us() - began;
    cx.shared.metrics.reserve_seconds.observe(took as f64 / 1e6);
    judge(cx, reply)
}

fn judge(cx: &mut RequestContext, reply: ReserveReply) -> Result<(), Error> {
    match reply {
        ReserveReply::Held { .. } | ReserveReply::Exists { .. } => Ok(()),
        ReserveReply::IdReused => Err(Error::new(
            Kind::IdReused,
            "this request id came before with another body",
        )),
        ReserveReply::Voided => Err(Error::new(
            Kind::BudgetOutOfReach,
            "this instance gave the request up before",
        )),
        ReserveReply::Exhausted { left } => Err(Error::new(
            Kind::BudgetExhausted,
            format!("the budget has {left} tokens left, fewer than this request can cost"),
        )),
        ReserveReply::OutOfReach { retry_ms } => {
            cx.record_step("budget out of reach");
            let message = "the budget's tokens are held elsewhere or reserved";
            let secs = retry_ms.div_ceil(1000) as u32;
            Err(Error::new(Kind::BudgetOutOfReach, message).retry_after(secs))
        }
    }
}

/// Asks the home, then the standbys, until one answers.
async fn ask_homes(
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
        wait_ms: WAIT_MS,
    };
    for home in home_order(&cx.shared, &cx.customer) {
        cx.new_attempt_id();
        msg.request.attempt = cx.attempt_ref();
        let Some(reply) = ask_home(&cx.shared, &home, &msg).await else {
            cx.record_step(format!("home {home} does not answer"));
            give_up(cx, &home);
            continue;
        };
        note(cx, &reply, tokens);
        return Ok(reply);
    }
    let message = "no instance that holds this budget can be reached";
    Err(Error::new(Kind::BudgetOutOfReach, message).retry_after(RETRY_SECS))
}

fn note(cx: &mut RequestContext, reply: &ReserveReply, tokens: u64) {
    match reply {
        ReserveReply::Held { holder, hold } => {
            cx.record_step(format!("holds {tokens} tokens at {holder}, number {hold}"));
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
            attempt: at,
            billed,
        } => {
            let upstream = &at.upstream;
            cx.record_step(format!(
                "known at {holder}, runs at {upstream}, billed {billed:?}"
            ));
            cx.hold = Some(Hold {
                holder: holder.clone(),
                number: *hold,
                tokens,
                joined: Some(at.clone()),
                billed: *billed,
            });
        }
        _ => {}
    }
}

/// Returns the instances to ask for a budget: the home, the own zone's standby, the others.
pub fn home_order(shared: &SharedState, account: &str) -> Vec<String> {
    let candidates = shared.home_candidates();
    let shard = placement::shard_of(account, shared.settings.shards());
    let mut order = placement::home_and_standbys(shard, &candidates);
    if order.len() > 1 {
        order[1..].sort_by_key(|c| c.zone != shared.settings.zone);
    }
    order.into_iter().map(|c| c.id.clone()).collect()
}

async fn ask_home(shared: &SharedState, home: &str, msg: &ReserveMsg) -> Option<ReserveReply> {
    if home == shared.own_id {
        return shared
            .budgets
            .reserve(msg.request.clone(), msg.wait_ms)
            .await;
    }
    let addr = shared.peer_addr(home)?;
    shared
        .peers
        .call(&shared.metrics, &addr, method::RESERVE, msg)
        .await
        .ok()
}

/// Tells a home that did not answer in time that its reservation will not be used.
fn give_up(cx: &RequestContext, home: &str) {
    let shared = cx.shared.clone();
    let home = home.to_string();
    let msg = VoidMsg {
        account: cx.customer.clone(),
        request_id: cx.id.clone(),
        entry: shared.own_id.clone(),
    };
    tokio::spawn(async move {
        for _ in 0..VOID_TRIES {
            let Some(addr) = shared.peer_addr(&home) else {
                return;
            };
            let done = shared
                .peers
                .call::<_, bool>(&shared.metrics, &addr, method::VOID, &msg);
            if done.await.is_ok() {
                return;
            }
            tokio::time::sleep(VOID_EVERY).await;
        }
    });
}

/// Tells the home where the next attempt goes, and widens the hold by what it can cost more.
///
/// # Errors
///
/// Returns an error when the home does not cover it; the attempt must not be made then.
pub async fn extend(cx: &mut RequestContext, tokens: u64) -> Result<(), Error> {
    let gone = || Error::new(Kind::BudgetOutOfReach, "another attempt can't be covered");
    let hold = cx.hold.clone().ok_or_else(gone)?;
    let msg = ExtendMsg {
        account: cx.customer.clone(),
        hold: hold.number,
        attempt: cx.attempt_ref(),
        tokens,
        wait_ms: WAIT_MS,
    };
    let shared = &cx.shared;
    let reply = if hold.holder == shared.own_id {
        shared.budgets.extend(msg).await
    } else {
        let addr = shared.peer_addr(&hold.holder).ok_or_else(gone)?;
        let called = shared
            .peers
            .call(&shared.metrics, &addr, method::EXTEND, &msg)
            .await;
        called.ok()
    };
    match reply {
        Some(ReserveReply::Held { .. }) => {
            let hold = cx.hold.as_mut().expect("checked above");
            hold.tokens += tokens;
            Ok(())
        }
        _ => Err(gone()),
    }
}

/// Asks an engine how long the prompt is.
async fn tokenize(cx: &RequestContext, chat: &ChatRequest) -> Option<u64> {
    let url = format!("{}/tokenize", cx.upstream.as_ref()?.url);
    let sent = cx.shared.http.post(url).json(&chat.engine_body);
    let res = sent.timeout(TOKENIZE_TIMEOUT).send().await.ok()?;
    let value: Value = res.json().await.ok()?;
    value["tokens"].as_u64()
}
