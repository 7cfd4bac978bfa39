//! The platform calls and messages that the decisions on budgets ask for.

use std::time::Duration;

use budget::msg::{AttemptRef, RecordSnapshot};
use budget::{Event, Settlement, ShardRecord};
use kv::{KeyValue, StoreError, SwapResult};
use serde_json::Value;

use crate::msg::{method, KeepMsg, OpenMsg, RecallMsg};
use crate::shared::Shared;

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the key of a shard's record.
pub fn record_key(shard: u32) -> String {
    format!("/oriolehitch/budget/{shard:04}")
}

/// Returns the key of a segment of older bills.
pub fn segment_key(shard: u32, name: &str) -> String {
    format!("/oriolehitch/bill/{shard:04}/{name}")
}

pub(crate) fn stored(found: Option<KeyValue>) -> Result<Option<RecordSnapshot>, String> {
    let Some(found) = found else {
        return Ok(None);
    };
    let record: ShardRecord = serde_json::from_slice(&found.value).map_err(|e| e.to_string())?;
    let revision = found.revision;
    Ok(Some(RecordSnapshot { revision, record }))
}

pub(crate) async fn read(cx: &Shared, shard: u32) -> Event {
    let got = cx.kv.get(&record_key(shard)).await;
    match got.map(stored) {
        Ok(Ok(stored)) => Event::RecordRead(stored),
        Ok(Err(_)) | Err(_) => Event::ReadFailed,
    }
}

pub(crate) async fn write(cx: &Shared, shard: u32, base: i64, record: &ShardRecord) -> Event {
    let text = serde_json::to_vec(record).expect("a record is JSON");
    match cx
        .kv
        .compare_and_swap(&record_key(shard), base, &text, 0)
        .await
    {
        Ok(SwapResult::Done(revision)) => Event::WriteCommitted { revision },
        Ok(SwapResult::Conflict(found)) => match stored(found) {
            Ok(stored) => Event::WriteConflict(stored),
            Err(_) => Event::WriteRefused,
        },
        Err(StoreError::Refused(_)) => Event::WriteRefused,
        Err(StoreError::Unknown(_)) => Event::WriteOutcomeUnknown,
    }
}

pub(crate) async fn recall(cx: &Shared, account: &str, from: &str, tokens: u64) -> Option<u64> {
    let addr = cx.peer_addr(from)?;
    let msg = RecallMsg {
        account: account.to_string(),
        to: cx.me.clone(),
        tokens,
    };
    let reply = cx
        .peers
        .call(&cx.metrics, &addr, method::RECALL, &msg)
        .await;
    reply.unwrap_or(None)
}

pub(crate) async fn ask_witness(
    cx: &Shared,
    account: &str,
    witness: &str,
    key: &str,
    upto: u64,
) -> Option<u64> {
    let addr = cx.peer_addr(witness)?;
    let msg = OpenMsg {
        account: account.to_string(),
        key: key.to_string(),
        upto,
    };
    let reply = cx.peers.call(&cx.metrics, &addr, method::OPEN, &msg).await;
    reply.unwrap_or(None)
}

/// Gives a copy of a settlement to an instance in another availability zone.
pub(crate) async fn copy(cx: &Shared, account: &str, post: Settlement) -> bool {
    let msg = KeepMsg {
        account: account.to_string(),
        post,
    };
    let zone = &cx.settings.zone;
    for member in cx.live().into_iter().filter(|m| m.zone != *zone) {
        let kept = cx
            .peers
            .call::<_, bool>(&cx.metrics, &member.peer_addr, method::KEEP, &msg)
            .await;
        if kept == Ok(true) {
            return true;
        }
    }
    false
}

/// Cancels a request at its upstream and returns what it spent.
pub(crate) async fn probe(cx: &Shared, at: &AttemptRef) -> Option<u64> {
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
