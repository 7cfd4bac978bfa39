//! Calls between instances, over JSON-RPC: for tokens, for changes that the calling instance has
//! not read from the store, for suspected requests and for request rate limits.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use escrow::CumulativeTotal;
use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_core::RpcResult;
use jsonrpsee_http_client::HttpClient;
use jsonrpsee_server::types::Params;
use jsonrpsee_server::{Extensions, RpcModule};
use notice::Notice;
use origin::Origin;
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use suspect::SuspectRecord;
use tokio::time::{sleep, timeout, Instant};

use crate::budgets::{Budgets, DrawRequest, DrawResponse};
use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::liveness::{Liveness, Verdict, BACKOFF};
use crate::log::Log;
use crate::notices::NoticeHandler;
use crate::origins::{OriginResponse, Origins};
use crate::relay::Relay;
use crate::replication::{DeltaRequest, DeltaResponse, Topic};
use crate::store_health::StoreHealth;
use crate::suspects::{Suspects, TrialRequest, TrialResponse};
use crate::traffic::Traffic;

/// Timeout of a call that a request waits for: an instance answers within a few milliseconds, or is
/// not there.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Responses are accepted up to this time even if nobody waits for them any more: they may transfer
/// tokens that were debited and would otherwise be lost to the budget.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call for what a peer has read from the store. The response may be a whole
/// configuration, sent over a saturated link to a dozen instances at once. If it fails, the store
/// is read instead, which still leaves most of the two seconds within which a change must be in
/// force.
const DELTA_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which an instance that can't read the store asks another one for changes: well
/// within the two seconds within which a change must be in force.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);

/// A request for tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TokenRequest {
    /// The incarnation of the requesting instance.
    pub(crate) from: String,
    pub(crate) customer: String,
    /// Tokens that requests are waiting for.
    pub(crate) tokens: u64,
    /// Tokens that the requesting instance has left.
    pub(crate) balance: u64,
    /// Demand at the requesting instance, in tokens per second.
    pub(crate) rate: u64,
}

/// Tokens that a stopping instance transfers to another one because it can't return them to the
/// store.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct TokenTransfer {
    pub(crate) customer: String,
    /// Total of all tokens that the sender has ever transferred to the receiver.
    #[serde(rename = "given")]
    pub(crate) transferred: CumulativeTotal,
    /// Total that the sender has spent and forwarded to the receiver, since nobody else would write
    /// it to the record.
    pub(crate) spent: CumulativeTotal,
}

/// Log lines about transfers between instances print this type as `Gift`.
impl fmt::Debug for TokenTransfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gift")
            .field("customer", &self.customer)
            .field("given", &self.transferred)
            .field("spent", &self.spent)
            .finish()
    }
}

/// A request for changes, by an instance to which the store is unavailable.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SyncRequest {
    /// The version of the configuration in force at the requesting instance.
    version: u64,
    /// The incarnations of upstreams that it knows to be leaving.
    leaving: Vec<String>,
}

/// The response to a [`SyncRequest`]: what the requesting instance may be missing.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SyncResponse {
    /// The configuration as stored, if it is newer.
    config: Option<String>,
    /// The revision up to which the responding instance knows the list of upstreams; 0 if its
    /// knowledge may be outdated.
    #[serde(rename = "upstreams")]
    upstreams_revision: i64,
    /// The same although its knowledge may be outdated: an instance without any list can use nothing better.
    #[serde(rename = "known", default, skip_serializing_if = "Option::is_none")]
    known_upstreams_revision: Option<i64>,
    leaving: Vec<String>,
    evacuations: Vec<Notice>,
    limits: Vec<Notice>,
}

/// Answers the calls of other instances.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) budgets: Budgets,
    pub(crate) suspects: Suspects,
    pub(crate) origins: Origins,
    pub(crate) notice_handler: NoticeHandler,
    pub(crate) traffic: Traffic,
}

impl PeerService {
    /// Refuses calls for other instances. A later incarnation answers, since the list shows it late;
    /// calls that transfer tokens name the incarnations themselves.
    fn check_addressee(&self, extensions: &Extensions) -> RpcResult<()> {
        rpc::check_instance(extensions, &self.budgets.own_id())
    }

