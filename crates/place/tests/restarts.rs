//! Upstreams that restart under the same name.

mod common;

use place::{
    Choice, Criteria, EntryChange, InstanceLoad, Load, Outcome, Pool, PromptSegment, Spec,
};
use std::collections::HashMap;

const SEGMENTS: [PromptSegment; 3] = [
    PromptSegment {
        id: 1,
        tokens: 2_000,
    },
    PromptSegment {
        id: 2,
        tokens: 6_000,
    },
    PromptSegment { id: 3, tokens: 500 },
];

fn spec(started_at_ms: u64) -> Spec {
    Spec {
        started_at_ms: Some(started_at_ms),
        slots: 8,
        ..common::spec("e", "z")
    }
}

fn choose(pool: &mut Pool, now: u64) -> Choice {
    let criteria = Criteria {
        segments: &SEGMENTS,
        prompt_tokens: 8_500,
        deadline: now + 10_000,
        random: 1,
        ..common::call("z")
    };
    pool.choose(now, &criteria).expect("one upstream")
}

/// Guards against prompts that wait at an engine which is wrongly thought to have cached their prefixes, and against
/// requests that are refused for load that no longer exists. Both happen if an engine crashes with requests in
/// flight, is listed again under its name, and keeps the state of the earlier incarnation.
#[test]
fn nothing_known_of_an_earlier_incarnation_holds() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(100));
    let first = choose(&mut pool, 0);
    let known = choose(&mut pool, 10);
    assert!(
        known.uncached_tokens <= 500,
        "the prefixes are cached: {}",
        known.uncached_tokens
    );
    pool.set_reported_load(
        20,
        known.key,
        Load {
            running: 6,
            waiting: 9,
            slots: 8,
            work_time_pct: None,
        },
    );
    let loads = HashMap::from([(
        pool.listed().next().expect("listed").incarnation_hash(),
        InstanceLoad {
            pending_prefill_ms: 9_000.0,
            inflight: 5,
        },
    )]);
    pool.set_peer_loads(20, 77, &loads);
    let ended = "e@100".to_string();
    assert_eq!(pool.upsert(0, spec(200)), EntryChange::Restarted { ended });
    let up = pool.listed().next().expect("the later incarnation");
    assert_eq!((up.engine.inflight(), up.occupancy(30)), (0, 0));
    // Other instances' late reports about the earlier incarnation do not apply to the later one.
    pool.set_peer_loads(40, 78, &loads);
    assert_eq!(pool.listed().next().expect("listed").occupancy(40), 0);
    let again = choose(&mut pool, 50);
    assert!(
        again.uncached_tokens > 8_000,
        "nothing is cached: {}",
        again.uncached_tokens
    );
    // The ends of the earlier incarnation's requests and its late report have no effect.
    pool.set_reported_load(
        60,
        first.key,
        Load {
            running: 8,
            waiting: 8,
            slots: 8,
            work_time_pct: None,
        },
    );
    for choice in [&first, &known] {
        pool.end(60, choice.key, choice.attempt, Outcome::Unresponsive);
    }
    let up = pool.listed().next().expect("listed");
    assert_eq!(up.engine.inflight(), 1);
    assert!(!up.health.is_ejected(61));
}

/// Guards against a restarted engine that gets no requests. It happens if its earlier incarnation was leaving, other
/// instances that have not read its new entry yet report that again, and the reports name the upstream instead of
/// its incarnation.
#[test]
fn only_the_incarnation_that_is_leaving_is_excluded() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(100));
    assert!(pool.mark_leaving("e@100"));
    pool.upsert(0, spec(200));
    assert!(!pool.mark_leaving("e@100"), "the incarnation has ended");
    assert!(pool.listed().all(|u| !u.leaving));
    assert!(pool.mark_leaving("e@200"));
}

/// Guards against an upstream that gets requests until it exits because its entries are ignored: it has started again
/// after its time of day stepped back, and the entry with the later start time counts as the newest one.
#[test]
fn the_revision_decides_which_incarnation_is_the_later_one() {
    let entry = |started_at_ms, revision, leaving| Spec {
        revision,
        leaving,
        ..spec(started_at_ms)
    };
    let mut pool = Pool::default();
    pool.upsert(0, entry(200, 10, false));
    let ended = "e@200".to_string();
    let restarted = pool.upsert(0, entry(100, 11, false));
    assert_eq!(restarted, EntryChange::Restarted { ended });
    assert_eq!(
        pool.upsert(0, entry(200, 10, false)),
        EntryChange::Unchanged,
        "an older entry"
    );
    assert_eq!(pool.upsert(0, entry(100, 12, true)), EntryChange::Leaving);
    assert!(pool
        .listed()
        .all(|u| u.leaving && u.spec.started_at_ms == Some(100)));
}

/// Guards against an earlier incarnation that is listed again. It happens if a list that is seconds old arrives
/// after the watch event with the later incarnation, and the last entry to arrive counts as the newest one.
#[test]
fn an_older_entry_changes_nothing() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(200));
    assert_eq!(pool.upsert(0, spec(100)), EntryChange::Unchanged);
    assert_eq!(
        pool.listed().next().expect("listed").spec.started_at_ms,
        Some(200)
    );
    // An entry without a start time belongs to the known incarnation.
    let without_start = Spec {
        started_at_ms: None,
        ..spec(0)
    };
    assert_eq!(pool.upsert(0, without_start), EntryChange::Unchanged);
    assert_eq!(
        pool.listed().next().expect("listed").spec.started_at_ms,
        Some(200)
    );
}
