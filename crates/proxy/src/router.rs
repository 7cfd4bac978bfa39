//! What the filters that a request passes work with.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use clock::Clock;
use dial::Dialer;
use place::{Link, Pool, RequestMemory, RetryBudget};
use tokio::sync::watch;

use crate::budgets::Budgets;
use crate::config::Config;
use crate::dialect::Dialect;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::store_health::StoreHealth;
use crate::suspect_gossip::PeerNetwork;
use crate::suspects::Suspects;
use crate::upstream_list::UpstreamList;

/// What the filters work with.
pub(crate) struct Router {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<Log>,
    pub(crate) metrics: Metrics,
    pub(crate) config: Config,
    pub(crate) bank: Budgets,
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) listing: UpstreamList,
    pub(crate) dialer: Dialer,
    pub(crate) request_memory: Mutex<RequestMemory>,
    pub(crate) link: Mutex<Link>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) fleet: Fleet,
    pub(crate) others: PeerNetwork,
    pub(crate) suspects: Suspects,
    pub(crate) reach: Arc<StoreHealth>,
    pub(crate) zone: String,
    pub(crate) stopping: AtomicBool,
    /// A planned stop is so near that a new request could not end before it.
    pub(crate) refusing: AtomicBool,
    /// Requests under way.
    pub(crate) in_flight: watch::Sender<u64>,
}

impl Router {
    /// Returns whether new connections are wanted.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.config.active().is_some() && self.listing.is_loaded();
        knows && !self.is_stopping() && !self.is_link_congested()
    }

    /// Returns whether the own link is full, or was a moment ago.
    pub(crate) fn is_link_congested(&self) -> bool {
        self.with_link(|l, now| l.is_congested(now))
    }

    /// Looks at the own link, or counts what goes over it.
    pub(crate) fn with_link<T>(&self, f: impl FnOnce(&mut Link, u64) -> T) -> T {
        let now = self.clock.now();
        let mut link = self.link.lock().expect("no panic inside");
        let seen = f(&mut link, now);
        let turned = link
            .take_congestion_change(now)
            .map(|full| (full, link.outbound_delay_ms(now)));
        drop(link);
        if let Some((full, waits_ms)) = turned {
            let event = if full {
                Event::LinkCongested
            } else {
                Event::LinkRecovered
            };
            let detail = format_args!("outward_ms={waits_ms:.0}");
            self.log.event(event, detail);
        }
        seen
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
