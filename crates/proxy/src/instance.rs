//! A running instance: its start and its planned stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{anyhow, Result};
use clock::{wall_ms, Clock};
use conf::Settings;
use dial::Dialer;
use kv::Store;
use place::{CallerConnections, Descriptors, Link, Pool, RequestMemory, RetryBudget, RetryLimits};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::accounts::{self, EngineAccounts};
use crate::budgets::{BudgetDeps, Budgets};
use crate::client_limits::ClientLimits;
use crate::config::{ColdStartTolerance, Config, ConfigDeps};
use crate::connections::Connections;
use crate::datagram::{self, Sender};
use crate::dialect::Dialect;
use crate::evacuation::Evacuations;
use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::follower::FollowerDeps;
use crate::listen::{self, Clients, Phase};
use crate::log::Log;
use crate::metrics::Metrics;
use crate::notices::{NoticeHandler, Notices};
use crate::ops::{OpsEndpoint, ReadinessEndpoint};
use crate::origins::Origins;
use crate::overload_log;
use crate::peers::{self, PeerClients, PeerService};
use crate::relay::Relay;
use crate::router::Router;
use crate::store_calls::StoreCalls;
use crate::store_health::StoreHealth;
use crate::suspect_gossip::PeerNetwork;
use crate::suspect_store::SuspectStore;
use crate::suspects::Suspects;
use crate::traffic::Traffic;
use crate::transit::{self, Transit};
use crate::upstream_list::UpstreamList;
use crate::version_store::VersionStore;
use crate::wait_queues::WaitQueues;

/// Send buffer of a caller's connection as a power of two of the memory limit: the system would let it grow to
/// megabytes for each caller that reads nothing.
const SEND_BUFFER_SHIFT: usize = 10;
/// Minimum size of that buffer, in bytes: what a link of 100 Mbit/s carries within 5 ms.
const MIN_SEND_BUFFER_BYTES: usize = 64 << 10;
/// Maximum size of a response to another instance, in bytes: a whole configuration fits.
const MAX_RESPONSE_BYTES: u32 = 10 << 20;
/// How long a stopping instance keeps idle connections open: load balancers check readiness once
/// per second, and stop sending after two responses other than 200.
const READINESS_NOTICE: Duration = Duration::from_millis(2_300);
/// How long after the beginning of a stop new requests are accepted, limited to a third of the time
/// for the stop: later ones could be cut off by the end of the process.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_800);
/// Time reserved at the end of a stop, for returning tokens and ending the lease.
const CLEANUP_PERIOD: Duration = Duration::from_millis(600);
/// Time for a stop if the settings do not specify it.
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for idle connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the readiness and metrics listeners to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The settings and dependencies of an instance.
pub struct InstanceDeps {
    /// The settings.
    pub settings: Settings,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The formats of callers, upstreams and operators.
    pub dialect: Arc<dyn Dialect>,
}

/// A running instance.
pub struct Instance {
    router: Arc<Router>,
    store_calls: StoreCalls,
    phase: watch::Sender<Phase>,
    stop_timeout: Duration,
    ready: web::ServerHandle,
    ops: Option<web::ServerHandle>,
    peer: web::ServerHandle,
}