    /// Records what the requesting instance knows, and returns what it may be missing.
    fn sync_response(&self, request: &SyncRequest) -> SyncResponse {
        for id in &request.leaving {
            self.notice_handler.upstream_list.mark_leaving(id, "peer");
        }
        let active = self.notice_handler.config.active();
        let newer = active.filter(|a| a.routing.version > request.version);
        let relay = &self.notice_handler.relay;
        SyncResponse {
            config: newer.map(|a| String::from_utf8_lossy(&a.raw).into_owned()),
            upstreams_revision: relay.current_revision(Topic::Upstreams),
            known_upstreams_revision: Some(relay.revision(Topic::Upstreams)),
            leaving: self.notice_handler.upstream_list.leaving_incarnations(),
            evacuations: self.notice_handler.notices.evacuations(),
            limits: self.notice_handler.upstream_list.limit_notices(),
        }
    }
}

/// Starts the server that answers other instances.
pub(crate) fn serve(listener: rpc::Listener, service: PeerService) -> web::ServerHandle {
    let mut module = RpcModule::new(service);
    register(&mut module, "take", |params, service| {
        let request: TokenRequest = params.one()?;
        Ok(service.budgets.transfer_share(&request))
    });
    register(&mut module, "gift", |params, service| {
        let transfer: TokenTransfer = params.one()?;
        Ok(service.budgets.receive_transfer(&transfer))
    });
    let draw = module.register_async_method("draw", |params, service, extensions| async move {
        service.check_addressee(&extensions)?;
        let draw: DrawRequest = params.one()?;
        RpcResult::Ok(service.budgets.handle_draw(&draw).await)
    });
    draw.expect("method names are unique");
    register(&mut module, "ping", |_, service| {
        Ok((!service.budgets.is_shutting_down()).then(|| service.budgets.own_id()))
    });
    register(&mut module, "news", |params, service| {
        let request: SyncRequest = params.one()?;
        Ok(service.sync_response(&request))
    });
    register(&mut module, "lacking", |params, service| {
        let request: DeltaRequest = params.one()?;
        let response = service.notice_handler.relay.serve_delta(&request);
        service.traffic.record("lists", true, response.size_bytes());
        Ok(response)
    });
    register(&mut module, "suspects", |_, service| {
        if !service.suspects.are_known() {
            return Err(rpc::unavailable("the records are not known here yet"));
        }
        Ok(service.suspects.list())
    });
    register(&mut module, "origin", |params, service| {
        let request: String = params.one()?;
        Ok(service.origins.answer(&request))
    });
    register(&mut module, "recorded_versions", |_, service| {
        Ok(service.origins.recorded())
    });
    register(&mut module, "limits", |_, service| {
        Ok(service.notice_handler.upstream_list.limit_notices())
    });
    register(&mut module, "trial", |params, service| {
        let request: TrialRequest = params.one()?;
        Ok(service.suspects.answer_trial_request(&request))
    });
    listener.serve(module)
}

/// Registers a method, which refuses calls for other instances.
fn register<R: Serialize + Clone + 'static>(
    module: &mut RpcModule<PeerService>,
    name: &'static str,
    handler: impl Fn(Params<'_>, &PeerService) -> RpcResult<R> + Send + Sync + 'static,
) {
    let registered = module.register_method(name, move |params, service, extensions| {
        service.check_addressee(extensions)?;
        handler(params, service)
    });
    registered.expect("method names are unique");
}

/// The connection to one instance.
struct Connection {
    client: HttpClient,
    /// The incarnation that calls are for; `None` for whichever is at the address.
    incarnation: Option<String>,
    liveness: Liveness,
    /// Whether connections of this client may have gone silent: the next call uses a new one.
    stale: bool,
}

/// The addresses of the other instances, each with the instance that is listed there. An address from
/// the settings has none.
pub(crate) type PeerAddresses = HashMap<SocketAddr, Option<Arc<Member>>>;

