//! What all tasks of one instance share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};

use budget::placement::Candidate;
use claim::AttemptStatus;
use conf::{Bundle, Config, Settings};
use peer::{Member, Membership, Status};
use route::{Pool, RetryBudget};
use tokio::sync::watch;

use crate::bank;
use crate::clock::Clock;
use crate::event::Event;
use crate::journal::Journal;
use crate::lines::Admission;
use crate::metric::Metrics;
use crate::peers::Peers;

/// A configuration in force.
#[derive(Debug)]
pub struct Active {
    /// As the platform keeps it.
    pub bundle: Bundle,
    /// Joined.
    pub config: Config,
    /// Customers by the hash of their keys.
    pub keys: BTreeMap<String, String>,
}

impl Active {
    /// Joins a whole bundle.
    ///
    /// # Errors
    ///
    /// Returns what is missing or broken.
    pub fn join(bundle: Bundle) -> Result<Active, String> {
        let config = bundle.assemble()?;
        let mut keys = BTreeMap::new();
        for (name, customer) in &config.customers {
            for hash in &customer.key_hashes {
                keys.insert(hash.clone(), name.clone());
            }
        }
        Ok(Active {
            bundle,
            config,
            keys,
        })
    }
}

/// What all tasks of one instance share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This incarnation.
    pub me: String,
    /// The clock.
    pub clock: Clock,
    /// The platform.
    pub kv: kv::Client,
    /// The client towards upstreams.
    pub http: reqwest::Client,
    /// The client for requests that may not be repeated: a new connection for each.
    pub http_once: reqwest::Client,
    /// Budgets.
    pub bank: bank::Handle,
    /// The configuration in force.
    pub config: RwLock<Option<Arc<Active>>>,
    /// Upstreams.
    pub pool: Mutex<Pool>,
    /// Requests that wait for upstreams.
    pub admission: Mutex<Admission>,
    /// Retries in store.
    pub retry: Mutex<RetryBudget>,
    /// Instances.
    pub members: Mutex<Membership>,
    /// Clients of other instances.
    pub peers: Peers,
    /// Metrics.
    pub metrics: Metrics,
    /// The latest requests.
    pub journal: Journal,
    /// Attempts at requests that may not be repeated, as this holder knows them.
    pub attempts: Mutex<BTreeMap<String, AttemptStatus>>,
    /// Requests, bills and claims under way.
    pub busy: watch::Sender<u64>,
    /// The platform lease that this instance's claims are bound to, with the end of its use.
    pub claim_lease: tokio::sync::Mutex<Option<(i64, u64)>>,
}

/// Counts one thing under way, until it is dropped.
pub struct Busy(Arc<Shared>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.send_modify(|n| *n -= 1);
        self.0.metrics.inflight.dec();
    }
}

impl Shared {
    /// Counts one thing under way.
    pub fn begin(self: &Arc<Self>) -> Busy {
        self.busy.send_modify(|n| *n += 1);
        self.metrics.inflight.inc();
        Busy(Arc::clone(self))
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.config.read().expect("no panic inside").clone()
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.active().map_or(0, |a| a.bundle.head.revision)
    }

    /// Returns what this instance says of itself.
    pub fn standing(&self) -> Status {
        self.members.lock().expect("no panic inside").local().status
    }

    /// Returns whether new requests are taken.
    pub fn is_ready(&self) -> bool {
        self.standing() == Status::Live && self.active().is_some()
    }

    /// Returns the living instances.
    pub fn live(&self) -> Vec<Member> {
        let members = self.members.lock().expect("no panic inside");
        members.live(self.clock.now())
    }

    /// Returns the living instances of the own region, which may be homes.
    pub fn candidates(&self) -> Vec<Candidate> {
        let own = |m: &Member| m.region == self.settings.region;
        let candidate = |m: Member| Candidate {
            id: m.id,
            zone: m.zone,
        };
        self.live().into_iter().filter(own).map(candidate).collect()
    }

    /// Returns where an instance listens for its peers.
    pub fn peer_addr(&self, id: &str) -> Option<String> {
        let members = self.members.lock().expect("no panic inside");
        members.get(id).map(|m| m.peer_addr.clone())
    }

    /// Logs an event.
    pub fn log(&self, event: Event, detail: impl std::fmt::Display) {
        event.log(&self.me, detail);
    }

    /// Adds a step to a request's journal.
    pub fn step(&self, request: &str, what: impl Into<String>) {
        self.journal.add(self.clock.now(), request, what);
    }
}