impl Instance {
    /// Binds the listeners and starts the tasks.
    ///
    /// # Errors
    ///
    /// Returns which listener could not be bound, and why.
    pub async fn spawn(deps: InstanceDeps) -> Result<Instance> {
        let InstanceDeps {
            settings,
            store,
            dialect,
        } = deps;
        let fleet_settings = settings.fleet.clone().unwrap_or_default();
        let clock = Clock::start();
        let log = Arc::new(Log::new(clock));
        let descriptors = fleet_settings.max_fds.map(Descriptors::divide);
        let client_limits = ClientLimits::new(fleet_settings.memory_mb, descriptors);
        let bound = rpc::Listener::bind(
            settings.peer_listen(),
            client_limits.instances,
            MAX_RESPONSE_BYTES,
        );
        let peer_listener = bound.map_err(|e| anyhow!("failed to bind the peer listener: {e}"))?;
        let peer_addr = peer_listener.addr();
        let bound = datagram::bind(peer_addr).await;
        let socket = bound.map_err(|e| anyhow!("failed to bind the peer datagram socket: {e}"))?;
        let bound = listen::bind(settings.listen(), fleet_settings.memory_mb);
        let (listener, addr) =
            bound.map_err(|e| anyhow!("failed to bind the callers' listener: {e}"))?;
        let transit_addr = fleet_settings
            .transit_listen
            .unwrap_or(SocketAddr::new(peer_addr.ip(), 0));
        let bound = listen::bind(transit_addr, fleet_settings.memory_mb);
        let (transit_listener, transit_addr) =
            bound.map_err(|e| anyhow!("failed to bind the transit listener: {e}"))?;

        let store_health = Arc::new(StoreHealth::new(clock, Arc::clone(&log)));
        let store_calls = StoreCalls::new(clock, Arc::clone(&store_health));
        let relay = Relay::new(clock, Arc::clone(&store_health));
        let peer_clients = PeerClients::default();
        let follower_deps = FollowerDeps {
            store_health: Arc::clone(&store_health),
            relay: relay.clone(),
            peer_clients: peer_clients.clone(),
        };
        let budgets = Budgets::new(clock, Arc::clone(&log));
        let pool = Arc::new(Mutex::new(new_pool(&fleet_settings)));
        let dialer = Dialer::new(descriptors.map(|d| d.upstreams));
        let transit = Transit::new(clock, Arc::clone(&log), Arc::clone(&pool));
        let notices = Notices::default();
        let config = Config::new(ConfigDeps {
            dialect: Arc::clone(&dialect),
            budgets: budgets.clone(),
            log: Arc::clone(&log),
            notices: notices.clone(),
            relay: relay.clone(),
            pool: Arc::clone(&pool),
            cold_start_tolerance: cold_start_tolerance(&fleet_settings),
        });
        let evacuations = Evacuations::new(
            Arc::clone(&dialect),
            notices.clone(),
            Arc::clone(&pool),
            Arc::clone(&log),
            clock,
        );
        let suspects = Suspects::new(
            &settings.name,
            clock,
            Arc::clone(&log),
            dialer.clone(),
            transit.clone(),
        );
        let versions_store = store_calls.counted_store("versions", &store);
        let origins = Origins::new(clock, relay.clone(), Arc::clone(&versions_store));
        let upstream_list = UpstreamList::new(
            Arc::clone(&dialect),
            Arc::clone(&pool),
            dialer.clone(),
            suspects.clone(),
            origins.clone(),
            notices.clone(),
            Arc::clone(&store_health),
            Arc::clone(&log),
            clock,
        );
        let own = Member {
            id: new_incarnation(&settings.name),
            addr: peer_addr,
            zone: settings.zone.clone(),
            link_mbps: fleet_settings.link_mbps.map(|mbps| mbps as u32),
            transit_addr: Some(transit_addr),
            capacity: home_capacity(&fleet_settings),
        };
        let fleet = Fleet::new(
            &settings.name,
            own,
            &settings.peers.clone().unwrap_or_default(),
            fleet_settings.lease_least_ms.unwrap_or_default(),
            store_calls.counted_store("instances", &store),
            follower_deps.clone(),
            Arc::clone(&log),
            Arc::clone(&pool),
            transit.clone(),
            clock,
        );
        let traffic = Traffic::default();
        let network = PeerNetwork {
            fleet: fleet.clone(),
            peer_clients: peer_clients.clone(),
            sender: Sender {
                socket: Arc::new(socket),
                fleet: fleet.clone(),
                traffic: traffic.clone(),
            },
        };
        let router = Arc::new(Router {
            dialect,
            clock,
            log: Arc::clone(&log),
            metrics: Metrics::new(&store_calls, &suspects),
            config: config.clone(),
            budgets: budgets.clone(),
            pool,
            accounts: EngineAccounts::default(),
            output_estimates: Mutex::default(),
            upstream_list: upstream_list.clone(),
            transit: transit.clone(),
            dialer: dialer.clone(),
            request_memory: Mutex::new(RequestMemory::new(fleet_settings.memory_mb)),
            link: Mutex::new(Link::new(fleet_settings.link_mbps)),
            intake: Mutex::default(),
            connections: Connections::new(CallerConnections::new(
                fleet_settings.memory_mb,
                descriptors.map(|d| d.callers),
            )),
            shares: Mutex::default(),
            pauses: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(retry_limits(&fleet_settings))),
            wait_queues: WaitQueues::new(clock, Arc::clone(&log)),
            fleet: fleet.clone(),
            network: network.clone(),
            suspects: suspects.clone(),
            origins: origins.clone(),
            store_health: Arc::clone(&store_health),
            zone: settings.zone.clone(),
            send_buffer_bytes: fleet_settings.memory_mb.map(send_buffer_bytes),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_flight: watch::channel(0).0,
        });

