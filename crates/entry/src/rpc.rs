//! Between instances: typed messages over jsonrpsee.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use budget::msg::{Doubt, Reserve, RunAt};
use budget::{Post, ReserveReply, Settled};
use claim::Word;
use conf::{Chunk, Head};
use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_core::RpcResult;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee_server::{RpcModule, ServerBuilder, ServerConfig, ServerHandle};
use peer::Told;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

use crate::shared::Shared;

/// Longer than a home lets an entry wait for tokens.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
const MESSAGE_LIMIT: u32 = 8 << 20;
const CONNECTIONS: u32 = 4096;

/// A reservation, as one instance asks another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveMsg {
    /// The request.
    pub req: Reserve,
    /// How long the asker waits, in milliseconds.
    pub wait_ms: u64,
}

/// A widening of a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExtendMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// Where the entry will send the request.
    pub at: RunAt,
    /// Tokens more.
    pub tokens: u64,
    /// How long the asker waits, in milliseconds.
    pub wait_ms: u64,
}

/// The end of a reservation that nobody will use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoidMsg {
    /// The customer.
    pub account: String,
    /// The request's id.
    pub request: String,
    /// The entry's incarnation.
    pub entry: String,
}

/// The word of an entry whose caller left.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DropOutMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// The entry's incarnation.
    pub entry: String,
}

/// A settlement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SettleMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    pub post: Post,
    /// What may have been spent besides.
    pub doubts: Vec<Doubt>,
}

/// A copy of a settlement, to be kept until it is recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeepMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    pub post: Post,
}

/// A call for unspent tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecallMsg {
    /// The customer.
    pub account: String,
    /// The holder that lacks them.
    pub to: String,
    /// Tokens.
    pub tokens: u64,
}

/// A step of a joint grant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenMsg {
    /// The customer.
    pub account: String,
    /// The joint grant's key.
    pub key: String,
    /// Tokens opened after the step, cumulative.
    pub upto: u64,
}

/// What two instances tell each other again and again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipMsg {
    /// What the sender knows of instances, itself first.
    pub told: Told,
    /// The revision of the sender's configuration.
    pub revision: u64,
    /// Upstreams that are leaving.
    pub leaving: Vec<String>,
}

/// A call for a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullMsg {
    /// Hashes of chunks that the asker has.
    pub have: Vec<String>,
}

/// A configuration, less the chunks that the asker has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullReply {
    /// The head; none while the instance has no configuration.
    pub head: Option<Head>,
    /// Chunks.
    pub chunks: Vec<Chunk>,
}

/// Names of the methods.
pub mod method {
    /// Holds tokens back.
    pub const RESERVE: &str = "reserve";
    /// Widens a hold.
    pub const EXTEND: &str = "extend";
    /// Gives up a reservation.
    pub const VOID: &str = "void";
    /// Serves a request no more.
    pub const DROP_OUT: &str = "drop_out";
    /// Settles a hold.
    pub const SETTLE: &str = "settle";
    /// Keeps a copy of a settlement.
    pub const KEEP: &str = "keep";
    /// Hands over unspent tokens.
    pub const RECALL: &str = "recall";
    /// Opens a step of a joint grant.
    pub const OPEN: &str = "open";
    /// Exchanges what is known of instances.
    pub const GOSSIP: &str = "gossip";
    /// Fetches a configuration.
    pub const PULL: &str = "pull";
    /// Tells how far an attempt is.
    pub const ATTEMPT: &str = "attempt";
}

/// Clients of other instances, by address.
#[derive(Default)]
pub struct Peers {
    clients: Mutex<BTreeMap<String, HttpClient>>,
    cut: Mutex<Vec<String>>,
}

