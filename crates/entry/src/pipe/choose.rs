//! Waits for room, then chooses an upstream.

use budget::msg::AttemptRef;
use err::{Error, Kind};
use rand::random;
use route::pool::{Choice, ChoiceReason, Criteria};
use route::upstream;

use super::cx::Cx;
use crate::admission;

/// When to come back while no upstream serves something, in seconds.
const RETRY_SECS: u32 = 2;

/// Waits until an upstream has room and chooses one, which then counts one request more.
///
/// # Errors
///
/// Returns `Overloaded`, `DeadlinePassed` or `NoUpstream`; nothing has run then.
pub async fn choose(
    cx: &mut Cx,
    kind: upstream::UpstreamKind,
    serves: &str,
    prefix: Option<u64>,
) -> Result<(), Error> {
    let shared = cx.shared.clone();
    let known = {
        let pool = shared.pool.lock().expect("no panic inside");
        pool.is_served(kind, serves)
    };
    if !known {
        return Err(none(serves));
    }
    if cx.attempts == 0 {
        admission::admit(&shared, kind, serves, cx.policy.priority, cx.deadline).await?;
    }
    let now = shared.clock.now();
    let mut pool = shared.pool.lock().expect("no panic inside");
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
    let choice = choice.ok_or_else(|| none(serves))?;
    pool.get_mut(choice.key).record_start();
    drop(pool);
    cx.tried.push(choice.key);
    cx.name_run();
    cx.step(format!("chose {} ({:?})", choice.id, choice.reason));
    cx.upstream = Some(choice);
    Ok(())
}

fn none(serves: &str) -> Error {
    let message = format!("no upstream serves {serves} now");
    Error::new(Kind::NoUpstream, message).retry_after(RETRY_SECS)
}

/// Takes the upstream where the request runs already.
///
/// # Errors
///
/// Returns `OutcomeUnknown` when this instance does not know the upstream.
pub fn join(cx: &mut Cx, at: &AttemptRef) -> Result<(), Error> {
    let mut pool = cx.shared.pool.lock().expect("no panic inside");
    let key = pool.find(&at.upstream).ok_or_else(|| {
        let message = format!("it runs at {}, which is not listed", at.upstream);
        Error::new(Kind::OutcomeUnknown, message)
    })?;
    let up = pool.get_mut(key);
    up.record_start();
    let choice = Choice {
        key,
        id: up.spec.id.clone(),
        url: up.spec.url.clone(),
        reason: ChoiceReason::Joined,
    };
    drop(pool);
    cx.run = at.id.clone();
    cx.upstream = Some(choice);
    Ok(())
}

/// Counts the end of an attempt at the chosen upstream.
pub fn done(cx: &mut Cx, kind: upstream::UpstreamKind, serves: &str, ok: bool) {
    let Some(choice) = cx.upstream.take() else {
        return;
    };
    let now = cx.shared.clock.now();
    {
        let mut pool = cx.shared.pool.lock().expect("no panic inside");
        pool.get_mut(choice.key).record_end(now, ok, random());
    }
    admission::finished(&cx.shared, kind, serves);
}
