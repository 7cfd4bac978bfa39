//! Start and planned stop of an instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use anyhow::{anyhow, Result};
use conf::Settings;
use peer::{Member, Membership, Status};
use route::{Pool, RetryBudget};
use tokio::sync::watch;

use crate::client_limits::ClientLimits;
use crate::clock::{wall_ms, Clock};
use crate::event::Event;
use crate::journal::RequestJournal;
use crate::metrics::Metrics;
use crate::peer_clients::{PeerClients, MAX_MESSAGE_BYTES};
use crate::shared_state::SharedState;
use crate::wait_queues::WaitQueues;
use crate::{
    admin, budget_handle, budget_task, callers, config_sync, gossip, load_reports, model_versions,
    peer_server, registry,
};

/// Connect timeout of calls to upstreams.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a planned stop checks whether the budgets are drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a planned stop logs what it waits for.
const DRAIN_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// New requests are refused at least this long before the listeners close, so that load balancers
/// notice.
const READINESS_NOTICE: Duration = Duration::from_millis(300);
/// Connections that are still open when the listeners close are ended after this time.
const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// A running instance.
pub struct Instance {
    shared: Arc<SharedState>,
    callers: web::ServerHandle,
    admin: web::ServerHandle,
    peer: web::ServerHandle,
    peer_addr: SocketAddr,
}

impl Instance {
    /// Binds the listeners and spawns the tasks.
    ///
    /// # Errors
    ///
    /// Returns which address can't be bound, and why.
    pub async fn spawn(settings: Settings) -> Result<Instance> {
        let limits = ClientLimits::new(&settings);
        let bound =
            rpc::Listener::bind(settings.peer_listen(), limits.instances, MAX_MESSAGE_BYTES);
        let peer_listener = bound.map_err(|e| anyhow!("peer listener: {e}"))?;
        let peer_addr = peer_listener.addr();
        let (budgets, commands) = budget_handle::channel();
        let shared = Arc::new(new_state(settings, peer_addr, budgets)?);
        budget_task::spawn(commands, &shared);
        let peer = peer_server::serve(peer_listener, Arc::clone(&shared));
        let service = Arc::new(callers::CallerService {
            shared: Arc::clone(&shared),
        });
        let bound = web::bind(shared.settings.listen(), limits.callers, service).await;
        let callers = bound.map_err(|e| anyhow!("callers' listener: {e}"))?;
        let service = Arc::new(admin::AdminService {
            shared: Arc::clone(&shared),
        });
        let bound = web::bind(shared.settings.admin_listen(), limits.operators, service).await;
        let admin = bound.map_err(|e| anyhow!("operators' listener: {e}"))?;
        registry::spawn(&shared);
        config_sync::spawn(&shared);
        gossip::spawn(Arc::clone(&shared));
        load_reports::spawn(Arc::clone(&shared));
        model_versions::spawn(Arc::clone(&shared));
        let detail = format!("callers {}, operators {}", callers.addr(), admin.addr());
        shared.log(Event::Started, detail);
        Ok(Instance {
            shared,
            callers,
            admin,
            peer,
            peer_addr,
        })
    }

    /// Returns the id of this incarnation.
    pub fn id(&self) -> &str {
        &self.shared.own_id
    }

    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Returns the address for other instances.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns whether new requests are accepted.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Performs a planned stop: refuses new requests, finishes those in flight, settles them,
    /// returns the unspent tokens, and deregisters.
    ///
    /// Returns whether everything was finished. The stop ends early when `abort` completes, or
    /// after the time in the settings.
    pub async fn stop(self, abort: impl std::future::Future<Output = ()>) -> bool {
        let shared = &self.shared;
        shared.log(
            Event::Stopping,
            format!("{} in flight", *shared.in_flight.borrow()),
        );
        gossip::broadcast(shared, Some(Status::Leaving)).await;
        tokio::time::sleep(READINESS_NOTICE).await;
        let limit = Duration::from_millis(shared.settings.drain_ms());
        let clean = tokio::select! {
            done = tokio::time::timeout(limit, self.drain()) => done.is_ok(),
            () = self.log_drain() => false,
            () = abort => false,
        };
        if clean {
            gossip::broadcast(shared, Some(Status::Left)).await;
            registry::remove_entry(shared).await;
            shared.log(Event::Stopped, "nothing aborted");
        } else {
            let remaining = *shared.in_flight.borrow();
            let drained = shared.budgets.is_drained().await;
            shared.log(
                Event::StopAborted,
                format!("{remaining} aborted, budgets drained: {drained}"),
            );
        }
        self.callers.stop(CLOSE_GRACE);
        self.admin.stop(CLOSE_GRACE);
        self.peer.stop(CLOSE_GRACE);
        clean
    }

    async fn drain(&self) {
        let mut in_flight = self.shared.in_flight.subscribe();
        // Can't fail, since `shared` owns the sender.
        let _ = in_flight.wait_for(|n| *n == 0).await;
        self.shared.budgets.return_all();
        while !self.shared.budgets.is_drained().await {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Logs at intervals what a planned stop waits for.
    async fn log_drain(&self) {
        loop {
            tokio::time::sleep(DRAIN_LOG_INTERVAL).await;
            let in_flight = *self.shared.in_flight.borrow();
            let undrained = self.shared.budgets.describe_undrained().await;
            let detail = format!("{in_flight} in flight; {undrained}");
            self.shared.log(Event::StopWaiting, detail);
        }
    }
}

fn new_state(
    settings: Settings,
    peer_addr: SocketAddr,
    budgets: budget_handle::BudgetHandle,
) -> Result<SharedState> {
    // The first half is the time of the start, the second half is random.
    let incarnation = format!("{:08x}{:08x}", wall_ms() / 1000, rand::random::<u32>());
    let own_id = format!("{}.{incarnation}", settings.name);
    let member = Member {
        id: own_id.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_addr: peer_addr.to_string(),
        status: Status::Live,
        heartbeat: 1,
        revision: 0,
    };
    Ok(SharedState {
        own_id,
        clock: Clock::start(),
        kv: kv::Client::open(&settings.platform),
        http: http_client().build()?,
        http_no_reuse: http_client().pool_max_idle_per_host(0).build()?,
        budgets,
        config: RwLock::new(None),
        pool: Mutex::new(Pool::default()),
        wait_queues: Mutex::new(WaitQueues::default()),
        retry_budget: Mutex::new(RetryBudget::default()),
        members: Mutex::new(Membership::new(member)),
        peers: PeerClients::default(),
        metrics: Metrics::create(),
        journal: RequestJournal::default(),
        claim_attempts: Mutex::default(),
        in_flight: watch::channel(0).0,
        claim_lease: tokio::sync::Mutex::new(None),
        settings,
    })
}

/// Returns the builder of a client that does not retry or follow redirects.
fn http_client() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}
