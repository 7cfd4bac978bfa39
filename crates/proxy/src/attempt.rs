//! One attempt to get a response from an upstream: choosing it, connecting, sending the request and
//! reading the head of the response.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::SystemTime;

use clock::wall_ms;
use dial::{ConnectError, SendError, Target};
use err::{Kind, Ran};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode, Uri};
use place::{max_connections, Choice, ChooseError, Criteria, Outcome, RateLimit, ServiceUsage};
use suspect::Digest;
use tokio::time::timeout_at;
use transit::{Denial, Mode};

use crate::dialect::{AdvertisedLimit, Disposition, Pause, ResponseInfo};
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::request_info::AttemptContext;
use crate::router::Router;
use crate::transit::{self as forwarding, PathLost, PathWatch, SendOutcome, Way, MAX_ASKED};

/// An attempt of a retryable request is given up if there is no response head within both of these
/// multiples: of the route's latency objective, and of the latency that was expected. Before that,
/// a slow upstream may still respond.
const RESPONSE_TIMEOUT_OBJECTIVES: f64 = 3.0;
const RESPONSE_TIMEOUT_EXPECTED: f64 = 6.0;
/// Retry time if no upstream is available, in milliseconds: an unreachable upstream is ejected for
/// a similar time at first.
const RETRY_NO_UPSTREAM_MS: u64 = 400;
/// Retry time if no slot of a brittle upstream is free, in milliseconds: requests end within it.
const RETRY_NO_SLOT_MS: u64 = 300;
/// Retry time if all upstreams that the request may reach are in evacuated zones, or none is in an
/// allowed region, in milliseconds: only operators change that.
const RETRY_EVACUATED_MS: u64 = 4_000;

/// An attempt in progress at its upstream; dropping it records its outcome.
pub(crate) struct AttemptGuard {
    router: Arc<Router>,
    digest: Digest,
    pub(crate) choice: Choice,
    /// How the request reaches the upstream; none until a connection is chosen.
    way: Option<Way>,
    retryable: bool,
    sent_at: u64,
    outcome: Outcome,
}

impl AttemptGuard {
    fn new(ctx: &RequestContext, choice: Choice) -> AttemptGuard {
        AttemptGuard {
            router: Arc::clone(&ctx.router),
            digest: ctx.digest,
            choice,
            way: None,
            retryable: ctx.is_retryable(),
            sent_at: ctx.router.clock.now(),
            outcome: Outcome::Abandoned,
        }
    }

    /// Records the time to the response or its first event.
    pub(crate) fn record_latency(&self) {
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        pool.record_latency(self.router.clock.now(), &self.choice, self.sent_at);
    }

    /// Returns whether the request may still be sent to the upstream.
    fn may_send(&self) -> bool {
        let pool = self.router.pool.lock().expect("lock not poisoned");
        pool.may_send(self.router.clock.now(), &self.choice)
    }

    /// Records that the upstream has sent something.
    pub(crate) fn record_received(&self) {
        if let Some(way) = &self.way {
            way.record_received();
        }
    }

    /// Returns a watch of the path that the request uses.
    pub(crate) fn path_watch(&self) -> PathWatch {
        let transit = &self.router.transit;
        PathWatch::new(transit, self.way.as_ref(), &self.choice, self.retryable)
    }

    /// Takes a slot of the upstream if it is brittle; returns whether the request has to be sent by
    /// another instance that owns one.
    fn needs_owner(&self) -> bool {
        let service = &self.choice.spec.service;
        let is_direct = self.router.transit.mode(service) == Mode::Direct;
        let mut pool = self.router.pool.lock().expect("lock not poisoned");
        let has_slot = is_direct && pool.try_enter(self.router.clock.now(), &self.choice);
        pool.is_brittle(service) && !has_slot
    }

    /// Sends the request through another instance.
    fn forwarded(mut self, connection: forwarding::Connection) -> Connected {
        self.way = Some(Way::Forwarded(connection.request));
        Connected {
            guard: self,
            conn: connection.conn,
            via: Some(connection.incarnation),
        }
    }

    /// Records that the request goes directly.
    fn set_direct(&mut self) {
        let direct = self.router.transit.begin_direct(&self.choice.spec.service);
        self.way = Some(Way::Direct(direct));
    }

