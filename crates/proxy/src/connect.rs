//! Choosing an upstream for an attempt, and a connection over which the request reaches it: directly, or
//! through another instance.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use dial::{ConnectError, Target};
use place::{max_connections, Choice, ChooseError, Criteria, KnownEngine, Outcome};
use tokio::time::Instant;
use transit::Mode;

use crate::accounts::{self, Asking, Consultation};
use crate::attempt::AttemptGuard;
use crate::attempt_error::AttemptError;
use crate::event::Event;
use crate::origins::RecordedVersions;
use crate::request_context::{RequestContext, StreamVersion};
use crate::transit::{self as forwarding, MAX_ASKED};

/// Retry time if no slot of a brittle upstream is free, in milliseconds: requests end within it.
const RETRY_NO_SLOT_MS: u64 = 300;
/// Time from its arrival until which a request waits for instances that could forward it and are at
/// capacity, in milliseconds: requests end within it.
const MAX_FORWARD_WAIT_MS: u64 = 1_500;
/// A request waits for them no longer than until this time before its deadline: it is still to be refused in time.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

/// A chosen upstream and a connection over which the request reaches it.
pub(crate) struct Connected {
    pub(crate) guard: AttemptGuard,
    pub(crate) conn: dial::Conn,
    /// The incarnation that forwards the request; none if it goes directly.
    pub(crate) via: Option<String>,
}

impl Connected {
    /// Keeps the connection for other requests: this one is not sent.
    pub(crate) fn release(self, ctx: &RequestContext) {
        if self.via.is_none() {
            ctx.router.dialer.put_idle(self.conn, None);
        }
    }
}

/// Chooses upstreams until a connection over which the request reaches one is open. Does not wait if they
/// accept no request now.
pub(crate) async fn connect_now(ctx: &mut RequestContext) -> Result<Connected, AttemptError> {
    // Whether an upstream had no slot or connection left.
    let mut no_slot = false;
    loop {
        if ctx.remaining_ms() == 0 {
            return Err(AttemptError::Late);
        }
        let consultation = consult(ctx).await;
        let known = consultation.as_ref().map(|c| c.known.as_slice());
        let choice = choose(ctx, known).map_err(|error| match error {
            ChooseError::NoneLeft if no_slot => AttemptError::Denied(ChooseError::Busy {
                retry_ms: RETRY_NO_SLOT_MS,
            }),
            error => AttemptError::Denied(error),
        })?;
        let consultation = consultation.unwrap_or_default();
        ctx.timing.asked = consultation.asked;
        ctx.timing.answered = consultation.known.len();
        ctx.tried.push(choice.key);
        ctx.progress.tried.fetch_add(1, Ordering::Relaxed);
        ctx.timing.uncached_tokens = choice.uncached_tokens;
        ctx.timing.expected_ms = choice.expected_ms;
        ctx.timing.load = choice.load;
        ctx.timing.memory = choice.memory;
        ctx.timing.prefill_ms = choice.prefill_ms;
        let mut guard = AttemptGuard::new(ctx, choice);
        if guard.needs_owner() {
            no_slot = true;
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
                no_slot |= outcome == Outcome::Refused;
                guard.end(outcome);
                continue;
            }
            Err(_) => {}
        }
        let until = ctx.router.clock.at(ctx.deadline);
        let connection = connect_forwarder(ctx, until).await;
        let Some(connection) = connection else {
            // A request that must not run twice is not risked on a connection that may break, unless
            // no other instance reaches the service either.
            let transit = &ctx.router.transit;
            let last_resort =
                ctx.is_retryable() || !transit.is_any_reaching(&ctx.service, &ctx.regions);
            if !last_resort || !ctx.router.transit.fails_fast(&ctx.service) {
                return Err(AttemptError::NoPath);
            }
            match dial_upstream(ctx, &guard).await {
                Ok(conn) => {
                    guard.set_direct();
                    let via = None;
                    return Ok(Connected { guard, conn, via });
                }
                // The path is known to be lost, so this says nothing about the upstream.
                Err(_) => continue,
            }
        };
        if guard.may_send() {
            return Ok(guard.forwarded(connection));
        }
        ctx.asked.pop();
    }
}

