//! Waiting for an upstream: a request that none accepts now waits for its turn, if one can be expected to
//! accept it in time.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use place::ChooseError;
use waiting::{Class, Kind, Outlook, Refused, Request};

use crate::attempt_error::AttemptError;
use crate::connect::{connect_now, Connected};
use crate::request_context::{RequestContext, StreamVersion};
use crate::wait_queues::Ticket;

/// Time for which requests of a class try no more at the regular checks after other instances were asked in vain
/// to forward one, in milliseconds: each try takes several calls.
const ASK_PAUSE_MS: u64 = 150;

/// Why a request was not sent although upstreams are listed that may accept it later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotAccepted {
    /// Why no upstream accepted it.
    pub(crate) denied: ChooseError,
    /// Why it does not wait, or no longer.
    pub(crate) refused: Refused,
    /// How long it has waited, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// Chooses upstreams until a connection over which the request reaches one is open, and waits for its turn
/// while they accept no request.
pub(crate) async fn connect(ctx: &mut RequestContext) -> Result<Connected, AttemptError> {
    // A trial was granted for the present: after a wait, the request may have crashed another upstream.
    if !ctx.may_wait || ctx.is_trial {
        return connect_now(ctx).await;
    }
    // Upstreams that are tried from here on may accept the request after it has waited.
    let tried = ctx.tried.len();
    let request = request(ctx);
    let mut ticket: Option<Ticket> = None;
    let mut began_at = None;
    // A request that waits holds no tokens: others of its customer may be able to run meanwhile.
    let mut gave_tokens_back = false;
    let result = loop {
        let (result, outlook) = match ticket {
            // A new request lets those that wait go first.
            None if ctx.router.wait_queues.is_blocked(&ctx.service, &request) => {
                (Err(blocked()), None)
            }
            _ => {
                let result = connect_now(ctx).await;
                let outlook = outlook(ctx, &result);
                (result, outlook)
            }
        };
        let denied = match result {
            Err(AttemptError::Denied(error)) if may_pass(error) => error,
            Ok(connected) if gave_tokens_back => match reserve_again(ctx, connected).await {
                Ok(Some(connected)) => break Ok(connected),
                Ok(None) => {
                    gave_tokens_back = false;
                    ctx.tried.truncate(tried);
                    continue;
                }
                Err(error) => break Err(error),
            },
            result => break result,
        };
        if ctx.attempts == 0 {
            gave_tokens_back |= ctx.reservation.take().is_some();
        }
        if !ctx.asked.is_empty() {
            let queues = &ctx.router.wait_queues;
            queues.pause(&ctx.service, request.class, ASK_PAUSE_MS);
        }
        let began_at = *began_at.get_or_insert(ctx.router.clock.now());
        match wait(ctx, request, ticket, outlook).await {
            Ok(turn) => {
                ticket = Some(turn);
                let router = Arc::clone(&ctx.router);
                if let Err(refusal) = router.readmit(ctx) {
                    break Err(AttemptError::NotAdmitted(refusal));
                }
            }
            Err(refused) => {
                let waited_ms = ctx.router.clock.now() - began_at;
                ticket = None;
                break Err(AttemptError::NotAccepted(NotAccepted {
                    denied,
                    refused,
                    waited_ms,
                }));
            }
        }
        ctx.tried.truncate(tried);
        ctx.asked.clear();
    };
    if let Some(began_at) = began_at {
        record_wait(ctx, began_at);
    }
    if result.is_ok() {
        match ticket {
            Some(ticket) => ticket.sent(),
            None => {
                let queues = &ctx.router.wait_queues;
                queues.record_start(&ctx.service, ctx.priority, ctx.waiting_as);
            }
        }
    }
    result
}

/// Reserves the tokens of a request that has waited; returns its connection if the upstream still accepts the
/// request.
async fn reserve_again(
    ctx: &mut RequestContext,
    connected: Connected,
) -> Result<Option<Connected>, AttemptError> {
    let router = Arc::clone(&ctx.router);
    if let Some(active) = router.config.active() {
        match router.reserve_tokens(&active, ctx).await {
            Ok(reservation) => ctx.reservation = reservation,
            Err(refusal) => {
                connected.release(ctx);
                return Err(AttemptError::NotAdmitted(refusal));
            }
        }
    }
    let may_send = connected.guard.may_send();
    Ok(may_send.then_some(connected))
}

