//! One running instance: its start and its planned stop.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use anyhow::{anyhow, Result};
use conf::Settings;
use peer::{Member, Membership, Status};
use route::{Pool, RetryBudget};
use tokio::sync::watch;

use crate::clock::{wall_ms, Clock};
use crate::event::Event;
use crate::journal::Journal;
use crate::lines::Admission;
use crate::metric::Metrics;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::{admin, bank, bankd, callers, configd, gossip, loads, orders, registry, rpc};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const ADMIN_BODY_LIMIT: usize = 64 << 20;
/// How often a planned stop looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// New work stops this long before the listeners close, so that balancers notice.
const NOTICE: Duration = Duration::from_millis(300);
const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    callers: web::ServerHandle,
    admin: web::ServerHandle,
    peer: jsonrpsee_server::ServerHandle,
    peer_addr: SocketAddr,
}

impl Instance {
    /// Binds the listeners and spawns the tasks.
    ///
    /// # Errors
    ///
    /// Returns which address can't be bound, and why.
    pub async fn spawn(settings: Settings) -> Result<Instance> {
        let bound = rpc::bind(settings.peer_listen()).await;
        let (server, peer_addr) = bound.map_err(|e| anyhow!("peer listener: {e}"))?;
        let (bank, inbox) = bank::open();
        let shared = Arc::new(share(settings, peer_addr, bank)?);
        bankd::spawn(inbox, &shared);
        let peer = rpc::serve(server, Arc::clone(&shared));
        let service = Arc::new(callers::Callers {
            shared: Arc::clone(&shared),
        });
        let limit = shared.settings.body_limit() as usize;
        let bound = web::bind(shared.settings.listen(), limit, service).await;
        let callers = bound.map_err(|e| anyhow!("callers' listener: {e}"))?;
        let service = Arc::new(admin::Admin {
            shared: Arc::clone(&shared),
        });
        let bound = web::bind(shared.settings.admin_listen(), ADMIN_BODY_LIMIT, service).await;
        let admin = bound.map_err(|e| anyhow!("operators' listener: {e}"))?;
        registry::spawn(&shared);
        configd::spawn(&shared);
        gossip::spawn(Arc::clone(&shared));
        loads::spawn(Arc::clone(&shared));
        orders::spawn(Arc::clone(&shared));
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

    /// Returns this incarnation.
    pub fn id(&self) -> &str {
        &self.shared.me
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

    /// Returns whether new requests are taken.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops as planned: takes no new work, ends what runs, settles and hands back, then leaves.
    ///
    /// Returns whether nothing was cut off. `hurry` cuts the stop short.
    pub async fn stop(self, hurry: impl std::future::Future<Output = ()>) -> bool {
        let shared = &self.shared;
        shared.log(
            Event::Stopping,
            format!("{} under way", *shared.busy.borrow()),
        );
        gossip::tell_all(shared, Some(Status::Leaving)).await;
        tokio::time::sleep(NOTICE).await;
        let limit = Duration::from_millis(shared.settings.drain_ms());
        let whole = tokio::select! {
            done = tokio::time::timeout(limit, self.drain()) => done.is_ok(),
            () = hurry => false,
        };
        if whole {
            gossip::tell_all(shared, Some(Status::Left)).await;
            registry::delist(shared).await;
            shared.log(Event::Stopped, "nothing cut off");
        } else {
            let left = *shared.busy.borrow();
            let clear = shared.bank.is_clear().await;
            shared.log(
                Event::Cut,
                format!("{left} cut off, budgets clear: {clear}"),
            );
        }
        self.callers.stop(CLOSE_GRACE);
        self.admin.stop(CLOSE_GRACE);
        // The server may have stopped already; then there is nothing to stop.
        let _ = self.peer.stop();
        whole
    }

    async fn drain(&self) {
        let mut busy = self.shared.busy.subscribe();
        // The sender lives in `shared`, so waiting can't fail.
        let _ = busy.wait_for(|n| *n == 0).await;
        self.shared.bank.leave();
        while !self.shared.bank.is_clear().await {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }
}

fn share(settings: Settings, peer_addr: SocketAddr, bank: bank::Handle) -> Result<Shared> {
    // Half of it names the time of the start, the other half is random.
    let start = format!("{:08x}{:08x}", wall_ms() / 1000, rand::random::<u32>());
    let me = format!("{}.{start}", settings.name);
    let member = Member {
        id: me.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_addr: peer_addr.to_string(),
        status: Status::Live,
        heartbeat: 1,
        revision: 0,
    };
    Ok(Shared {
        me,
        clock: Clock::start(),
        kv: kv::Client::open(&settings.platform),
        http: client().build()?,
        http_once: client().pool_max_idle_per_host(0).build()?,
        bank,
        config: RwLock::new(None),
        pool: Mutex::new(Pool::default()),
        admission: Mutex::new(Admission::default()),
        retry: Mutex::new(RetryBudget::default()),
        members: Mutex::new(Membership::new(member)),
        peers: Peers::default(),
        metrics: Metrics::open(),
        journal: Journal::default(),
        attempts: Mutex::default(),
        busy: watch::channel(0).0,
        claim_lease: tokio::sync::Mutex::new(None),
        settings,
    })
}

/// Starts a client that repeats and redirects nothing by itself.
fn client() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}
