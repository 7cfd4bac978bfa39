//! The listener for operators.

use std::sync::Arc;

use budget::{placement, Account, OperatorCommand, OperatorReply, ShardRecord};
use conf::Config;
use err::{Error, Kind};
use serde::Deserialize;
use serde_json::{json, Value};
use web::{Req, Res};

use crate::accept::{self, Wish};
use crate::bank_io::{record_key, segment_key};
use crate::callers::refusal;
use crate::event::Event;
use crate::registry;
use crate::shared::{Active, Shared};

/// When to come back after an act without an answer, in seconds.
const RETRY_SECS: u32 = 2;

/// Answers operators.
pub struct Admin {
    /// What the instance's tasks share.
    pub shared: Arc<Shared>,
}

impl web::Service for Admin {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let shared = &self.shared;
        let answered = match (req.method.as_str(), req.segments().as_slice()) {
            ("GET", ["healthz"]) => Ok(Res::new(200, "text/plain", "ok\n")),
            ("GET", ["readyz"]) => Ok(ready(shared)),
            ("GET", ["metrics"]) => Ok(metrics(shared)),
            _ => match authorize(shared, &req) {
                Ok(()) => act(shared, &req).await,
                Err(e) => Err(e),
            },
        };
        answered.unwrap_or_else(|e| refusal(shared, &e))
    }
}

fn ready(shared: &Shared) -> Res {
    if shared.is_ready() {
        return Res::new(200, "text/plain", "ready\n");
    }
    let why = if shared.active().is_none() {
        "no configuration\n"
    } else {
        "stopping\n"
    };
    Res::new(503, "text/plain", why)
}

fn metrics(shared: &Shared) -> Res {
    let counts = shared.kv.counts();
    let load = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
    shared.metrics.platform("read", load(&counts.reads));
    shared.metrics.platform("write", load(&counts.writes));
    shared.metrics.platform("watch", load(&counts.watches));
    shared.metrics.platform("failure", load(&counts.failures));
    let media = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Res::new(200, media, shared.metrics.text())
}

fn authorize(shared: &Shared, req: &Req) -> Result<(), Error> {
    let refused = |m: &str| Err(Error::new(Kind::UnknownKey, m));
    match &shared.settings.admin_key {
        None if req.remote_addr.ip().is_loopback() => Ok(()),
        None => refused("without an admin_key in the settings, only loopback may act"),
        Some(key) => {
            let header = req.header("authorization").unwrap_or_default();
            let shown = header.strip_prefix("Bearer ").unwrap_or_default();
            // Hashes are compared, so that the time taken tells nothing of the key.
            if conf::customer::hash_key(shown) == conf::customer::hash_key(key) {
                Ok(())
            } else {
                refused("the admin key is wrong")
            }
        }
    }
}

async fn act(shared: &Arc<Shared>, req: &Req) -> Result<Res, Error> {
    let path = req.segments();
    match (req.method.as_str(), path.as_slice()) {
        ("GET", ["dump"]) => Ok(dump(shared).await),
        ("GET", ["dump", "requests", id]) => Ok(Res::json(200, &shared.journal.get(id))),
        ("GET", ["admin", "v1", "config"]) => {
            let active = active(shared)?;
            let revision = active.bundle.head.revision;
            let body = json!({"revision": revision, "config": active.config});
            Ok(Res::json(200, &body).with_header("etag", revision.to_string()))
        }
        ("PUT", ["admin", "v1", "config"]) => put_config(shared, req).await,
        ("GET", ["admin", "v1", "history"]) => {
            Ok(Res::json(200, &active(shared)?.bundle.head.history))
        }
        ("GET", ["admin", "v1", "instances"]) => Ok(instances(shared)),
        ("GET", ["admin", "v1", "upstreams"]) => Ok(upstreams(shared)),
        ("GET", ["admin", "v1", "budgets"]) => budgets(shared).await,
        ("GET", ["admin", "v1", "budgets", name]) => budget(shared, name).await,
        ("GET", ["admin", "v1", "budgets", name, "bills"]) => bills(shared, name).await,
        ("POST", ["admin", "v1", "budgets", name, "topups"]) => top_up(shared, name, req).await,
        ("POST", ["fault"]) if shared.settings.faults == Some(true) => {
            let cut: Vec<String> = req.json().map_err(|e| Error::new(Kind::BadRequest, e))?;
            shared.peers.set_cut(cut);
            Ok(Res::json(200, &json!({"ok": true})))
        }
        ("GET", ["admin", "v1", "stranded"]) => stranded(shared).await,
        ("POST", ["admin", "v1", "stranded", name, "release"]) => release(shared, name, req).await,
        (method, _) => {
            let message = format!("there is nothing at {method} {}", req.path);
            Err(Error::new(Kind::NotFound, message))
        }
    }
}

