//! Stub of a model engine: continuous batching behind the OpenAI HTTP API.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::{mpsc, watch};
use web::{Req, Res};

use crate::registration;
use crate::scheduler::{Request, RequestState, Scheduler, SubmitResult};

const MAX_BODY_BYTES: usize = 64 << 20;
/// Number of bytes of text that are counted as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Number of tokens that a message counts in addition to its text.
const TOKENS_PER_MESSAGE: u64 = 4;
/// Number of leading bytes of the first message by which the prefix cache tells prompts apart.
const PREFIX_BYTES: usize = 256;

/// Options of a stub engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Name in the instance list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Duration of one step, in milliseconds.
    pub step_ms: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// URL of the platform's key-value store, which has the instance list. Without it, the engine
    /// is not registered.
    pub platform: Option<String>,
    /// Whether version orders with an outdated fencing number are rejected.
    pub enforce_fencing: bool,
}

/// Faults that the stub injects. The field names are those of the JSON object that is posted to
/// `/fault`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The stream of each request is cut once, after this many tokens; the request keeps running.
    pub cut_after: Option<u64>,
    /// New requests are rejected as not run.
    pub refuse: bool,
    /// New requests are rejected as not run, and the load report says that the engine is draining.
    pub draining: bool,
    /// Number of tokens that are produced beyond the requested length.
    pub excess: u64,
    /// The entry in the instance list says that the engine is leaving.
    pub list_leaving: bool,
}

/// The last accepted order for a model.
#[derive(Clone, Debug, Default, Serialize)]
struct LoadedVersion {
    version: String,
    fence: u64,
}

struct State {
    scheduler: Scheduler,
    faults: Faults,
    /// Ids of the requests whose stream was cut.
    cut: Vec<String>,
    versions: std::collections::BTreeMap<String, LoadedVersion>,
}

/// A running stub engine.
pub struct StubEngine {
    options: Options,
    id: String,
    state: Mutex<State>,
    /// Number of steps and cancellations so far; its changes wake the streams.
    progress: watch::Sender<u64>,
    /// The entry in the instance list.
    list_entry: watch::Sender<Value>,
    url: std::sync::OnceLock<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// The body of a chat completion request.
#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
}

