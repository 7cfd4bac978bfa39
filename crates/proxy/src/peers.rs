//! Between instances, over jsonrpsee: tokens that one lacks, and news that one can't read itself.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use escrow::CumulativeTotal;
use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_core::RpcResult;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee_server::{RpcModule, Server, ServerBuilder, ServerHandle};
use notice::Notice;
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use suspect::SuspectRecord;
use tokio::time::{sleep, timeout, Instant};

use crate::budgets::{Budgets, DrawRequest, DrawResponse};
use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::notices::NoticeHandler;
use crate::relay::Relay;
use crate::replication::{DeltaRequest, DeltaResponse, Topic};
use crate::store_health::StoreHealth;
use crate::suspects::{Suspects, TrialRequest, TrialResponse};
use crate::traffic::Traffic;

/// An instance answers within a few milliseconds, or is not there: a request waits for it.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// An answer that comes later than that is still taken up to this time: it may bring tokens that were
/// debited, and would be lost to the budget.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// What a reader passes on may be a whole configuration, over a link that is full, to a dozen instances at once.
/// The store is asked after this time, which leaves the most of the two seconds in which a change is in force.
const DELTA_TIMEOUT: Duration = Duration::from_millis(400);
/// An instance that did not answer is not called for this time.
const BACKOFF: Duration = Duration::from_millis(1_500);
/// How often an instance that can't read the store asks another one for news: well within the two
/// seconds in which a change is in force.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);

/// A call for tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TokenRequest {
    /// The asker's incarnation.
    pub(crate) from: String,
    pub(crate) customer: String,
    /// Tokens that requests wait for.
    pub(crate) tokens: u64,
    /// Tokens that the asker has left.
    pub(crate) balance: u64,
    /// The asker's demand, in tokens a second.
    pub(crate) rate: u64,
}

/// Tokens of an instance that leaves and can't hand them back to the store.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct TokenHandover {
    pub(crate) customer: String,
    /// All that the giver has ever given to the one that gets this.
    pub(crate) given: CumulativeTotal,
    /// What the giver has spent and passed on to it: nobody else would write it into the record.
    pub(crate) spent: CumulativeTotal,
}

/// Log lines about transfers between instances print this type as `Gift`.
impl fmt::Debug for TokenHandover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gift")
            .field("customer", &self.customer)
            .field("given", &self.given)
            .field("spent", &self.spent)
            .finish()
    }
}

/// What an instance that asks for news has.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SyncRequest {
    version: u64,
    leaving: Vec<String>,
}

/// What the asker lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SyncResponse {
    config: Option<String>,
    /// The revision up to which the list of upstreams is known there; 0 where it may be old.
    #[serde(rename = "upstreams")]
    upstreams_revision: i64,
    leaving: Vec<String>,
    evacuations: Vec<Notice>,
    limits: Vec<Notice>,
}

/// What the instance answers from.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) bank: Budgets,
    pub(crate) suspects: Suspects,
    pub(crate) notice_handler: NoticeHandler,
    pub(crate) traffic: Traffic,
}

impl PeerService {
    fn sync_response(&self, have: &SyncRequest) -> SyncResponse {
        for id in &have.leaving {
            self.notice_handler.upstreams.mark_leaving(id, "peer");
        }
        let active = self.notice_handler.config.active();
        let newer = active.filter(|a| a.routing.version > have.version);
        SyncResponse {
            config: newer.map(|a| String::from_utf8_lossy(&a.raw).into_owned()),
            upstreams_revision: self.notice_handler.relay.current_revision(Topic::Upstreams),
            leaving: self.notice_handler.upstreams.leaving_incarnations(),
            evacuations: self.notice_handler.notices.evacuations(),
            limits: self.notice_handler.upstreams.limit_notices(),
        }
    }
}

/// Binds the listener for other instances.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<(Server, SocketAddr)> {
    let server = ServerBuilder::default().build(addr).await?;
    let addr = server.local_addr()?;
    Ok((server, addr))
}

