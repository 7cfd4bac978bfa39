//! What a line of a scenario does.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{json, Value};
use uuid::{NoContext, Timestamp, Uuid};

use crate::expect;
use crate::line::Line;
use crate::stage::{Got, Stage};

const TIMEOUT: Duration = Duration::from_secs(90);
const RETRY: Duration = Duration::from_millis(300);
const DAY_SECS: u64 = 86_400;

/// Carries out one line.
pub(crate) async fn act(stage: &mut Stage, line: &Line) -> Result<(), String> {
    match line.word(0)? {
        "platform" => {
            let args = ["stub", "platform", "--port", "0"].map(String::from);
            stage.start(line.word(1)?, "", args.to_vec())
        }
        "engine" => engine(stage, line),
        "service" => service(stage, line),
        "instance" => instance(stage, line),
        "config" => config(stage, line).await,
        "topup" => top_up(stage, line).await,
        "chat" | "call" => request(stage, line).await,
        "load" => load(stage, line),
        "wait" => wait(stage, line.word(1)?).await,
        "kill" => kill(stage, line.word(1)?),
        "freeze" => stage.signal(line.word(1)?, Signal::STOP),
        "thaw" => stage.signal(line.word(1)?, Signal::CONT),
        "stop" => stage.signal(line.word(1)?, Signal::TERM),
        "restart" => stage.restart(line.word(1)?),
        "fault" => fault(stage, line).await,
        "order" => order(stage, line).await,
        "cut" => cut(stage, Some(line.word(1)?)).await,
        "heal" => cut(stage, None).await,
        "sleep" => {
            let ms = line.word(1)?.parse().map_err(|_| "not a number")?;
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Ok(())
        }
        "cli" => cli(stage, line),
        "expect" => expect::expect(stage, line).await,
        other => Err(format!("there is no {other:?}")),
    }
}

fn engine(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let name = line.word(1)?;
    let zone = line.field("zone").unwrap_or("hall-keflavik");
    let url = stage.process("p")?.url.clone();
    let step = line.number("step", 4)?.to_string();
    let slots = line.number("slots", 32)?.to_string();
    let models = line.field("models").unwrap_or("birch-7b");
    let mut args = vec!["stub", "engine", "--name", name, "--zone", zone];
    args.extend(["--models", models, "--platform", &url]);
    args.extend(["--step-ms", &step, "--slots", &slots]);
    if line.field("fenced") == Some("no") {
        args.push("--unfenced");
    }
    stage.start(name, zone, args.iter().map(ToString::to_string).collect())
}

fn service(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let name = line.word(1)?;
    let zone = line.field("zone").unwrap_or("hall-keflavik");
    let url = stage.process("p")?.url.clone();
    let service = line.field("service").unwrap_or("orders");
    let mut args = vec!["stub", "service", "--name", name, "--zone", zone];
    args.extend(["--service", service, "--platform", &url]);
    stage.start(name, zone, args.iter().map(ToString::to_string).collect())
}

/// Starts an instance; fields other than the zone are settings.
fn instance(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let mut more = json!({});
    for (name, value) in &line.fields {
        if name == "peers" {
            let peers: Result<Vec<String>, String> = value
                .split(',')
                .map(|n| Ok(stage.process(n)?.peer.clone()))
                .collect();
            more["peers"] = json!(peers?);
        } else if name != "zone" {
            more[name] = serde_json::from_str(value).unwrap_or(json!(value));
        }
    }
    stage.instance(
        line.word(1)?,
        line.field("zone").unwrap_or("hall-keflavik"),
        more,
    )
}

fn data(file: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file)
}

/// Checks an answer's status: 200, unless the line states another.
fn answered(res: reqwest::Result<reqwest::Response>, line: &Line) -> Result<(), String> {
    let status = res.map_err(|e| e.to_string())?.status().as_u16();
    if u64::from(status) == line.number("status", 200)? {
        Ok(())
    } else {
        Err(format!("status {status}"))
    }
}

