//! A request that is being processed.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use conf::{RetryMode, Route, Service};
use hyper::http::request;
use place::{Estimate, MemoryView, UpstreamKey};
use smallvec::SmallVec;
use suspect::{Digest, Segment};
use waiting::Customer;

use crate::accounts::{Asking, Consultation};
use crate::budgets::Reservation;
use crate::event::Event;
use crate::exchange::CustomerHash;
use crate::request_info::RequestInfo;
use crate::router::Router;
use crate::transit::Asked;

/// How long a caller waits that does not specify a time, in milliseconds.
pub(crate) const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// The part of the idle connections to upstreams that is closed at a time when memory is short is one in this many.
const CLOSED_DIVISOR: usize = 4;

/// Counts a request as in flight, and holds the memory reserved for it, until dropped.
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
    reserved_bytes: usize,
}

impl InFlightGuard {
    /// Starts counting a request.
    pub(crate) fn new(router: &Arc<Router>) -> InFlightGuard {
        router.in_flight.send_modify(|n| *n += 1);
        router.metrics.inflight.inc();
        InFlightGuard {
            router: Arc::clone(router),
            reserved_bytes: 0,
        }
    }

    /// Reserves memory for a request with a body of `body` bytes; returns whether there was enough. Idle connections
    /// to upstreams are closed for it.
    pub(crate) fn reserve_memory(&mut self, body: usize) -> bool {
        let dialer = &self.router.dialer;
        loop {
            let idle = dialer.idle_count();
            let mut memory = self.router.lock_request_memory();
            let reserved = memory.reserve_beside(body, idle);
            drop(memory);
            if reserved.is_some() || idle == 0 {
                self.reserved_bytes = reserved.unwrap_or_default();
                return reserved.is_some();
            }
            dialer.close_first_expiring(idle / CLOSED_DIVISOR + 1);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut memory = self.router.lock_request_memory();
        memory.release(self.reserved_bytes);
        drop(memory);
        self.router.in_flight.send_modify(|n| *n -= 1);
        self.router.metrics.inflight.dec();
    }
}

/// A retry that was taken from the retry budget. It is in progress until dropped.
pub(crate) struct RetryPermit {
    router: Arc<Router>,
    service: String,
    /// Whether the request may have been sent.
    pub(crate) sent: bool,
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let mut retries = self.router.retry_budget.lock().expect("lock not poisoned");
        if self.sent {
            retries.complete(&self.service);
        } else {
            retries.put_back(&self.service);
        }
    }
}

/// How far a request has come.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Number of upstreams that were chosen.
    pub(crate) tried: AtomicU32,
    /// Number of times the request was sent.
    pub(crate) sent: AtomicU32,
}

/// Logs on drop that the caller has left, unless its request has ended.
pub(crate) struct CallerGuard {
    router: Arc<Router>,
    arrived_at: u64,
    pub(crate) progress: Arc<Progress>,
    /// The request, once its head is parsed.
    pub(crate) info: Option<RequestInfo>,
    /// The customer, once it is known.
    pub(crate) customer: CustomerHash,
    pub(crate) ended: bool,
}

impl CallerGuard {
    /// Starts watching a request that arrives now.
    pub(crate) fn new(router: &Arc<Router>) -> CallerGuard {
        CallerGuard {
            router: Arc::clone(router),
            arrived_at: router.clock.now(),
            progress: Arc::default(),
            info: None,
            customer: CustomerHash::default(),
            ended: false,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let Some(info) = self.info.as_ref().filter(|_| !self.ended) else {
            return;
        };
        let waited_ms = self.router.clock.now() - self.arrived_at;
        let tried = self.progress.tried.load(Ordering::Relaxed);
        let sent = self.progress.sent.load(Ordering::Relaxed);
        let detail = format_args!("waited_ms={waited_ms} tried={tried} sent={sent}");
        let log = &self.router.log;
        log.request_event(Event::CallerDisconnected, &info.id, detail);
    }
}

/// Expected and measured times of the last attempt, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTiming {
    /// Estimated number of prompt tokens that are not in the upstream's prefix cache.
    pub(crate) uncached_tokens: u32,
    /// Expected time from sending to the response or its first event, in milliseconds.
    pub(crate) expected_ms: f64,
    /// Number of engines whose accounts were asked, and of those that have answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
    /// Duration of the prefill at the usual speed, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// What was known of the upstream's load.
    pub(crate) load: Estimate,
    /// What was known of its memory; none if its capacity is unknown.
    pub(crate) memory: Option<MemoryView>,
    /// Time from the request's arrival to sending, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Time from the request's arrival to the response or its first event, in milliseconds.
    pub(crate) first_output_ms: u64,
    /// Time that the request has waited for upstreams in all attempts, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// The software version that may serve the rest of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// Any, because the caller has no event yet.
    Any,
    /// The one that began the stream.
    Only(String),
    /// None, because it is not known which one began the stream.
    Unknown,
}

