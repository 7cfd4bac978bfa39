//! Runs the lines of scenarios.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{json, Value};
use uuid::{NoContext, Timestamp, Uuid};

use crate::env::{RequestResult, TestEnv};
use crate::expect;
use crate::line::Line;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const DAY_SECS: u64 = 86_400;

/// Runs one line.
pub(crate) async fn run_line(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    match line.word(0)? {
        "platform" => {
            let args = ["stub", "platform", "--port", "0"].map(String::from);
            env.start_process(line.word(1)?, "", args.to_vec())
        }
        "engine" => start_engine(env, line),
        "service" => start_service(env, line),
        "instance" => start_instance(env, line),
        "config" => apply_config(env, line).await,
        "topup" => top_up(env, line).await,
        "chat" | "call" => send_request(env, line).await,
        "load" => start_load(env, line),
        "wait" => wait(env, line.word(1)?).await,
        "kill" => kill(env, line.word(1)?),
        "freeze" => env.signal(line.word(1)?, Signal::STOP),
        "thaw" => env.signal(line.word(1)?, Signal::CONT),
        "stop" => env.signal(line.word(1)?, Signal::TERM),
        "restart" => env.restart(line.word(1)?),
        "fault" => set_faults(env, line).await,
        "order" => send_order(env, line).await,
        "cut" => partition(env, Some(line.word(1)?)).await,
        "heal" => partition(env, None).await,
        "sleep" => {
            let ms = line.word(1)?.parse().map_err(|_| "not a number")?;
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Ok(())
        }
        "cli" => run_cli(env, line),
        "expect" => expect::expect(env, line).await,
        other => Err(format!("unknown action {other:?}")),
    }
}

fn start_engine(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let name = line.word(1)?;
    let zone = line.field("zone").unwrap_or("hall-keflavik");
    let url = env
        .process(line.field("platform").unwrap_or("p"))?
        .url
        .clone();
    let step = line.number("step", 4)?.to_string();
    let slots = line.number("slots", 32)?.to_string();
    let models = line.field("models").unwrap_or("birch-7b");
    let mut args = vec!["stub", "engine", "--name", name, "--zone", zone];
    args.extend(["--models", models, "--platform", &url]);
    args.extend(["--step-ms", &step, "--slots", &slots]);
    if line.field("fenced") == Some("no") {
        args.push("--unfenced");
    }
    env.start_process(name, zone, args.iter().map(ToString::to_string).collect())
}

fn start_service(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let name = line.word(1)?;
    let zone = line.field("zone").unwrap_or("hall-keflavik");
    let url = env.process("p")?.url.clone();
    let service = line.field("service").unwrap_or("orders");
    let mut args = vec!["stub", "service", "--name", name, "--zone", zone];
    args.extend(["--service", service, "--platform", &url]);
    env.start_process(name, zone, args.iter().map(ToString::to_string).collect())
}

/// Starts an instance. Fields other than `zone` are settings; `platform` names the platform, `peers` other instances,
/// and `peer_listen` an instance that was killed and whose address is used again.
fn start_instance(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let mut settings = json!({});
    for (name, value) in &line.fields {
        let setting = match name.as_str() {
            "zone" => continue,
            "platform" => json!(env.process(value)?.url),
            "peer_listen" => json!(env.process(value)?.peer),
            "peers" => {
                let peers = value.split(',').map(|n| Ok(env.process(n)?.peer.clone()));
                json!(peers.collect::<Result<Vec<String>, String>>()?)
            }
            _ => serde_json::from_str(value).unwrap_or(json!(value)),
        };
        settings[name] = setting;
    }
    env.start_instance(
        line.word(1)?,
        line.field("zone").unwrap_or("hall-keflavik"),
        settings,
    )
}

fn data_file(file: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file)
}

/// Checks that the status of a response is the one that the line states, or 200.
fn check_status(res: reqwest::Result<reqwest::Response>, line: &Line) -> Result<(), String> {
    let status = res.map_err(|e| e.to_string())?.status().as_u16();
    if u64::from(status) == line.number("status", 200)? {
        Ok(())
    } else {
        Err(format!("status {status}"))
    }
}

/// Applies a configuration file through an instance.
async fn apply_config(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let file = data_file(line.word(1)?);
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let at = &env.process(line.field("at").unwrap_or("a"))?.admin;
    let id = line.field("change").unwrap_or("change-1");
    let body = json!({"config": config, "change_id": id, "who": "test", "what": line.word(1)?});
    let req = env.http.put(format!("{at}/admin/v1/config")).json(&body);
    let res = req
        .header("if-match", line.field("expect").unwrap_or("0"))
        .send()
        .await;
    check_status(res, line)
}

