//! A default upstream and a default request; tests override what matters to them.

use std::net::SocketAddr;

use place::{Criteria, Spec};

/// Returns an upstream of the service `pool` in a zone.
pub(crate) fn spec(id: &str, zone: &str) -> Spec {
    Spec {
        id: id.to_string(),
        started_at_ms: None,
        version: String::new(),
        service: "pool".to_string(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
        zone: zone.to_string(),
        slots: 64,
        leaving: false,
        cold_ms: None,
        revision: 0,
    }
}

/// Returns a plain call of that service at an instance in a zone.
pub(crate) fn call(zone: &str) -> Criteria<'_> {
    Criteria {
        service: "pool",
        version: None,
        recorded_versions: None,
        zone,
        segments: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        kv_capacity_tokens: 0,
        regions: &[],
        tried: &[],
        priority: 0,
        on_time_until: None,
        deadline: 1_000_000,
        retryable: true,
        may_check: true,
        random: 7,
    }
}
