//! One attempt to get a response from an upstream: sending the request over a connection to it and
//! reading the head of the response.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::SystemTime;

use clock::wall_ms;
use dial::SendError;
use err::FINAL_STATUSES;
use escrow::SentPrompt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode, Uri};
use place::{Choice, Outcome, RateLimit};
use smallvec::SmallVec;
use suspect::{Digest, Segment, Subject};
use tokio::time::timeout_at;
use transit::{Denial, Mode};

use crate::accounts::{self, AccountEntry, Step};
use crate::attempt_error::AttemptError;
use crate::connect::Connected;
use crate::dialect::{AdvertisedLimit, Disposition, Pause, ResponseInfo};
use crate::event::Event;
use crate::request_context::RequestContext;
use crate::request_info::AttemptContext;
use crate::router::Router;
use crate::transit::{self as forwarding, PathLost, PathWatch, SendOutcome, Way};
use crate::wait::connect;

/// An attempt of a retryable request is given up if there is no response head within both of these
/// multiples: of the route's latency objective, and of the latency that was expected. Before that,
/// a slow upstream may still respond.
const RESPONSE_TIMEOUT_OBJECTIVES: f64 = 3.0;
const RESPONSE_TIMEOUT_EXPECTED: f64 = 6.0;
/// How long a stream has to go on after its first event for the segments of its prompt to count as
/// survived, in milliseconds: an upstream that crashes when it begins to respond may still have sent
/// the first event.
const SURVIVAL_MS: u64 = 200;

/// An attempt in progress at its upstream; dropping it records its outcome.
pub(crate) struct AttemptGuard {
    router: Arc<Router>,
    digest: Digest,
    /// The segments of the prompt that other requests share.
    segments: SmallVec<[Segment; 4]>,
    pub(crate) choice: Choice,
    /// How the request reaches the upstream; none until a connection is chosen.
    way: Option<Way>,
    retryable: bool,
    /// When the request was sent, in milliseconds; when the upstream was chosen, until then.
    sent_at: u64,
    /// When the upstream last sent something, in milliseconds; 0 if it sent nothing.
    heard_at: AtomicU64,
    /// Its entry in the account of its engine; none if it was not entered.
    entry: Option<AccountEntry>,
    first_event_at: Option<u64>,
    /// Whether the upstream has begun to respond without crashing.
    survived: bool,
    /// Whether its connection broke while the path to the upstreams was known to be lost.
    broke_on_lost_path: bool,
    outcome: Outcome,
}

impl AttemptGuard {
    pub(crate) fn new(ctx: &RequestContext, choice: Choice) -> AttemptGuard {
        AttemptGuard {
            entry: None,
            router: Arc::clone(&ctx.router),
            digest: ctx.digest,
            segments: ctx.segments.clone(),
            choice,
            way: None,
            retryable: ctx.is_retryable(),
            sent_at: ctx.router.clock.now(),
            heard_at: AtomicU64::new(0),
            first_event_at: None,
            survived: false,
            broke_on_lost_path: false,
            outcome: Outcome::Abandoned,
        }
    }

    /// Records the time to the response or its first event.
    pub(crate) fn record_latency(&self) {
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        let now = self.router.clock.now();
        pool.record_latency(now, &self.choice, self.sent_at);
        drop(pool);
        self.report(&Step::FirstToken);
        if self.choice.uncached_tokens > 0 {
            let took_ms = now.saturating_sub(self.sent_at) as f64;
            let error = took_ms / self.choice.expected_ms.max(1.0);
            self.router.metrics.first_token_error.observe(error);
        }
    }

    /// Records that the request is sent now, and enters the attempt in the account of its engine. Before, it is no
    /// load there: it may have waited for a connection, and the time for that is not the upstream's.
    fn mark_sent(&mut self, ctx: &RequestContext) {
        self.sent_at = ctx.router.clock.now();
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        pool.mark_sent(self.sent_at, &self.choice);
        drop(pool);
        self.entry = accounts::enter(ctx, &self.choice);
    }

    /// Reports how the attempt has proceeded to the owners of its engine's account.
    fn report(&self, step: &Step) {
        if let Some(entry) = &self.entry {
            accounts::report(&self.router, entry, step);
        }
    }

