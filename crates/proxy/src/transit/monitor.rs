//! Probes paths that seem lost, and those that are, until they work again; measures how late this
//! instance is.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dial::Target;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};
use place::Spec;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use transit::{Probe, ProbeResult};

use crate::router::Router;

/// Interval at which the paths are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of upstreams that are probed at the same time.
const PROBED_UPSTREAMS: usize = 2;
/// Time until the response to a probe: a connection that lasts as long has not broken.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the body of a response to a health check, in bytes.
const MAX_HEALTH_BODY_BYTES: usize = 64 << 10;

/// Starts the task that checks the paths.
pub(crate) fn spawn(router: Arc<Router>) {
    tokio::spawn(async move {
        let mut was_forwarding = false;
        loop {
            let due_at = Instant::now() + TICK_INTERVAL;
            sleep(TICK_INTERVAL).await;
            router.record_running();
            let forwarding = router.transit.capacity().in_flight() > 0;
            let delay_ms = due_at.elapsed().as_millis() as u64;
            router
                .with_intake(|i, now| i.record_timer(now, now + TICK_INTERVAL.as_millis() as u64));
            if forwarding {
                let now = router.clock.now();
                router.transit.capacity().record_delay(now, delay_ms);
            } else if was_forwarding {
                router.transit.capacity().reset();
            }
            was_forwarding = forwarding;
            let now = router.clock.now();
            let tick = router.transit.paths().tick(now, rand::random());
            for service in tick.changed {
                router.transit.apply_mode_change(&service);
            }
            for (service, probe) in tick.probes {
                tokio::spawn(run_probe(Arc::clone(&router), service, probe));
            }
        }
    });
}

/// Probes some upstreams of a service.
async fn run_probe(router: Arc<Router>, service: String, probe: Probe) {
    let targets = {
        let now = router.clock.now();
        let pool = router.transit.pool();
        pool.probe_targets(now, &service, PROBED_UPSTREAMS, rand::random())
    };
    let probes = targets.iter().map(|(hash, spec)| {
        let router = &router;
        async move { (*hash, probe_upstream(router, spec, probe).await) }
    });
    let results = join_all(probes).await;
    let now = router.clock.now();
    let changed = router
        .transit
        .paths()
        .record_probe(now, &service, &results, probe);
    if changed {
        router.transit.apply_mode_change(&service);
    }
}

async fn probe_upstream(router: &Router, spec: &Spec, probe: Probe) -> ProbeResult {
    let incarnation = spec.incarnation();
    let target = Target {
        upstream: &incarnation,
        addr: spec.addr,
        max_connections: usize::MAX,
        is_probe: true,
    };
    let until = Instant::now() + PROBE_TIMEOUT;
    let Ok(mut conn) = router.dialer.connect(target, until).await else {
        return ProbeResult::Unconnected;
    };
    if probe == Probe::Connect {
        router.dialer.put_idle(conn, None);
        return ProbeResult::Success;
    }
    let Some(req) = health_check(router, spec) else {
        return ProbeResult::Success;
    };
    match timeout_at(until, conn.send(req)).await {
        Ok(Ok(res)) => {
            router.record_alive(spec);
            let body = Limited::new(res.into_body(), MAX_HEALTH_BODY_BYTES);
            if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, body.collect()).await {
                router.dialer.put_idle(conn, None);
            }
            ProbeResult::Success
        }
        Ok(Err(_)) => ProbeResult::Broken,
        // The connection works; the upstream is slow.
        Err(_) => ProbeResult::Success,
    }
}

/// Returns a health check of an upstream; none if its service is not configured.
fn health_check(router: &Router, spec: &Spec) -> Option<Request<Full<Bytes>>> {
    let active = router.config.active()?;
    let service = active.routing.services.get(&spec.service)?;
    let uri: Uri = service.health_path.parse().unwrap_or_default();
    let mut req = Request::new(Full::default());
    *req.uri_mut() = uri;
    let host = HeaderValue::from_str(&spec.addr.to_string()).ok()?;
    req.headers_mut().insert(HOST, host);
    Some(req)
}