async fn top_up(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let at = &env.process(line.field("at").unwrap_or("a"))?.admin;
    let customer = line.word(1)?;
    let tokens: u64 = line.word(2)?.parse().map_err(|_| "not a number")?;
    let url = format!("{at}/admin/v1/budgets/{customer}/topups");
    let body = json!({"id": line.field("id").unwrap_or("t1"), "tokens": tokens});
    let res = env.http.post(url).json(&body).send().await;
    check_status(res, line)
}

/// Returns the request id that a line states: a new one, an old one, that of another request, or a literal one.
fn request_id(env: &TestEnv, line: &Line) -> Result<Option<String>, String> {
    Ok(match line.field("id") {
        None => None,
        Some("new") => Some(Uuid::now_v7().to_string()),
        Some("old") => {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let secs = now.map_err(|e| e.to_string())?.as_secs() - 3 * DAY_SECS;
            Some(Uuid::new_v7(Timestamp::from_unix(NoContext, secs, 0)).to_string())
        }
        Some(other) => match env.request_ids.get(other) {
            Some(id) => Some(id.clone()),
            None => Some(other.to_string()),
        },
    })
}

/// A request to be sent.
#[derive(Clone)]
struct RequestSpec {
    /// Instances for the first attempt and for retries, in order.
    instances: Vec<String>,
    urls: Arc<Mutex<BTreeMap<String, String>>>,
    path: String,
    key: String,
    id: Option<String>,
    body: String,
    stream: bool,
    timeout_ms: Option<String>,
}

async fn send_request(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let name = line.word(1)?.to_string();
    let at = line.field("at").unwrap_or("a").to_string();
    let id = request_id(env, line)?;
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
    let spec = RequestSpec {
        instances: vec![at],
        urls: Arc::clone(&env.urls),
        path,
        key: line.field("key").unwrap_or("sample-key").to_string(),
        id: id.clone(),
        body,
        stream: line.field("stream") == Some("yes"),
        timeout_ms: line.field("timeout").map(str::to_string),
    };
    env.request_ids.extend(id.map(|id| (name.clone(), id)));
    let task = tokio::spawn(send_with_retries(env.http.clone(), spec));
    if line.field("leave").is_some() {
        tokio::time::sleep(Duration::from_millis(line.number("leave", 0)?)).await;
        task.abort();
        return Ok(());
    }
    env.in_flight.insert(name.clone(), task);
    if line.field("background") != Some("yes") {
        wait(env, &name).await?;
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

/// Sends a request. If the connection breaks or the status allows a retry, it is sent again to the next instance, if
/// there is one.
async fn send_with_retries(http: reqwest::Client, spec: RequestSpec) -> RequestResult {
    let mut result = RequestResult::default();
    for (i, name) in spec.instances.iter().enumerate() {
        if i > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let url = spec
            .urls
            .lock()
            .expect("lock not poisoned")
            .get(name)
            .cloned();
        let url = format!("{}{}", url.unwrap_or_default(), spec.path);
        result = send_once(&http, &url, &spec).await;
        let may_retry = matches!(result.status, Some(503 | 409 | 429 | 502));
        let broken = result.status.is_none() || (result.status == Some(200) && !result.ended);
        if !broken && !may_retry {
            break;
        }
    }
    result
}

async fn send_once(http: &reqwest::Client, url: &str, spec: &RequestSpec) -> RequestResult {
    let mut req = http
        .post(url)
        .bearer_auth(&spec.key)
        .body(spec.body.clone())
        .timeout(REQUEST_TIMEOUT);
    if let Some(id) = &spec.id {
        req = req.header("idempotency-key", id);
    }
    if let Some(ms) = &spec.timeout_ms {
        req = req.header("x-timeout-ms", ms);
    }
    let mut result = RequestResult {
        id: spec.id.clone().unwrap_or_default(),
        ..RequestResult::default()
    };
    let Ok(mut res) = req.send().await else {
        return result;
    };
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    result.status = Some(res.status().as_u16());
    result.retry_after = header("retry-after");
    result.id = header("x-request-id").unwrap_or(result.id);
    let mut body = Vec::new();
    let mut complete = false;
    while let Ok(chunk) = res.chunk().await {
        match chunk {
            Some(bytes) => body.extend_from_slice(&bytes),
            None => {
                complete = true;
                break;
            }
        }
    }
    read_body(
        &mut result,
        &String::from_utf8_lossy(&body),
        complete,
        spec.stream,
    );
    result
}

fn read_body(result: &mut RequestResult, body: &str, complete: bool, stream: bool) {
    if stream && result.status == Some(200) {
        for line in body.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            result.ended |= data == "[DONE]";
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            let part = event["choices"][0]["delta"]["content"].as_str();
            result.text.push_str(part.unwrap_or_default());
            result.code = event["error"]["code"]
                .as_str()
                .map(str::to_string)
                .or(result.code.take());
        }
        return;
    }
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    result.ended = complete;
    result.code = value["error"]["code"].as_str().map(str::to_string);
    result.ran = value["error"]["ran"].as_str().map(str::to_string);
    let content = value["choices"][0]["message"]["content"].as_str();
    result.text = content.map_or_else(|| body.to_string(), str::to_string);
}

/// Starts many chat requests, evenly distributed over time and instances. Each has `tries` attempts, at one instance
/// after another.
fn start_load(env: &mut TestEnv, line: &Line) -> Result<(), String> {
    let name = line.word(1)?.to_string();
    let at = line.field("at").unwrap_or("a").split(',');
    let at: Vec<String> = at.map(str::to_string).collect();
    let count = line.number("count", 50)?;
    let over_ms = line.number("over", 2_000)?;
    let tries = line.number("tries", 4)? as usize;
    let mut names = Vec::new();
    for i in 0..count {
        let wait = Duration::from_millis(over_ms * i / count);
        let instances = (0..tries)
            .map(|t| at[(i as usize + t) % at.len()].clone())
            .collect();
        let id = Uuid::now_v7().to_string();
        let spec = RequestSpec {
            instances,
            urls: Arc::clone(&env.urls),
            path: "/v1/chat/completions".to_string(),
            key: line.field("key").unwrap_or("sample-key").to_string(),
            id: Some(id.clone()),
            body: chat_body(line)?,
            stream: line.field("stream") == Some("yes"),
            timeout_ms: None,
        };
        let http = env.http.clone();
        let one = format!("{name}-{i}");
        env.request_ids.insert(one.clone(), id);
        let task = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            send_with_retries(http, spec).await
        });
        env.in_flight.insert(one.clone(), task);
        names.push(one);
    }
    env.loads.insert(name, names);
    Ok(())
}