        config.spawn(
            store_calls.counted_store("config", &store),
            follower_deps.clone(),
            evacuations.clone(),
        );
        upstream_list.spawn(
            store_calls.counted_store("upstreams", &store),
            follower_deps,
        );
        fleet.spawn();
        notices.spawn(&network, &config);
        let peer_service = PeerService {
            budgets: budgets.clone(),
            suspects: suspects.clone(),
            origins: origins.clone(),
            notice_handler: NoticeHandler {
                notices,
                config,
                upstream_list,
                evacuations,
                relay,
            },
            traffic: traffic.clone(),
        };
        suspects.spawn_gossip(&network);
        origins.spawn_refresh(&network);
        peer_service.notice_handler.spawn_limit_query(&network);
        let suspect_store = SuspectStore {
            suspects,
            fleet: fleet.clone(),
            store: store_calls.counted_store("suspects", &store),
            store_health: Arc::clone(&store_health),
            log: Arc::clone(&log),
            revisions: HashMap::new(),
        };
        tokio::spawn(suspect_store.run());
        let version_store = VersionStore {
            origins,
            network: network.clone(),
            pool: Arc::clone(&router.pool),
            store: versions_store,
            store_health: Arc::clone(&store_health),
            log: Arc::clone(&log),
        };
        tokio::spawn(version_store.run());
        datagram::spawn(&network, Arc::clone(&router), peer_service.clone());
        accounts::spawn(&router);
        transit::spawn_monitor(Arc::clone(&router));
        router.wait_queues.spawn_checks();
        let peer = peers::serve(peer_listener, peer_service.clone());
        peer_clients.spawn_sync(
            fleet.clone(),
            peer_service,
            Arc::clone(&store_health),
            Arc::clone(&log),
        );
        budgets.spawn(BudgetDeps {
            store: store_calls.counted_store("budgets", &store),
            store_health,
            fleet,
            peer_clients,
            sender: network.sender,
            recovery_ms: fleet_settings.recovery_secs.map(|s| (s * 1000.0) as u64),
            pool: Arc::clone(&router.pool),
        });
        traffic.spawn_logging(&router.fleet, &dialer, &log);
        spawn_sweep(dialer);
        store_calls.spawn_logging(Arc::clone(&log));

        overload_log::spawn(Arc::clone(&router));
        spawn_slack_updates(Arc::clone(&router));
        let (phase, phase_rx) = watch::channel(Phase::Serving);
        listen::serve(
            listener,
            Clients::Callers,
            Arc::clone(&router),
            phase_rx.clone(),
        );
        listen::serve(
            transit_listener,
            Clients::Instances,
            Arc::clone(&router),
            phase_rx,
        );
        let ready_addr = fleet_settings
            .ready_listen
            .unwrap_or_else(any_loopback_port);
        let ready = web::bind(
            ready_addr,
            client_limits.readiness,
            Arc::new(ReadinessEndpoint(router.clone())),
        )
        .await;
        let ready = ready.map_err(|e| anyhow!("failed to bind the readiness listener: {e}"))?;
        let ops = match fleet_settings.metrics_listen {
            Some(addr) => {
                let endpoint = OpsEndpoint {
                    router: Arc::clone(&router),
                    memory: client_limits.operators.memory.clone(),
                };
                let ops = web::bind(addr, client_limits.operators, Arc::new(endpoint)).await;
                Some(ops.map_err(|e| anyhow!("failed to bind the metrics listener: {e}"))?)
            }
            None => None,
        };
        let detail = format_args!(
            "id={} zone={} callers={addr} peers={peer_addr} transit={transit_addr} ready={} metrics={}",
            router.fleet.incarnation(),
            settings.zone,
            ready.addr(),
            ops.as_ref()
                .map_or("-".to_string(), |o| o.addr().to_string()),
        );
        log.event(Event::Started, detail);
        let stop_timeout = fleet_settings.stop_secs.map(Duration::from_secs_f64);
        Ok(Instance {
            router,
            store_calls,
            phase,
            stop_timeout: stop_timeout.unwrap_or(DEFAULT_STOP_TIMEOUT),
            ready,
            ops,
            peer,
        })
    }

    /// Logs the result of reading the settings again.
    pub fn log_settings_reload(&self, what: &str) {
        self.router.log.event(Event::SettingsReloaded, what);
    }

    /// Returns the number of requests in flight.
    ///
    /// Borrowing the value locks the counter. If the borrow were held over an `await`, the next
    /// request to begin or end would block its thread, which may be the only one.
    fn in_flight(&self) -> u64 {
        *self.router.in_flight.borrow()
    }

    /// Waits until no request is in flight, and all responses are written.
    async fn wait_idle(&self) {
        let mut in_flight = self.router.in_flight.subscribe();
        loop {
            // The sender is owned by the router, so waiting can't fail.
            let _ = in_flight.wait_for(|n| *n == 0).await;
            self.router.connections.wait_idle().await;
            if self.in_flight() == 0 {
                return;
            }
        }
    }

    /// Performs a planned stop: reports that the instance is not ready, waits for requests in
    /// flight, returns the tokens and ends the lease.
    ///
    /// Returns whether no request was cut off.
    pub async fn stop(self) -> bool {
        let began_at = Instant::now();
        let router = &self.router;
        router.stopping.store(true, Ordering::Relaxed);
        let inflight = self.in_flight();
        router
            .log
            .event(Event::Stopping, format_args!("inflight={inflight}"));
        sleep(READINESS_NOTICE.min(self.stop_timeout / 2)).await;
        // Makes the listener close idle connections; fails only if its task has ended.
        let _ = self.phase.send(Phase::Draining);
        // If too few instances are ready, load balancers keep sending requests to this one. New
        // requests are accepted until none is in flight, or as long as there is time for them to
        // end.
        let accept_until = began_at + ACCEPT_PERIOD.min(self.stop_timeout / 3);
        let serve_until = began_at + self.stop_timeout.saturating_sub(CLEANUP_PERIOD);
        let mut all_ended = timeout_at(accept_until, self.wait_idle()).await.is_ok();
        router.refusing.store(true, Ordering::Relaxed);
        let serve_ms = serve_until.saturating_duration_since(Instant::now());
        let serve_until_ms = router.clock.now() + serve_ms.as_millis() as u64;
        router.wait_queues.stop(serve_until_ms);
        // Returns most tokens while the last requests end, because there is little time afterwards.
        router.budgets.release_all().await;
        if !all_ended {
            all_ended = timeout_at(serve_until, self.wait_idle()).await.is_ok();
        }
        let returned = timeout(CLEANUP_PERIOD / 2, router.budgets.release_all()).await == Ok(true);
        // If the lease is not ended in time, it expires.
        let _ = timeout(CLEANUP_PERIOD / 4, router.fleet.deregister()).await;
        self.store_calls.log_totals(&router.log);
        let cut = self.in_flight().max(router.connections.busy_count() as u64);
        let detail = format_args!("cut={cut} handed_back={returned}");
        router.log.event(Event::Stopped, detail);
        self.ready.stop(CLOSE_TIMEOUT);
        if let Some(ops) = &self.ops {
            ops.stop(CLOSE_TIMEOUT);
        }
        self.peer.stop(CLOSE_TIMEOUT);
        all_ended
    }
}