impl Peers {
    fn client(&self, addr: &str) -> Result<HttpClient, String> {
        let mut clients = self.clients.lock().expect("no panic inside");
        if let Some(client) = clients.get(addr) {
            return Ok(client.clone());
        }
        let built = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MESSAGE_LIMIT)
            .max_response_size(MESSAGE_LIMIT)
            .build(format!("http://{addr}"));
        let client = built.map_err(|e| e.to_string())?;
        clients.insert(addr.to_string(), client.clone());
        Ok(client)
    }

    /// Cuts the links to some addresses, for tests; replaces an earlier cut.
    pub fn set_cut(&self, addrs: Vec<String>) {
        *self.cut.lock().expect("no panic inside") = addrs;
    }

    fn is_cut(&self, addr: &str) -> bool {
        let cut = self.cut.lock().expect("no panic inside");
        cut.iter().any(|a| a == addr)
    }

    /// Calls a method of another instance.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the call may have been carried out.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        shared: &Shared,
        addr: &str,
        name: &str,
        msg: &P,
    ) -> Result<R, String> {
        if self.is_cut(addr) {
            return Err("the link is cut".to_string());
        }
        let client = self.client(addr)?;
        // As raw texts, so that their bytes are counted without writing them a second time.
        let text = to_raw_value(msg).map_err(|e| e.to_string())?;
        let sent = text.get().len();
        let mut params = ArrayParams::new();
        params.insert(text).map_err(|e| e.to_string())?;
        let called = client.request(name, params).await;
        let reply: Box<RawValue> = called.map_err(|e| e.to_string())?;
        let got = reply.get().len();
        shared.metrics.message(name, (sent + got) as u64);
        serde_json::from_str(reply.get()).map_err(|e| e.to_string())
    }
}

/// Binds the listener for other instances.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub async fn bind(addr: SocketAddr) -> Result<(jsonrpsee_server::Server, SocketAddr), String> {
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS)
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .build();
    let built = ServerBuilder::new().set_config(config).build(addr).await;
    let server = built.map_err(|e| format!("{addr}: {e}"))?;
    let addr = server.local_addr().map_err(|e| e.to_string())?;
    Ok((server, addr))
}

/// Starts to answer other instances.
///
/// # Panics
///
/// Panics when two methods have one name.
pub fn serve(server: jsonrpsee_server::Server, shared: Arc<Shared>) -> ServerHandle {
    let mut module = RpcModule::from_arc(shared);
    add(
        &mut module,
        method::RESERVE,
        |cx, m: ReserveMsg| async move {
            let reply = cx.bank.reserve(m.req, m.wait_ms).await;
            reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
        },
    );
    add(&mut module, method::EXTEND, |cx, m: ExtendMsg| async move {
        let reply = cx.bank.extend(m).await;
        reply.unwrap_or(ReserveReply::OutOfReach { retry_ms: 1_000 })
    });
    add(&mut module, method::VOID, |cx, m: VoidMsg| async move {
        cx.bank.void(m);
        true
    });
    add(
        &mut module,
        method::DROP_OUT,
        |cx, m: DropOutMsg| async move {
            // Without an answer nobody may cancel: the home will, when no entry is left.
            cx.bank.drop_out(m).await.unwrap_or(true)
        },
    );
    add(&mut module, method::SETTLE, |cx, m: SettleMsg| async move {
        let how: Option<Settled> = cx.bank.settle(m).await;
        how
    });
    add(&mut module, method::KEEP, |cx, m: KeepMsg| async move {
        cx.bank.keep(m);
        true
    });
    add(&mut module, method::RECALL, |cx, m: RecallMsg| async move {
        let sent: Option<u64> = cx.bank.recall(m).await;
        sent
    });
    add(&mut module, method::OPEN, |cx, m: OpenMsg| async move {
        let opened: Option<u64> = cx.bank.open(m).await;
        opened
    });
    add(&mut module, method::GOSSIP, |cx, m: GossipMsg| async move {
        crate::gossip::answer(&cx, m)
    });
    add(&mut module, method::PULL, |cx, m: PullMsg| async move {
        crate::configd::answer(&cx, &m)
    });
    add(&mut module, method::ATTEMPT, |cx, m: String| async move {
        let attempts = cx.attempts.lock().expect("no panic inside");
        attempts.get(&m).copied().unwrap_or(Word::Unknown)
    });
    server.start(module)
}

/// Adds a method that takes one typed message and returns one.
fn add<M, R, F, Fut>(module: &mut RpcModule<Shared>, name: &'static str, answer: F)
where
    M: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Fn(Arc<Shared>, M) -> Fut + Clone + Send + Sync + 'static,
    Fut: std::future::Future<Output = R> + Send,
{
    let added = module.register_async_method(name, move |params, cx, _| {
        let answer = answer.clone();
        async move {
            let msg: M = params.one()?;
            RpcResult::Ok(answer(cx, msg).await)
        }
    });
    added.expect("each method has its own name");
}