/// Puts a file in force through an instance.
async fn config(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let file = data(line.word(1)?);
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let at = &stage.process(line.field("at").unwrap_or("a"))?.admin;
    let id = line.field("change").unwrap_or("change-1");
    let body = json!({"config": config, "change_id": id, "who": "test", "what": line.word(1)?});
    let req = stage.http.put(format!("{at}/admin/v1/config")).json(&body);
    let res = req
        .header("if-match", line.field("expect").unwrap_or("0"))
        .send()
        .await;
    answered(res, line)
}

async fn top_up(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let at = &stage.process(line.field("at").unwrap_or("a"))?.admin;
    let customer = line.word(1)?;
    let tokens: u64 = line.word(2)?.parse().map_err(|_| "not a number")?;
    let url = format!("{at}/admin/v1/budgets/{customer}/topups");
    let body = json!({"id": line.field("id").unwrap_or("t1"), "tokens": tokens});
    let res = stage.http.post(url).json(&body).send().await;
    answered(res, line)
}

/// Returns the id that a line wants: a new one, an old one, another request's, or a given one.
fn id(stage: &Stage, line: &Line) -> Result<Option<String>, String> {
    Ok(match line.field("id") {
        None => None,
        Some("new") => Some(Uuid::now_v7().to_string()),
        Some("old") => {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let secs = now.map_err(|e| e.to_string())?.as_secs() - 3 * DAY_SECS;
            Some(Uuid::new_v7(Timestamp::from_unix(NoContext, secs, 0)).to_string())
        }
        Some(other) => match stage.ids.get(other) {
            Some(id) => Some(id.clone()),
            None => Some(other.to_string()),
        },
    })
}

/// What one request sends.
#[derive(Clone)]
struct Send {
    /// Instances to try, one after another.
    at: Vec<String>,
    urls: Arc<Mutex<BTreeMap<String, String>>>,
    path: String,
    key: String,
    id: Option<String>,
    body: String,
    stream: bool,
    timeout_ms: Option<String>,
}

async fn request(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let name = line.word(1)?.to_string();
    let at = line.field("at").unwrap_or("a").to_string();
    let id = id(stage, line)?;
    let chat = line.word(0)? == "chat";
    let path = if chat {
        "/v1/chat/completions".to_string()
    } else {
        let service = line.field("service").unwrap_or("orders");
        format!(
            "/v1/services/{service}{}",
            line.field("path").unwrap_or("/reserve")
        )
    };
    let body = if chat {
        chat_body(line)?
    } else {
        line.field("body").unwrap_or("{\"sku\":1}").to_string()
    };
    let send = Send {
        at: vec![at],
        urls: Arc::clone(&stage.urls),
        path,
        key: line.field("key").unwrap_or("sample-key").to_string(),
        id: id.clone(),
        body,
        stream: line.field("stream") == Some("yes"),
        timeout_ms: line.field("timeout").map(str::to_string),
    };
    stage.ids.extend(id.map(|id| (name.clone(), id)));
    let task = tokio::spawn(send_one(stage.http.clone(), send));
    if line.field("leave").is_some() {
        tokio::time::sleep(Duration::from_millis(line.number("leave", 0)?)).await;
        task.abort();
        return Ok(());
    }
    stage.open.insert(name.clone(), task);
    if line.field("background") != Some("yes") {
        wait(stage, &name).await?;
    }
    Ok(())
}

fn chat_body(line: &Line) -> Result<String, String> {
    if let Some(body) = line.field("body") {
        return Ok(body.to_string());
    }
    let len = line.number("len", 10)?;
    let pad = "x".repeat(line.number("pad", 0)? as usize);
    let max = line.number("max", 64)?;
    Ok(json!({
        "model": line.field("model").unwrap_or("birch-7b"),
        "messages": [{"role": "user", "content": format!("len={len} {pad}")}],
        "max_tokens": max,
        "stream": line.field("stream") == Some("yes"),
    })
    .to_string())
}

