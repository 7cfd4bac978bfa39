//! Settlement of holds: by the holder, or by another instance if the holder can't be reached.

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

/// Maximum time that the end of a response is delayed until its bill is durable.
const DURABILITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a round in which no instance confirmed the bill.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of rounds after which other instances than the holder are asked to post the bill, too.
const HOLDER_ROUNDS: u32 = 2;

/// The tokens that a request has spent.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Number of tokens that upstreams served.
    pub tokens: u64,
    /// Whether the customer is billed for them; otherwise they are written off.
    pub billed: bool,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Tokens that may have been served in addition, by upstreams that could not be asked.
    pub unconfirmed: Vec<UnconfirmedUsage>,
}

/// Settles the request's hold and waits until its bill is durable.
///
/// The bill is delivered by a separate task, so that it is lost neither if the caller disconnects
/// nor in a planned stop. The wait is limited: the response is complete, and the delivery
/// continues.
pub async fn settle(cx: &RequestContext, usage: Usage) {
    let Some(hold) = cx.hold.clone() else {
        return;
    };
    if hold.billed.is_some() {
        return;
    }
    let shared = cx.shared.clone();
    let started_us = shared.clock.now_us();
    let msg = build_message(cx, &hold, usage);
    cx.record_step(format!("settling {} tokens", msg.settlement.tokens));
    let id = cx.id.clone();
    let in_flight = shared.track_in_flight();
    let delivery = tokio::spawn(async move {
        let durability = deliver(&shared, &hold, msg).await;
        drop(in_flight);
        durability
    });
    let shared = &cx.shared;
    match timeout_at(Instant::now() + DURABILITY_TIMEOUT, delivery).await {
        Ok(durability) => cx.record_step(format!("settled: {durability:?}")),
        Err(_) => shared.log(Event::BillNotDurable, id),
    }
    let elapsed_us = shared.clock.now_us() - started_us;
    shared
        .metrics
        .bill_wait_seconds
        .observe(elapsed_us as f64 / 1e6);
}

fn build_message(cx: &RequestContext, hold: &Hold, usage: Usage) -> SettleMsg {
    if usage.tokens > hold.tokens {
        let excess = usage.tokens - hold.tokens;
        cx.shared
            .log(Event::TokensExceeded, format!("{}: {excess} tokens", cx.id));
    }
    SettleMsg {
        account: cx.customer.clone(),
        settlement: Settlement {
            holder: hold.holder.clone(),
            hold: hold.number,
            request_id: cx.id.clone(),
            tokens: usage.tokens.min(hold.tokens),
            billed: usage.billed,
            body_hash: usage.body_hash,
            attempt: cx.attempt_ref(),
            at_ms: wall_ms(),
        },
        unconfirmed: usage.unconfirmed,
    }
}

/// Sends a bill until an instance confirms that it is durable.
async fn deliver(shared: &SharedState, hold: &Hold, msg: SettleMsg) -> Durability {
    let mut round = 0;
    loop {
        if let Some(durability) = send(shared, &hold.holder, &msg).await {
            return durability;
        }
        round += 1;
        if round == HOLDER_ROUNDS {
            shared.log(Event::BillDelayed, &msg.settlement.request_id);
        }
        if round >= HOLDER_ROUNDS {
            // Posting is idempotent by holder and hold number, so the holder may post it as well.
            for home in home_order(shared, &msg.account) {
                if let Some(durability) = send(shared, &home, &msg).await {
                    return durability;
                }
            }
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Sends a settlement to an instance; returns `None` if it is not confirmed as durable.
async fn send(shared: &SharedState, to: &str, msg: &SettleMsg) -> Option<Durability> {
    if to == shared.own_id {
        return shared.budgets.settle(msg.clone()).await;
    }
    let peer = shared.peer(to)?;
    let reply: Result<Option<Durability>, String> = shared
        .peers
        .call(&shared.metrics, &peer, method::SETTLE, msg)
        .await;
    reply.ok().flatten()
}