/// A request that is being processed.
pub(crate) struct RequestContext {
    pub(crate) router: Arc<Router>,
    pub(crate) info: RequestInfo,
    /// Whether it is sent although it is suspected of crashing upstreams.
    pub(crate) is_trial: bool,
    /// Identifies the request by its content, since the caller may send it again with another id.
    pub(crate) digest: Digest,
    /// The segments of the prompt that other requests share.
    pub(crate) segments: SmallVec<[Segment; 4]>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) service_settings: Service,
    pub(crate) customer: Option<String>,
    pub(crate) stream_version: StreamVersion,
    /// Regions whose upstreams may serve the request; empty if all may.
    pub(crate) regions: Vec<String>,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u8,
    /// The customer, for the order of requests that wait for an upstream.
    pub(crate) waiting_as: Customer,
    /// Whether it waits if no upstream accepts it, because the configuration has several priorities.
    pub(crate) may_wait: bool,
    /// When the request arrived, in milliseconds.
    pub(crate) arrived_at: u64,
    /// When the response is no longer wanted, in milliseconds.
    pub(crate) deadline: u64,
    /// Upstreams that were tried already.
    pub(crate) tried: SmallVec<[UpstreamKey; 4]>,
    /// How many times the request was sent.
    pub(crate) attempts: u32,
    /// The permit of a retry, until its response has begun; none for the first attempt.
    pub(crate) retry: Option<RetryPermit>,
    /// The incarnation that forwarded the last attempt; none if it went directly.
    pub(crate) via: Option<String>,
    /// The instances that were asked to forward the request.
    pub(crate) asked: Asked,
    pub(crate) progress: Arc<Progress>,
    pub(crate) reservation: Option<Reservation>,
    /// Expected number of tokens in the response to a prompt.
    pub(crate) expected_output_tokens: u32,
    /// Number of response tokens that were sent to the caller.
    pub(crate) delivered_tokens: u64,
    pub(crate) timing: AttemptTiming,
    /// Questions about engines that were sent before the upstream is chosen; none if there are none.
    pub(crate) questions: Option<Asking>,
    /// The last answers; none if the request has not asked.
    pub(crate) consultation: Option<Consultation>,
    pub(crate) _in_flight: InFlightGuard,
}

