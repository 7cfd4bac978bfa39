//! Settles a hold: at its home, or through another one when the home can't be reached.

use std::time::Duration;

use budget::msg::UnconfirmedUsage;
use budget::{Durability, Settlement};
use tokio::time::{timeout_at, Instant};

use super::context::{Hold, RequestContext};
use super::reservation::home_order;
use crate::clock::wall_ms;
use crate::event::Event;
use crate::messages::{method, SettleMsg};
use crate::shared_state::SharedState;

/// How long an end marker waits for its bill.
const WAIT: Duration = Duration::from_secs(2);
/// Pause after a round in which no instance took the bill.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Rounds at the home alone before others are asked to post the bill.
const HOME_ROUNDS: u32 = 2;

/// What a request has spent.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Tokens that upstreams served.
    pub tokens: u64,
    /// Whether the caller is billed.
    pub billed: bool,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// What upstreams that can't be asked may have served besides.
    pub unconfirmed: Vec<UnconfirmedUsage>,
}

/// Settles the request's hold and waits until its bill is durable.
///
/// The bill is carried on in a task of its own, so that neither a caller that leaves nor a stop
/// loses it. Waiting is bounded: the answer is whole already, and the bill will follow.
pub async fn settle(cx: &RequestContext, spent: Usage) {
    let Some(hold) = cx.hold.clone() else {
        return;
    };
    if hold.billed.is_some() {
        return;
    }
    let shared = cx.shared.clone();
    let began = shared.clock.now_us();
    let msg = message(cx, &hold, spent);
    cx.record_step(format!("settles {} tokens", msg.settlement.tokens));
    let id = cx.id.clone();
    let busy = shared.track_in_flight();
    let carried = tokio::spawn(async move {
        let how = carry(&shared, &hold, msg).await;
        drop(busy);
        how
    });
    let shared = &cx.shared;
    match timeout_at(Instant::now() + WAIT, carried).await {
        Ok(how) => cx.record_step(format!("settled: {how:?}")),
        Err(_) => shared.log(Event::BillNotDurable, id),
    }
    let took = shared.clock.now_us() - began;
    shared.metrics.bill_wait_seconds.observe(took as f64 / 1e6);
}

fn message(cx: &RequestContext, hold: &Hold, spent: Usage) -> SettleMsg {
    if spent.tokens > hold.tokens {
        let extra = spent.tokens - hold.tokens;
        cx.shared
            .log(Event::TokensExceeded, format!("{}: {extra} tokens", cx.id));
    }
    SettleMsg {
        account: cx.customer.clone(),
        settlement: Settlement {
            holder: hold.holder.clone(),
            hold: hold.number,
            request_id: cx.id.clone(),
            tokens: spent.tokens.min(hold.tokens),
            billed: spent.billed,
            body_hash: spent.body_hash,
            attempt: cx.attempt_ref(),
            at_ms: wall_ms(),
        },
        unconfirmed: spent.unconfirmed,
    }
}

/// Carries a bill until an instance says that it is durable.
async fn carry(shared: &SharedState, hold: &Hold, msg: SettleMsg) -> Durability {
    let mut round = 0;
    loop {
        if let Some(how) = send(shared, &hold.holder, &msg).await {
            return how;
        }
        round += 1;
        if round == HOME_ROUNDS {
            shared.log(Event::BillDelayed, &msg.settlement.request_id);
        }
        if round >= HOME_ROUNDS {
            // Posting is idempotent by holder and number, so the home may post it as well.
            for home in home_order(shared, &msg.account) {
                if let Some(how) = send(shared, &home, &msg).await {
                    return how;
                }
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

async fn send(shared: &SharedState, to: &str, msg: &SettleMsg) -> Option<Durability> {
    if to == shared.own_id {
        return shared.budgets.settle(msg.clone()).await;
    }
    let addr = shared.peer_addr(to)?;
    let reply: Result<Option<Durability>, String> = shared
        .peers
        .call(&shared.metrics, &addr, method::SETTLE, msg)
        .await;
    reply.ok().flatten()
}