/// Clients for calls to other instances; clones share the connections.
#[derive(Clone, Default)]
pub(crate) struct PeerClients {
    addresses: Arc<RwLock<PeerAddresses>>,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl PeerClients {
    /// Sets the addresses that may be called.
    pub(crate) fn set_addresses(&self, addresses: PeerAddresses) {
        *self.addresses.write().expect("lock not poisoned") = addresses;
    }

    /// Returns whether an address belongs to another instance of this fleet, as far as known.
    pub(crate) fn is_peer(&self, addr: SocketAddr) -> bool {
        let addresses = self.addresses.read().expect("lock not poisoned");
        addresses.contains_key(&addr)
    }

    /// Returns the client for the instance that is listed at an address.
    ///
    /// # Errors
    ///
    /// Returns why the instance can't be called now.
    fn client(&self, addr: SocketAddr) -> Result<HttpClient, String> {
        let addresses = self.addresses.read().expect("lock not poisoned");
        let listed = addresses.get(&addr).cloned();
        drop(addresses);
        let listed = listed.ok_or("no instance is listed at this address")?;
        self.client_of(addr, listed.as_ref().map(|m| m.id.as_str()))
    }

    /// Returns the client for an incarnation, or for whichever is at the address.
    fn client_of(&self, addr: SocketAddr, incarnation: Option<&str>) -> Result<HttpClient, String> {
        let mut connections = self.connections.lock().expect("lock not poisoned");
        let mut liveness = Liveness::default();
        if let Some(connection) = connections.get(&addr) {
            if connection.incarnation.as_deref() == incarnation {
                liveness = connection.liveness;
                if liveness.is_backing_off(Instant::now()) {
                    return Err("backing off after a call without response".to_string());
                }
                if !connection.stale {
                    return Ok(connection.client.clone());
                }
            }
        }
        let client = new_client(addr, incarnation, RESPONSE_TIMEOUT)?;
        let connection = Connection {
            client: client.clone(),
            incarnation: incarnation.map(str::to_string),
            liveness,
            stale: false,
        };
        connections.insert(addr, connection);
        Ok(client)
    }

    /// Returns whether an instance did not answer the last call.
    pub(crate) fn is_unresponsive(&self, addr: SocketAddr) -> bool {
        let connections = self.connections.lock().expect("lock not poisoned");
        connections
            .get(&addr)
            .is_some_and(|c| c.liveness.is_unresponsive())
    }

    /// Returns whether an instance has responded to any call since a time.
    pub(crate) fn has_responded_since(&self, addr: SocketAddr, since: Instant) -> bool {
        let connections = self.connections.lock().expect("lock not poisoned");
        connections
            .get(&addr)
            .is_some_and(|c| c.liveness.has_responded_since(since))
    }

    /// Records that a call has failed or has had no response in time. If the instance was silent
    /// since the call began, it is not called for a while, and not over the same connections, which
    /// may hang forever. A check over a new one ends that as soon as the instance responds.
    pub(crate) fn record_failure(&self, addr: SocketAddr, began_at: Instant) {
        let mut connections = self.connections.lock().expect("lock not poisoned");
        let Some(connection) = connections.get_mut(&addr) else {
            return;
        };
        if connection.liveness.record_failure(Instant::now(), began_at) != Verdict::Silent {
            return;
        }
        connection.stale = true;
        let incarnation = connection.incarnation.clone();
        drop(connections);
        let peer_clients = self.clone();
        tokio::spawn(async move {
            // Without a response, the back-off goes on: the failure is already logged.
            let _ = peer_clients.check(addr, incarnation.as_deref()).await;
        });
    }

    /// Calls an instance over a new connection and records its response.
    async fn check(&self, addr: SocketAddr, incarnation: Option<&str>) -> Result<(), String> {
        let client = new_client(addr, incarnation, BACKOFF)?;
        let _: Option<String> = send_request(&client, "ping", &()).await?;
        self.record_response(addr);
        Ok(())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let client = self.client(addr)?;
        self.call_with(client, addr, method, param).await
    }

    async fn call_with<T: DeserializeOwned>(
        &self,
        client: HttpClient,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        let began_at = Instant::now();
        let response = send_request(&client, method, param).await;
        match response {
            Ok(_) => self.record_response(addr),
            Err(_) => self.record_failure(addr, began_at),
        }
        response
    }

    fn record_response(&self, addr: SocketAddr) {
        let mut connections = self.connections.lock().expect("lock not poisoned");
        if let Some(connection) = connections.get_mut(&addr) {
            connection.liveness.record_response(Instant::now());
        }
    }

    /// Calls with the short timeout, where a late response is of no use.
    async fn call_with_timeout<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
    ) -> Result<T, String> {
        self.with_timeout(addr, self.call(addr, method, param))
            .await
    }

