//! The stand-in for a model engine: continuous batching behind the OpenAI HTTP API.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::{mpsc, watch};
use web::{Req, Res};

use crate::registration;
use crate::scheduler::{Request, RequestState, Scheduler, SubmitResult};

const BODY_LIMIT: usize = 64 << 20;
/// Bytes of text that one token stands for.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that each message costs besides its text.
const MESSAGE_TOKENS: u64 = 4;
/// Bytes of the first message by which the cache tells prefixes apart.
const PREFIX_BYTES: usize = 256;

/// How a stand-in is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its address.
    pub addr: SocketAddr,
    /// Its name in the instance list.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The models that it serves.
    pub models: Vec<String>,
    /// The time of one step, in milliseconds.
    pub step_ms: u64,
    /// Requests that it runs at once.
    pub slots: usize,
    /// The platform whose instance list it is in.
    pub platform: Option<String>,
    /// Whether orders with an old fencing number are refused.
    pub enforce_fencing: bool,
}

/// The switches for faults.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every stream's link is cut once after this many tokens; the request goes on.
    pub cut_after: Option<u64>,
    /// New requests are refused as not run.
    pub refuse: bool,
    /// No new work is taken.
    pub draining: bool,
    /// This many tokens more are served than asked for.
    pub excess: u64,
    /// The stand-in shows itself as leaving in the instance list.
    pub list_leaving: bool,
}

/// A model as an order left it.
#[derive(Clone, Debug, Default, Serialize)]
struct Loaded {
    version: String,
    fence: u64,
}

struct Inner {
    runs: Scheduler,
    faults: Faults,
    cut: Vec<String>,
    versions: std::collections::BTreeMap<String, Loaded>,
}

/// A running stand-in.
pub struct StubEngine {
    setup: Options,
    id: String,
    inner: Mutex<Inner>,
    stepped: watch::Sender<u64>,
    listed: watch::Sender<Value>,
    url: std::sync::OnceLock<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
}

