//! Store calls and messages to other instances and upstreams, on behalf of the budget task.

use std::time::Duration;

use budget::msg::{AttemptRef, RecordSnapshot};
use budget::{Event, Settlement, ShardRecord};
use kv::{KeyValue, StoreError, SwapResult};
use serde_json::Value;

use crate::event;
use crate::messages::{method, OpenStepMsg, RecallMsg, StoreCopyMsg};
use crate::peer_clients::PeerRef;
use crate::shared_state::SharedState;
use crate::upstream_body;

/// Timeout of a call that cancels an attempt at an upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the store key of a shard's record.
pub fn record_key(shard: u32) -> String {
    format!("/oriolehitch/budget/{shard:04}")
}

/// Returns the store key of a segment with older bills.
pub fn segment_key(shard: u32, name: &str) -> String {
    format!("/oriolehitch/bill/{shard:04}/{name}")
}

pub(crate) fn parse_snapshot(found: Option<KeyValue>) -> Result<Option<RecordSnapshot>, String> {
    let Some(found) = found else {
        return Ok(None);
    };
    let record: ShardRecord = serde_json::from_slice(&found.value).map_err(|e| e.to_string())?;
    let revision = found.revision;
    Ok(Some(RecordSnapshot { revision, record }))
}

pub(crate) async fn read_record(shared: &SharedState, shard: u32) -> Event {
    let found = shared.kv.get(&record_key(shard)).await;
    let failure = match found.map(parse_snapshot) {
        Ok(Ok(snapshot)) => return Event::RecordRead(snapshot),
        Ok(Err(e)) => e,
        Err(e) => format!("{e:?}"),
    };
    log_failure(shared, shard, "read", &failure);
    Event::ReadFailed
}

pub(crate) async fn write_record(
    shared: &SharedState,
    shard: u32,
    base_revision: i64,
    record: &ShardRecord,
) -> Event {
    let value = serde_json::to_vec(record).expect("a record serializes");
    let swapped = shared
        .kv
        .compare_and_swap(&record_key(shard), base_revision, &value, 0)
        .await;
    let (event, failure) = match swapped {
        Ok(SwapResult::Done(revision)) => return Event::WriteCommitted { revision },
        Ok(SwapResult::Conflict(found)) => match parse_snapshot(found) {
            Ok(snapshot) => return Event::WriteConflict(snapshot),
            Err(e) => (Event::WriteRefused, e),
        },
        Err(StoreError::Refused(e)) => (Event::WriteRefused, e),
        Err(StoreError::Unknown(e)) => (Event::WriteOutcomeUnknown, e),
    };
    log_failure(shared, shard, "write", &failure);
    event
}

fn log_failure(shared: &SharedState, shard: u32, call: &str, failure: &str) {
    let detail = format!("{call} of shard {shard}: {failure}");
    shared.log(event::Event::BudgetCallFailed, detail);
}

pub(crate) async fn recall_tokens(
    shared: &SharedState,
    account: &str,
    from: &str,
    tokens: u64,
) -> Option<u64> {
    let peer = shared.peer(from)?;
    let msg = RecallMsg {
        account: account.to_string(),
        to: shared.own_id.clone(),
        tokens,
    };
    let reply = shared
        .peers
        .call(&shared.metrics, &peer, method::RECALL, &msg)
        .await;
    reply.unwrap_or(None)
}

pub(crate) async fn request_step(
    shared: &SharedState,
    account: &str,
    witness: &str,
    key: &str,
    up_to: u64,
) -> Option<u64> {
    let peer = shared.peer(witness)?;
    let msg = OpenStepMsg {
        account: account.to_string(),
        key: key.to_string(),
        up_to,
    };
    let reply = shared
        .peers
        .call(&shared.metrics, &peer, method::OPEN_STEP, &msg)
        .await;
    reply.unwrap_or(None)
}

/// Stores a copy of a settlement at an instance in another availability zone; returns whether one
/// confirmed it.
pub(crate) async fn send_copy(shared: &SharedState, account: &str, settlement: Settlement) -> bool {
    let msg = StoreCopyMsg {
        account: account.to_string(),
        settlement,
    };
    let zone = &shared.settings.zone;
    for member in shared
        .live_instances()
        .into_iter()
        .filter(|m| m.zone != *zone)
    {
        let peer = PeerRef::from(&member);
        let stored = shared
            .peers
            .call::<_, bool>(&shared.metrics, &peer, method::STORE_COPY, &msg)
            .await;
        if stored == Ok(true) {
            return true;
        }
    }
    false
}

/// Cancels an attempt at its upstream; returns the tokens that it spent, or `None` if they could
/// not be determined.
pub(crate) async fn cancel_attempt(shared: &SharedState, attempt: &AttemptRef) -> Option<u64> {
    let url = {
        let pool = shared.pool.lock().expect("lock not poisoned");
        let key = pool.find(&attempt.upstream)?;
        pool.get(key).spec.url.clone()
    };
    let url = format!("{url}/v1/requests/{}/cancel", attempt.id);
    let sent = shared.http.post(url).timeout(CANCEL_TIMEOUT).send().await;
    let usage: Value = upstream_body::read_reply(sent.ok()?).await?;
    match usage["known"].as_bool()? {
        true => usage["total_tokens"].as_u64(),
        // The upstream does not know the attempt and will refuse it if it still arrives, so it
        // spends nothing.
        false => (usage["refused_from_now"] == true).then_some(0),
    }
}
