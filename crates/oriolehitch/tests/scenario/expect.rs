//! Checks the expectations of scenarios on responses, ledgers, budgets, instances and exit codes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::env::{RequestResult, TestEnv};
use crate::line::Line;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Default time within which an expectation must be met, in seconds: ledgers and budgets show changes late.
const DEFAULT_WITHIN_SECS: u64 = 30;

/// Checks one expectation. Results of requests are checked once, anything else repeatedly until the expectation is met
/// or its time is over.
pub(crate) async fn expect(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let what = line.word(1)?.to_string();
    if env.loads.contains_key(&what) {
        return check_load(env, line, &what);
    }
    if let Some(result) = env.results.get(&what) {
        return check_result(result, line);
    }
    let until = Instant::now() + Duration::from_secs(line.number("within", DEFAULT_WITHIN_SECS)?);
    loop {
        let outcome = match what.as_str() {
            "service" => check_service(env, line).await,
            "budget" => check_budget(env, line).await,
            "instance" => check_instance(env, line).await,
            "engine" => check_engine(env, line).await,
            "stranded" => check_stranded(env, line).await,
            "exit" => check_exit(env, line),
            _ => return Err(format!("unknown subject {what:?}")),
        };
        match outcome {
            Ok(()) => return Ok(()),
            Err(e) if Instant::now() > until => return Err(e),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Checks a value against the expected one, or against several separated by `|`; any value passes if none is expected.
fn check_field(name: &str, expected: Option<&str>, actual: Option<&str>) -> Result<(), String> {
    match expected {
        Some(expected) if !expected.split('|').any(|e| Some(e) == actual) => {
            Err(format!("{name}: expected {expected}, got {actual:?}"))
        }
        _ => Ok(()),
    }
}

fn check_result(result: &RequestResult, line: &Line) -> Result<(), String> {
    let status = result.status.map(|s| s.to_string());
    check_field(
        "status",
        line.field("status"),
        Some(status.as_deref().unwrap_or("none")),
    )?;
    check_field("code", line.field("code"), result.code.as_deref())?;
    check_field("ran", line.field("ran"), result.ran.as_deref())?;
    let retry = if result.retry_after.is_some() {
        "yes"
    } else {
        "no"
    };
    check_field("retry", line.field("retry"), Some(retry))?;
    if let Some(part) = line.field("has") {
        if !result.text.contains(part) {
            return Err(format!("{part:?} is not in {:?}", result.text));
        }
    }
    match line.field("whole") {
        Some(tokens) => check_complete(result, tokens.parse().map_err(|_| "not a number")?),
        None => Ok(()),
    }
}

/// Checks that a response has the given number of tokens, in order, all from one run of this request.
fn check_complete(result: &RequestResult, tokens: usize) -> Result<(), String> {
    if !result.ended {
        return Err(format!("the response is incomplete: {result:?}"));
    }
    let parts: Vec<&str> = result.text.split_whitespace().collect();
    let run = parts.first().and_then(|p| p.rsplit_once(':')).map(|p| p.0);
    let run = run.ok_or(format!("no tokens: {result:?}"))?;
    if !run.starts_with(&format!("{}~", result.id)) {
        return Err(format!(
            "the response is from run {run}, the request is {}",
            result.id
        ));
    }
    let expected: Vec<String> = (0..tokens).map(|i| format!("{run}:{i}")).collect();
    if parts != expected {
        return Err(format!(
            "{} tokens, expected {tokens}: {parts:?}",
            parts.len()
        ));
    }
    Ok(())
}

/// Checks the results of a load: at least `ok` requests, by default all, have a complete response, and every response
/// with status 200 and without an error is complete.
fn check_load(env: &TestEnv, line: &Line, name: &str) -> Result<(), String> {
    let tokens = line.number("whole", 10)? as usize;
    let mut ok = 0;
    let mut others: BTreeMap<String, u64> = BTreeMap::new();
    for one in &env.loads[name] {
        let result = env.results.get(one).ok_or(format!(
            "{one} has no result: the scenario has to wait for it"
        ))?;
        if result.status == Some(200) && result.code.is_none() {
            check_complete(result, tokens).map_err(|e| format!("{one}: {e}"))?;
            ok += 1;
        } else {
            let code = result.code.clone().unwrap_or_else(|| "broken".to_string());
            *others.entry(code).or_default() += 1;
        }
    }
    let min_ok = line.number("ok", env.loads[name].len() as u64)?;
    if ok < min_ok {
        return Err(format!(
            "{ok} complete responses, expected {min_ok}; others: {others:?}"
        ));
    }
    Ok(())
}

async fn get(env: &TestEnv, url: &str) -> Result<Value, String> {
    let res = env.http.get(url).send().await.map_err(|e| e.to_string())?;
    let status = res.status();
    let value: Value = res.json().await.map_err(|e| format!("{status}: {e}"))?;
    Ok(value)
}

/// Returns the ledgers of all running stubs that execute requests, or of those in a list of names.
async fn ledgers(env: &TestEnv, names: Option<&str>) -> Vec<Value> {
    let mut ledgers = Vec::new();
    for (name, process) in &env.processes {
        if names.is_some_and(|names| !names.split(',').any(|n| n == name)) {
            continue;
        }
        if let Ok(ledger) = get(env, &format!("{}/ledger", process.url)).await {
            if ledger["runs"].is_array() {
                ledgers.push(ledger);
            }
        }
    }
    ledgers
}

/// Checks how often plain services executed a request.
async fn check_service(env: &TestEnv, line: &Line) -> Result<(), String> {
    let request = line.field("runs-of").unwrap_or_default();
    let id = env
        .request_ids
        .get(request)
        .cloned()
        .unwrap_or_else(|| request.to_string());
    let ledgers = ledgers(env, None).await;
    let runs = ledgers
        .iter()
        .flat_map(|l| l["runs"].as_array().cloned().unwrap_or_default());
    let count = runs
        .filter(|r| r["request"] == id.as_str() && r["path"].is_string())
        .count();
    check_field("runs", line.field("is"), Some(&count.to_string()))
}

/// Checks one engine: the number of runs in its ledger, by stage, and the version that it serves.
async fn check_engine(env: &TestEnv, line: &Line) -> Result<(), String> {
    let url = &env.process(line.word(2)?)?.url;
    let ledger = get(env, &format!("{url}/ledger")).await?;
    let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
    let count = |s: &str| runs.iter().filter(|r| r["stage"] == s).count().to_string();
    check_field("runs", line.field("runs"), Some(&runs.len().to_string()))?;
    check_field(
        "cancelled",
        line.field("cancelled"),
        Some(&count("cancelled")),
    )?;
    check_field("done", line.field("done"), Some(&count("done")))?;
    let load = get(env, &format!("{url}/load")).await?;
    let version = load["versions"]["birch-7b"]["version"].as_str();
    check_field("version", line.field("version"), version)
}

/// Checks a budget, as its record in the platform's key-value service shows it, against the ledgers of all engines or of
/// those that the line names.
async fn check_budget(env: &TestEnv, line: &Line) -> Result<(), String> {
    let customer = line.word(2)?;
    let at = &env.process(line.field("at").unwrap_or("a"))?.admin;
    let row = get(env, &format!("{at}/admin/v1/budgets/{customer}")).await?;
    let bills = get(env, &format!("{at}/admin/v1/budgets/{customer}/bills")).await?;
    let bills = bills.as_array().cloned().unwrap_or_default();
    let mut served = 0;
    for ledger in ledgers(env, line.field("engines")).await {
        for run in ledger["runs"].as_array().into_iter().flatten() {
            if run["customer"] == customer {
                served += run["served"].as_u64().unwrap_or(0);
            }
        }
    }
    let total = row["total"].as_u64().unwrap_or(0);
    if served > total {
        return Err(format!(
            "overspent: {served} tokens served, {total} prepaid"
        ));
    }
    if line.field("spent") == Some("covered") {
        let number = |f: &str| row[f].as_u64().unwrap_or(0);
        let (spent, stranded) = (number("spent"), number("stranded"));
        if spent > served || served > spent + stranded {
            return Err(format!(
                "served {served}, spent {spent}, stranded {stranded}"
            ));
        }
    } else if line.field("spent") == Some("served") {
        check_field(
            "spent",
            Some(&served.to_string()),
            Some(&row["spent"].to_string()),
        )?;
    } else {
        check_field(
            "spent",
            line.field("spent"),
            Some(&row["spent"].to_string()),
        )?;
    }
    for field in ["total", "stranded", "held", "free", "written_off"] {
        check_field(field, line.field(field), Some(&row[field].to_string()))
            .map_err(|e| format!("{e}\n{}", format_account(&row["account"])))?;
    }
    check_field("bills", line.field("bills"), Some(&bills.len().to_string()))?;
    check_bills(env, &bills, line)
}

/// Formats the ledger and the transfers of an account, without the bills.
fn format_account(account: &Value) -> String {
    format!(
        "lines {} transfers {}",
        account["lines"], account["transfers"]
    )
}

/// Checks that no request has two bills, and that each completed request of a load has one.
fn check_bills(env: &TestEnv, bills: &[Value], line: &Line) -> Result<(), String> {
    let mut count: BTreeMap<&str, u64> = BTreeMap::new();
    for bill in bills {
        *count
            .entry(bill["request"].as_str().unwrap_or_default())
            .or_default() += 1;
    }
    if let Some((request, n)) = count.iter().find(|(_, n)| **n > 1) {
        return Err(format!("{request} has {n} bills"));
    }
    let Some(names) = line.field("billed").map(|l| env.loads.get(l)) else {
        return Ok(());
    };
    for name in names.ok_or("no such load")? {
        let result = &env.results[name];
        if result.status == Some(200)
            && result.ended
            && !count.contains_key(env.request_ids[name].as_str())
        {
            return Err(format!("{name} has a complete response but no bill"));
        }
    }
    Ok(())
}

/// Checks that fewer tokens of a budget are stranded than the line states.
async fn check_stranded(env: &TestEnv, line: &Line) -> Result<(), String> {
    let at = &env.process(line.field("at").unwrap_or("a"))?.admin;
    let row = get(env, &format!("{at}/admin/v1/budgets/{}", line.word(2)?)).await?;
    let tokens = row["stranded"]
        .as_u64()
        .ok_or("the budget has no number of stranded tokens")?;
    if tokens < line.number("below", 1)? {
        Ok(())
    } else {
        Err(format!(
            "{tokens} tokens stranded; {}",
            format_account(&row["account"])
        ))
    }
}

async fn check_instance(env: &TestEnv, line: &Line) -> Result<(), String> {
    let at = &env.process(line.word(2)?)?.admin;
    let dump = get(env, &format!("{at}/dump")).await?;
    let revision = dump["config"]["revision"].as_u64().unwrap_or(0).to_string();
    check_field("revision", line.field("revision"), Some(&revision))?;
    let ready = if dump["ready"] == true { "yes" } else { "no" };
    check_field("ready", line.field("ready"), Some(ready))?;
    let members = dump["members"].as_array().map_or(0, |m| {
        let live =
            |m: &&Value| m["member"]["standing"] == "live" && m["silent_ms"].as_u64() < Some(4000);
        m.iter().filter(live).count()
    });
    check_field("live", line.field("live"), Some(&members.to_string()))?;
    let upstreams = dump["upstreams"].as_array().cloned().unwrap_or_default();
    let usable = upstreams
        .iter()
        .filter(|u| u["upstream"]["leaving"] == false)
        .count();
    check_field(
        "upstreams",
        line.field("upstreams"),
        Some(&usable.to_string()),
    )
}

fn check_exit(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let name = line.word(2)?;
    let process = env
        .processes
        .get_mut(name)
        .ok_or(format!("no process {name}"))?;
    let status = process.child.try_wait().map_err(|e| e.to_string())?;
    let status = status.ok_or(format!("{name} is still running"))?;
    let code = status.code().unwrap_or(-1).to_string();
    check_field("code", Some(line.field("code").unwrap_or("0")), Some(&code))
}