    /// Returns whether the request may still be sent to the upstream.
    pub(crate) fn may_send(&self) -> bool {
        let pool = self.router.pool.lock().expect("lock not poisoned");
        pool.may_send(self.router.clock.now(), &self.choice)
    }

    /// Records that the upstream has sent something.
    pub(crate) fn record_received(&self) {
        self.record_alive();
        if let Some(way) = &self.way {
            way.record_received();
        }
    }

    /// Records that the upstream is alive.
    pub(crate) fn record_alive(&self) {
        let now = self.router.clock.now();
        self.heard_at.store(now, Ordering::Relaxed);
    }

    /// Records that an event of a stream was received.
    pub(crate) fn record_event(&mut self) {
        let now = self.router.clock.now();
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now >= first_event_at + SURVIVAL_MS {
            self.record_survival();
        }
    }

    fn record_survival(&mut self) {
        if !self.survived {
            self.survived = true;
            self.router.suspects.segments_survived(&self.segments);
        }
    }

    /// Records that the connection to the upstream broke although it is not known to be leaving.
    fn record_broken_connection(&self) {
        let lost: &[Segment] = if self.survived { &[] } else { &self.segments };
        let (suspects, spec) = (&self.router.suspects, &self.choice.spec);
        suspects.connection_broke(spec, self.digest, lost);
    }

    /// Returns a watch of the path that the request uses.
    pub(crate) fn path_watch(&self) -> PathWatch {
        let transit = &self.router.transit;
        PathWatch::new(transit, self.way.as_ref(), &self.choice, self.retryable)
    }

    /// Takes a slot of the upstream if it is brittle; returns whether the request has to be sent by
    /// another instance that owns one.
    pub(crate) fn needs_owner(&self) -> bool {
        let service = &self.choice.spec.service;
        let is_direct = self.router.transit.mode(service) == Mode::Direct;
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        let has_slot = is_direct && pool.try_enter(self.router.clock.now(), &self.choice);
        pool.is_brittle(service) && !has_slot
    }

    /// Sends the request through another instance.
    pub(crate) fn forwarded(mut self, connection: forwarding::Connection) -> Connected {
        self.way = Some(Way::Forwarded(connection.request));
        Connected {
            guard: self,
            conn: connection.conn,
            via: Some(connection.incarnation),
        }
    }

    /// Records that the request goes directly.
    pub(crate) fn set_direct(&mut self) {
        let direct = self.router.transit.begin_direct(&self.choice.spec.service);
        self.way = Some(Way::Direct(direct));
    }

    /// Sends the request and waits for the head of the response.
    async fn send(&self, conn: &mut dial::Conn, req: Request<Full<bytes::Bytes>>) -> SendOutcome {
        let way = self.way.as_ref().expect("a way is set before sending");
        let outcome = way.send(conn, req).await;
        if let (Way::Direct(_), SendOutcome::Failed(error)) = (way, &outcome) {
            match error {
                SendError::NotSent(_) => {}
                SendError::Closed(_) | SendError::Broken(_) => {
                    self.record_alive();
                    self.router.transit.record_broken(&self.choice);
                }
                SendError::Lost(_) => self.router.transit.record_broken(&self.choice),
            }
        }
        outcome
    }

    /// Returns the outcome of a timeout. It says nothing about the upstream while this instance's own
    /// link is congested, or if the instance that forwards the request may be the one that hangs.
    fn timeout_outcome(&self, path: &PathWatch) -> Outcome {
        if self.router.is_link_congested() {
            return Outcome::Abandoned;
        }
        match &self.way {
            Some(Way::Forwarded(request)) if !request.is_responsive() => {
                request.record_denial(Denial::Unreachable);
                Outcome::Abandoned
            }
            _ => path.timeout_outcome(),
        }
    }

    /// Ends the attempt because its connection broke. That says nothing about the health of the upstream if the path
    /// to it is lost; whether the upstream has crashed is found out elsewhere.
    fn end_broken(mut self) {
        let is_lost = self.router.transit.mode(&self.choice.spec.service) != Mode::Direct;
        self.broke_on_lost_path = is_lost && matches!(self.way, Some(Way::Direct(_)));
        self.end(Outcome::InvalidResponse);
    }

