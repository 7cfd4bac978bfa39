//! What a scenario expects: of answers, ledgers, budgets, instances and exits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::line::Line;
use crate::stage::{Got, Stage};

const LOOK: Duration = Duration::from_millis(100);
/// Ledgers and budgets may take this long to show what happened, in seconds.
const WITHIN: u64 = 30;

/// Checks one line; what takes time is looked at again until its time is over.
pub(crate) async fn expect(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let what = line.word(1)?.to_string();
    if stage.loads.contains_key(&what) {
        return load(stage, line, &what);
    }
    if let Some(got) = stage.got.get(&what) {
        return answer(got, line);
    }
    let until = Instant::now() + Duration::from_secs(line.number("within", WITHIN)?);
    loop {
        let seen = match what.as_str() {
            "service" => service(stage, line).await,
            "budget" => budget(stage, line).await,
            "instance" => instance(stage, line).await,
            "engine" => engine(stage, line).await,
            "stranded" => stranded(stage, line).await,
            "exit" => exit(stage, line),
            _ => return Err(format!("there is no {what:?}")),
        };
        match seen {
            Ok(()) => return Ok(()),
            Err(e) if Instant::now() > until => return Err(e),
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

fn same(what: &str, wanted: Option<&str>, seen: Option<&str>) -> Result<(), String> {
    match wanted {
        Some(wanted) if !wanted.split('|').any(|w| Some(w) == seen) => {
            Err(format!("{what}: expected {wanted}, got {seen:?}"))
        }
        _ => Ok(()),
    }
}

fn answer(got: &Got, line: &Line) -> Result<(), String> {
    let status = got.status.map(|s| s.to_string());
    same(
        "status",
        line.field("status"),
        Some(status.as_deref().unwrap_or("none")),
    )?;
    same("code", line.field("code"), got.code.as_deref())?;
    same("ran", line.field("ran"), got.ran.as_deref())?;
    let comes_back = if got.retry_after.is_some() {
        "yes"
    } else {
        "no"
    };
    same("retry", line.field("retry"), Some(comes_back))?;
    if let Some(part) = line.field("has") {
        if !got.text.contains(part) {
            return Err(format!("{part:?} is not in {:?}", got.text));
        }
    }
    match line.field("whole") {
        Some(tokens) => whole(got, tokens.parse().map_err(|_| "not a number")?),
        None => Ok(()),
    }
}

/// Checks that an answer is whole, in order, of one run, and of this request.
fn whole(got: &Got, tokens: usize) -> Result<(), String> {
    if !got.ended {
        return Err(format!("the answer did not end: {got:?}"));
    }
    let parts: Vec<&str> = got.text.split_whitespace().collect();
    let run = parts.first().and_then(|p| p.rsplit_once(':')).map(|p| p.0);
    let run = run.ok_or(format!("no tokens: {got:?}"))?;
    if !run.starts_with(&format!("{}~", got.id)) {
        return Err(format!("the answer is of {run}, the request is {}", got.id));
    }
    let wanted: Vec<String> = (0..tokens).map(|i| format!("{run}:{i}")).collect();
    if parts != wanted {
        return Err(format!(
            "{} tokens, expected {tokens}: {parts:?}",
            parts.len()
        ));
    }
    Ok(())
}

/// Checks the answers of a load: at least `ok` are whole, and each other one is refused cleanly.
fn load(stage: &Stage, line: &Line, name: &str) -> Result<(), String> {
    let tokens = line.number("whole", 10)? as usize;
    let mut ok = 0;
    let mut others: BTreeMap<String, u64> = BTreeMap::new();
    for one in &stage.loads[name] {
        let got = stage
            .got
            .get(one)
            .ok_or(format!("{one} was not waited for"))?;
        if got.status == Some(200) && got.code.is_none() {
            whole(got, tokens).map_err(|e| format!("{one}: {e}"))?;
            ok += 1;
        } else {
            let code = got.code.clone().unwrap_or_else(|| "broken".to_string());
            *others.entry(code).or_default() += 1;
        }
    }
    let least = line.number("ok", stage.loads[name].len() as u64)?;
    if ok < least {
        return Err(format!("{ok} whole, expected {least}; others {others:?}"));
    }
    Ok(())
}

async fn get(stage: &Stage, url: &str) -> Result<Value, String> {
    let res = stage
        .http
        .get(url)
        .send()
        .await
        .map_err(|e| e.to_string())?;
    let status = res.status();
    let value: Value = res.json().await.map_err(|e| format!("{status}: {e}"))?;
    Ok(value)
}

/// Returns the ledgers of all stand-ins that serve something, those that still run.
async fn ledgers(stage: &Stage) -> Vec<Value> {
    let mut ledgers = Vec::new();
    for process in stage.processes.values() {
        if let Ok(ledger) = get(stage, &format!("{}/ledger", process.url)).await {
            if ledger["runs"].is_array() {
                ledgers.push(ledger);
            }
        }
    }
    ledgers
}

/// Checks how often a request ran at plain services.
async fn service(stage: &Stage, line: &Line) -> Result<(), String> {
    let request = line.field("runs-of").unwrap_or_default();
    let id = stage
        .ids
        .get(request)
        .cloned()
        .unwrap_or_else(|| request.to_string());
    let ledgers = ledgers(stage).await;
    let runs = ledgers
        .iter()
        .flat_map(|l| l["runs"].as_array().cloned().unwrap_or_default());
    let count = runs
        .filter(|r| r["request"] == id.as_str() && r["path"].is_string())
        .count();
    same("runs", line.field("is"), Some(&count.to_string()))
}

/// Checks one engine's ledger: how many runs it has, and at what stage.
async fn engine(stage: &Stage, line: &Line) -> Result<(), String> {
    let url = &stage.process(line.word(2)?)?.url;
    let ledger = get(stage, &format!("{url}/ledger")).await?;
    let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
    let of = |s: &str| runs.iter().filter(|r| r["stage"] == s).count().to_string();
    same("runs", line.field("runs"), Some(&runs.len().to_string()))?;
    same("cancelled", line.field("cancelled"), Some(&of("cancelled")))?;
    same("done", line.field("done"), Some(&of("done")))?;
    let load = get(stage, &format!("{url}/load")).await?;
    let version = load["versions"]["birch-7b"]["version"].as_str();
    same("version", line.field("version"), version)
}

/// Checks a budget as the platform's record shows it, against the engines' ledgers.
async fn budget(stage: &Stage, line: &Line) -> Result<(), String> {
    let customer = line.word(2)?;
    let at = &stage.process(line.field("at").unwrap_or("a"))?.admin;
    let row = get(stage, &format!("{at}/admin/v1/budgets/{customer}")).await?;
    let bills = get(stage, &format!("{at}/admin/v1/budgets/{customer}/bills")).await?;
    let bills = bills.as_array().cloned().unwrap_or_default();
    let mut served = 0;
    for ledger in ledgers(stage).await {
        for run in ledger["runs"].as_array().into_iter().flatten() {
            if run["customer"] == customer {
                served += run["served"].as_u64().unwrap_or(0);
            }
        }
    }
    let total = row["total"].as_u64().unwrap_or(0);
    if served > total {
        return Err(format!("overspent: {served} served, {total} paid"));
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
        same(
            "spent",
            Some(&served.to_string()),
            Some(&row["spent"].to_string()),
        )?;
    } else {
        same(
            "spent",
            line.field("spent"),
            Some(&row["spent"].to_string()),
        )?;
    }
    for field in ["total", "stranded", "held", "free", "written_off"] {
        same(field, line.field(field), Some(&row[field].to_string()))
            .map_err(|e| format!("{e}\n{}", shown(&row["account"])))?;
    }
    same("bills", line.field("bills"), Some(&bills.len().to_string()))?;
    one_bill_each(stage, &bills, line)
}

/// Shows what holders have, without the bills.
fn shown(account: &Value) -> String {
    format!(
        "lines {} transfers {}",
        account["lines"], account["transfers"]
    )
}

/// Checks that no request has two bills, and that each of a load has one.
fn one_bill_each(stage: &Stage, bills: &[Value], line: &Line) -> Result<(), String> {
    let mut count: BTreeMap<&str, u64> = BTreeMap::new();
    for bill in bills {
        *count
            .entry(bill["request"].as_str().unwrap_or_default())
            .or_default() += 1;
    }
    if let Some((request, n)) = count.iter().find(|(_, n)| **n > 1) {
        return Err(format!("{request} has {n} bills"));
    }
    let Some(names) = line.field("billed").map(|l| stage.loads.get(l)) else {
        return Ok(());
    };
    for name in names.ok_or("no such load")? {
        let got = &stage.got[name];
        if got.status == Some(200) && got.ended && !count.contains_key(stage.ids[name].as_str()) {
            return Err(format!("{name} was served and has no bill"));
        }
    }
    Ok(())
}

/// Checks that less than some tokens of a budget are stranded.
async fn stranded(stage: &Stage, line: &Line) -> Result<(), String> {
    let at = &stage.process(line.field("at").unwrap_or("a"))?.admin;
    let row = get(stage, &format!("{at}/admin/v1/budgets/{}", line.word(2)?)).await?;
    let tokens = row["stranded"].as_u64().ok_or("no such number")?;
    if tokens < line.number("below", 1)? {
        Ok(())
    } else {
        Err(format!("{tokens} stranded; {}", shown(&row["account"])))
    }
}

async fn instance(stage: &Stage, line: &Line) -> Result<(), String> {
    let at = &stage.process(line.word(2)?)?.admin;
    let dump = get(stage, &format!("{at}/dump")).await?;
    let revision = dump["config"]["revision"].as_u64().unwrap_or(0).to_string();
    same("revision", line.field("revision"), Some(&revision))?;
    let ready = if dump["ready"] == true { "yes" } else { "no" };
    same("ready", line.field("ready"), Some(ready))?;
    let members = dump["members"].as_array().map_or(0, |m| {
        let live =
            |m: &&Value| m["member"]["standing"] == "live" && m["silent_ms"].as_u64() < Some(4000);
        m.iter().filter(live).count()
    });
    same("live", line.field("live"), Some(&members.to_string()))?;
    let ups = dump["upstreams"].as_array().cloned().unwrap_or_default();
    let usable = ups
        .iter()
        .filter(|u| u["upstream"]["leaving"] == false)
        .count();
    same(
        "upstreams",
        line.field("upstreams"),
        Some(&usable.to_string()),
    )
}

fn exit(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let name = line.word(2)?;
    let process = stage
        .processes
        .get_mut(name)
        .ok_or(format!("no process {name}"))?;
    let status = process.child.try_wait().map_err(|e| e.to_string())?;
    let status = status.ok_or(format!("{name} still runs"))?;
    let code = status.code().unwrap_or(-1).to_string();
    same("code", Some(line.field("code").unwrap_or("0")), Some(&code))
}