impl StubEngine {
    /// Binds the stand-in.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(setup: Options) -> Result<web::Handle, String> {
        let inner = Inner {
            runs: Scheduler::default(),
            faults: Faults::default(),
            cut: Vec::new(),
            versions: Default::default(),
        };
        let engine = Arc::new(StubEngine {
            inner: Mutex::new(inner),
            stepped: watch::channel(0).0,
            listed: watch::channel(Value::Null).0,
            url: std::sync::OnceLock::new(),
            id: registration::unique_id(&setup.name),
            setup,
        });
        let handle = web::bind(engine.setup.addr, BODY_LIMIT, Arc::clone(&engine)).await?;
        let _ = engine.url.set(format!("http://{}", handle.addr()));
        engine.relist();
        if let Some(platform) = &engine.setup.platform {
            let key = format!("/instances/engine/{}", engine.setup.name);
            registration::spawn(platform, key, engine.listed.subscribe());
        }
        tokio::spawn(steps(engine));
        Ok(handle)
    }

    fn relist(&self) {
        let leaving = self
            .inner
            .lock()
            .expect("no panic inside")
            .faults
            .list_leaving;
        self.listed.send_replace(json!({
            "id": self.id,
            "kind": "engine",
            "url": self.url.get(),
            "zone": self.setup.zone,
            "serves": self.setup.models,
            "leaving": leaving,
        }));
    }

    fn chat(self: &Arc<Self>, req: &Req) -> Res {
        let chat: Chat = match req.json() {
            Ok(chat) => chat,
            Err(e) => return fault(400, &e),
        };
        let Some(request) = req.header("x-request-id").map(str::to_string) else {
            return fault(400, "x-request-id is missing");
        };
        let from = req.header("x-resume-from").and_then(|n| n.parse().ok());
        let run = self.run(&request, &chat, req);
        let mut inner = self.inner.lock().expect("no panic inside");
        let known = inner.runs.get(&request).is_some();
        if !known && (inner.faults.refuse || inner.faults.draining) {
            return fault(503, "draining").with("x-not-run", "1");
        }
        if !known && !self.setup.models.contains(&chat.model) {
            return fault(404, "no such model").with("x-not-run", "1");
        }
        if !known && from.is_some() {
            return fault(404, "no such request").with("x-not-run", "1");
        }
        if inner
            .runs
            .get(&request)
            .is_some_and(|r| r.state == RequestState::Cancelled)
        {
            return fault(410, "cancelled");
        }
        let prefix = prefix(&chat);
        if inner.runs.submit(run, prefix) == SubmitResult::Cancelled {
            return fault(409, "cancelled").with("x-not-run", "1");
        }
        drop(inner);
        let (tx, res) = Res::events();
        tokio::spawn(stream(Arc::clone(self), request, from.unwrap_or(0), tx));
        res
    }

    fn run(&self, request: &str, chat: &Chat, req: &Req) -> Request {
        let excess = self.inner.lock().expect("no panic inside").faults.excess;
        let most = chat.max_tokens.unwrap_or(16);
        let text: String = chat.messages.iter().map(text).collect();
        let target = wanted_length(&text).unwrap_or(most).min(most) + excess;
        Request {
            id: request.to_string(),
            customer: req.header("x-customer").unwrap_or_default().to_string(),
            prompt_tokens: prompt_tokens(&chat.messages),
            target_tokens: target.max(1),
            completion_tokens: 0,
            remaining_prefill: 0,
            cached_tokens: 0,
            priority: req
                .header("x-priority")
                .and_then(|p| p.parse().ok())
                .unwrap_or(5),
            state: RequestState::Waiting,
        }
    }

    fn cancel(&self, request: &str) -> Res {
        let run = self
            .inner
            .lock()
            .expect("no panic inside")
            .runs
            .cancel(request);
        self.stepped.send_modify(|n| *n += 1);
        Res::json(200, &usage(run.as_ref()))
    }

    fn find(&self, request: &str) -> Res {
        let inner = self.inner.lock().expect("no panic inside");
        Res::json(200, &usage(inner.runs.get(request)))
    }

    fn get(&self, request: &str) -> Option<Request> {
        let inner = self.inner.lock().expect("no panic inside");
        inner.runs.get(request).cloned()
    }

    fn load(&self) -> Res {
        let inner = self.inner.lock().expect("no panic inside");
        let (running, waiting) = inner.runs.counts();
        Res::json(
            200,
            &json!({
                "slots": self.setup.slots,
                "running": running,
                "waiting": waiting,
                "draining": inner.faults.draining,
                "versions": inner.versions,
            }),
        )
    }

    fn ledger(&self) -> Res {
        let inner = self.inner.lock().expect("no panic inside");
        let row = |r: &Request| {
            json!({
                "request": r.id, "customer": r.customer, "served": r.served_tokens(),
                "prompt": r.prompt_tokens, "cached": r.cached_tokens, "stage": r.state,
            })
        };
        let rows: Vec<Value> = inner.runs.list().into_iter().map(row).collect();
        Res::json(200, &json!({"name": self.setup.name, "runs": rows}))
    }

    /// Takes an order to serve a version of a model.
    fn order(&self, req: &Req) -> Res {
        let order: Order = match req.json() {
            Ok(order) => order,
            Err(e) => return fault(400, &e),
        };
        let mut inner = self.inner.lock().expect("no panic inside");
        let loaded = inner.versions.entry(order.model).or_default();
        if self.setup.enforce_fencing && order.fence < loaded.fence {
            return fault(409, "an older fencing number");
        }
        loaded.version = order.version;
        loaded.fence = order.fence;
        Res::json(200, &json!({"ok": true}))
    }

    fn set_faults(&self, req: &Req) -> Res {
        let faults: Faults = match req.json() {
            Ok(faults) => faults,
            Err(e) => return fault(400, &e),
        };
        self.inner.lock().expect("no panic inside").faults = faults;
        self.relist();
        Res::json(200, &faults)
    }

    /// Returns whether a stream's link is to be cut now.
    fn cuts(&self, request: &str, at: u64) -> bool {
        let mut inner = self.inner.lock().expect("no panic inside");
        let due = inner.faults.cut_after.is_some_and(|n| at >= n);
        if !due || inner.cut.iter().any(|r| r == request) {
            return false;
        }
        inner.cut.push(request.to_string());
        true
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    model: String,
    version: String,
    fence: u64,
}