    /// Sends the request and waits for the head of the response.
    async fn send(&self, conn: &mut dial::Conn, req: Request<Full<bytes::Bytes>>) -> SendOutcome {
        let way = self.way.as_ref().expect("a way is set before sending");
        let outcome = way.send(conn, req).await;
        if let (Way::Direct(_), SendOutcome::Failed(SendError::Closed(_) | SendError::Broken(_))) =
            (way, &outcome)
        {
            self.router.transit.record_broken(&self.choice);
        }
        outcome
    }

    /// Returns the outcome of a timeout. It says nothing about the upstream while this instance's own
    /// link is congested, or if the instance that forwards the request may be the one that hangs.
    fn timeout_outcome(&self) -> Outcome {
        if self.router.is_link_congested() {
            return Outcome::Abandoned;
        }
        match &self.way {
            Some(Way::Forwarded(request)) if !request.is_responsive() => {
                request.record_denial(Denial::Unreachable);
                Outcome::Abandoned
            }
            _ => Outcome::Unresponsive,
        }
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
        pool.end(self.router.clock.now(), key, attempt, self.outcome);
        drop(pool);
        match self.outcome {
            Outcome::InvalidResponse if is_active => self
                .router
                .suspects
                .connection_broke(&self.choice.spec, self.digest),
            // An error response does not count: the upstream may send it before it runs the
            // request.
            Outcome::Success => self.router.suspects.request_answered(self.digest),
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

/// Why an attempt failed. Log lines print the names of the variants.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// No upstream was chosen.
    Denied(ChooseError),
    /// The request did not run, and will not.
    NotRun(String),
    /// The request may have run. The upstream closed the connection before any part of a response
    /// was received, so nobody can have received any of it.
    Unanswered(String),
    /// The request may have run.
    Unknown(String),
    /// The deadline passed before the request was sent.
    Late,
    /// The paths to the upstreams are lost, and no other instance forwards the request; it did not run.
    NoPath,
    /// Another instance was asked to forward the request and sent nothing. It is asked no more; the
    /// attempt does not count.
    NotForwarded,
}

impl AttemptError {
    fn refusal(self, ctx: &RequestContext) -> Refusal {
        let remaining_ms = ctx.remaining_ms();
        match self {
            AttemptError::Denied(ChooseError::Busy { retry_ms }) => {
                let message = format!("the upstreams of {} are busy: {}", ctx.service, usage(ctx));
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, remaining_ms)
            }
            AttemptError::Denied(ChooseError::Resting { retry_ms }) => {
                let message = format!("the upstreams of {} have asked for a pause", ctx.service);
                Refusal::new(Kind::NoUpstream, message).retry_after(retry_ms)
            }
            AttemptError::Denied(ChooseError::Limited { retry_ms }) => {
                let message = format!(
                    "the request rate limits of the upstreams of {} are reached",
                    ctx.service
                );
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, remaining_ms)
            }
            AttemptError::Denied(ChooseError::Cold { retry_ms }) => {
                let message = format!(
                    "the upstreams of {} are cold and accept no more requests yet",
                    ctx.service
                );
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, remaining_ms)
            }
            AttemptError::Denied(ChooseError::Evacuated) => {
                let message = format!("all zones with upstreams of {} are evacuated", ctx.service);
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_EVACUATED_MS, remaining_ms)
            }
            AttemptError::Denied(ChooseError::Outside) => {
                let message = format!("no upstream of {} is in an allowed region", ctx.service);
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_EVACUATED_MS, remaining_ms)
            }
            AttemptError::Denied(ChooseError::Unknown | ChooseError::NoneLeft) => {
                let message = format!(
                    "no upstream of {} is available: {}",
                    ctx.service,
                    usage(ctx)
                );
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::NotRun(why) => {
                Refusal::new(Kind::NoUpstream, why).retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::NoPath | AttemptError::NotForwarded => {
                let message = format!(
                    "this instance has no path to upstreams of {}, and {} others forward nothing",
                    ctx.service,
                    ctx.asked.len()
                );
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::Late => Refusal::new(
                Kind::DeadlinePassed,
                "the deadline passed before the request was sent",
            )
            .ran(Ran::No),
            AttemptError::Unanswered(why) | AttemptError::Unknown(why) => {
                let late = remaining_ms == 0;
                let kind = if late {
                    Kind::DeadlinePassed
                } else {
                    Kind::UpstreamError
                };
                Refusal::new(kind, why)
            }
        }
    }
}