/// Connects to an instance that is expected to forward the request; waits briefly if those that could
/// are at capacity.
async fn connect_forwarder(
    ctx: &mut RequestContext,
    until: Instant,
) -> Option<forwarding::Connection> {
    let router = Arc::clone(&ctx.router);
    let wait_until =
        until.min(router.clock.at(ctx.arrived_at + MAX_FORWARD_WAIT_MS)) - REFUSAL_TIME;
    loop {
        let connection = router
            .connect_transit(&ctx.service, &ctx.regions, &mut ctx.asked, until)
            .await;
        if connection.is_some() {
            return connection;
        }
        let (transit, service) = (&router.transit, &ctx.service);
        let waited = transit.wait_for_forwarder(service, &ctx.regions, wait_until);
        if !waited.await {
            return None;
        }
        ctx.asked.clear();
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
        is_probe: false,
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

/// Returns the versions at which a request may begin a stream that its caller may continue; none if it begins no such
/// stream.
fn recorded_versions(ctx: &RequestContext) -> Option<RecordedVersions> {
    ctx.begins_resumable_stream()
        .then(|| ctx.router.origins.recorded_versions(&ctx.service))
}

/// Returns what the request requires of an upstream.
fn criteria<'a>(
    ctx: &'a RequestContext,
    recorded_versions: Option<&'a [String]>,
) -> Result<Criteria<'a>, ChooseError> {
    let version = match &ctx.stream_version {
        StreamVersion::Any => None,
        StreamVersion::Only(version) => Some(version.as_str()),
        StreamVersion::Unknown => return Err(ChooseError::Unknown),
    };
    Ok(Criteria {
        service: &ctx.service,
        version,
        recorded_versions,
        zone: &ctx.router.zone,
        segments: &ctx.info.prompt_segments,
        prompt_tokens: ctx.info.prompt_tokens,
        output_tokens: ctx.expected_output_tokens,
        kv_capacity_tokens: ctx.kv_capacity_tokens(),
        regions: &ctx.regions,
        tried: &ctx.tried,
        priority: ctx.priority,
        on_time_until: ctx.on_time_until(),
        deadline: ctx.deadline,
        retryable: ctx.is_retryable(),
        may_check: ctx.attempts + 1 < ctx.route.max_attempts,
        random: rand::random(),
    })
}

/// Asks about the engines that a request may be sent to, without waiting for the answers; returns none if
/// these have no accounts.
pub(crate) fn ask(ctx: &RequestContext) -> Option<Asking> {
    let recorded = recorded_versions(ctx);
    let criteria = criteria(ctx, recorded.as_deref()).ok()?;
    accounts::ask(ctx, || {
        let pool = ctx.router.pool.lock().expect("lock not poisoned");
        pool.inquiry(ctx.router.clock.now(), &criteria)
    })
}

/// Waits for the answers to the request's questions. New ones are sent only if these are old, however often
/// an upstream is chosen meanwhile.
async fn consult(ctx: &mut RequestContext) -> Option<Consultation> {
    let now = ctx.router.clock.now();
    if let Some(last) = ctx.consultation.as_ref().filter(|c| c.is_fresh(now)) {
        return Some(last.clone());
    }
    let early = ctx.questions.take().filter(|a| a.is_fresh(now));
    let asking = early.or_else(|| ask(ctx))?;
    let consultation = asking.consult().await;
    ctx.consultation = Some(consultation.clone());
    Some(consultation)
}

fn choose(ctx: &RequestContext, known: Option<&[KnownEngine]>) -> Result<Choice, ChooseError> {
    let now = ctx.router.clock.now();
    let recorded = recorded_versions(ctx);
    let criteria = criteria(ctx, recorded.as_deref())?;
    let mut pool = ctx.router.pool.lock().expect("lock not poisoned");
    let choice = pool.choose_known(now, &criteria, known)?;
    let metrics = &ctx.router.metrics;
    metrics
        .uncached_prompt_tokens
        .inc_by(u64::from(choice.uncached_tokens));
    metrics
        .prompt_tokens
        .inc_by(u64::from(ctx.info.prompt_tokens));
    Ok(choice)
}