    /// Ends the attempt with an outcome; without this call, the outcome is `Abandoned`.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        let (key, attempt) = (self.choice.key, self.choice.attempt);
        // An upstream that is leaving closes its remaining connections when it exits: that is no
        // crash.
        let is_active = pool.is_active(key);
        let outcome = if self.broke_on_lost_path {
            Outcome::Abandoned
        } else {
            self.outcome
        };
        pool.record_heard(key, self.heard_at.load(Ordering::Relaxed));
        pool.end(self.router.clock.now(), key, attempt, outcome);
        drop(pool);
        if self.way.is_some() {
            self.router
                .wait_queues
                .place_freed(&self.choice.spec.service);
        }
        self.report(&Step::Ended);
        match self.outcome {
            Outcome::InvalidResponse if is_active => self.record_broken_connection(),
            // An error response does not count: the upstream may send it before it runs the
            // request.
            Outcome::Success => {
                self.record_survival();
                let request = Subject::Request(self.digest);
                self.router.suspects.request_answered(request);
            }
            _ => {}
        }
    }
}

/// A response whose head has been read.
pub(crate) struct OpenResponse {
    pub(crate) guard: AttemptGuard,
    pub(crate) conn: dial::Conn,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) info: ResponseInfo,
}

/// Sends a request to an upstream and reads the head of the response.
pub(crate) async fn attempt(
    ctx: &mut RequestContext,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    ctx.asked.clear();
    loop {
        let connected = connect(ctx).await?;
        // A trial is sent once.
        if !ctx.is_trial || ctx.attempts > 0 {
            if let Err(refusal) = ctx.router.suspects.check(ctx.digest, &ctx.segments) {
                connected.release(ctx);
                return Err(AttemptError::Suspect(refusal));
            }
        }
        match attempt_once(ctx, connected, last_event_id).await {
            Err(AttemptError::NotForwarded(_)) => {}
            result => return result,
        }
    }
}

async fn attempt_once(
    ctx: &mut RequestContext,
    connected: Connected,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    ctx.timing.sent_ms = ctx.router.clock.now() - ctx.arrived_at;
    ctx.set_attempts(ctx.attempts + 1);
    ctx.via.clone_from(&connected.via);
    if let Some(reservation) = &mut ctx.reservation {
        let sent = SentPrompt {
            upstream: connected.guard.choice.spec.incarnation_hash(),
            sent_at: ctx.router.clock.now(),
        };
        let prompt = u64::from(ctx.info.prompt_tokens);
        reservation.begin_attempt(prompt, sent, connected.via.is_some());
    }
    if let Some(permit) = &mut ctx.retry {
        permit.sent = true;
    }
    let sent = send(ctx, connected, last_event_id).await;
    if let Some(reservation) = &mut ctx.reservation {
        reservation.end_attempt(&sent);
    }
    if let Err(error) = &sent {
        let detail = format_args!(
            "attempt={} via={} request={} why={error:?}",
            ctx.attempts,
            ctx.via(),
            ctx.digest
        );
        let log = &ctx.router.log;
        log.request_event(Event::AttemptFailed, &ctx.info.id, detail);
    }
    if matches!(sent, Err(AttemptError::NotForwarded(_))) {
        ctx.set_attempts(ctx.attempts - 1);
        if let Some(permit) = &mut ctx.retry {
            permit.sent = false;
        }
    } else {
        ctx.retry = None;
        ctx.router.metrics.attempts.inc();
        if ctx.attempts > 1 {
            ctx.router.metrics.retries.inc();
        }
    }
    sent
}