/// Describes the load and health of a request's upstreams.
fn usage(ctx: &RequestContext) -> ServiceUsage {
    let now = ctx.router.clock.now();
    let pool = ctx.router.pool.lock().expect("lock not poisoned");
    pool.service_usage(now, &ctx.service)
}

/// Whether a request may have run in the attempts so far.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    ran: Ran,
}

impl AttemptHistory {
    pub(crate) fn new() -> AttemptHistory {
        AttemptHistory { ran: Ran::No }
    }

    /// Returns whether the request may be sent once more after a failed attempt; if so, takes a
    /// retry from the retry budget.
    pub(crate) fn try_retry(&mut self, ctx: &RequestContext, error: &AttemptError) -> bool {
        match error {
            AttemptError::Denied(_)
            | AttemptError::Late
            | AttemptError::NoPath
            | AttemptError::NotForwarded => false,
            AttemptError::NotRun(_) => ctx.try_acquire_retry(),
            AttemptError::Unanswered(_) | AttemptError::Unknown(_) => {
                self.ran = Ran::Unknown;
                ctx.is_retryable() && ctx.try_acquire_retry()
            }
        }
    }

    /// Returns the refusal of a request that is not sent again after its last attempt failed.
    pub(crate) fn refusal(&self, ctx: &RequestContext, error: AttemptError) -> Refusal {
        let refusal = error.refusal(ctx);
        match self.ran {
            Ran::No => refusal,
            ran => refusal.ran(ran),
        }
    }
}

/// Sends a request to an upstream and reads the head of the response.
pub(crate) async fn attempt(
    ctx: &mut RequestContext,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    ctx.asked.clear();
    loop {
        let connected = connect(ctx).await?;
        match attempt_once(ctx, connected, last_event_id).await {
            Err(AttemptError::NotForwarded) => {}
            result => return result,
        }
    }
}

/// A chosen upstream and a connection over which the request reaches it.
struct Connected {
    guard: AttemptGuard,
    conn: dial::Conn,
    /// The incarnation that forwards the request; none if it goes directly.
    via: Option<String>,
}

async fn attempt_once(
    ctx: &mut RequestContext,
    connected: Connected,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    ctx.timing.sent_ms = ctx.router.clock.now() - ctx.arrived_at;
    ctx.set_attempts(ctx.attempts + 1);
    ctx.via.clone_from(&connected.via);
    let prompt = u64::from(ctx.info.prompt_tokens);
    if let Some(reservation) = &mut ctx.reservation {
        reservation.record_prompt_sent(prompt);
    }
    let sent = send(ctx, connected, last_event_id).await;
    let no_response = matches!(
        sent,
        Err(AttemptError::NotRun(_) | AttemptError::Unanswered(_) | AttemptError::NotForwarded)
    );
    ctx.may_have_response |= !no_response;
    if let Err(error) = &sent {
        let detail = format_args!(
            "attempt={} via={} request={} why={error:?}",
            ctx.attempts,
            ctx.via(),
            ctx.digest
        );
        let log = &ctx.router.log;
        log.request_event(Event::AttemptFailed, &ctx.info.id, detail);
        if let Some(reservation) = ctx.reservation.as_mut().filter(|_| !ctx.may_have_response) {
            reservation.clear_prompt();
        }
    }
    if matches!(sent, Err(AttemptError::NotForwarded)) {
        ctx.set_attempts(ctx.attempts - 1);
    } else {
        ctx.router.metrics.attempts.inc();
        if ctx.attempts > 1 {
            ctx.router.metrics.retries.inc();
        }
    }
    sent
}

