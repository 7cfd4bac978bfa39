//! Why attempts fail, whether a request may be sent again after that, and its refusal otherwise.

use err::{Kind, Ran};
use place::{ChooseError, ServiceUsage};
use waiting::Reason;

use crate::refusal::Refusal;
use crate::request_context::{RequestContext, StreamVersion};
use crate::wait::NotAccepted;

/// Retry time if no upstream is available, in milliseconds: an unreachable upstream is ejected for
/// a similar time at first.
const RETRY_NO_UPSTREAM_MS: u64 = 400;
/// Retry time if another upstream uses the address of the chosen one, in milliseconds: the next choice
/// is another one.
const RETRY_MISDIRECTED_MS: u64 = 50;
/// Minimum retry time of a request that does not wait, in milliseconds: the expected time is an estimate, and
/// a request that is refused twice costs its caller most.
const MIN_RETRY_QUEUE_MS: u64 = 300;
/// Retry time of a request that waited when the instance began to stop, in milliseconds: another instance can
/// answer the retry.
const RETRY_STOPPING_MS: u64 = 50;
/// Retry time if all upstreams that the request may reach are in evacuated zones, or none is in an
/// allowed region, in milliseconds: only operators change that.
const RETRY_EVACUATED_MS: u64 = 4_000;

/// Why an attempt failed. Log lines print the names of the variants.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// No upstream was chosen.
    Denied(ChooseError),
    /// No upstream was chosen, and the request does not wait, or has waited in vain.
    NotAccepted(NotAccepted),
    /// The request did not run, and will not.
    NotRun(String),
    /// Another upstream uses the address of the chosen one; the request did not run, and will not.
    Misdirected(String),
    /// The request may have run. The upstream closed the connection before any part of a response
    /// was received, so nobody can have received any of it.
    Unanswered(String),
    /// The request may have run.
    Unknown(String),
    /// The request, or a segment of its prompt, is refused by now because it crashes upstreams; it was
    /// not sent.
    Suspect(Refusal),
    /// The request has waited, and is refused by the configuration in force; it was not sent.
    NotAdmitted(Refusal),
    /// The deadline passed before the request was sent.
    Late,
    /// The paths to the upstreams are lost, and no other instance forwards the request; it did not run.
    NoPath,
    /// Another instance was asked to forward the request and sent nothing, for the given reason; the
    /// attempt does not count.
    NotForwarded(&'static str),
}

impl AttemptError {
    fn refusal(self, ctx: &RequestContext) -> Refusal {
        let remaining_ms = ctx.remaining_ms();
        match self {
            AttemptError::Denied(
                ChooseError::Busy { retry_ms } | ChooseError::TooLate { retry_ms },
            ) => {
                let message = format!("the upstreams of {} are busy: {}", ctx.service, usage(ctx));
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, remaining_ms)
            }
            AttemptError::Denied(ChooseError::TooLarge) => {
                let message = format!(
                    "the prompt of {} tokens leaves no room for a response in an engine of {}, which holds {}",
                    ctx.info.prompt_tokens,
                    ctx.service,
                    ctx.kv_capacity_tokens()
                );
                Refusal::new(Kind::TooLarge, message)
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
            AttemptError::Denied(ChooseError::Unknown)
                if ctx.stream_version != StreamVersion::Any =>
            {
                let message = format!(
                    "no upstream of {} has the software version that began the stream: {:?}",
                    ctx.service, ctx.stream_version
                );
                Refusal::new(Kind::VersionUnavailable, message)
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
            AttemptError::NotAccepted(why) => not_accepted(why, ctx),
            AttemptError::NotRun(why) => {
                Refusal::new(Kind::NoUpstream, why).retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::Misdirected(why) => {
                Refusal::new(Kind::NoUpstream, why).retry_within(RETRY_MISDIRECTED_MS, remaining_ms)
            }
            AttemptError::NotForwarded(why) => {
                let message = format!("another instance did not forward the request: {why}");
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::NoPath => {
                let message = format!(
                    "this instance has no path to upstreams of {}, and {} others forward nothing",
                    ctx.service,
                    ctx.asked.len()
                );
                Refusal::new(Kind::NoUpstream, message)
                    .retry_within(RETRY_NO_UPSTREAM_MS, remaining_ms)
            }
            AttemptError::Suspect(refusal) | AttemptError::NotAdmitted(refusal) => refusal,
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

/// Returns the refusal of a request that no upstream accepted in time.
fn not_accepted(why: NotAccepted, ctx: &RequestContext) -> Refusal {
    let NotAccepted {
        denied,
        refused,
        waited_ms,
    } = why;
    let remaining_ms = ctx.remaining_ms();
    let queue = format!(
        "queue={:?} length={} position={} expected_ms={} waited_ms={waited_ms}",
        refused.reason, refused.length, refused.position, refused.expected_ms
    );
    if refused.reason == Reason::Stopping {
        let message = format!("this instance is shutting down: {queue}");
        let refusal = Refusal::new(Kind::Draining, message);
        return refusal.retry_within(RETRY_STOPPING_MS, remaining_ms);
    }
    let error = AttemptError::Denied(denied).refusal(ctx).error;
    let message = format!("{}; {queue}", error.message);
    let retry_ms = refused.expected_ms.max(MIN_RETRY_QUEUE_MS);
    Refusal::new(error.kind, message).retry_within(retry_ms, remaining_ms)
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
    pub(crate) fn try_retry(&mut self, ctx: &mut RequestContext, error: &AttemptError) -> bool {
        match error {
            AttemptError::Denied(_)
            | AttemptError::NotAccepted(_)
            | AttemptError::Suspect(_)
            | AttemptError::NotAdmitted(_)
            | AttemptError::Late
            | AttemptError::NoPath
            | AttemptError::NotForwarded(_) => false,
            AttemptError::NotRun(_) | AttemptError::Misdirected(_) => ctx.try_acquire_retry(),
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
