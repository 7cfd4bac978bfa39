//! One running instance: its start and its planned stop.

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
use place::{Link, Pool, RequestMemory, RetryBudget, RetryLimits};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::budgets::{self, Budgets};
use crate::config::{ColdStartTolerance, Config, ConfigDeps};
use crate::datagram::{self, Sender};
use crate::dialect::Dialect;
use crate::evacuation::Evacuations;
use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::follower::FollowContext;
use crate::listen::{self, Phase};
use crate::log::Log;
use crate::metrics::Metrics;
use crate::notices::{NoticeHandler, Notices};
use crate::ops::{OpsEndpoint, ReadinessEndpoint};
use crate::peers::{self, PeerService, Peers};
use crate::relay::Relay;
use crate::router::Router;
use crate::store_calls::StoreCalls;
use crate::store_health::StoreHealth;
use crate::suspect_gossip::PeerNetwork;
use crate::suspect_store::SuspectStore;
use crate::suspects::Suspects;
use crate::traffic::Traffic;
use crate::upstream_list::UpstreamList;

/// Largest body that the readiness and operators' listeners take, in bytes.
const OPS_BODY_LIMIT: usize = 1 << 16;
/// A stopping instance keeps idle connections open for so long: balancers ask once a second, and stop
/// sending after two answers that are not 200.
const NOTICE: Duration = Duration::from_millis(2_300);
/// A stopping instance goes on serving new requests for so long, or for a third of its time if that is
/// less: those that came later could be cut off by its end.
const SERVES_ON: Duration = Duration::from_millis(2_800);
/// Time at the end of a stop that is left for handing back tokens and the lease.
const LAST_WORDS: Duration = Duration::from_millis(600);
/// The stop that settings name none for.
const STOP_DEFAULT: Duration = Duration::from_secs(30);
/// How often kept connections are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Listeners of operators close within this time.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// What an instance is made of besides its settings.
pub struct Dependencies {
    /// The settings.
    pub settings: Settings,
    /// The store.
    pub store: Arc<dyn Store>,
    /// What callers, upstreams and operators speak.
    pub dialect: Arc<dyn Dialect>,
}

/// A running instance.
pub struct Instance {
    router: Arc<Router>,
    calls: StoreCalls,
    phase: watch::Sender<Phase>,
    stop_by: Duration,
    ready: web::Handle,
    ops: Option<web::Handle>,
    peer: jsonrpsee_server::ServerHandle,
}

impl Instance {
    /// Binds the listeners and spawns the tasks.
    ///
    /// # Errors
    ///
    /// Returns which address can't be bound, and why.
    pub async fn spawn(parts: Dependencies) -> Result<Instance> {
        let Dependencies {
            settings,
            store,
            dialect,
        } = parts;
        let fleet_settings = settings.fleet.clone().unwrap_or_default();
        let clock = Clock::start();
        let log = Arc::new(Log::new(clock));
        let bound = peers::bind(settings.peer_listen()).await;
        let (server, peer_addr) = bound.map_err(|e| anyhow!("peer listener: {e}"))?;
        let bound = datagram::bind(peer_addr).await;
        let socket = bound.map_err(|e| anyhow!("peer datagrams: {e}"))?;
        let bound = listen::bind(settings.listen()).await;
        let (listener, addr) = bound.map_err(|e| anyhow!("callers' listener: {e}"))?;

        let reach = Arc::new(StoreHealth::open(clock, Arc::clone(&log)));
        let calls = StoreCalls::new(clock, Arc::clone(&reach));
        let relay = Relay::open(clock, Arc::clone(&reach));
        let peers = Peers::default();
        let feed = FollowContext {
            store_health: Arc::clone(&reach),
            relay: relay.clone(),
            peers: peers.clone(),
        };
        let bank = Budgets::open(clock, Arc::clone(&log));
        let pool = Arc::new(Mutex::new(pool(&fleet_settings)));
        let dialer = Dialer::default();
        let notices = Notices::default();
        let config = Config::open(ConfigDeps {
            dialect: Arc::clone(&dialect),
            bank: bank.clone(),
            log: Arc::clone(&log),
            notices: notices.clone(),
            relay: relay.clone(),
            pool: Arc::clone(&pool),
            cold_start_tolerance: cold_bounds(&fleet_settings),
        });
        let evacuations = Evacuations::open(
            Arc::clone(&dialect),
            notices.clone(),
            Arc::clone(&pool),
            Arc::clone(&log),
            clock,
        );
        let suspects = Suspects::open(&settings.name, clock, Arc::clone(&log), dialer.clone());
        let listing = UpstreamList::open(
            Arc::clone(&dialect),
            Arc::clone(&pool),
            dialer.clone(),
            suspects.clone(),
            notices.clone(),
            Arc::clone(&reach),
            Arc::clone(&log),
            clock,
        );
        let me = Member {
            id: incarnation(&settings.name),
            addr: peer_addr,
            zone: settings.zone.clone(),
            link_mbps: fleet_settings.link_mbps.map(|mbps| mbps as u32),
        };
        let fleet = Fleet::open(
            &settings.name,
            me,
            &settings.peers.clone().unwrap_or_default(),
            fleet_settings.lease_least_ms.unwrap_or_default(),
            calls.counted_store("instances", &store),
            feed.clone(),
            Arc::clone(&log),
            Arc::clone(&pool),
            clock,
        );
        let traffic = Traffic::default();
        let others = PeerNetwork {
            fleet: fleet.clone(),
            peers: peers.clone(),
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
            metrics: Metrics::new(&calls, &suspects),
            config: config.clone(),
            bank: bank.clone(),
            pool,
            listing: listing.clone(),
            dialer: dialer.clone(),
            request_memory: Mutex::new(RequestMemory::new(fleet_settings.memory_mb)),
            link: Mutex::new(Link::new(fleet_settings.link_mbps)),
            retry_budget: Mutex::new(RetryBudget::new(bounds(&fleet_settings))),
            fleet: fleet.clone(),
            others: others.clone(),
            suspects: suspects.clone(),
            reach: Arc::clone(&reach),
            zone: settings.zone.clone(),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_flight: watch::channel(0).0,
        });