/// Chooses upstreams until a connection over which the request reaches one is open.
async fn connect(ctx: &mut RequestContext) -> Result<Connected, AttemptError> {
    loop {
        if ctx.remaining_ms() == 0 {
            return Err(AttemptError::Late);
        }
        let choice = choose(ctx).map_err(AttemptError::Denied)?;
        ctx.tried.push(choice.key);
        ctx.progress.tried.fetch_add(1, Ordering::Relaxed);
        ctx.timing.uncached_tokens = choice.uncached_tokens;
        ctx.timing.expected_ms = choice.expected_ms;
        let mut guard = AttemptGuard::new(ctx, choice);
        if guard.needs_owner() {
            let connection = connect_owner(ctx, &guard).await;
            match connection.filter(|_| guard.may_send()) {
                Some(connection) => return Ok(guard.forwarded(connection)),
                None if ctx.asked.len() < MAX_ASKED => continue,
                None => {
                    let retry_ms = RETRY_NO_SLOT_MS;
                    return Err(AttemptError::Denied(ChooseError::Busy { retry_ms }));
                }
            }
        }
        match connect_directly(ctx, &guard).await {
            Ok(conn) => {
                guard.set_direct();
                let via = None;
                return Ok(Connected { guard, conn, via });
            }
            Err(outcome) if ctx.router.transit.mode(&ctx.service) == Mode::Direct => {
                guard.end(outcome);
                continue;
            }
            Err(_) => {}
        }
        let until = ctx.router.clock.at(ctx.deadline);
        let connection = ctx
            .router
            .connect_transit(&ctx.service, &ctx.regions, &mut ctx.asked, until)
            .await;
        let Some(connection) = connection else {
            // A request that must not run twice is not risked on a connection that may break.
            let last_resort = ctx.is_retryable() || ctx.asked.is_empty();
            if !last_resort || !ctx.router.transit.fails_fast(&ctx.service) {
                return Err(AttemptError::NoPath);
            }
            match dial_upstream(ctx, &guard).await {
                Ok(conn) => {
                    guard.set_direct();
                    let via = None;
                    return Ok(Connected { guard, conn, via });
                }
                Err(outcome) => {
                    guard.end(outcome);
                    continue;
                }
            }
        };
        if guard.may_send() {
            return Ok(guard.forwarded(connection));
        }
        ctx.asked.pop();
    }
}

/// Connects to an instance that owns slots of the chosen upstream, which is brittle.
async fn connect_owner(
    ctx: &mut RequestContext,
    guard: &AttemptGuard,
) -> Option<forwarding::Connection> {
    let until = ctx.router.clock.at(ctx.deadline);
    let router = Arc::clone(&ctx.router);
    let (choice, asked) = (&guard.choice, &mut ctx.asked);
    router
        .connect_slot_owner(choice, &ctx.regions, asked, until)
        .await
}

/// Returns a connection to the chosen upstream; an error says what it means for the upstream if its
/// path is not lost.
async fn connect_directly(
    ctx: &RequestContext,
    guard: &AttemptGuard,
) -> Result<dial::Conn, Outcome> {
    let (router, spec) = (&ctx.router, &guard.choice.spec);
    let incarnation = spec.incarnation();
    let mode = router.transit.mode(&ctx.service);
    if mode == Mode::Transit {
        return Err(Outcome::Abandoned);
    }
    if let Some(conn) = router.dialer.take_idle(&incarnation) {
        return Ok(conn);
    }
    if mode != Mode::Direct {
        return Err(Outcome::Abandoned);
    }
    tokio::select! {
        biased;
        connected = dial_upstream(ctx, guard) => connected,
        // No need to wait for the timeout if connections to other upstreams have timed out.
        () = router.transit.wait_until_lost(&ctx.service) => Err(Outcome::Abandoned),
    }
}

