//! The platform calls and messages that the decisions on budgets ask for.

use std::time::Duration;

use budget::msg::{AttemptRef, RecordSnapshot};
use budget::{Event, Settlement, ShardRecord};
use kv::{Failure, Found, Swap};
use serde_json::Value;

use crate::messages::{method, OpenStepMsg, RecallMsg, StoreCopyMsg};
use crate::shared_state::SharedState;

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the key of a shard's record.
pub fn record_key(shard: u32) -> String {
    format!("/oriolehitch/budget/{shard:04}")
}

/// Returns the key of a segment of older bills.
pub fn segment_key(shard: u32, name: &str) -> String {
    format!("/oriolehitch/bill/{shard:04}/{name}")
}

pub(crate) fn parse_snapshot(found: Option<Found>) -> Result<Option<RecordSnapshot>, String> {
    let Some(found) = found else {
        return Ok(None);
    };
    let record: ShardRecord = serde_json::from_slice(&found.value).map_err(|e| e.to_string())?;
    let revision = found.revision;
    Ok(Some(RecordSnapshot { revision, record }))
}

pub(crate) async fn read_record(cx: &SharedState, shard: u32) -> Event {
    let got = cx.kv.get(&record_key(shard)).await;
    match got.map(parse_snapshot) {
        Ok(Ok(stored)) => Event::RecordRead(stored),
        Ok(Err(_)) | Err(_) => Event::ReadFailed,
    }
}

pub(crate) async fn write_record(
    cx: &SharedState,
    shard: u32,
    base: i64,
    record: &ShardRecord,
) -> Event {
    let text = serde_json::to_vec(record).expect("a record is JSON");
    match cx.kv.swap(&record_key(shard), base, &text, 0).await {
        Ok(Swap::Done(revision)) => Event::WriteCommitted { revision },
        Ok(Swap::Lost(found)) => match parse_snapshot(found) {
            Ok(stored) => Event::WriteConflict(stored),
            Err(_) => Event::WriteRefused,
        },
        Err(Failure::Refused(_)) => Event::WriteRefused,
        Err(Failure::Unknown(_)) => Event::WriteOutcomeUnknown,
    }
}

pub(crate) async fn recall_tokens(
    cx: &SharedState,
    account: &str,
    from: &str,
    tokens: u64,
) -> Option<u64> {
    let addr = cx.peer_addr(from)?;
    let msg = RecallMsg {
        account: account.to_string(),
        to: cx.own_id.clone(),
        tokens,
    };
    let reply = cx
        .peers
        .call(&cx.metrics, &addr, method::RECALL, &msg)
        .await;
    reply.unwrap_or(None)
}

pub(crate) async fn request_step(
    cx: &SharedState,
    account: &str,
    witness: &str,
    key: &str,
    up_to: u64,
) -> Option<u64> {
    let addr = cx.peer_addr(witness)?;
    let msg = OpenStepMsg {
        account: account.to_string(),
        key: key.to_string(),
        up_to,
    };
    let reply = cx
        .peers
        .call(&cx.metrics, &addr, method::OPEN_STEP, &msg)
        .await;
    reply.unwrap_or(None)
}

/// Gives a copy of a settlement to an instance in another availability zone.
pub(crate) async fn send_copy(cx: &SharedState, account: &str, settlement: Settlement) -> bool {
    let msg = StoreCopyMsg {
        account: account.to_string(),
        settlement,
    };
    let zone = &cx.settings.zone;
    for member in cx.live_instances().into_iter().filter(|m| m.zone != *zone) {
        let kept = cx
            .peers
            .call::<_, bool>(&cx.metrics, &member.peer_addr, method::STORE_COPY, &msg)
            .await;
        if kept == Ok(true) {
            return true;
        }
    }
    false
}

/// Cancels a request at its upstream and returns what it spent.
pub(crate) async fn cancel_attempt(cx: &SharedState, at: &AttemptRef) -> Option<u64> {
    let url = {
        let pool = cx.pool.lock().expect("no panic inside");
        let key = pool.find(&at.upstream)?;
        pool.get(key).spec.url.clone()
    };
    let url = format!("{url}/v1/requests/{}/cancel", at.id);
    let sent = cx.http.post(url).timeout(PROBE_TIMEOUT).send().await;
    let usage: Value = sent.ok()?.json().await.ok()?;
    match usage["known"].as_bool()? {
        true => usage["total_tokens"].as_u64(),
        // The upstream will refuse it if it still comes, so it can have spent nothing.
        false => (usage["refused_from_now"] == true).then_some(0),
    }
}