async fn send(
    ctx: &mut RequestContext,
    connected: Connected,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let Connected {
        mut guard,
        mut conn,
        via,
    } = connected;
    let upstream = guard.choice.spec.id.clone();
    let mut req = new_request(ctx, &guard, last_event_id);
    if let Some(via) = &via {
        let header = forwarding::Header {
            to: via,
            from: ctx.router.fleet.incarnation(),
            upstream: &guard.choice.spec.incarnation(),
            remaining_ms: ctx.remaining_ms().max(1),
        };
        if let Err(why) = header.insert(&mut req) {
            return Err(AttemptError::NotRun(why));
        }
        ctx.router.metrics.transit_sent.inc();
    }
    guard.mark_sent(ctx);
    ctx.router
        .with_link(|l, now| l.record_request_sent(now, ctx.body.len()));
    let until = ctx.router.clock.at(response_deadline(ctx, &guard));
    let mut path = guard.path_watch();
    let sent = path
        .run(timeout_at(until, guard.send(&mut conn, req)))
        .await;
    let outcome = match sent {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => {
            let waited_ms = ctx.router.clock.now() - guard.sent_at;
            let outcome = guard.timeout_outcome(&path);
            guard.end(outcome);
            let why = format!("upstream={upstream} no response within {waited_ms} ms");
            return Err(AttemptError::Unknown(why));
        }
        Err(PathLost) => {
            let why = format!("upstream={upstream} path lost before the response");
            return Err(AttemptError::Unknown(why));
        }
    };
    let res = match outcome {
        SendOutcome::Response(res) => res,
        SendOutcome::Denied(why) => {
            ctx.tried.pop();
            return Err(AttemptError::NotForwarded(why));
        }
        SendOutcome::UpstreamFailed(outcome, why) => {
            guard.end(outcome);
            ctx.asked.pop();
            return Err(AttemptError::NotForwarded(why));
        }
        SendOutcome::Failed(SendError::NotSent(why)) => {
            guard.end(Outcome::Refused);
            return Err(AttemptError::NotRun(format!("upstream={upstream} {why}")));
        }
        SendOutcome::Failed(SendError::Closed(why)) => {
            guard.end_broken();
            return Err(AttemptError::Unanswered(format!(
                "upstream={upstream} {why}"
            )));
        }
        SendOutcome::Failed(SendError::Broken(why) | SendError::Lost(why)) => {
            guard.end_broken();
            return Err(AttemptError::Unknown(format!("upstream={upstream} {why}")));
        }
        SendOutcome::Lost(why) => {
            guard.end(Outcome::Abandoned);
            return Err(AttemptError::Unknown(format!("upstream={upstream} {why}")));
        }
    };
    guard.record_received();
    let (head, body) = res.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        guard.end(Outcome::InvalidResponse);
        let why = format!("upstream={upstream} invalid status {}", head.status);
        return Err(AttemptError::Unknown(why));
    }
    let info = ctx.router.dialect.parse_response(&ctx.info, &head);
    if let Some(load) = info.load {
        let now = ctx.router.clock.now();
        let mut pool = ctx.router.pool.lock().expect("lock not poisoned");
        pool.set_reported_load(now, guard.choice.key, load);
        drop(pool);
        guard.report(&Step::Load(load));
    }
    let status = head.status.as_u16();
    apply_announcements(ctx, &guard, &info, head.status);
    match info.disposition {
        Disposition::Executed => Ok(OpenResponse {
            guard,
            conn,
            head,
            body,
            info,
        }),
        Disposition::NotExecuted => {
            guard.end(Outcome::Refused);
            Err(AttemptError::NotRun(format!(
                "upstream={upstream} status={status}"
            )))
        }
        Disposition::Misdirected => {
            guard.end(Outcome::Refused);
            let why = format!("upstream={upstream} another upstream uses its address");
            Err(AttemptError::Misdirected(why))
        }
        Disposition::Invalid(why) => {
            guard.end(Outcome::InvalidResponse);
            let why = format!("upstream={upstream} status={status} {why}");
            Err(AttemptError::Unknown(why))
        }
    }
}