/// Opens a connection to the chosen upstream; an error says what it means for the upstream.
async fn dial_upstream(ctx: &RequestContext, guard: &AttemptGuard) -> Result<dial::Conn, Outcome> {
    let (router, spec) = (&ctx.router, &guard.choice.spec);
    let incarnation = spec.incarnation();
    let instances = router.fleet.instance_count();
    let max = max_connections(ctx.service_settings.max_connections as usize, instances);
    let target = Target {
        upstream: &incarnation,
        addr: spec.addr,
        max_connections: max.unwrap_or(usize::MAX),
    };
    let until = router.clock.at(ctx.deadline);
    router.metrics.connection_attempts.inc();
    let error = match router.dialer.connect(target, until).await {
        Ok(conn) => {
            router.transit.record_connected(&ctx.service);
            // Otherwise the upstream is leaving, paused, evacuated, no longer listed or throttled by
            // now. Nothing was sent, so another one is chosen.
            let may_send = guard.may_send();
            return may_send.then_some(conn).ok_or(Outcome::Abandoned);
        }
        Err(error) => error,
    };
    let detail = format_args!("upstream={} connect={error:?}", spec.id);
    let log = &router.log;
    log.request_event(Event::AttemptFailed, &ctx.info.id, detail);
    match error {
        ConnectError::Full => return Err(Outcome::Refused),
        ConnectError::TimedOut if router.is_link_congested() => return Err(Outcome::Abandoned),
        ConnectError::TimedOut | ConnectError::Refused(_) | ConnectError::Unreachable(_) => {}
    }
    router
        .transit
        .record_choice_unconnected(&guard.choice, &error);
    Err(Outcome::Unresponsive)
}

fn choose(ctx: &RequestContext) -> Result<Choice, ChooseError> {
    let now = ctx.router.clock.now();
    let criteria = Criteria {
        service: &ctx.service,
        zone: &ctx.router.zone,
        segments: &ctx.info.prompt_segments,
        prompt_tokens: ctx.info.prompt_tokens,
        regions: &ctx.regions,
        tried: &ctx.tried,
        deadline: ctx.deadline,
        retryable: ctx.is_retryable(),
        random: rand::random(),
    };
    let mut pool = ctx.router.pool.lock().expect("lock not poisoned");
    let choice = pool.choose(now, &criteria)?;
    let metrics = &ctx.router.metrics;
    metrics
        .uncached_prompt_tokens
        .inc_by(u64::from(choice.uncached_tokens));
    metrics
        .prompt_tokens
        .inc_by(u64::from(ctx.info.prompt_tokens));
    Ok(choice)
}

async fn send(
    ctx: &mut RequestContext,
    connected: Connected,
    last_event_id: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let Connected {
        guard,
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
            let outcome = guard.timeout_outcome();
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
        SendOutcome::Denied => {
            ctx.tried.pop();
            return Err(AttemptError::NotForwarded);
        }
        SendOutcome::UpstreamFailed(outcome) => {
            guard.end(outcome);
            ctx.asked.pop();
            return Err(AttemptError::NotForwarded);
        }
        SendOutcome::Failed(SendError::NotSent(why)) => {
            guard.end(Outcome::Refused);
            return Err(AttemptError::NotRun(format!("upstream={upstream} {why}")));
        }
        SendOutcome::Failed(SendError::Closed(why)) => {
            guard.end(Outcome::InvalidResponse);
            return Err(AttemptError::Unanswered(format!(
                "upstream={upstream} {why}"
            )));
        }
        SendOutcome::Failed(SendError::Broken(why)) => {
            guard.end(Outcome::InvalidResponse);
            return Err(AttemptError::Unknown(format!("upstream={upstream} {why}")));
        }
        SendOutcome::Lost(why) => {
            guard.end(Outcome::Abandoned);
            return Err(AttemptError::Unknown(format!("upstream={upstream} {why}")));
        }
    };
    let (head, body) = res.into_parts();
    let info = ctx.router.dialect.parse_response(&ctx.info, &head);
    if let Some(load) = info.load {
        let now = ctx.router.clock.now();
        let mut pool = ctx.router.pool.lock().expect("lock not poisoned");
        pool.set_reported_load(now, guard.choice.key, load);
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
            guard.end(Outcome::Unresponsive);
            let why = format!("upstream={upstream} another upstream uses its address");
            Err(AttemptError::NotRun(why))
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
    };
    let mut req = Request::new(Full::new(ctx.body.clone()));
    *req.method_mut() = ctx.head.method.clone();
    let path = ctx.head.uri.path_and_query();
    *req.uri_mut() = path.map_or_else(Uri::default, |p| Uri::from(p.clone()));
    *req.headers_mut() = ctx.router.dialect.request_headers(&ctx.head, &attempt);
    req
}
