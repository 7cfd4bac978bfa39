//! What all tasks of one instance share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};

use budget::placement::Candidate;
use claim::AttemptStatus;
use conf::{Bundle, Config, Settings};
use peer::{Member, Members, Standing};
use route::{Pool, RetryBudget};
use tokio::sync::watch;

use crate::budget_handle;
use crate::clock::Clock;
use crate::event::Event;
use crate::journal::RequestJournal;
use crate::metrics::Metrics;
use crate::peer_clients::PeerClients;
use crate::wait_queues::WaitQueues;

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// As the platform keeps it.
    pub bundle: Bundle,
    /// Joined.
    pub config: Config,
    /// Customers by the hash of their keys.
    pub customer_by_key_hash: BTreeMap<String, String>,
}

impl ActiveConfig {
    /// Joins a whole bundle.
    ///
    /// # Errors
    ///
    /// Returns what is missing or broken.
    pub fn from_bundle(bundle: Bundle) -> Result<ActiveConfig, String> {
        let config = bundle.config()?;
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

/// What all tasks of one instance share.
pub struct SharedState {
    /// The settings.
    pub settings: Settings,
    /// This incarnation.
    pub own_id: String,
    /// The clock.
    pub clock: Clock,
    /// The platform.
    pub kv: kv::Client,
    /// The client towards upstreams.
    pub http: reqwest::Client,
    /// The client for requests that may not be repeated: a new connection for each.
    pub http_once: reqwest::Client,
    /// Budgets.
    pub budgets: budget_handle::BudgetHandle,
    /// The configuration in force.
    pub config: RwLock<Option<Arc<ActiveConfig>>>,
    /// Upstreams.
    pub pool: Mutex<Pool>,
    /// Requests that wait for upstreams.
    pub wait_queues: Mutex<WaitQueues>,
    /// Retries in store.
    pub retry_budget: Mutex<RetryBudget>,
    /// Instances.
    pub members: Mutex<Members>,
    /// Clients of other instances.
    pub peers: PeerClients,
    /// Metrics.
    pub metrics: Metrics,
    /// The latest requests.
    pub journal: RequestJournal,
    /// Attempts at requests that may not be repeated, as this holder knows them.
    pub claim_attempts: Mutex<BTreeMap<String, AttemptStatus>>,
    /// Requests, bills and claims under way.
    pub in_flight: watch::Sender<u64>,
    /// The platform lease that this instance's claims are bound to, with the end of its use.
    pub claim_lease: tokio::sync::Mutex<Option<(i64, u64)>>,
}

/// Counts one thing under way, until it is dropped.
pub struct InFlightGuard(Arc<SharedState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|n| *n -= 1);
        self.0.metrics.in_flight.dec();
    }
}

impl SharedState {
    /// Counts one thing under way.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.send_modify(|n| *n += 1);
        self.metrics.in_flight.inc();
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the configuration in force.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.read().expect("no panic inside").clone()
    }

    /// Returns the revision in force; 0 for none.
    pub fn config_revision(&self) -> u64 {
        self.active_config().map_or(0, |a| a.bundle.head.revision)
    }

    /// Returns what this instance says of itself.
    pub fn standing(&self) -> Standing {
        self.members.lock().expect("no panic inside").me().standing
    }

    /// Returns whether new requests are taken.
    pub fn is_ready(&self) -> bool {
        self.standing() == Standing::Live && self.active_config().is_some()
    }

    /// Returns the living instances.
    pub fn live_instances(&self) -> Vec<Member> {
        let members = self.members.lock().expect("no panic inside");
        members.live(self.clock.now())
    }

    /// Returns the living instances of the own region, which may be homes.
    pub fn home_candidates(&self) -> Vec<Candidate> {
        let own = |m: &Member| m.region == self.settings.region;
        let candidate = |m: Member| Candidate {
            id: m.id,
            zone: m.zone,
        };
        self.live_instances()
            .into_iter()
            .filter(own)
            .map(candidate)
            .collect()
    }

    /// Returns where an instance listens for its peers.
    pub fn peer_addr(&self, id: &str) -> Option<String> {
        let members = self.members.lock().expect("no panic inside");
        members.get(id).map(|m| m.peer_addr.clone())
    }

    /// Logs an event.
    pub fn log(&self, event: Event, detail: impl std::fmt::Display) {
        event.log(&self.own_id, detail);
    }

    /// Adds a step to a request's journal.
    pub fn record_step(&self, request: &str, what: impl Into<String>) {
        self.journal.record(self.clock.now(), request, what);
    }
}