async fn wait(env: &mut TestEnv, name: &str) -> Result<(), String> {
    let names = env
        .loads
        .get(name)
        .cloned()
        .unwrap_or_else(|| vec![name.to_string()]);
    for name in names {
        let task = env
            .in_flight
            .remove(&name)
            .ok_or(format!("no request {name}"))?;
        let result = task.await.map_err(|e| e.to_string())?;
        env.results.insert(name, result);
    }
    Ok(())
}

fn kill(env: &mut TestEnv, name: &str) -> Result<(), String> {
    env.signal(name, Signal::KILL)?;
    let process = env
        .processes
        .get_mut(name)
        .ok_or(format!("no process {name}"))?;
    process.child.wait().map_err(|e| e.to_string())?;
    Ok(())
}

async fn set_faults(env: &TestEnv, line: &Line) -> Result<(), String> {
    let url = format!("{}/fault", env.process(line.word(1)?)?.url);
    let res = env.http.post(url).body(line.rest.clone()).send().await;
    let res = res.map_err(|e| e.to_string())?;
    if res.status().is_success() {
        Ok(())
    } else {
        Err(res.text().await.unwrap_or_default())
    }
}

/// Sends an order to an engine, as an instance would.
async fn send_order(env: &TestEnv, line: &Line) -> Result<(), String> {
    let url = format!("{}/orders", env.process(line.word(1)?)?.url);
    let fence = line.number("fence", 0)?;
    let body = json!({"model": "birch-7b", "version": line.word(2)?, "fence": fence});
    let res = env.http.post(url).json(&body).send().await;
    check_status(res, line)
}

/// Partitions a zone from the others; without a zone, ends all partitions.
async fn partition(env: &TestEnv, zone: Option<&str>) -> Result<(), String> {
    let instances = env.instance_names();
    for name in &instances {
        let instance = env.process(name)?;
        let is_separated = |other: &str| zone.is_some_and(|z| (other == z) != (instance.zone == z));
        let mut unreachable = Vec::new();
        for other in &instances {
            let other = env.process(other)?;
            if is_separated(&other.zone) {
                unreachable.push(other.peer.clone());
            }
        }
        let sent = env
            .http
            .post(format!("{}/fault", instance.admin))
            .json(&unreachable)
            .send();
        let res = sent.await.map_err(|e| e.to_string())?;
        if !res.status().is_success() {
            return Err(format!("{name}: {}", res.status()));
        }
    }
    Ok(())
}

/// Runs a command for operators. `@a` stands for the URL of instance `a` for operators, `@id-of-a` for its incarnation,
/// and `data/` for the folder of the test data.
fn run_cli(env: &TestEnv, line: &Line) -> Result<(), String> {
    let mut args = Vec::new();
    for word in &line.words[1..] {
        args.push(match (word.strip_prefix('@'), word.strip_prefix("data/")) {
            (Some(name), _) if env.processes.contains_key(name) => env.process(name)?.admin.clone(),
            (Some(name), _) => match name.strip_prefix("id-of-") {
                Some(name) => env.process(name)?.id.clone(),
                None => return Err(format!("no process {name}")),
            },
            (_, Some(file)) => data_file(file).display().to_string(),
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