        config.spawn(
            calls.counted_store("config", &store),
            feed.clone(),
            evacuations.clone(),
        );
        listing.spawn(calls.counted_store("upstreams", &store), feed);
        fleet.spawn();
        notices.spawn(&others, &config);
        let desk = PeerService {
            bank: bank.clone(),
            suspects: suspects.clone(),
            notice_handler: NoticeHandler {
                notices,
                config,
                upstreams: listing,
                evacuations,
                relay,
            },
            traffic: traffic.clone(),
        };
        suspects.spawn_gossip(&others);
        desk.notice_handler.spawn_limit_query(&others);
        let kept = SuspectStore {
            suspects,
            fleet: fleet.clone(),
            store: calls.counted_store("suspects", &store),
            store_health: Arc::clone(&reach),
            log: Arc::clone(&log),
            revisions: HashMap::new(),
        };
        tokio::spawn(kept.run());
        datagram::spawn(&others, Arc::clone(&router.pool), desk.clone(), clock);
        let peer = peers::serve(server, desk.clone());
        peers.spawn_sync(fleet.clone(), desk, Arc::clone(&reach), Arc::clone(&log));
        bank.spawn(budgets::Dependencies {
            store: calls.counted_store("budgets", &store),
            reach,
            fleet,
            peers,
            sender: others.sender,
            recovery_ms: fleet_settings.recovery_secs.map(|s| (s * 1000.0) as u64),
        });
        traffic.spawn_logging(&router.fleet, &dialer, &log);
        spawn_sweep(dialer);
        calls.spawn_logging(Arc::clone(&log));

