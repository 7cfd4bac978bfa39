//! The HTTP API for operators.

use std::sync::Arc;

use budget::{placement, Account, OperatorCommand, OperatorReply, ShardRecord};
use conf::Config;
use err::{Error, Kind};
use serde::Deserialize;
use serde_json::{json, Value};
use web::{BodyError, Req, Res};

use crate::budget_io::{record_key, segment_key};
use crate::callers::{body_error, error_response};
use crate::config_change::{self, ChangeRequest};
use crate::event::Event;
use crate::registry;
use crate::shared_state::{ActiveConfig, SharedState};

/// `Retry-After` of commands whose outcome is unknown and of reads that failed, in seconds.
const RETRY_AFTER_SECS: u32 = 2;

/// Handles the requests of operators.
pub struct AdminService {
    /// The state of the instance.
    pub shared: Arc<SharedState>,
}

impl web::Service for AdminService {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let shared = &self.shared;
        let response = match (req.method.as_str(), req.segments().as_slice()) {
            ("GET", ["healthz"]) => Ok(Res::new(200, "text/plain", "ok\n")),
            ("GET", ["readyz"]) => Ok(readiness(shared)),
            ("GET", ["metrics"]) => Ok(metrics(shared)),
            _ => match authorize(shared, &req) {
                Ok(()) => dispatch(shared, &req).await,
                Err(e) => Err(e),
            },
        };
        response.unwrap_or_else(|e| error_response(shared, &e))
    }

    fn admit(&self, req: &Req) -> Result<(), Res> {
        if is_public(req) {
            return Ok(());
        }
        authorize(&self.shared, req).map_err(|e| error_response(&self.shared, &e))
    }

    fn unreadable_body(&self, error: BodyError) -> Res {
        error_response(&self.shared, &body_error(&self.shared, error))
    }
}

/// Returns whether a request needs no key; one with a body does.
fn is_public(req: &Req) -> bool {
    let is_report = matches!(
        (req.method.as_str(), req.segments().as_slice()),
        ("GET", ["healthz" | "readyz" | "metrics"])
    );
    is_report && !req.announces_body()
}

fn readiness(shared: &SharedState) -> Res {
    if shared.is_ready() {
        return Res::new(200, "text/plain", "ready\n");
    }
    let why = if shared.active_config().is_none() {
        "no configuration\n"
    } else {
        "stopping\n"
    };
    Res::new(503, "text/plain", why)
}

fn metrics(shared: &SharedState) -> Res {
    let counts = shared.kv.counts();
    let load = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
    shared
        .metrics
        .set_platform_calls("read", load(&counts.reads));
    shared
        .metrics
        .set_platform_calls("write", load(&counts.writes));
    shared
        .metrics
        .set_platform_calls("watch", load(&counts.watches));
    shared
        .metrics
        .set_platform_calls("failure", load(&counts.failures));
    let media = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Res::new(200, media, shared.metrics.encode_text())
}

fn authorize(shared: &SharedState, req: &Req) -> Result<(), Error> {
    let unauthorized = |m: &str| Err(Error::new(Kind::UnknownKey, m));
    match &shared.settings.admin_key {
        None if req.remote_addr.ip().is_loopback() => Ok(()),
        None => unauthorized(
            "without admin_key in the settings, the admin API accepts loopback connections only",
        ),
        Some(key) => {
            let header = req.header("authorization").unwrap_or_default();
            let presented = header.strip_prefix("Bearer ").unwrap_or_default();
            // Comparing hashes prevents a timing attack on the key.
            if conf::customer::hash_key(presented) == conf::customer::hash_key(key) {
                Ok(())
            } else {
                unauthorized("invalid admin key")
            }
        }
    }
}