/// Sends a request; a broken connection is tried again at the next address, if there is one.
async fn send_one(http: reqwest::Client, send: Send) -> Got {
    let mut got = Got::default();
    for (i, name) in send.at.iter().enumerate() {
        if i > 0 {
            tokio::time::sleep(RETRY).await;
        }
        let url = send
            .urls
            .lock()
            .expect("no panic inside")
            .get(name)
            .cloned();
        let url = format!("{}{}", url.unwrap_or_default(), send.path);
        got = attempt(&http, &url, &send).await;
        let comes_back = matches!(got.status, Some(503 | 409 | 429 | 502));
        let broken = got.status.is_none() || (got.status == Some(200) && !got.ended);
        if !broken && !comes_back {
            break;
        }
    }
    got
}

async fn attempt(http: &reqwest::Client, url: &str, send: &Send) -> Got {
    let mut req = http
        .post(url)
        .bearer_auth(&send.key)
        .body(send.body.clone())
        .timeout(TIMEOUT);
    if let Some(id) = &send.id {
        req = req.header("idempotency-key", id);
    }
    if let Some(ms) = &send.timeout_ms {
        req = req.header("x-timeout-ms", ms);
    }
    let mut got = Got {
        id: send.id.clone().unwrap_or_default(),
        ..Got::default()
    };
    let Ok(mut res) = req.send().await else {
        return got;
    };
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    got.status = Some(res.status().as_u16());
    got.retry_after = header("retry-after");
    got.id = header("x-request-id").unwrap_or(got.id);
    let mut body = Vec::new();
    let mut whole = false;
    while let Ok(chunk) = res.chunk().await {
        match chunk {
            Some(bytes) => body.extend_from_slice(&bytes),
            None => {
                whole = true;
                break;
            }
        }
    }
    read_body(
        &mut got,
        &String::from_utf8_lossy(&body),
        whole,
        send.stream,
    );
    got
}

fn read_body(got: &mut Got, body: &str, whole: bool, stream: bool) {
    if stream && got.status == Some(200) {
        for line in body.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            got.ended |= data == "[DONE]";
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            let part = event["choices"][0]["delta"]["content"].as_str();
            got.text.push_str(part.unwrap_or_default());
            got.code = event["error"]["code"]
                .as_str()
                .map(str::to_string)
                .or(got.code.take());
        }
        return;
    }
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    got.ended = whole;
    got.code = value["error"]["code"].as_str().map(str::to_string);
    got.ran = value["error"]["ran"].as_str().map(str::to_string);
    let content = value["choices"][0]["message"]["content"].as_str();
    got.text = content.map_or_else(|| body.to_string(), str::to_string);
}

/// Starts many chats, evenly over time and over instances; each comes back once elsewhere.
fn load(stage: &mut Stage, line: &Line) -> Result<(), String> {
    let name = line.word(1)?.to_string();
    let at = line.field("at").unwrap_or("a").split(',');
    let at: Vec<String> = at.map(str::to_string).collect();
    let count = line.number("count", 50)?;
    let over_ms = line.number("over", 2_000)?;
    let tries = line.number("tries", 4)? as usize;
    let mut names = Vec::new();
    for i in 0..count {
        let wait = Duration::from_millis(over_ms * i / count);
        let at = (0..tries)
            .map(|t| at[(i as usize + t) % at.len()].clone())
            .collect();
        let id = Uuid::now_v7().to_string();
        let send = Send {
            at,
            urls: Arc::clone(&stage.urls),
            path: "/v1/chat/completions".to_string(),
            key: line.field("key").unwrap_or("sample-key").to_string(),
            id: Some(id.clone()),
            body: chat_body(line)?,
            stream: line.field("stream") == Some("yes"),
            timeout_ms: None,
        };
        let http = stage.http.clone();
        let one = format!("{name}-{i}");
        stage.ids.insert(one.clone(), id);
        let task = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            send_one(http, send).await
        });
        stage.open.insert(one.clone(), task);
        names.push(one);
    }
    stage.loads.insert(name, names);
    Ok(())
}

