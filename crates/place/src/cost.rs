//! What a request would cost at an upstream: the time that it would take there, and what it costs others.

use crate::choice::Criteria;
use crate::latency::{Usual, CALL_MS_FIRST, FIRST_MS};
use crate::upstream::{Upstream, UpstreamKey};

/// A token is read against all tokens before it: with so many of them before it, it takes twice as long.
const CONTEXT_DOUBLES: f64 = 24_000.0;
/// What a request to another availability zone is taken to cost besides, in milliseconds: the way
/// there and back, and the bytes that are paid for.
const ZONE_MS: f64 = 4.0;
/// What reading the shared beginning of a prompt once more costs besides its time, as a part of that
/// time: the engine's other requests wait for it, and it pushes other beginnings out.
const AGAIN_PART: f64 = 0.75;
/// Part of that at the engine that is next in turn for the beginning: when the first one is busy, all
/// instances read it anew there, rather than each at another one.
const NEXT_PART: f64 = 0.5;
/// What a request is taken to cost at an upstream at which all requests fail, in milliseconds.
const FAILING_MS: f64 = 2_000.0;
/// Percentage of the slots above which an upstream counts as full: reports are late, and other
/// instances fill the rest meanwhile.
const FULL_PCT: u32 = 90;
/// Plain services queue a few requests: percentage of the slots that may wait there.
const QUEUE_PCT: u32 = 150;

/// An upstream that may take a request, with what that would cost.
pub(crate) struct Rated {
    pub(crate) key: UpstreamKey,
    pub(crate) unread: u32,
    pub(crate) work: f64,
    pub(crate) expect_ms: f64,
    pub(crate) cost_ms: f64,
}

pub(crate) fn may_use(up: &Upstream, now: u64, want: &Criteria<'_>) -> bool {
    if up.health.is_ejected(now) {
        return false;
    }
    !up.health.is_on_probation() || (up.inflight == 0 && want.retryable)
}

pub(crate) fn is_full(up: &Upstream, now: u64, want: &Criteria<'_>) -> bool {
    let pct = if want.prompt_tokens > 0 {
        FULL_PCT
    } else {
        QUEUE_PCT
    };
    up.occupancy(now) * 100 >= up.slots() * pct
}

/// Where all instances send prompts with the same beginning.
///
/// Each instance sees a part of the requests only. Were each to go by what it sent itself, the same
/// beginning would be read by as many engines as there are instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Homes {
    first: Option<UpstreamKey>,
    next: Option<UpstreamKey>,
}

/// Whose turn it is to read a beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    First,
    Next,
    Later,
}

impl Homes {
    pub(crate) fn turn(&self, key: UpstreamKey) -> Turn {
        if self.first == Some(key) {
            Turn::First
        } else if self.next == Some(key) {
            Turn::Next
        } else {
            Turn::Later
        }
    }
}

pub(crate) fn homes(want: &Criteria<'_>, from: &[(UpstreamKey, &Upstream)]) -> Homes {
    let Some(shared) = want.segments.len().checked_sub(2) else {
        return Homes::default();
    };
    let what = want.segments[shared].id;
    let rank = |(_, up): &&(UpstreamKey, &Upstream)| up.rank(what);
    let first = from.iter().max_by_key(rank).map(|(key, _)| *key);
    let others = from.iter().filter(|(key, _)| Some(*key) != first);
    let next = others.max_by_key(rank).map(|(key, _)| *key);
    Homes { first, next }
}

pub(crate) fn rate_one(
    key: UpstreamKey,
    up: &Upstream,
    now: u64,
    want: &Criteria<'_>,
    turn: Turn,
    usual: Usual,
) -> Rated {
    let slowness = up.slowness(now);
    let (unread, work) = if want.prompt_tokens > 0 {
        let unread = unread(up, now, want, turn == Turn::First);
        (unread, work(unread, want.prompt_tokens))
    } else {
        (0, 0.0)
    };
    let own = want
        .segments
        .last()
        .map_or(want.prompt_tokens, |p| p.tokens);
    let again = f64::from(unread.saturating_sub(own)) * usual.read_ms;
    let again = match turn {
        Turn::First => 0.0,
        Turn::Next => again * AGAIN_PART * NEXT_PART,
        Turn::Later => again * AGAIN_PART,
    };
    let expect_ms = if want.prompt_tokens > 0 {
        let own = (FIRST_MS + work * usual.read_ms) * slowness;
        let waits = (up.pending_prefill_ms(now) * slowness).max(up.queue_delay_ms(now));
        own + waits
    } else {
        let ahead = up.occupancy(now).saturating_sub(up.slots() - 1);
        let rounds = 1.0 + f64::from(ahead) / f64::from(up.slots());
        usual.call_ms * slowness * rounds
    };
    let taken = f64::from(up.occupancy(now)) / f64::from(up.slots());
    let away = if up.spec.zone == want.zone {
        0.0
    } else {
        ZONE_MS
    };
    let failing = up.health.failure_rate(now) * FAILING_MS;
    // Full upstreams answer more slowly; among equals this also spreads the requests.
    let crowd = taken * expect_ms.min(CALL_MS_FIRST);
    Rated {
        key,
        unread,
        work,
        expect_ms,
        cost_ms: expect_ms + again + away + failing + crowd,
    }
}

/// Returns the tokens of a prompt that an upstream will have to read, as far as known.
fn unread(up: &Upstream, now: u64, want: &Criteria<'_>, home: bool) -> u32 {
    let shared = want.segments.len().saturating_sub(1);
    let mut kept = 0;
    for (i, part) in want.segments.iter().enumerate() {
        let presumed = home && !up.reborn && i < shared;
        let has = presumed || up.known.has(now, part.id);
        if !has {
            break;
        }
        kept += part.tokens;
    }
    // The last token is read in any case.
    want.prompt_tokens.saturating_sub(kept).max(1)
}

/// Returns the work of reading the last tokens of a prompt, in tokens that stand at its beginning.
fn work(unread: u32, prompt: u32) -> f64 {
    let before = f64::from(prompt) - f64::from(unread) / 2.0;
    f64::from(unread) * (1.0 + before / CONTEXT_DOUBLES)
}