/// Returns the name of the incarnation that starts now: the time makes names sortable, the random
/// half makes them unique.
fn new_incarnation(name: &str) -> String {
    let start = (wall_ms() / 1000) as u32;
    format!("{name}.{start:08x}{:08x}", rand::random::<u32>())
}

/// Returns the capacity to hold customers' tokens, if the settings name memory and bandwidth.
fn home_capacity(settings: &conf::Fleet) -> Option<u32> {
    let link_mbps = settings.link_mbps? as u64;
    Some(escrow::home_capacity(settings.memory_mb?, link_mbps))
}

fn retry_limits(fleet: &conf::Fleet) -> RetryLimits {
    let default = RetryLimits::default();
    RetryLimits {
        ratio: fleet.retry_ratio.unwrap_or(default.ratio),
        slack: fleet.retry_slack.unwrap_or(default.slack),
        window_ms: fleet
            .retry_window_secs
            .map_or(default.window_ms, |s| (s * 1000.0) as u64),
    }
}

fn cold_start_tolerance(fleet: &conf::Fleet) -> ColdStartTolerance {
    ColdStartTolerance {
        factor: fleet.cold_over.unwrap_or(1.0),
        slack: fleet.cold_slack.unwrap_or_default(),
    }
}

fn new_pool(fleet: &conf::Fleet) -> Pool {
    let mut pool = Pool::default();
    pool.set_regions(fleet.zones.clone().unwrap_or_default());
    pool
}

/// Returns the size of the send buffer of callers' connections of an instance with a memory limit in
/// megabytes.
fn send_buffer_bytes(memory_mb: u64) -> usize {
    ((memory_mb as usize) << 20 >> SEND_BUFFER_SHIFT).max(MIN_SEND_BUFFER_BYTES)
}

fn spawn_sweep(dialer: Dialer) {
    tokio::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            dialer.close_expired();
        }
    });
}

/// Starts the task that sets the part of this instance in the slack of the retry budgets.
fn spawn_slack_updates(router: Arc<Router>) {
    let mut changes = router.fleet.roster_changes();
    let mut renewals = router.fleet.lease_renewals();
    tokio::spawn(async move {
        loop {
            router.update_slack_part();
            // Waiting can't fail: the router owns the fleet.
            tokio::select! {
                _ = changes.changed() => {}
                _ = renewals.changed() => {}
            }
        }
    });
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