fn active(shared: &Shared) -> Result<Arc<Active>, Error> {
    let none = || Error::new(Kind::NotConfigured, "no configuration yet");
    shared.active().ok_or_else(none)
}

async fn dump(shared: &Shared) -> Res {
    let bank = shared.bank.dump().await;
    let mut settings = serde_json::to_value(&shared.settings).unwrap_or_default();
    if let Some(key) = settings.get_mut("admin_key").filter(|k| !k.is_null()) {
        *key = json!("(hidden)");
    }
    let head = shared.active().map(|a| a.bundle.head.clone());
    Res::json(
        200,
        &json!({
            "instance": shared.me,
            "settings": settings,
            "ready": shared.is_ready(),
            "busy": *shared.busy.borrow(),
            "config": head,
            "members": members(shared),
            "upstreams": upstream_rows(shared),
            "waiting": shared.admission.lock().expect("no panic inside").waiting(),
            "budgets": bank,
        }),
    )
}

fn members(shared: &Shared) -> Vec<Value> {
    let members = shared.members.lock().expect("no panic inside");
    let all = members.all(shared.clock.now());
    let row = |(m, silent_ms)| json!({"member": m, "silent_ms": silent_ms});
    all.into_iter().map(row).collect()
}

fn instances(shared: &Shared) -> Res {
    Res::json(200, &members(shared))
}

fn upstream_rows(shared: &Shared) -> Vec<Value> {
    let now = shared.clock.now();
    let pool = shared.pool.lock().expect("no panic inside");
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

fn upstreams(shared: &Shared) -> Res {
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

async fn put_config(shared: &Arc<Shared>, req: &Req) -> Result<Res, Error> {
    let bad = |m: String| Error::new(Kind::BadRequest, m);
    let put: PutConfig = req.json().map_err(bad)?;
    let expected = req
        .header("if-match")
        .and_then(|r| r.trim_matches('"').parse().ok());
    let expected = expected.ok_or_else(|| {
        bad("If-Match: the revision that this change starts from is wanted".to_string())
    })?;
    let config = Config::parse(&put.config.to_string()).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        bad(lines.join("\n"))
    })?;
    if put.dry_run {
        return Ok(Res::json(
            200,
            &json!({"dry_run": true, "revision": expected + 1}),
        ));
    }
    let wish = Wish {
        config,
        expected,
        change_id: put.change_id,
        who: put.who,
        what: put.what,
    };
    let revision = accept::accept(shared, wish).await?;
    Ok(Res::json(200, &json!({"revision": revision})))
}

/// Reads the record of a shard.
async fn record(shared: &Shared, shard: u32) -> Result<ShardRecord, Error> {
    let down = || {
        let message = "the platform's service can't be reached";
        Error::new(Kind::PlatformDown, message).retry_after(RETRY_SECS)
    };
    let found = shared
        .kv
        .get(&record_key(shard))
        .await
        .map_err(|_| down())?;
    let Some(found) = found else {
        return Ok(ShardRecord::default());
    };
    let broken = |e: serde_json::Error| Error::new(Kind::Internal, e.to_string());
    serde_json::from_slice(&found.value).map_err(broken)
}