    async fn with_timeout<T>(
        &self,
        addr: SocketAddr,
        call: impl Future<Output = Result<T, String>>,
    ) -> Result<T, String> {
        let began_at = Instant::now();
        let response = timeout(CALL_TIMEOUT, call).await;
        response.unwrap_or_else(|_| {
            self.record_failure(addr, began_at);
            Err("timed out".to_string())
        })
    }

    /// Requests tokens from an instance, which has debited them when it responds.
    ///
    /// # Errors
    ///
    /// Returns why there is no response. Tokens that the instance has debited are included in its
    /// next one.
    pub(crate) async fn request_tokens(
        &self,
        addr: SocketAddr,
        request: &TokenRequest,
    ) -> Result<CumulativeTotal, String> {
        self.call(addr, "take", request).await
    }

    /// Draws the tokens of one request from its customer's home, which has debited them when it
    /// responds.
    ///
    /// # Errors
    ///
    /// Returns why there is no response. Tokens that the home has debited are included in its next
    /// one.
    pub(crate) async fn draw_tokens(
        &self,
        addr: SocketAddr,
        draw: &DrawRequest,
    ) -> Result<DrawResponse, String> {
        self.call(addr, "draw", draw).await
    }

    /// Returns the incarnation at an address; `None` if it does not respond, or is stopping. It may
    /// be another one than the list shows.
    pub(crate) async fn ping(&self, addr: SocketAddr) -> Option<String> {
        let client = self.client_of(addr, None).ok()?;
        let call = self.call_with(client, addr, "ping", &());
        self.with_timeout(addr, call).await.unwrap_or(None)
    }