impl StubEngine {
    /// Binds the stub to its address and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(options: Options) -> Result<web::ServerHandle, String> {
        let state = State {
            scheduler: Scheduler::default(),
            faults: Faults::default(),
            cut: Vec::new(),
            versions: Default::default(),
        };
        let engine = Arc::new(StubEngine {
            state: Mutex::new(state),
            progress: watch::channel(0).0,
            list_entry: watch::channel(Value::Null).0,
            url: std::sync::OnceLock::new(),
            id: registration::unique_id(&options.name),
            options,
        });
        let handle = web::bind(
            engine.options.addr,
            web::Limits::trusted(MAX_BODY_BYTES),
            Arc::clone(&engine),
        )
        .await?;
        let _ = engine.url.set(format!("http://{}", handle.addr()));
        engine.update_list_entry();
        if let Some(platform) = &engine.options.platform {
            let key = format!("/instances/engine/{}", engine.options.name);
            registration::spawn(platform, key, engine.list_entry.subscribe());
        }
        tokio::spawn(run_steps(engine));
        Ok(handle)
    }

    fn update_list_entry(&self) {
        let leaving = self
            .state
            .lock()
            .expect("lock not poisoned")
            .faults
            .list_leaving;
        self.list_entry.send_replace(json!({
            "id": self.id,
            "kind": "engine",
            "url": self.url.get(),
            "zone": self.options.zone,
            "serves": self.options.models,
            "leaving": leaving,
        }));
    }

    fn chat(self: &Arc<Self>, req: &Req) -> Res {
        let chat: Chat = match req.json() {
            Ok(chat) => chat,
            Err(e) => return error_response(400, &e),
        };
        let Some(id) = req.header("x-request-id").map(str::to_string) else {
            return error_response(400, "x-request-id is missing");
        };
        let from = req.header("x-resume-from").and_then(|n| n.parse().ok());
        let request = self.new_request(&id, &chat, req);
        let mut state = self.state.lock().expect("lock not poisoned");
        let known = state.scheduler.get(&id).is_some();
        if !known && (state.faults.refuse || state.faults.draining) {
            return error_response(503, "draining").with_header("x-not-run", "1");
        }
        if !known && !self.options.models.contains(&chat.model) {
            return error_response(404, "no such model").with_header("x-not-run", "1");
        }
        if !known && from.is_some() {
            return error_response(404, "no such request").with_header("x-not-run", "1");
        }
        if state
            .scheduler
            .get(&id)
            .is_some_and(|r| r.state == RequestState::Cancelled)
        {
            return error_response(410, "cancelled");
        }
        let prefix_hash = prefix_hash(&chat);
        if state.scheduler.submit(request, prefix_hash) == SubmitResult::Cancelled {
            return error_response(409, "cancelled").with_header("x-not-run", "1");
        }
        drop(state);
        let (tx, res) = Res::event_stream();
        tokio::spawn(stream_tokens(Arc::clone(self), id, from.unwrap_or(0), tx));
        res
    }

    fn new_request(&self, id: &str, chat: &Chat, req: &Req) -> Request {
        let excess = self.state.lock().expect("lock not poisoned").faults.excess;
        let max_tokens = chat.max_tokens.unwrap_or(16);
        let text: String = chat.messages.iter().map(message_text).collect();
        let length = requested_length(&text).unwrap_or(max_tokens);
        let target = length.min(max_tokens) + excess;
        Request {
            id: id.to_string(),
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

    fn cancel(&self, id: &str) -> Res {
        let request = self
            .state
            .lock()
            .expect("lock not poisoned")
            .scheduler
            .cancel(id);
        self.progress.send_modify(|n| *n += 1);
        Res::json(200, &usage(request.as_ref()))
    }

    fn request_usage(&self, id: &str) -> Res {
        let state = self.state.lock().expect("lock not poisoned");
        Res::json(200, &usage(state.scheduler.get(id)))
    }

    fn request(&self, id: &str) -> Option<Request> {
        let state = self.state.lock().expect("lock not poisoned");
        state.scheduler.get(id).cloned()
    }

    fn load(&self) -> Res {
        let state = self.state.lock().expect("lock not poisoned");
        let (running, waiting) = state.scheduler.counts();
        Res::json(
            200,
            &json!({
                "slots": self.options.slots,
                "running": running,
                "waiting": waiting,
                "draining": state.faults.draining,
                "versions": state.versions,
            }),
        )
    }

    fn ledger(&self) -> Res {
        let state = self.state.lock().expect("lock not poisoned");
        let row = |r: &Request| {
            json!({
                "request": r.id, "customer": r.customer, "served": r.served_tokens(),
                "prompt": r.prompt_tokens, "cached": r.cached_tokens, "stage": r.state,
            })
        };
        let rows: Vec<Value> = state.scheduler.list().into_iter().map(row).collect();
        Res::json(200, &json!({"name": self.options.name, "runs": rows}))
    }

    /// Handles an order to serve a version of a model.
    fn order(&self, req: &Req) -> Res {
        let order: Order = match req.json() {
            Ok(order) => order,
            Err(e) => return error_response(400, &e),
        };
        let mut state = self.state.lock().expect("lock not poisoned");
        let loaded = state.versions.entry(order.model).or_default();
        if self.options.enforce_fencing && order.fence < loaded.fence {
            return error_response(409, "an older fencing number");
        }
        loaded.version = order.version;
        loaded.fence = order.fence;
        Res::json(200, &json!({"ok": true}))
    }

    fn set_faults(&self, req: &Req) -> Res {
        let faults: Faults = match req.json() {
            Ok(faults) => faults,
            Err(e) => return error_response(400, &e),
        };
        self.state.lock().expect("lock not poisoned").faults = faults;
        self.update_list_entry();
        Res::json(200, &faults)
    }

    /// Returns whether a request's stream is to be cut at this position, and records that it was.
    fn take_cut(&self, id: &str, position: u64) -> bool {
        let mut state = self.state.lock().expect("lock not poisoned");
        let due = state.faults.cut_after.is_some_and(|n| position >= n);
        if !due || state.cut.iter().any(|r| r == id) {
            return false;
        }
        state.cut.push(id.to_string());
        true
    }
}

/// An order to serve a version of a model.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    model: String,
    version: String,
    /// Fencing number.
    fence: u64,
}