async fn dispatch(shared: &Arc<SharedState>, req: &Req) -> Result<Res, Error> {
    let path = req.segments();
    match (req.method.as_str(), path.as_slice()) {
        ("GET", ["dump"]) => Ok(dump(shared).await),
        ("GET", ["dump", "requests", id]) => Ok(Res::json(200, &shared.journal.steps_of(id))),
        ("GET", ["admin", "v1", "config"]) => {
            let active = active_config(shared)?;
            let revision = active.bundle.head.revision;
            let body = json!({"revision": revision, "config": active.config});
            Ok(Res::json(200, &body).with_header("etag", revision.to_string()))
        }
        ("PUT", ["admin", "v1", "config"]) => put_config(shared, req).await,
        ("GET", ["admin", "v1", "history"]) => {
            Ok(Res::json(200, &active_config(shared)?.bundle.head.history))
        }
        ("GET", ["admin", "v1", "instances"]) => Ok(instances(shared)),
        ("GET", ["admin", "v1", "upstreams"]) => Ok(upstreams(shared)),
        ("GET", ["admin", "v1", "budgets"]) => budgets(shared).await,
        ("GET", ["admin", "v1", "budgets", name]) => budget(shared, name).await,
        ("GET", ["admin", "v1", "budgets", name, "bills"]) => bills(shared, name).await,
        ("POST", ["admin", "v1", "budgets", name, "topups"]) => top_up(shared, name, req).await,
        ("POST", ["fault"]) if shared.settings.faults == Some(true) => {
            let addrs: Vec<String> = req.json().map_err(|e| Error::new(Kind::BadRequest, e))?;
            shared.peers.set_blocked(addrs);
            Ok(Res::json(200, &json!({"ok": true})))
        }
        ("GET", ["admin", "v1", "stranded"]) => stranded(shared).await,
        ("POST", ["admin", "v1", "stranded", name, "release"]) => release(shared, name, req).await,
        (method, _) => {
            let message = format!("no such endpoint: {method} {}", req.path);
            Err(Error::new(Kind::NotFound, message))
        }
    }
}

fn active_config(shared: &SharedState) -> Result<Arc<ActiveConfig>, Error> {
    let none = || {
        Error::new(
            Kind::NotConfigured,
            "this instance has no configuration yet",
        )
    };
    shared.active_config().ok_or_else(none)
}

async fn dump(shared: &SharedState) -> Res {
    let budgets = shared.budgets.dump().await;
    let mut settings = serde_json::to_value(&shared.settings).unwrap_or_default();
    if let Some(key) = settings.get_mut("admin_key").filter(|k| !k.is_null()) {
        *key = json!("(hidden)");
    }
    let head = shared.active_config().map(|a| a.bundle.head.clone());
    Res::json(
        200,
        &json!({
            "instance": shared.own_id,
            "settings": settings,
            "ready": shared.is_ready(),
            "busy": *shared.in_flight.borrow(),
            "config": head,
            "members": members(shared),
            "upstreams": upstream_rows(shared),
            "waiting": shared.wait_queues.lock().expect("lock not poisoned").lengths(),
            "budgets": budgets,
        }),
    )
}

fn members(shared: &SharedState) -> Vec<Value> {
    let members = shared.members.lock().expect("lock not poisoned");
    let all = members.all(shared.clock.now());
    let row = |(m, silent_ms)| json!({"member": m, "silent_ms": silent_ms});
    all.into_iter().map(row).collect()
}

fn instances(shared: &SharedState) -> Res {
    Res::json(200, &members(shared))
}

fn upstream_rows(shared: &SharedState) -> Vec<Value> {
    let now = shared.clock.now();
    let pool = shared.pool.lock().expect("lock not poisoned");
    let row = |(_, u): (_, &route::Upstream)| {
        let why_not = if u.leaving {
            Some("leaving")
        } else if u.is_ejected(now) {
            Some("ejected")
        } else {
            None
        };
        json!({"upstream": u, "occupancy": u.occupancy(now), "why_not": why_not})
    };
    pool.iter().map(row).collect()
}