/// Waits until it is the request's turn.
async fn wait(
    ctx: &RequestContext,
    request: Request,
    ticket: Option<Ticket>,
    outlook: Option<Outlook>,
) -> Result<Ticket, Refused> {
    let mut ticket = match ticket {
        Some(mut ticket) => {
            ticket.resume(outlook);
            ticket
        }
        None => ctx
            .router
            .wait_queues
            .join(&ctx.service, request, outlook)?,
    };
    ticket.wait_for_turn().await?;
    Ok(ticket)
}

/// Returns the error of a request that lets others go first.
fn blocked() -> AttemptError {
    // The retry time is that of the queue.
    AttemptError::Denied(ChooseError::Busy { retry_ms: 0 })
}

/// Returns whether upstreams that did not accept a request may do so later.
fn may_pass(error: ChooseError) -> bool {
    match error {
        ChooseError::Busy { .. } | ChooseError::Limited { .. } | ChooseError::Cold { .. } => true,
        // Later, the response would come later still.
        ChooseError::TooLate { .. }
        | ChooseError::TooLarge
        | ChooseError::Unknown
        | ChooseError::NoneLeft
        | ChooseError::Resting { .. }
        | ChooseError::Evacuated
        | ChooseError::Outside => false,
    }
}

/// Returns when upstreams that did not accept a request are expected to accept one.
fn outlook(ctx: &RequestContext, result: &Result<Connected, AttemptError>) -> Option<Outlook> {
    match result {
        Err(AttemptError::Denied(ChooseError::Busy { .. })) => {
            let now = ctx.router.clock.now();
            let pool = ctx.router.pool.lock().expect("lock not poisoned");
            let usage = pool.service_usage(now, &ctx.service);
            drop(pool);
            Some(Outlook::Busy {
                slots: usage.usable_slots(),
                instances: ctx.router.fleet.instance_count() as u32,
            })
        }
        Err(AttemptError::Denied(ChooseError::Limited { retry_ms })) => Some(Outlook::Limited {
            retry_ms: *retry_ms,
        }),
        Err(AttemptError::Denied(ChooseError::Cold { retry_ms })) => Some(Outlook::Cold {
            retry_ms: *retry_ms,
        }),
        _ => None,
    }
}

fn request(ctx: &RequestContext) -> Request {
    Request {
        class: class(ctx),
        kind: kind(ctx),
        priority: ctx.priority,
        customer: ctx.waiting_as,
        deadline: ctx.deadline,
        bytes: ctx.body.len(),
        default_took_ms: ctx.route.latency_objective_ms,
    }
}

/// Returns the class of a request: others with the same one may be sent to the same upstreams.
fn class(ctx: &RequestContext) -> Class {
    let mut hasher = DefaultHasher::new();
    match &ctx.stream_version {
        StreamVersion::Only(version) => version.hash(&mut hasher),
        StreamVersion::Any | StreamVersion::Unknown => {}
    }
    ctx.regions.hash(&mut hasher);
    ctx.tried.hash(&mut hasher);
    hasher.finish()
}

/// Returns the kind of a request: whether an upstream accepts it also depends on its size, and on whether it may
/// run again.
fn kind(ctx: &RequestContext) -> Kind {
    let mut hasher = DefaultHasher::new();
    class(ctx).hash(&mut hasher);
    ctx.info.prompt_tokens.checked_ilog2().hash(&mut hasher);
    ctx.is_retryable().hash(&mut hasher);
    hasher.finish()
}

fn record_wait(ctx: &mut RequestContext, began_at: u64) {
    let waited_ms = ctx.router.clock.now() - began_at;
    // One that was refused at its arrival has not waited.
    if waited_ms > 0 {
        ctx.timing.waited_ms += waited_ms;
        ctx.router.metrics.observe_wait(ctx.priority, waited_ms);
    }
}