/// Answers other instances.
pub(crate) fn serve(server: Server, desk: PeerService) -> ServerHandle {
    let mut module = RpcModule::new(desk);
    let take = module.register_method("take", |params, desk, _| -> RpcResult<CumulativeTotal> {
        let want: TokenRequest = params.one()?;
        Ok(desk.bank.transfer_share(&want))
    });
    take.expect("a new name");
    let gift = module.register_method("gift", |params, desk, _| -> RpcResult<bool> {
        let gift: TokenHandover = params.one()?;
        Ok(desk.bank.receive_transfer(&gift))
    });
    gift.expect("a new name");
    let draw = module.register_async_method("draw", |params, desk, _| async move {
        let draw: DrawRequest = params.one()?;
        RpcResult::Ok(desk.bank.handle_draw(&draw).await)
    });
    draw.expect("a new name");
    let ping = module.register_method("ping", |_, desk, _| -> RpcResult<Option<String>> {
        Ok((!desk.bank.is_shutting_down()).then(|| desk.bank.own_id()))
    });
    ping.expect("a new name");
    let news = module.register_method("news", |params, desk, _| -> RpcResult<SyncResponse> {
        let have: SyncRequest = params.one()?;
        Ok(desk.sync_response(&have))
    });
    news.expect("a new name");
    let lacking =
        module.register_method("lacking", |params, desk, _| -> RpcResult<DeltaResponse> {
            let ask: DeltaRequest = params.one()?;
            let passed = desk.notice_handler.relay.serve_delta(&ask);
            desk.traffic.record("lists", true, passed.size_bytes());
            Ok(passed)
        });
    lacking.expect("a new name");
    let suspects = module
        .register_method("suspects", |_, desk, _| -> RpcResult<Vec<SuspectRecord>> {
            Ok(desk.suspects.list())
        });
    suspects.expect("a new name");
    let limits = module.register_method("limits", |_, desk, _| -> RpcResult<Vec<Notice>> {
        Ok(desk.notice_handler.upstreams.limit_notices())
    });
    limits.expect("a new name");
    let trial = module.register_method("trial", |params, desk, _| -> RpcResult<TrialResponse> {
        let ask: TrialRequest = params.one()?;
        Ok(desk.suspects.answer_trial_request(&ask))
    });
    trial.expect("a new name");
    server.start(module)
}

/// One instance that is called.
struct Connection {
    client: HttpClient,
    /// Not called again before this: a call that hangs keeps requests waiting.
    backoff_until: Option<Instant>,
    /// Its last call had no answer: it may be gone though it is listed.
    unresponsive: bool,
}

/// Calls other instances.
#[derive(Clone, Default)]
pub(crate) struct Peers(Arc<Mutex<HashMap<SocketAddr, Connection>>>);

impl Peers {
    fn client(&self, addr: SocketAddr) -> Result<HttpClient, String> {
        let mut clients = self.0.lock().expect("no panic inside");
        let mut silent = false;
        if let Some(line) = clients.get(&addr) {
            silent = line.unresponsive;
            let rests = line.backoff_until.is_some_and(|t| Instant::now() < t);
            if rests {
                return Err("did not answer a moment ago".to_string());
            }
            if line.backoff_until.is_none() {
                return Ok(line.client.clone());
            }
        }
        let client = HttpClientBuilder::default()
            .request_timeout(RESPONSE_TIMEOUT)
            .build(format!("http://{addr}"))
            .map_err(|e| e.to_string())?;
        let line = Connection {
            client: client.clone(),
            backoff_until: None,
            unresponsive: silent,
        };
        clients.insert(addr, line);
        Ok(client)
    }

    /// Returns whether an instance did not answer when it was called last.
    pub(crate) fn is_unresponsive(&self, addr: SocketAddr) -> bool {
        let lines = self.0.lock().expect("no panic inside");
        lines.get(&addr).is_some_and(|l| l.unresponsive)
    }

    /// Leaves an instance alone for a while; its next call gets a new connection, since the old one
    /// may hang for good.
    pub(crate) fn back_off(&self, addr: SocketAddr) {
        let mut lines = self.0.lock().expect("no panic inside");
        if let Some(line) = lines.get_mut(&addr) {
            line.backoff_until = Some(Instant::now() + BACKOFF);
            line.unresponsive = true;
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let client = self.client(addr)?;
        let answer = request(&client, method, param).await;
        match answer {
            Ok(_) => self.record_response(addr),
            Err(_) => self.back_off(addr),
        }
        answer
    }

    fn record_response(&self, addr: SocketAddr) {
        let mut lines = self.0.lock().expect("no panic inside");
        if let Some(line) = lines.get_mut(&addr) {
            line.unresponsive = false;
        }
    }

    /// Calls where an answer that comes late brings nothing.
    async fn call_with_timeout<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let answer = timeout(CALL_TIMEOUT, self.call(addr, method, param)).await;
        answer.unwrap_or_else(|_| {
            self.back_off(addr);
            Err("no answer in time".to_string())
        })
    }

    /// Asks an instance for tokens; it has debited them when it answers.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: tokens that it debited come with its next one.
    pub(crate) async fn request_tokens(
        &self,
        addr: SocketAddr,
        want: &TokenRequest,
    ) -> Result<CumulativeTotal, String> {
        self.call(addr, "take", want).await
    }

    /// Draws the tokens of one request from its customer's home, which has debited them when it
    /// answers.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: tokens that it debited come with its next one.
    pub(crate) async fn draw_tokens(
        &self,
        addr: SocketAddr,
        draw: &DrawRequest,
    ) -> Result<DrawResponse, String> {
        self.call(addr, "draw", draw).await
    }

    /// Returns the incarnation of an instance that answers, and stays.
    pub(crate) async fn ping(&self, addr: SocketAddr) -> Option<String> {
        // No answer says enough.
        self.call_with_timeout(addr, "ping", &())
            .await
            .unwrap_or(None)
    }