async fn wait(stage: &mut Stage, name: &str) -> Result<(), String> {
    let names = stage
        .loads
        .get(name)
        .cloned()
        .unwrap_or_else(|| vec![name.to_string()]);
    for name in names {
        let task = stage
            .open
            .remove(&name)
            .ok_or(format!("no request {name}"))?;
        let got = task.await.map_err(|e| e.to_string())?;
        stage.got.insert(name, got);
    }
    Ok(())
}

fn kill(stage: &mut Stage, name: &str) -> Result<(), String> {
    stage.signal(name, Signal::KILL)?;
    let process = stage
        .processes
        .get_mut(name)
        .ok_or(format!("no process {name}"))?;
    process.child.wait().map_err(|e| e.to_string())?;
    Ok(())
}

async fn fault(stage: &Stage, line: &Line) -> Result<(), String> {
    let url = format!("{}/fault", stage.process(line.word(1)?)?.url);
    let res = stage.http.post(url).body(line.rest.clone()).send().await;
    let res = res.map_err(|e| e.to_string())?;
    if res.status().is_success() {
        Ok(())
    } else {
        Err(res.text().await.unwrap_or_default())
    }
}

/// Gives an engine an order, as an instance would.
async fn order(stage: &Stage, line: &Line) -> Result<(), String> {
    let url = format!("{}/orders", stage.process(line.word(1)?)?.url);
    let fence = line.number("fence", 0)?;
    let body = json!({"model": "birch-7b", "version": line.word(2)?, "fence": fence});
    let res = stage.http.post(url).json(&body).send().await;
    answered(res, line)
}

/// Cuts a zone from the others, or heals all cuts.
async fn cut(stage: &Stage, zone: Option<&str>) -> Result<(), String> {
    let instances = stage.instances();
    for name in &instances {
        let me = stage.process(name)?;
        let apart = |p: &str| zone.is_some_and(|z| (p == z) != (me.zone == z));
        let mut cut = Vec::new();
        for other in &instances {
            let other = stage.process(other)?;
            if apart(&other.zone) {
                cut.push(other.peer.clone());
            }
        }
        let sent = stage
            .http
            .post(format!("{}/fault", me.admin))
            .json(&cut)
            .send();
        let res = sent.await.map_err(|e| e.to_string())?;
        if !res.status().is_success() {
            return Err(format!("{name}: {}", res.status()));
        }
    }
    Ok(())
}

/// Runs an operator's command; `@a` stands for the operators' address of instance `a`.
fn cli(stage: &Stage, line: &Line) -> Result<(), String> {
    let mut args = Vec::new();
    for word in &line.words[1..] {
        args.push(match (word.strip_prefix('@'), word.strip_prefix("data/")) {
            (Some(name), _) if stage.processes.contains_key(name) => {
                stage.process(name)?.admin.clone()
            }
            (Some(name), _) => match name.strip_prefix("id-of-") {
                Some(name) => stage.process(name)?.id.clone(),
                None => return Err(format!("no process {name}")),
            },
            (_, Some(file)) => data(file).display().to_string(),
            _ => word.clone(),
        });
    }
    let program = env!("CARGO_BIN_EXE_oriolehitch");
    let out = Command::new(program)
        .args(&args)
        .output()
        .map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    let code = out.status.code().unwrap_or(-1);
    if i64::from(code) != line.number("exit", 0)? as i64 {
        return Err(format!("exit {code}: {text}"));
    }
    match line.field("out") {
        Some(part) if !text.contains(&part.replace('_', " ")) => Err(text.to_string()),
        _ => Ok(()),
    }
}