impl web::Service for StubEngine {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.chat(&req),
            ("POST", ["v1", "requests", id, "cancel"]) => self.cancel(id),
            ("GET", ["v1", "requests", id]) => self.request_usage(id),
            ("POST", ["tokenize"]) => tokenize(&req),
            ("GET", ["load"]) => self.load(),
            ("GET", ["ledger"]) => self.ledger(),
            ("POST", ["orders"]) => self.order(&req),
            ("POST", ["fault"]) => self.set_faults(&req),
            _ => error_response(404, "not found"),
        }
    }
}

async fn run_steps(engine: Arc<StubEngine>) {
    let step = Duration::from_millis(engine.options.step_ms.max(1));
    let mut interval = tokio::time::interval(step);
    loop {
        interval.tick().await;
        let mut state = engine.state.lock().expect("lock not poisoned");
        state.scheduler.step(engine.options.slots);
        drop(state);
        engine.progress.send_modify(|n| *n += 1);
    }
}

/// Sends the tokens of a request from a position on, as they are produced.
async fn stream_tokens(
    engine: Arc<StubEngine>,
    id: String,
    from: u64,
    tx: mpsc::Sender<bytes::Bytes>,
) {
    let mut progress = engine.progress.subscribe();
    let mut position = from;
    loop {
        let Some(request) = engine.request(&id) else {
            return;
        };
        while position < request.completion_tokens {
            if engine.take_cut(&id, position) {
                return;
            }
            let event = web::sse_event(&token_event(&id, position));
            if tx.send(event).await.is_err() {
                return;
            }
            position += 1;
        }
        if request.has_ended() {
            send_end(&request, &tx).await;
            return;
        }
        if progress.changed().await.is_err() || tx.is_closed() {
            return;
        }
    }
}

/// Sends the events that end a complete stream; the stream of a cancelled request ends without
/// them.
async fn send_end(request: &Request, tx: &mpsc::Sender<bytes::Bytes>) {
    if request.state == RequestState::Cancelled {
        return;
    }
    let last = json!({
        "id": request.id, "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
    });
    let usage = json!({
        "id": request.id, "object": "chat.completion.chunk", "choices": [],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": request.completion_tokens,
            "total_tokens": request.prompt_tokens + request.completion_tokens,
        },
    });
    let _ = tx.send(web::sse_event(&last)).await;
    let _ = tx.send(web::sse_event(&usage)).await;
    let _ = tx.send("data: [DONE]\n\n".into()).await;
}

/// Returns the event of one token. Its content names the request and the position, so that tests
/// detect tokens that were lost, repeated or mixed up between requests.
fn token_event(id: &str, position: u64) -> Value {
    json!({
        "id": id, "object": "chat.completion.chunk", "position": position,
        "choices": [{"index": 0, "delta": {"content": format!("{id}:{position} ")}}],
    })
}

fn usage(request: Option<&Request>) -> Value {
    match request {
        None => json!({"known": false, "refused_from_now": true}),
        Some(request) => json!({
            "known": true,
            "ended": request.has_ended(),
            "total_tokens": request.served_tokens(),
            "completion_tokens": request.completion_tokens,
        }),
    }
}

fn error_response(status: u16, message: &str) -> Res {
    Res::json(status, &json!({"error": {"message": message}}))
}

fn message_text(message: &Message) -> String {
    match &message.content {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

/// Counts the tokens of a prompt without running it.
fn tokenize(req: &Req) -> Res {
    match req.json::<Chat>() {
        Ok(chat) => Res::json(200, &json!({"tokens": prompt_tokens(&chat.messages)})),
        Err(e) => error_response(400, &e),
    }
}

fn prompt_tokens(messages: &[Message]) -> u64 {
    let cost =
        |m: &Message| (message_text(m).len() as u64).div_ceil(BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE;
    messages.iter().map(cost).sum()
}

/// Returns the response length that a prompt asks for, as in `len=20`.
fn requested_length(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once("len=")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the FNV-1a hash of the first bytes of the prompt.
fn prefix_hash(chat: &Chat) -> u64 {
    let first = chat.messages.first().map(message_text).unwrap_or_default();
    let bytes = &first.as_bytes()[..first.len().min(PREFIX_BYTES)];
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}