    /// Asks an instance under which requests upstreams have ended.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn fetch_suspects(
        &self,
        addr: SocketAddr,
    ) -> Result<Vec<SuspectRecord>, String> {
        self.call_with_timeout(addr, "suspects", &()).await
    }

    /// Asks an instance for the request rate limits of its listed upstreams.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn fetch_limits(&self, addr: SocketAddr) -> Result<Vec<Notice>, String> {
        self.call_with_timeout(addr, "limits", &()).await
    }

    /// Asks an instance that keeps a request whether it may be tried.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn request_trial(
        &self,
        addr: SocketAddr,
        ask: &TrialRequest,
    ) -> Result<TrialResponse, String> {
        self.call_with_timeout(addr, "trial", ask).await
    }

    /// Gives an instance tokens that were debited here.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer: the tokens are lost to the budget then, unless another gift follows.
    pub(crate) async fn hand_over_tokens(
        &self,
        addr: SocketAddr,
        gift: &TokenHandover,
    ) -> Result<bool, String> {
        self.call_with_timeout(addr, "gift", gift).await
    }

    /// Asks an instance that reads the store for what is newer than what is known here.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn fetch_delta(
        &self,
        addr: SocketAddr,
        ask: &DeltaRequest,
    ) -> Result<DeltaResponse, String> {
        let client = self.client(addr)?;
        // One that is slow with this may be quick with tokens: nothing is held against it.
        let answer = timeout(DELTA_TIMEOUT, request(&client, "lacking", ask)).await;
        answer.unwrap_or_else(|_| Err("no answer in time".to_string()))
    }

    /// Asks other instances for news whenever the store is out of reach.
    pub(crate) fn spawn_sync(
        &self,
        fleet: Fleet,
        desk: PeerService,
        reach: Arc<StoreHealth>,
        log: Arc<Log>,
    ) {
        let peers = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(SYNC_INTERVAL).await;
                let others = fleet.peers();
                if !reach.is_unavailable() || others.is_empty() {
                    continue;
                }
                // One that is known to have what is lacking here is asked first, else any: the whole zone may be cut off.
                let any = others.choose(&mut rand::rng()).map(|m| m.addr);
                if let Some(peer) = desk.notice_handler.relay.config_holder().or(any) {
                    peers.sync_from(peer, &desk, &log).await;
                }
            }
        });
    }

    async fn sync_from(&self, addr: SocketAddr, desk: &PeerService, log: &Log) {
        let have = SyncRequest {
            version: desk.notice_handler.config.version(),
            leaving: desk.notice_handler.upstreams.leaving_incarnations(),
        };
        let news: SyncResponse = match self.call_with_timeout(addr, "news", &have).await {
            Ok(news) => news,
            Err(why) => {
                desk.notice_handler.relay.forget_peer(addr);
                log.event(Event::PeerUpdate, format_args!("from={addr} failed={why}"));
                return;
            }
        };
        // Before the configuration, with which this instance may begin to serve.
        desk.notice_handler.apply(news.evacuations);
        desk.notice_handler.apply(news.limits);
        if let Some(config) = news.config {
            log.event(Event::PeerUpdate, format_args!("from={addr} what=config"));
            desk.notice_handler
                .config
                .apply_if_newer(config.as_bytes(), "peer");
        }
        for upstream in &news.leaving {
            desk.notice_handler.upstreams.mark_leaving(upstream, "peer");
        }
        let relay = &desk.notice_handler.relay;
        if news.upstreams_revision > relay.revision(Topic::Upstreams) {
            if let Some(passed) = self.fetch_upstreams(addr, relay).await {
                let update = relay.apply_delta(Topic::Upstreams, passed);
                desk.notice_handler.upstreams.apply(update);
            }
        }
    }

    /// Fetches what is newer of the list of upstreams, all pages of it; `None` when an answer is missing.
    async fn fetch_upstreams(&self, addr: SocketAddr, relay: &Relay) -> Option<DeltaResponse> {
        let revision = relay.revision(Topic::Upstreams);
        let mut ask = DeltaRequest::first_page(Topic::Upstreams, revision);
        let mut passed = self.fetch_delta(addr, &ask).await.ok()?;
        while let Some(next) = passed.next.take() {
            ask.after = Some(next);
            let page = self.fetch_delta(addr, &ask).await.ok()?;
            if !passed.delta.append(page.delta) {
                return None;
            }
            passed.next = page.next;
        }
        Some(passed)
    }
}

async fn request<T: DeserializeOwned>(
    client: &HttpClient,
    method: &str,
    param: &impl Serialize,
) -> Result<T, String> {
    let mut params = ArrayParams::new();
    params.insert(param).map_err(|e| e.to_string())?;
    let answer = client.request(method, params).await;
    answer.map_err(|e| e.to_string())
}

#[cfg(test)]
#[path = "../tests/encoding/news.rs"]
mod encoding;