    /// Fetches the records of requests that were present at crashes of upstreams.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn fetch_suspects(
        &self,
        addr: SocketAddr,
    ) -> Result<Vec<SuspectRecord>, String> {
        self.call_with_timeout(addr, "suspects", &()).await
    }

    /// Fetches the request rate limits of the upstreams that an instance has listed.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn fetch_limits(&self, addr: SocketAddr) -> Result<Vec<Notice>, String> {
        self.call_with_timeout(addr, "limits", &()).await
    }

    /// Fetches what an instance knows of the stream that a request began.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn fetch_origin(
        &self,
        addr: SocketAddr,
        request: &str,
    ) -> Result<OriginResponse, String> {
        self.call_with_timeout(addr, "origin", &request).await
    }

    /// Fetches the versions of upstreams that the store has, as far as an instance knows.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn fetch_recorded_versions(
        &self,
        addr: SocketAddr,
    ) -> Result<Vec<Origin>, String> {
        self.call_with_timeout(addr, "recorded_versions", &()).await
    }

    /// Requests a trial of a request from an owner of its record.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn request_trial(
        &self,
        addr: SocketAddr,
        request: &TrialRequest,
    ) -> Result<TrialResponse, String> {
        self.call_with_timeout(addr, "trial", request).await
    }

    /// Transfers tokens that were debited here to an instance.
    ///
    /// # Errors
    ///
    /// Returns why there is no response. The tokens are then lost to the budget unless another
    /// transfer to that instance follows.
    pub(crate) async fn transfer_tokens(
        &self,
        addr: SocketAddr,
        transfer: &TokenTransfer,
    ) -> Result<bool, String> {
        let client = self.client_of(addr, Some(&transfer.transferred.to))?;
        let call = self.call_with(client, addr, "gift", transfer);
        self.with_timeout(addr, call).await
    }

    /// Fetches changes that are not known here from an instance that may know more.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub(crate) async fn fetch_delta(
        &self,
        addr: SocketAddr,
        request: &DeltaRequest,
    ) -> Result<DeltaResponse, String> {
        let client = self.client(addr)?;
        // No back-off: an instance that is slow to send this may still be fast to send tokens.
        let response = timeout(DELTA_TIMEOUT, send_request(&client, "lacking", request)).await;
        response.unwrap_or_else(|_| Err("timed out".to_string()))
    }

    /// Starts the task that asks other instances for changes while the store is unavailable.
    pub(crate) fn spawn_sync(
        &self,
        fleet: Fleet,
        service: PeerService,
        store_health: Arc<StoreHealth>,
        log: Arc<Log>,
    ) {
        let peer_clients = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(SYNC_INTERVAL).await;
                let members = fleet.peers();
                if !store_health.is_unavailable() || members.is_empty() {
                    continue;
                }
                // An instance known to have a newer configuration is preferred. Otherwise one of
                // any zone is asked, since the whole zone may be cut off from the store.
                let any = members.choose(&mut rand::rng()).map(|m| m.addr);
                if let Some(peer) = service.notice_handler.relay.config_holder().or(any) {
                    peer_clients.sync_from(peer, &service, &log).await;
                }
            }
        });
    }

    /// Asks an instance for changes and applies them.
    async fn sync_from(&self, addr: SocketAddr, service: &PeerService, log: &Log) {
        let request = SyncRequest {
            version: service.notice_handler.config.version(),
            leaving: service.notice_handler.upstream_list.leaving_incarnations(),
        };
        let response: SyncResponse = match self.call_with_timeout(addr, "news", &request).await {
            Ok(response) => response,
            Err(why) => {
                service.notice_handler.relay.forget_peer(addr);
                log.event(Event::PeerUpdate, format_args!("from={addr} failed={why}"));
                return;
            }
        };
        // These must be applied before the configuration, after which this instance may start to
        // serve requests.
        service.notice_handler.apply(response.evacuations);
        service.notice_handler.apply(response.limits);
        if let Some(config) = response.config {
            log.event(Event::PeerUpdate, format_args!("from={addr} what=config"));
            service
                .notice_handler
                .config
                .apply_if_newer(config.as_bytes(), "peer");
        }
        for upstream in &response.leaving {
            service
                .notice_handler
                .upstream_list
                .mark_leaving(upstream, "peer");
        }
        let relay = &service.notice_handler.relay;
        let known = relay.revision(Topic::Upstreams);
        let available = match response.known_upstreams_revision {
            Some(revision) if known == 0 => revision,
            _ => response.upstreams_revision,
        };
        if available > known {
            if let Some(response) = self.fetch_upstreams(addr, relay).await {
                let update = relay.apply_delta(Topic::Upstreams, response);
                service.notice_handler.upstream_list.apply(update);
            }
        }
    }

    /// Fetches the changes of the list of upstreams, all pages of them; `None` if a page could not
    /// be fetched.
    async fn fetch_upstreams(&self, addr: SocketAddr, relay: &Relay) -> Option<DeltaResponse> {
        let revision = relay.revision(Topic::Upstreams);
        let mut request = DeltaRequest::first_page(Topic::Upstreams, revision);
        let mut response = self.fetch_delta(addr, &request).await.ok()?;
        while let Some(next) = response.next.take() {
            request.after = Some(next);
            let page = self.fetch_delta(addr, &request).await.ok()?;
            if !response.delta.append(page.delta) {
                return None;
            }
            response.next = page.next;
        }
        Some(response)
    }
}

/// Returns a client for an incarnation, or for whichever is at the address, with connections of its
/// own.
fn new_client(
    addr: SocketAddr,
    incarnation: Option<&str>,
    timeout: Duration,
) -> Result<HttpClient, String> {
    rpc::client_builder(incarnation)?
        .request_timeout(timeout)
        .build(format!("http://{addr}"))
        .map_err(|e| e.to_string())
}

/// Calls a method of an instance.
async fn send_request<T: DeserializeOwned>(
    client: &HttpClient,
    method: &str,
    param: &impl Serialize,
) -> Result<T, String> {
    let mut params = ArrayParams::new();
    params.insert(param).map_err(|e| e.to_string())?;
    let response = client.request(method, params).await;
    response.map_err(|e| e.to_string())
}

#[cfg(test)]
#[path = "../tests/encoding/sync.rs"]
mod encoding;