fn budget_row(shared: &Shared, name: &str, account: &Account) -> Value {
    let live: Vec<String> = shared.live().into_iter().map(|m| m.id).collect();
    let is_live = |h: &String| live.contains(h);
    let unspent = |h: &String| account.unspent(h);
    let lines = account.ledger.keys();
    let held: u64 = lines.clone().filter(|h| is_live(h)).map(unspent).sum();
    let joints: u64 = account
        .joint_grants
        .values()
        .map(|j| j.granted - j.opened)
        .sum();
    let held = held + joints;
    let stranded: u64 = lines.filter(|h| !is_live(h)).map(unspent).sum();
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

async fn budgets(shared: &Shared) -> Result<Res, Error> {
    let mut rows = Vec::new();
    for shard in 0..shared.settings.shards() {
        let record = record(shared, shard).await?;
        rows.extend(
            record
                .accounts
                .iter()
                .map(|(n, a)| budget_row(shared, n, a)),
        );
    }
    Ok(Res::json(200, &rows))
}

async fn account(shared: &Shared, name: &str) -> Result<Account, Error> {
    let shard = placement::shard_of(name, shared.settings.shards());
    let mut record = record(shared, shard).await?;
    let none = || Error::new(Kind::NotFound, format!("customer {name:?} has no budget"));
    record.accounts.remove(name).ok_or_else(none)
}

async fn budget(shared: &Shared, name: &str) -> Result<Res, Error> {
    let account = account(shared, name).await?;
    let mut row = budget_row(shared, name, &account);
    row["account"] = json!(account);
    Ok(Res::json(200, &row))
}

async fn bills(shared: &Shared, name: &str) -> Result<Res, Error> {
    let shard = placement::shard_of(name, shared.settings.shards());
    let record = record(shared, shard).await?;
    let mut bills = Vec::new();
    let mut next = record.last_segment.clone();
    while let Some(segment) = next {
        let key = segment_key(shard, &segment);
        let found = shared.kv.get(&key).await.ok().flatten();
        let found = found.ok_or_else(|| Error::new(Kind::PlatformDown, "a segment is missing"))?;
        let broken = |e: serde_json::Error| Error::new(Kind::Internal, e.to_string());
        let mut segment: budget::record::BillSegment =
            serde_json::from_slice(&found.value).map_err(broken)?;
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

/// The most tokens of one top-up: sums of thousands of them stay far from overflow.
const TOPUP_MOST: u64 = 1 << 50;

async fn top_up(shared: &Shared, name: &str, req: &Req) -> Result<Res, Error> {
    let bad = |m: String| Error::new(Kind::BadRequest, m);
    let TopUp { id, tokens } = req.json().map_err(bad)?;
    if tokens == 0 || tokens > TOPUP_MOST || id.is_empty() {
        let message = format!("/tokens: 1 to {TOPUP_MOST} are wanted, and an /id");
        return Err(bad(message));
    }
    let known = active(shared)?.config.customers.contains_key(name);
    if !known {
        let message = format!("there is no customer {name:?}");
        return Err(Error::new(Kind::NotFound, message));
    }
    let act = OperatorCommand::TopUp {
        id: id.clone(),
        tokens,
    };
    let reply = carry_out(shared, name, act).await?;
    shared.log(Event::ToppedUp, format!("{name}: {tokens} tokens, id {id}"));
    Ok(reply)
}

async fn carry_out(shared: &Shared, name: &str, act: OperatorCommand) -> Result<Res, Error> {
    const WAIT: std::time::Duration = std::time::Duration::from_secs(10);
    let acted = tokio::time::timeout(WAIT, shared.bank.act(name, act)).await;
    match acted {
        Ok(Some(OperatorReply::Done(tokens))) => Ok(Res::json(200, &json!({"tokens": tokens}))),
        Ok(Some(OperatorReply::IdReused(old))) => Err(Error::new(
            Kind::IdReused,
            format!("this id was used for {old} tokens"),
        )),
        Ok(Some(OperatorReply::Unknown) | None) | Err(_) => {
            let message = "the platform does not answer: the act may come into force; send it again with the same id";
            Err(Error::new(Kind::OutcomeUnknown, message).retry_after(RETRY_SECS))
        }
    }
}

async fn stranded(shared: &Shared) -> Result<Res, Error> {
    let live: Vec<String> = shared.live().into_iter().map(|m| m.id).collect();
    let mut rows = Vec::new();
    for shard in 0..shared.settings.shards() {
        let record = record(shared, shard).await?;
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

async fn release(shared: &Shared, name: &str, req: &Req) -> Result<Res, Error> {
    let bad = |m: String| Error::new(Kind::BadRequest, m);
    let Release {
        id,
        holder,
        reason,
        who,
    } = req.json().map_err(bad)?;
    if reason.trim().is_empty() {
        return Err(bad("/reason: why the holder can't act any more".to_string()));
    }
    if shared.live().iter().any(|m| m.id == holder) || registry::may_live(shared, &holder).await {
        let message =
            format!("{holder} may still live: releasing what it holds could exceed the budget");
        return Err(Error::new(Kind::Conflict, message));
    }
    let what = format!("{name}: held by {holder}, by {who}: {reason}");
    let act = OperatorCommand::Release {
        id,
        holder,
        reason,
        operator: who,
    };
    let reply = carry_out(shared, name, act).await?;
    shared.log(Event::Released, what);
    Ok(reply)
}

#[cfg(test)]
#[path = "../tests/encoding/admin.rs"]
mod encoding;
