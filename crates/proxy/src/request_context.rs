//! One request on its way through the filters.

use std::sync::Arc;

use bytes::Bytes;
use conf::{Repeat, Route, Service};
use hyper::http::request;
use place::UpstreamKey;
use smallvec::SmallVec;
use suspect::Digest;

use crate::budgets::Reservation;
use crate::event::Event;
use crate::request_info::RequestInfo;
use crate::router::Router;

/// Counts one request under way, until it is dropped.
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
    /// Memory that it took, in bytes.
    room: usize,
}

impl InFlightGuard {
    /// Begins to count a request.
    pub(crate) fn new(router: &Arc<Router>) -> InFlightGuard {
        router.in_flight.send_modify(|n| *n += 1);
        router.metrics.inflight.inc();
        InFlightGuard {
            router: Arc::clone(router),
            room: 0,
        }
    }

    /// Takes the memory for the request; returns whether it fits.
    pub(crate) fn reserve_memory(&mut self, body: usize) -> bool {
        let mut room = self.router.request_memory.lock().expect("no panic inside");
        let taken = room.reserve(body);
        self.room = taken.unwrap_or_default();
        taken.is_some()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut room = self.router.request_memory.lock().expect("no panic inside");
        room.release(self.room);
        drop(room);
        self.router.in_flight.send_modify(|n| *n -= 1);
        self.router.metrics.inflight.dec();
    }
}

/// What was expected of an upstream, and what came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTiming {
    /// Tokens of the prompt that it would have to read.
    pub(crate) uncached_tokens: u32,
    /// When its answer or first event was expected, in milliseconds after the sending.
    pub(crate) expected_ms: f64,
    /// When it was sent, in milliseconds after the request's arrival.
    pub(crate) sent_ms: u64,
    /// When that came, in milliseconds after the request's arrival.
    pub(crate) first_output_ms: u64,
}

/// One request on its way through the filters.
pub(crate) struct RequestContext {
    pub(crate) router: Arc<Router>,
    pub(crate) info: RequestInfo,
    /// What the request is, whatever its id: its caller may send it again.
    pub(crate) digest: Digest,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) service_settings: Service,
    pub(crate) customer: Option<String>,
    /// Regions whose upstreams it may reach; empty where it may reach all.
    pub(crate) regions: Vec<String>,
    /// When it came, in milliseconds.
    pub(crate) arrived_at: u64,
    /// When its answer is no longer wanted, in milliseconds.
    pub(crate) deadline: u64,
    /// Upstreams that were tried.
    pub(crate) tried: SmallVec<[UpstreamKey; 4]>,
    /// How often it was sent.
    pub(crate) attempts: u32,
    pub(crate) charge: Option<Reservation>,
    /// Whether something of an upstream's answer came, or may have been on its way.
    pub(crate) may_have_response: bool,
    /// What was expected of the last upstream, for the log.
    pub(crate) timing: AttemptTiming,
    pub(crate) _in_flight: InFlightGuard,
}

impl RequestContext {
    /// Returns the milliseconds until the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.router.clock.now())
    }

    /// Returns whether it may run more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        self.route.repeat != Repeat::Never
    }

    /// Returns whether it may be sent once more, and takes a repetition for that.
    pub(crate) fn try_acquire_retry(&self) -> bool {
        if self.attempts >= self.route.attempts || self.remaining_ms() == 0 {
            return false;
        }
        // One that ends upstreams must not take the next one with it in the same try.
        if !self.router.suspects.may_retry(self.digest) {
            return false;
        }
        let (now, sharers) = (self.router.clock.now(), self.router.fleet.instance_count());
        let mut retries = self.router.retry_budget.lock().expect("no panic inside");
        retries.try_acquire(now, &self.service, sharers)
    }

    /// Counts tokens of the answer that go to the caller.
    pub(crate) fn record_delivered_tokens(&mut self, tokens: u64) {
        if let Some(charge) = &mut self.charge {
            charge.record_delivered(tokens);
        }
        self.router.metrics.delivered_tokens.inc_by(tokens);
    }

    /// Notes that the answer or the first event has come.
    pub(crate) fn record_first_output(&mut self) {
        let took = self.router.clock.now() - self.arrived_at;
        self.timing.first_output_ms = took;
        self.router
            .metrics
            .observe_first_output(&self.route.name, took);
    }

    /// Logs how it ended.
    pub(crate) fn record_end(&self, code: &str, upstream: &str) {
        self.router.metrics.count_request(&self.route.name, code);
        let detail = format_args!(
            "route={} customer={} upstream={upstream} attempts={} code={code} ms={} sent_ms={} \
             first_ms={} expected_ms={:.0} unread={} of={} tokens={} request={}",
            self.route.name,
            self.customer.as_deref().unwrap_or("-"),
            self.attempts,
            self.router.clock.now() - self.arrived_at,
            self.timing.sent_ms,
            self.timing.first_output_ms,
            self.timing.expected_ms,
            self.timing.uncached_tokens,
            self.info.prompt_tokens,
            self.charge.as_ref().map_or(0, Reservation::spent),
            self.digest,
        );
        self.router
            .log
            .request_event(Event::Answered, &self.info.id, detail);
    }
}