impl web::Service for StubEngine {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.chat(&req),
            ("POST", ["v1", "requests", id, "cancel"]) => self.cancel(id),
            ("GET", ["v1", "requests", id]) => self.find(id),
            ("POST", ["tokenize"]) => tokenize(&req),
            ("GET", ["load"]) => self.load(),
            ("GET", ["ledger"]) => self.ledger(),
            ("POST", ["orders"]) => self.order(&req),
            ("POST", ["fault"]) => self.set_faults(&req),
            _ => fault(404, "not found"),
        }
    }
}

async fn steps(engine: Arc<StubEngine>) {
    let mut every = tokio::time::interval(Duration::from_millis(engine.setup.step_ms.max(1)));
    loop {
        every.tick().await;
        let mut inner = engine.inner.lock().expect("no panic inside");
        inner.runs.step(engine.setup.slots);
        drop(inner);
        engine.stepped.send_modify(|n| *n += 1);
    }
}

/// Sends a request's tokens from an offset on, as they are produced.
async fn stream(
    engine: Arc<StubEngine>,
    request: String,
    from: u64,
    tx: mpsc::Sender<bytes::Bytes>,
) {
    let mut stepped = engine.stepped.subscribe();
    let mut at = from;
    loop {
        let Some(run) = engine.get(&request) else {
            return;
        };
        while at < run.completion_tokens {
            if engine.cuts(&request, at) {
                return;
            }
            if tx.send(web::event(&token(&request, at))).await.is_err() {
                return;
            }
            at += 1;
        }
        if run.has_ended() {
            end(&run, &tx).await;
            return;
        }
        if stepped.changed().await.is_err() || tx.is_closed() {
            return;
        }
    }
}

async fn end(run: &Request, tx: &mpsc::Sender<bytes::Bytes>) {
    if run.state == RequestState::Cancelled {
        return;
    }
    let last = json!({
        "id": run.id, "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
    });
    let usage = json!({
        "id": run.id, "object": "chat.completion.chunk", "choices": [],
        "usage": {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.completion_tokens,
            "total_tokens": run.prompt_tokens + run.completion_tokens,
        },
    });
    let _ = tx.send(web::event(&last)).await;
    let _ = tx.send(web::event(&usage)).await;
    let _ = tx.send("data: [DONE]\n\n".into()).await;
}

/// Each token names its request and its position, so that a mix-up shows.
fn token(request: &str, at: u64) -> Value {
    json!({
        "id": request, "object": "chat.completion.chunk", "position": at,
        "choices": [{"index": 0, "delta": {"content": format!("{request}:{at} ")}}],
    })
}

fn usage(run: Option<&Request>) -> Value {
    match run {
        None => json!({"known": false, "refused_from_now": true}),
        Some(run) => json!({
            "known": true,
            "ended": run.has_ended(),
            "total_tokens": run.served_tokens(),
            "completion_tokens": run.completion_tokens,
        }),
    }
}

fn fault(status: u16, message: &str) -> Res {
    Res::json(status, &json!({"error": {"message": message}}))
}

fn text(message: &Message) -> String {
    match &message.content {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

/// Counts the tokens of a prompt without running it.
fn tokenize(req: &Req) -> Res {
    match req.json::<Chat>() {
        Ok(chat) => Res::json(200, &json!({"tokens": prompt_tokens(&chat.messages)})),
        Err(e) => fault(400, &e),
    }
}

fn prompt_tokens(messages: &[Message]) -> u64 {
    let cost = |m: &Message| (text(m).len() as u64).div_ceil(BYTES_PER_TOKEN) + MESSAGE_TOKENS;
    messages.iter().map(cost).sum()
}

/// A prompt may say how long the answer is, as `len=20`.
fn wanted_length(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once("len=")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn prefix(chat: &Chat) -> u64 {
    let first = chat.messages.first().map(text).unwrap_or_default();
    let bytes = &first.as_bytes()[..first.len().min(PREFIX_BYTES)];
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}
