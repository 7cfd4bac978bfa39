//! HTTP endpoints for load balancers and operators.

use std::sync::Arc;

use place::RateLimit;
use serde_json::json;
use web::{Memory, Req, Res};

use crate::router::Router;

/// Tells load balancers whether to send new connections to this instance.
pub(crate) struct ReadinessEndpoint(pub(crate) Arc<Router>);

impl web::Service for ReadinessEndpoint {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        if req.path != self.0.dialect.readiness_path() {
            return Res::new(404, "text/plain", "not found");
        }
        let status = if self.0.is_ready() { 200 } else { 503 };
        Res::new(status, "text/plain", "")
    }
}

/// Serves metrics, a dump of the instance's state and a health check to operators.
pub(crate) struct OpsEndpoint {
    pub(crate) router: Arc<Router>,
    /// Memory for responses that operators have not read yet.
    pub(crate) memory: Memory,
}

impl OpsEndpoint {
    fn metrics(&self) -> Res {
        let pool = self.router.pool.lock().expect("lock not poisoned");
        let (rate_limited, reused) = (pool.limited_count(), pool.reused_address_count());
        drop(pool);
        let metrics = &self.router.metrics;
        metrics.rate_limited_upstreams.set(rate_limited as i64);
        metrics.reused_addresses.set(reused as i64);
        let lost = self.router.transit.lost_services().len();
        self.router.metrics.lost_services.set(lost as i64);
        let (held, held_back) = self.router.budgets.tokens_held();
        self.router.metrics.tokens_held.set(held as i64);
        self.router.metrics.tokens_held_back.set(held_back as i64);
        let accounts = self.router.accounts.summary();
        let metrics = &self.router.metrics;
        metrics.engine_tokens_held.set(accounts.held_tokens as i64);
        metrics
            .engine_tokens_cached
            .set(accounts.cached_tokens as i64);
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Res::new(200, content_type, self.router.metrics.encode())
    }

    fn dump(&self) -> Res {
        let router = &self.router;
        let now = router.clock.now();
        let pool = router.pool.lock().expect("lock not poisoned");
        let upstreams: Vec<_> = pool
            .listed()
            .map(|u| {
                json!({
                    "id": u.spec.id, "service": u.spec.service, "zone": u.spec.zone,
                    "leaving": u.leaving, "rests_ms": u.paused_until.saturating_sub(now), "inflight": u.engine.inflight(),
                    "occupancy": u.occupancy(now), "out": u.health.is_ejected(now),
                    "failing": u.health.failure_rate(now), "delay_ms": u.engine.queue_delay_ms(now),
                    "slowness": u.engine.slowness(now), "evacuated": u.evacuated,
                    "cold_ms": u.cold_until(now).map_or(0, |until| until - now),
                    "address_reused": pool.is_address_reused(u),
                    "limit_per_sec": u.limit().map(RateLimit::as_per_sec),
                    "load": u.engine.estimate(now, 0).to_string(),
                })
            })
            .collect();
        let evacuated = pool.evacuated_zones().clone();
        drop(pool);
        let suspects = router.suspects.list().into_iter().map(|record| {
            json!({
                "request": record.subject.to_key(), "ends": record.crashes,
                "trials": record.trials, "answers": record.answers,
            })
        });
        let suspects: Vec<_> = suspects.collect();
        let queues = router.wait_queues.reports().into_iter().map(|report| {
            json!({
                "service": report.service, "waiting": report.length, "bytes": report.bytes,
                "by_priority": report.by_priority, "longest_ms": report.longest_wait_ms,
            })
        });
        let queues: Vec<_> = queues.collect();
        let (transit_sent, transit_forwarded) = router.transit.in_flight();
        let [requests, receiving, responses] = router.lock_request_memory().reserved();
        let value = json!({
            "id": router.fleet.incarnation(),
            "at_ms": now,
            "ready": router.is_ready(),
            "stopping": router.is_stopping(),
            "version": router.config.version(),
            "store_out": router.store_health.is_unavailable(),
            "instances": router.fleet.live_incarnations(),
            "retry_sharers": router.retry_sharers(),
            "inflight": *router.in_flight.borrow(),
            "connections": router.dialer.connection_count(),
            "memory": {
                "requests": requests,
                "receiving": receiving,
                "responses": responses,
                "idle_upstreams": router.dialer.idle_count(),
            },
            "open_connections": router.connections.count(),
            "busy_connections": router.connections.busy_count(),
            "log_lines_cut": router.log.dropped_lines(),
            "budgets": router.budgets.dump(),
            "upstreams": upstreams,
            "queues": queues,
            "engine_accounts": router.accounts.dump(now),
            "evacuated": evacuated,
            "overloaded": router.shares.lock().expect("lock not poisoned").is_overloaded(now),
            "lost_services": router.transit.lost_services(),
            "transit": {"sent": transit_sent, "forwarded": transit_forwarded},
            "suspects": suspects,
            "stream_origins": router.origins.len(),
        });
        Res::json(200, &value)
    }
}

impl web::Service for OpsEndpoint {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let res = match req.path.as_str() {
            "/metrics" => self.metrics(),
            "/dump" => self.dump(),
            "/healthz" => Res::new(200, "text/plain", "ok"),
            _ => Res::new(404, "text/plain", "not found"),
        };
        res.held_in(&self.memory)
    }
}
