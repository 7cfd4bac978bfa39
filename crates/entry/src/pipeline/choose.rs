//! Admission to, and choice of, an upstream.

use budget::msg::AttemptRef;
use err::{Error, Kind};
use rand::random;
use route::pool::{Choice, ChoiceReason, Criteria};
use route::upstream;

use super::context::RequestContext;
use crate::admission;

/// `Retry-After` when no upstream serves the model or service, in seconds.
const RETRY_AFTER_SECS: u32 = 2;

/// Waits until an upstream has capacity, chooses one and counts the request as in flight there.
///
/// Only the first attempt waits: later ones belong to a request that was admitted already.
///
/// # Errors
///
/// Returns `Overloaded`, `DeadlinePassed` or `NoUpstream`; this attempt did not run.
pub async fn choose(
    cx: &mut RequestContext,
    kind: upstream::UpstreamKind,
    serves: &str,
    prefix: Option<u64>,
) -> Result<(), Error> {
    let shared = cx.shared.clone();
    let is_served = {
        let pool = shared.pool.lock().expect("lock not poisoned");
        pool.is_served(kind, serves)
    };
    if !is_served {
        return Err(no_upstream(serves));
    }
    if cx.attempts == 0 {
        admission::admit(&shared, kind, serves, cx.policy.priority, cx.deadline).await?;
    }
    let now = shared.clock.now();
    let mut pool = shared.pool.lock().expect("lock not poisoned");
    let choice = pool.choose(
        now,
        &Criteria {
            kind,
            target: serves,
            version: cx.active.config.versions.get(serves).map(String::as_str),
            prefix,
            zone: &shared.settings.zone,
            tried: &cx.tried,
            random: random(),
        },
    );
    let choice = choice.ok_or_else(|| no_upstream(serves))?;
    pool.get_mut(choice.key).record_start();
    drop(pool);
    cx.tried.push(choice.key);
    cx.new_attempt_id();
    cx.record_step(format!("chose {} ({:?})", choice.id, choice.reason));
    cx.upstream = Some(choice);
    Ok(())
}

fn no_upstream(serves: &str) -> Error {
    let message = format!("no upstream serves {serves} at the moment");
    Error::new(Kind::NoUpstream, message).retry_after(RETRY_AFTER_SECS)
}

/// Selects the upstream at which the request is already running.
///
/// # Errors
///
/// Returns `OutcomeUnknown` if this instance does not know the upstream.
pub fn join_attempt(cx: &mut RequestContext, attempt: &AttemptRef) -> Result<(), Error> {
    let mut pool = cx.shared.pool.lock().expect("lock not poisoned");
    let key = pool.find(&attempt.upstream).ok_or_else(|| {
        let message = format!(
            "the request is running at upstream {}, which is not listed",
            attempt.upstream
        );
        Error::new(Kind::OutcomeUnknown, message)
    })?;
    let upstream = pool.get_mut(key);
    upstream.record_start();
    let choice = Choice {
        key,
        id: upstream.spec.id.clone(),
        url: upstream.spec.url.clone(),
        reason: ChoiceReason::Joined,
    };
    drop(pool);
    cx.attempt_id = attempt.id.clone();
    cx.upstream = Some(choice);
    Ok(())
}

/// Records the end of the attempt at the chosen upstream, if there is one.
pub fn finish_attempt(
    cx: &mut RequestContext,
    kind: upstream::UpstreamKind,
    serves: &str,
    ok: bool,
) {
    let Some(choice) = cx.upstream.take() else {
        return;
    };
    let now = cx.shared.clock.now();
    {
        let mut pool = cx.shared.pool.lock().expect("lock not poisoned");
        pool.get_mut(choice.key).record_end(now, ok, random());
    }
    admission::record_finished(&cx.shared, kind, serves);
}
