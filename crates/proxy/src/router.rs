//! The state that requests share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use clock::{boot_ms, Clock};
use dial::Dialer;
use engine::OutputEstimates;
use place::{Intake, Link, Pauses, Pool, RequestMemory, RetryBudget, Shares, Spec, Upstream};
use tokio::sync::watch;

use crate::accounts::EngineAccounts;
use crate::budgets::Budgets;
use crate::config::Config;
use crate::connections::Connections;
use crate::dialect::Dialect;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::origins::Origins;
use crate::store_health::StoreHealth;
use crate::suspect_gossip::PeerNetwork;
use crate::suspects::Suspects;
use crate::transit::Transit;
use crate::upstream_list::UpstreamList;
use crate::wait_queues::WaitQueues;

/// The state that the stages of request processing share.
pub(crate) struct Router {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<Log>,
    pub(crate) metrics: Metrics,
    pub(crate) config: Config,
    pub(crate) budgets: Budgets,
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) accounts: EngineAccounts,
    pub(crate) output_estimates: Mutex<OutputEstimates>,
    pub(crate) upstream_list: UpstreamList,
    pub(crate) transit: Transit,
    pub(crate) dialer: Dialer,
    pub(crate) request_memory: Mutex<RequestMemory>,
    pub(crate) link: Mutex<Link>,
    pub(crate) intake: Mutex<Intake>,
    pub(crate) connections: Connections,
    pub(crate) shares: Mutex<Shares>,
    pub(crate) pauses: Mutex<Pauses>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) wait_queues: WaitQueues,
    pub(crate) fleet: Fleet,
    pub(crate) network: PeerNetwork,
    pub(crate) suspects: Suspects,
    pub(crate) origins: Origins,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) zone: String,
    /// Size of the send buffer of callers' connections, in bytes; none if the system chooses it.
    pub(crate) send_buffer_bytes: Option<usize>,
    pub(crate) stopping: AtomicBool,
    /// Whether new requests are refused, because they could not end before a planned stop does.
    pub(crate) refusing: AtomicBool,
    /// Number of requests in flight.
    pub(crate) in_flight: watch::Sender<u64>,
}