impl RequestContext {
    /// Returns the milliseconds until the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.router.clock.now())
    }

    /// Returns the number of tokens that fit into an engine that may serve the request; 0 if unknown.
    pub(crate) fn kv_capacity_tokens(&self) -> u64 {
        let engine = self.service_settings.engine;
        engine.map_or(0, |e| e.kv_capacity_tokens)
    }

    /// Learns from a complete response how long those of the route are.
    fn record_output(&self) {
        let is_whole = self.delivered_tokens > 0 && self.info.last_event_id.is_none();
        let capacity = self.kv_capacity_tokens();
        if capacity == 0 || !is_whole {
            return;
        }
        let outputs = &self.router.output_estimates;
        let mut outputs = outputs.lock().expect("lock not poisoned");
        let stated = self.info.response_tokens_hint;
        let hint = engine::possible_hint(stated, self.info.prompt_tokens, capacity);
        outputs.record(&self.route.name, hint, self.delivered_tokens);
    }

    /// Returns until when the first token of a prompt's response is on time, in milliseconds; none for a
    /// plain call.
    pub(crate) fn on_time_until(&self) -> Option<u64> {
        let is_prompt = self.service_settings.engine.is_some() && self.info.prompt_tokens > 0;
        is_prompt.then(|| self.arrived_at + self.route.latency_objective_ms)
    }

    /// Returns the id of the request that began the stream: this one, or the one that it continues.
    pub(crate) fn stream_id(&self) -> &str {
        self.info.resumes.as_deref().unwrap_or(&self.info.id)
    }

    /// Returns the milliseconds for which the caller may continue the stream with another request.
    pub(crate) fn caller_remaining_ms(&self) -> u64 {
        let timeout_ms = self.info.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let until = self.arrived_at + timeout_ms;
        until.saturating_sub(self.router.clock.now())
    }

    /// Sets how many times the request was sent.
    pub(crate) fn set_attempts(&mut self, attempts: u32) {
        self.attempts = attempts;
        self.progress.sent.store(attempts, Ordering::Relaxed);
    }

    /// Returns which way the last attempt went, for the log.
    pub(crate) fn via(&self) -> &str {
        self.via.as_deref().unwrap_or("direct")
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        self.route.retry_mode != RetryMode::Never
    }

    /// Returns whether the request begins a stream that its caller may continue with another request.
    pub(crate) fn begins_resumable_stream(&self) -> bool {
        self.route.streamed && self.is_retryable() && self.stream_version == StreamVersion::Any
    }

    /// Returns whether the request may be sent once more; if so, takes a retry from the service's
    /// retry budget.
    pub(crate) fn try_acquire_retry(&mut self) -> bool {
        if self.attempts >= self.route.max_attempts || self.remaining_ms() == 0 {
            return false;
        }
        // A request that crashes upstreams must not crash another one within the same call.
        if !self.router.suspects.may_retry(self.digest, &self.segments) {
            return false;
        }
        let now = self.router.clock.now();
        let mut retries = self.router.retry_budget.lock().expect("lock not poisoned");
        let acquired = retries.try_acquire(now, &self.service, self.priority);
        drop(retries);
        self.retry = acquired.then(|| RetryPermit {
            router: Arc::clone(&self.router),
            service: self.service.clone(),
            sent: false,
        });
        acquired
    }

    /// Records that a response, or the first event of a stream, has arrived: the prompt is spent.
    pub(crate) fn record_answered(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_answered();
        }
    }

    /// Counts response tokens that are sent to the caller.
    pub(crate) fn record_delivered_tokens(&mut self, tokens: u64) {
        if let Some(reservation) = &mut self.reservation {
            reservation.record_delivered(tokens);
        }
        self.delivered_tokens = self.delivered_tokens.saturating_add(tokens);
        self.router.metrics.delivered_tokens.inc_by(tokens);
    }

    /// Records that the response, or its first event, was received.
    pub(crate) fn record_first_output(&mut self) {
        let elapsed_ms = self.router.clock.now() - self.arrived_at;
        self.timing.first_output_ms = elapsed_ms;
        self.router
            .metrics
            .observe_first_output(&self.route.name, elapsed_ms);
    }

    /// Counts and logs the end of the request.
    pub(crate) fn record_end(&self, code: &str, upstream: &str) {
        self.router.metrics.count_request(&self.route.name, code);
        if code == "ok" {
            let elapsed_ms = self.router.clock.now() - self.arrived_at;
            let took_ms = elapsed_ms.saturating_sub(self.timing.sent_ms);
            let queues = &self.router.wait_queues;
            queues.record_end(&self.service, self.priority, took_ms);
            self.record_output();
        }
        let memory = self.timing.memory;
        let tokens = |n: Option<u64>| n.map_or("-".to_string(), |n| n.to_string());
        let detail = format_args!(
            "route={} customer={} upstream={upstream} via={} attempts={} code={code} ms={} sent_ms={} \
             first_ms={} expected_ms={:.0} unread={} of={} tokens={} request={} priority={} waited_ms={} \
             prefill_ms={:.0} {} asked={} answered={} output={} held={} free={} memory_age_ms={}",
            self.route.name,
            self.customer.as_deref().unwrap_or("-"),
            self.via(),
            self.attempts,
            self.router.clock.now() - self.arrived_at,
            self.timing.sent_ms,
            self.timing.first_output_ms,
            self.timing.expected_ms,
            self.timing.uncached_tokens,
            self.info.prompt_tokens,
            self.reservation.as_ref().map_or(0, Reservation::spent),
            self.digest,
            self.priority,
            self.timing.waited_ms,
            self.timing.prefill_ms,
            self.timing.load,
            self.timing.asked,
            self.timing.answered,
            self.expected_output_tokens,
            tokens(memory.map(|m| m.held)),
            tokens(memory.map(|m| m.free)),
            tokens(memory.and_then(|m| m.age_ms)),
        );
        self.router
            .log
            .request_event(Event::Answered, &self.info.id, detail);
    }
}
