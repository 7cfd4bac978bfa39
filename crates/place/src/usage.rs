//! Load and health of a service's upstreams, for log messages.

use std::fmt;

use crate::pool::Pool;

/// Totals over the listed upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Number of upstreams.
    pub listed: u32,
    /// Number of upstreams that are ejected.
    pub ejected: u32,
    /// Number of requests that they run concurrently.
    pub slots: u32,
    /// Number of this instance's requests in flight.
    pub own_inflight: u32,
    /// Number of other instances' requests in flight, by their reports.
    pub peer_inflight: u32,
}

impl ServiceUsage {
    /// Returns the number of slots of the upstreams that are not ejected, if all have equally many. It is that of one
    /// upstream if all are ejected: they are tried again one at a time.
    pub fn usable_slots(&self) -> u32 {
        let usable = u64::from(self.listed.saturating_sub(self.ejected).max(1));
        let slots = u64::from(self.slots) * usable / u64::from(self.listed.max(1));
        u32::try_from(slots).unwrap_or(u32::MAX)
    }
}

impl fmt::Display for ServiceUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "listed={} ejected={} slots={} own={} peers={}",
            self.listed, self.ejected, self.slots, self.own_inflight, self.peer_inflight
        )
    }
}

impl Pool {
    /// Returns the load and health of a service's upstreams.
    pub fn service_usage(&self, now: u64, service: &str) -> ServiceUsage {
        let mut usage = ServiceUsage::default();
        for up in self.listed().filter(|u| u.spec.service == service) {
            usage.listed += 1;
            usage.ejected += u32::from(up.health.is_ejected(now));
            usage.slots += up.slots();
            usage.own_inflight += up.engine.inflight();
            usage.peer_inflight += up.engine.peer_inflight(now);
        }
        usage
    }
}