        let (phase, phase_rx) = watch::channel(Phase::Serving);
        listen::serve(listener, Arc::clone(&router), phase_rx);
        let ready_addr = fleet_settings.ready_listen.unwrap_or_else(any_loopback);
        let ready = web::bind(
            ready_addr,
            OPS_BODY_LIMIT,
            Arc::new(ReadinessEndpoint(router.clone())),
        )
        .await;
        let ready = ready.map_err(|e| anyhow!("readiness listener: {e}"))?;
        let ops = match fleet_settings.metrics_listen {
            Some(addr) => {
                let ops =
                    web::bind(addr, OPS_BODY_LIMIT, Arc::new(OpsEndpoint(router.clone()))).await;
                Some(ops.map_err(|e| anyhow!("metrics listener: {e}"))?)
            }
            None => None,
        };
        let detail = format_args!(
            "id={} zone={} callers={addr} peers={peer_addr} ready={} metrics={}",
            router.fleet.incarnation(),
            settings.zone,
            ready.addr(),
            ops.as_ref()
                .map_or("-".to_string(), |o| o.addr().to_string()),
        );
        log.event(Event::Started, detail);
        let stop_by = fleet_settings.stop_secs.map(Duration::from_secs_f64);
        Ok(Instance {
            router,
            calls,
            phase,
            stop_by: stop_by.unwrap_or(STOP_DEFAULT),
            ready,
            ops,
            peer,
        })
    }

    /// Logs that the settings were read again.
    pub fn log_settings_reload(&self, what: &str) {
        self.router.log.event(Event::SettingsReloaded, what);
    }

    /// Returns the requests under way.
    ///
    /// The value that the counter lends locks it: kept over a wait, it would stop the only thread at the
    /// next request that begins or ends.
    fn inflight(&self) -> u64 {
        *self.router.in_flight.borrow()
    }

    async fn idle(&self) {
        let mut busy = self.router.in_flight.subscribe();
        // The sender lives in the router, so waiting can't fail.
        let _ = busy.wait_for(|n| *n == 0).await;
    }

    /// Stops as planned: says that it is not ready, ends what runs, hands back its tokens, leaves.
    ///
    /// Returns whether nothing was cut off.
    pub async fn stop(self) -> bool {
        let began = Instant::now();
        let router = &self.router;
        router.stopping.store(true, Ordering::Relaxed);
        let inflight = self.inflight();
        router
            .log
            .event(Event::Stopping, format_args!("inflight={inflight}"));
        sleep(NOTICE.min(self.stop_by / 2)).await;
        // Idle connections close; there may be none.
        let _ = self.phase.send(Phase::Draining);
        // Where too few instances are ready, balancers go on sending to this one: new requests are
        // served until it has nothing to do, or as long as one still has the time to end.
        let last_new = began + SERVES_ON.min(self.stop_by / 3);
        let until = began + self.stop_by.saturating_sub(LAST_WORDS);
        let mut whole = timeout_at(last_new, self.idle()).await.is_ok();
        router.refusing.store(true, Ordering::Relaxed);
        // Most tokens go while the last requests end: at the end there is little time.
        router.bank.release_all().await;
        if !whole {
            whole = timeout_at(until, self.idle()).await.is_ok();
        }
        let said = timeout(LAST_WORDS / 2, router.bank.release_all()).await == Ok(true);
        // What is not ended by then ends by itself.
        let _ = timeout(LAST_WORDS / 4, router.fleet.deregister()).await;
        self.calls.log_totals(&router.log);
        let detail = format_args!("cut={} handed_back={said}", self.inflight());
        router.log.event(Event::Stopped, detail);
        self.ready.stop(CLOSE_GRACE);
        if let Some(ops) = &self.ops {
            ops.stop(CLOSE_GRACE);
        }
        // It may have stopped already; then there is nothing to stop.
        let _ = self.peer.stop();
        whole
    }
}

/// Names this start: the time makes names sortable, the random half keeps them apart.
fn incarnation(name: &str) -> String {
    let start = (wall_ms() / 1000) as u32;
    format!("{name}.{start:08x}{:08x}", rand::random::<u32>())
}

fn bounds(fleet: &conf::Fleet) -> RetryLimits {
    let default = RetryLimits::default();
    RetryLimits {
        ratio: fleet.retry_ratio.unwrap_or(default.ratio),
        slack: fleet.retry_slack.unwrap_or(default.slack),
        window_ms: fleet
            .retry_window_secs
            .map_or(default.window_ms, |s| (s * 1000.0) as u64),
    }
}

fn cold_bounds(fleet: &conf::Fleet) -> ColdStartTolerance {
    ColdStartTolerance {
        factor: fleet.cold_over.unwrap_or(1.0),
        slack: fleet.cold_slack.unwrap_or_default(),
    }
}

fn pool(fleet: &conf::Fleet) -> Pool {
    let mut pool = Pool::default();
    pool.set_regions(fleet.zones.clone().unwrap_or_default());
    pool
}

fn spawn_sweep(dialer: Dialer) {
    tokio::spawn(async move {
        loop {
            sleep(SWEEP_EVERY).await;
            dialer.sweep();
        }
    });
}

fn any_loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
