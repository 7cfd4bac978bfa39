//! The state that the tasks of an instance share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};

use budget::placement::Candidate;
use claim::AttemptStatus;
use conf::{Bundle, Config, Settings};
use peer::{Member, Membership, Status};
use route::{Pool, RetryBudget};
use tokio::sync::watch;

use crate::budget_handle;
use crate::clock::Clock;
use crate::event::Event;
use crate::journal::RequestJournal;
use crate::metrics::Metrics;
use crate::peer_clients::{PeerClients, PeerRef};
use crate::wait_queues::WaitQueues;

/// The active configuration.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration as it is stored.
    pub bundle: Bundle,
    /// The configuration, joined from the chunks of the bundle.
    pub config: Config,
    /// Names of the customers, by the hashes of their API keys.
    pub customer_by_key_hash: BTreeMap<String, String>,
}

impl ActiveConfig {
    /// Joins the chunks of a complete bundle.
    ///
    /// # Errors
    ///
    /// Returns which chunk is missing or invalid.
    pub fn from_bundle(bundle: Bundle) -> Result<ActiveConfig, String> {
        let config = bundle.assemble()?;
        let mut customer_by_key_hash = BTreeMap::new();
        for (name, customer) in &config.customers {
            for hash in &customer.key_hashes {
                customer_by_key_hash.insert(hash.clone(), name.clone());
            }
        }
        Ok(ActiveConfig {
            bundle,
            config,
            customer_by_key_hash,
        })
    }
}

/// The state that the tasks of an instance share.
pub struct SharedState {
    /// The settings.
    pub settings: Settings,
    /// Id of this incarnation.
    pub own_id: String,
    /// The clock.
    pub clock: Clock,
    /// Client of the platform's key-value store.
    pub kv: kv::Client,
    /// HTTP client for upstreams.
    pub http: reqwest::Client,
    /// HTTP client for requests that must not be repeated: it opens a new connection for each.
    pub http_no_reuse: reqwest::Client,
    /// Handle to the budget task.
    pub budgets: budget_handle::BudgetHandle,
    /// The active configuration; none until one was received.
    pub config: RwLock<Option<Arc<ActiveConfig>>>,
    /// The upstreams.
    pub pool: Mutex<Pool>,
    /// Requests that wait for upstreams.
    pub wait_queues: Mutex<WaitQueues>,
    /// The retries that are currently allowed.
    pub retry_budget: Mutex<RetryBudget>,
    /// The known instances of all regions.
    pub members: Mutex<Membership>,
    /// Clients of other instances.
    pub peers: PeerClients,
    /// Metrics.
    pub metrics: Metrics,
    /// Journal of the latest requests.
    pub journal: RequestJournal,
    /// Status of this instance's attempts at claimed requests, by attempt id.
    pub claim_attempts: Mutex<BTreeMap<String, AttemptStatus>>,
    /// Number of requests, bills and claims in flight.
    pub in_flight: watch::Sender<u64>,
    /// The lease that new claims are bound to, and the time until which it is used.
    pub claim_lease: tokio::sync::Mutex<Option<(i64, u64)>>,
}

/// Counts a request, bill or claim as in flight until it is dropped.
pub struct InFlightGuard(Arc<SharedState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|n| *n -= 1);
        self.0.metrics.in_flight.dec();
    }
}

impl SharedState {
    /// Counts a request, bill or claim as in flight.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.send_modify(|n| *n += 1);
        self.metrics.in_flight.inc();
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the active configuration.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.read().expect("lock not poisoned").clone()
    }

    /// Returns the revision of the active configuration; 0 if there is none.
    pub fn config_revision(&self) -> u64 {
        self.active_config().map_or(0, |a| a.bundle.head.revision)
    }

    /// Returns the status that this instance announces.
    pub fn status(&self) -> Status {
        self.members
            .lock()
            .expect("lock not poisoned")
            .local()
            .status
    }

    /// Returns whether new requests are accepted.
    pub fn is_ready(&self) -> bool {
        self.status() == Status::Live && self.active_config().is_some()
    }

    /// Returns the live instances of all regions.
    pub fn live_instances(&self) -> Vec<Member> {
        let members = self.members.lock().expect("lock not poisoned");
        members.live(self.clock.now())
    }

    /// Returns the live instances of this region, which may be homes of budgets.
    pub fn home_candidates(&self) -> Vec<Candidate> {
        self.candidates(self.live_instances())
    }

    /// Passes the live and the absent instances of this region to the budgets.
    pub fn update_budget_members(&self) {
        let now = self.clock.now();
        let (live, absent) = {
            let members = self.members.lock().expect("lock not poisoned");
            (members.live(now), members.absent(now))
        };
        let (live, absent) = (self.candidates(live), self.candidates(absent));
        self.budgets.set_members(live, absent);
    }

    fn candidates(&self, members: Vec<Member>) -> Vec<Candidate> {
        let is_local = |m: &Member| m.region == self.settings.region;
        let to_candidate = |m: Member| Candidate {
            id: m.id,
            zone: m.zone,
        };
        let local = members.into_iter().filter(is_local);
        local.map(to_candidate).collect()
    }

    /// Returns where calls to an incarnation are sent; `None` if it is not known.
    pub fn peer(&self, id: &str) -> Option<PeerRef> {
        let members = self.members.lock().expect("lock not poisoned");
        members.get(id).map(PeerRef::from)
    }

    /// Logs an event.
    pub fn log(&self, event: Event, detail: impl std::fmt::Display) {
        event.log(&self.own_id, detail);
    }

    /// Records a step of a request in the journal.
    pub fn record_step(&self, request: &str, description: impl Into<String>) {
        self.journal.record(self.clock.now(), request, description);
    }
}