fn upstreams(shared: &SharedState) -> Res {
    Res::json(200, &upstream_rows(shared))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutConfig {
    config: Value,
    change_id: String,
    who: String,
    what: String,
    #[serde(default)]
    dry_run: bool,
}

async fn put_config(shared: &Arc<SharedState>, req: &Req) -> Result<Res, Error> {
    let bad_request = |m: String| Error::new(Kind::BadRequest, m);
    let body: PutConfig = req.json().map_err(bad_request)?;
    let expected = req
        .header("if-match")
        .and_then(|r| r.trim_matches('"').parse().ok());
    let expected = expected.ok_or_else(|| {
        bad_request("If-Match: expected the revision that this change is based on".to_string())
    })?;
    let config = Config::parse(&body.config.to_string()).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        bad_request(lines.join("\n"))
    })?;
    if body.dry_run {
        return Ok(Res::json(
            200,
            &json!({"dry_run": true, "revision": expected + 1}),
        ));
    }
    let request = ChangeRequest {
        config,
        expected_revision: expected,
        change_id: body.change_id,
        operator: body.who,
        summary: body.what,
    };
    let revision = config_change::commit(shared, request).await?;
    Ok(Res::json(200, &json!({"revision": revision})))
}

/// Reads the record of a shard from the store.
async fn read_record(shared: &SharedState, shard: u32) -> Result<ShardRecord, Error> {
    let unreachable = || {
        let message = "the platform's key-value store is unreachable";
        Error::new(Kind::PlatformDown, message).retry_after(RETRY_AFTER_SECS)
    };
    let found = shared
        .kv
        .get(&record_key(shard))
        .await
        .map_err(|_| unreachable())?;
    let Some(found) = found else {
        return Ok(ShardRecord::default());
    };
    let invalid = |e: serde_json::Error| Error::new(Kind::Internal, e.to_string());
    serde_json::from_slice(&found.value).map_err(invalid)
}

fn budget_row(shared: &SharedState, name: &str, account: &Account) -> Value {
    let live: Vec<String> = shared.live_instances().into_iter().map(|m| m.id).collect();
    let is_live = |h: &String| live.contains(h);
    let unspent = |h: &String| account.unspent(h);
    let holders = account.ledger.keys();
    let held: u64 = holders.clone().filter(|h| is_live(h)).map(unspent).sum();
    let unopened: u64 = account
        .joint_grants
        .values()
        .map(|j| j.granted - j.opened)
        .sum();
    let held = held + unopened;
    let stranded: u64 = holders.filter(|h| !is_live(h)).map(unspent).sum();
    let written_off: u64 = account.ledger.values().map(|l| l.written_off).sum();
    json!({
        "customer": name,
        "total": account.total(),
        "spent": account.settled(),
        "left": account.total().saturating_sub(account.settled()),
        "free": account.free(),
        "held": held,
        "stranded": stranded,
        "written_off": written_off,
    })
}

async fn budgets(shared: &SharedState) -> Result<Res, Error> {
    let mut rows = Vec::new();
    for shard in 0..shared.settings.shards() {
        let record = read_record(shared, shard).await?;
        rows.extend(
            record
                .accounts
                .iter()
                .map(|(n, a)| budget_row(shared, n, a)),
        );
    }
    Ok(Res::json(200, &rows))
}

async fn read_account(shared: &SharedState, name: &str) -> Result<Account, Error> {
    let shard = placement::shard_of(name, shared.settings.shards());
    let mut record = read_record(shared, shard).await?;
    let none = || Error::new(Kind::NotFound, format!("customer {name:?} has no budget"));
    record.accounts.remove(name).ok_or_else(none)
}

async fn budget(shared: &SharedState, name: &str) -> Result<Res, Error> {
    let account = read_account(shared, name).await?;
    let mut row = budget_row(shared, name, &account);
    row["account"] = json!(account);
    Ok(Res::json(200, &row))
}