/// Applies what an upstream announces in a response: that it is leaving, that it accepts no more
/// requests for a while, and its request rate limit. The response is the most direct source of
/// these.
fn apply_announcements(
    ctx: &RequestContext,
    guard: &AttemptGuard,
    info: &ResponseInfo,
    status: StatusCode,
) {
    ctx.router
        .upstream_list
        .observe_address(&guard.choice, guard.sent_at, &info.disposition);
    // The response comes from another upstream, which uses the address now.
    if info.disposition == Disposition::Misdirected {
        return;
    }
    let incarnation = {
        let pool = ctx.router.pool.lock().expect("lock not poisoned");
        pool.incarnation(guard.choice.key)
    };
    if info.leaving {
        ctx.router
            .upstream_list
            .mark_leaving(&incarnation, "answer");
    }
    update_limit(ctx, guard, info, status, &incarnation);
    let (spec, sent_at) = (&guard.choice.spec, guard.sent_at);
    ctx.router
        .upstream_list
        .apply_brittle(spec, sent_at, info, status);
    let Some(pause) = info.pause else {
        return;
    };
    let ms = match pause {
        Pause::For(duration) => duration.as_millis(),
        Pause::Until(date) => {
            let since_epoch = date.duration_since(SystemTime::UNIX_EPOCH);
            let date_ms = since_epoch.unwrap_or_default().as_millis();
            date_ms.saturating_sub(u128::from(wall_ms()))
        }
    };
    let ms = u64::try_from(ms).unwrap_or(u64::MAX);
    let now = ctx.router.clock.now();
    let mut pool = ctx.router.pool.lock().expect("lock not poisoned");
    let longer = pool.pause(now, guard.choice.key, ms);
    drop(pool);
    if longer {
        let detail = format_args!("upstream={incarnation} rests_ms={ms}");
        let log = &ctx.router.log;
        log.request_event(Event::UpstreamPaused, &ctx.info.id, detail);
    }
}

/// Updates the request rate limit from a response and logs a change. Only a successful response
/// without a limit removes it: refusals and errors may lack the header. An invalid value, or a
/// response that is not one to this request, leaves the limit unchanged.
fn update_limit(
    ctx: &RequestContext,
    guard: &AttemptGuard,
    info: &ResponseInfo,
    status: StatusCode,
    incarnation: &str,
) {
    let success = info.disposition == Disposition::Executed && status.is_success();
    let limit = match (info.limit, &info.disposition) {
        (AdvertisedLimit::Valid(limit), Disposition::Executed | Disposition::NotExecuted) => {
            Some(limit)
        }
        (AdvertisedLimit::Absent, _) if success => None,
        _ => return,
    };
    let upstream_list = &ctx.router.upstream_list;
    let changed = upstream_list.set_limit(guard.choice.key, guard.sent_at, limit);
    if changed.is_some() {
        let per_sec = limit.map(RateLimit::as_per_sec);
        let detail = format_args!("upstream={incarnation} per_sec={per_sec:?} source=answer");
        let log = &ctx.router.log;
        log.request_event(Event::UpstreamLimitChanged, &ctx.info.id, detail);
    }
}

/// Returns when an attempt without a response head is given up, in milliseconds.
fn response_deadline(ctx: &RequestContext, guard: &AttemptGuard) -> u64 {
    let is_last = !ctx.is_retryable() || ctx.attempts >= ctx.route.max_attempts;
    if is_last {
        return ctx.deadline;
    }
    let objective = ctx.route.latency_objective_ms as f64 * RESPONSE_TIMEOUT_OBJECTIVES;
    let expected = guard.choice.expected_ms * RESPONSE_TIMEOUT_EXPECTED;
    let wait = objective.max(expected) as u64;
    ctx.deadline.min(guard.sent_at + wait)
}

/// Returns the request to send to the upstream.
fn new_request(
    ctx: &RequestContext,
    guard: &AttemptGuard,
    last_event_id: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let attempt = AttemptContext {
        upstream: &guard.choice.spec.id,
        customer: ctx.customer.as_deref(),
        remaining_ms: ctx.remaining_ms().max(1),
        last_event_id,
        engine_priority: ctx.service_settings.engine.map(|_| ctx.priority),
    };
    let mut req = Request::new(Full::new(ctx.body.clone()));
    *req.method_mut() = ctx.head.method.clone();
    let path = ctx.head.uri.path_and_query();
    *req.uri_mut() = path.map_or_else(Uri::default, |p| Uri::from(p.clone()));
    *req.headers_mut() = ctx.router.dialect.request_headers(&ctx.head, &attempt);
    req
}