impl Router {
    /// Returns whether load balancers should send new connections to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        let is_loaded = self.config.active().is_some() && self.upstream_list.is_loaded();
        is_loaded && self.suspects.may_serve() && !self.is_stopping() && !self.is_link_congested()
    }

    /// Returns the number of tokens that fit into the engine with an incarnation's hash; 0 if unknown.
    pub(crate) fn kv_capacity_tokens(&self, engine: u64) -> u64 {
        let pool = self.pool.lock().expect("lock not poisoned");
        let service = pool.service_by_hash(engine).map(str::to_string);
        drop(pool);
        let (Some(service), Some(active)) = (service, self.config.active()) else {
            return 0;
        };
        let engine = active.routing.services.get(&service).and_then(|s| s.engine);
        engine.map_or(0, |e| e.kv_capacity_tokens)
    }

    /// Returns whether this instance's network link is congested, or was a moment ago.
    pub(crate) fn is_link_congested(&self) -> bool {
        self.with_link(|l, now| l.is_congested(now))
    }

    /// Returns whether the store has the version of an upstream of a service, or none is listed.
    pub(crate) fn has_recorded_version(&self, service: &str) -> bool {
        let recorded = self.origins.recorded_versions(service);
        let pool = self.pool.lock().expect("lock not poisoned");
        let mut listed = pool.listed().filter(|u| u.spec.service == service);
        let Some(first) = listed.next() else {
            return true;
        };
        let is_recorded = |u: &Upstream| recorded.contains(&u.spec.version);
        is_recorded(first) || listed.any(is_recorded)
    }

    /// Records that an upstream has responded to a probe, or to a request of another instance.
    pub(crate) fn record_alive(&self, spec: &Spec) {
        let now = self.clock.now();
        let mut pool = self.pool.lock().expect("lock not poisoned");
        pool.record_alive(now, spec.incarnation_hash());
    }

    /// Reads or updates the state of this instance's network link, and logs when its congestion has
    /// changed.
    pub(crate) fn with_link<T>(&self, f: impl FnOnce(&mut Link, u64) -> T) -> T {
        let now = self.clock.now();
        let mut link = self.link.lock().expect("lock not poisoned");
        let result = f(&mut link, now);
        let change = link
            .take_congestion_change(now)
            .map(|congested| (congested, link.outbound_delay_ms(now)));
        drop(link);
        if let Some((congested, delay_ms)) = change {
            let event = if congested {
                Event::LinkCongested
            } else {
                Event::LinkRecovered
            };
            let detail = format_args!("outward_ms={delay_ms:.0}");
            self.log.event(event, detail);
        }
        result
    }

    /// Reads or updates what is known of the new connections of this zone's instances.
    pub(crate) fn with_intake<T>(&self, f: impl FnOnce(&mut Intake, u64) -> T) -> T {
        let now = self.clock.now();
        f(&mut self.intake.lock().expect("lock not poisoned"), now)
    }

    /// Counts a new connection of a caller; returns whether to accept it.
    pub(crate) fn accepts_connection(&self) -> bool {
        let accepted = self.with_intake(Intake::accept);
        if !accepted {
            self.metrics.connections_closed.inc();
        }
        accepted
    }

    /// Records that this instance runs, and logs for how long it did not.
    pub(crate) fn record_running(&self) {
        let mut pauses = self.pauses.lock().expect("lock not poisoned");
        let Some(pause_ms) = pauses.record_running(boot_ms()) else {
            return;
        };
        drop(pauses);
        let mut retries = self.retry_budget.lock().expect("lock not poisoned");
        retries.record_pause(self.clock.now(), pause_ms);
        drop(retries);
        // The lease went on to expire.
        self.update_slack_part();
        self.metrics.pause_ms.inc_by(pause_ms);
        let detail = format_args!("ms={pause_ms}");
        self.log.event(Event::StoodStill, detail);
    }

    /// Sets the part of the slack of the retry budgets that this instance has at present.
    pub(crate) fn update_slack_part(&self) {
        let (now, part) = (self.clock.now(), self.fleet.slack_part());
        let mut retries = self.retry_budget.lock().expect("lock not poisoned");
        retries.set_part(now, part);
    }

    /// Returns by how many instances the slack of the retry budgets is divided; none if this one has no part.
    pub(crate) fn retry_sharers(&self) -> Option<usize> {
        let retries = self.retry_budget.lock().expect("lock not poisoned");
        retries.sharers(self.clock.now())
    }

    /// Returns whether this instance's timers are late.
    pub(crate) fn is_late(&self) -> bool {
        self.with_intake(|i, now| i.is_late(now))
    }

    /// Returns whether this instance's timers are late, or its memory or link is nearly used up.
    fn is_overloaded(&self) -> bool {
        let nearly_full = self.lock_request_memory().is_nearly_full();
        nearly_full || self.is_late() || self.with_link(|l, now| l.is_backed_up(now))
    }

    /// Counts a request of a customer with a body of `body` bytes; returns whether to serve it although this
    /// instance may be overloaded.
    pub(crate) fn is_within_share(&self, customer: Option<&str>, body: usize) -> bool {
        let is_overloaded = self.is_overloaded();
        let now = self.clock.now();
        let mut shares = self.shares.lock().expect("lock not poisoned");
        if is_overloaded {
            shares.record_overload(now);
        }
        let admitted = shares.admit(now, customer.unwrap_or_default(), body);
        drop(shares);
        if !admitted {
            self.metrics.refused_over_share.inc();
        }
        admitted
    }

    /// Locks the memory for requests and responses.
    pub(crate) fn lock_request_memory(&self) -> MutexGuard<'_, RequestMemory> {
        self.request_memory.lock().expect("lock not poisoned")
    }

    /// Returns whether the memory for responses that callers have not read yet is nearly used up.
    pub(crate) fn is_short_of_response_memory(&self) -> bool {
        self.lock_request_memory().is_short_for_responses()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