async fn bills(shared: &SharedState, name: &str) -> Result<Res, Error> {
    let shard = placement::shard_of(name, shared.settings.shards());
    let record = read_record(shared, shard).await?;
    let mut bills = Vec::new();
    let mut next = record.last_segment.clone();
    while let Some(segment) = next {
        let key = segment_key(shard, &segment);
        let found = shared.kv.get(&key).await.ok().flatten();
        let found = found.ok_or_else(|| {
            Error::new(
                Kind::PlatformDown,
                "a segment of the bills could not be read",
            )
        })?;
        let invalid = |e: serde_json::Error| Error::new(Kind::Internal, e.to_string());
        let mut segment: budget::record::BillSegment =
            serde_json::from_slice(&found.value).map_err(invalid)?;
        let older = segment.bills.remove(name).unwrap_or_default();
        bills.splice(0..0, older);
        next = segment.prev;
    }
    if let Some(account) = record.accounts.get(name) {
        bills.extend(account.bills.iter().cloned());
    }
    Ok(Res::json(200, &bills))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TopUp {
    id: String,
    tokens: u64,
}

/// Maximum number of tokens of a top-up: the sum of thousands of them does not overflow.
const MAX_TOPUP_TOKENS: u64 = 1 << 50;

async fn top_up(shared: &SharedState, name: &str, req: &Req) -> Result<Res, Error> {
    let bad_request = |m: String| Error::new(Kind::BadRequest, m);
    let TopUp { id, tokens } = req.json().map_err(bad_request)?;
    if tokens == 0 || tokens > MAX_TOPUP_TOKENS || id.is_empty() {
        let message =
            format!("/tokens must be between 1 and {MAX_TOPUP_TOKENS}, and /id must not be empty");
        return Err(bad_request(message));
    }
    let exists = active_config(shared)?.config.customers.contains_key(name);
    if !exists {
        let message = format!("unknown customer {name:?}");
        return Err(Error::new(Kind::NotFound, message));
    }
    let command = OperatorCommand::TopUp {
        id: id.clone(),
        tokens,
    };
    let reply = run_command(shared, name, command).await?;
    shared.log(
        Event::BudgetToppedUp,
        format!("{name}: {tokens} tokens, id {id}"),
    );
    Ok(reply)
}

async fn run_command(
    shared: &SharedState,
    name: &str,
    command: OperatorCommand,
) -> Result<Res, Error> {
    const COMMAND_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
    let result = tokio::time::timeout(
        COMMAND_TIMEOUT,
        shared.budgets.run_operator_command(name, command),
    )
    .await;
    match result {
        Ok(Some(OperatorReply::Done(tokens))) => Ok(Res::json(200, &json!({"tokens": tokens}))),
        Ok(Some(OperatorReply::IdReused(old))) => Err(Error::new(
            Kind::IdReused,
            format!("this id was already used for {old} tokens"),
        )),
        Ok(Some(OperatorReply::Unknown) | None) | Err(_) => {
            let message = "the platform did not respond: the command may still take effect; send it again with the same id";
            Err(Error::new(Kind::OutcomeUnknown, message).retry_after(RETRY_AFTER_SECS))
        }
    }
}

async fn stranded(shared: &SharedState) -> Result<Res, Error> {
    let live: Vec<String> = shared.live_instances().into_iter().map(|m| m.id).collect();
    let mut rows = Vec::new();
    for shard in 0..shared.settings.shards() {
        let record = read_record(shared, shard).await?;
        for (name, account) in &record.accounts {
            for holder in account.ledger.keys().filter(|h| !live.contains(h)) {
                let tokens = account.unspent(holder);
                if tokens > 0 {
                    rows.push(json!({"customer": name, "holder": holder, "tokens": tokens}));
                }
            }
        }
    }
    Ok(Res::json(200, &rows))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Release {
    id: String,
    holder: String,
    reason: String,
    who: String,
}

async fn release(shared: &SharedState, name: &str, req: &Req) -> Result<Res, Error> {
    let bad_request = |m: String| Error::new(Kind::BadRequest, m);
    let Release {
        id,
        holder,
        reason,
        who,
    } = req.json().map_err(bad_request)?;
    if reason.trim().is_empty() {
        return Err(bad_request(
            "/reason: expected the reason why the holder can't act any more".to_string(),
        ));
    }
    if shared.live_instances().iter().any(|m| m.id == holder)
        || registry::may_be_alive(shared, &holder).await
    {
        let message =
            format!("{holder} may still live: releasing its tokens could overspend the budget");
        return Err(Error::new(Kind::Conflict, message));
    }
    let detail = format!("{name}: tokens of {holder}, released by {who}: {reason}");
    let command = OperatorCommand::Release {
        id,
        holder,
        reason,
        operator: who,
    };
    let reply = run_command(shared, name, command).await?;
    shared.log(Event::TokensReleased, detail);
    Ok(reply)
}

#[cfg(test)]
#[path = "../tests/encoding/admin.rs"]
mod encoding;
