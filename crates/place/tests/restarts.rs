//! Upstreams that start again under the name that they had.

mod common;

use place::{
    Choice, Criteria, EntryChange, InstanceLoad, Load, Outcome, Pool, PromptSegment, Spec,
};
use std::collections::HashMap;

const PARTS: [PromptSegment; 3] = [
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
    let want = Criteria {
        segments: &PARTS,
        prompt_tokens: 8_500,
        deadline: now + 10_000,
        random: 1,
        ..common::call("z")
    };
    pool.choose(now, &want).expect("one upstream")
}

/// Symptom: prompts wait at an engine that was taken to have read their beginnings, and requests are refused
/// for load that nobody has there. Sequence: an engine crashes with requests under way and is listed again
/// under its name. Cause: the entry was taken for the earlier incarnation's, which kept what was learnt of it.
#[test]
fn nothing_of_an_earlier_life_holds() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(100));
    let first = choose(&mut pool, 0);
    let known = choose(&mut pool, 10);
    assert!(
        known.uncached_tokens <= 500,
        "it has them now: {}",
        known.uncached_tokens
    );
    pool.set_reported_load(
        20,
        known.key,
        Load {
            running: 6,
            waiting: 9,
            slots: 8,
        },
    );
    let told = HashMap::from([(
        pool.listed().next().expect("listed").incarnation_hash(),
        InstanceLoad {
            pending_prefill_ms: 9_000.0,
            inflight: 5,
        },
    )]);
    pool.set_peer_loads(20, 77, &told);
    let ended = "e@100".to_string();
    assert_eq!(pool.upsert(0, spec(200)), EntryChange::Restarted { ended });
    let up = pool.listed().next().expect("the later incarnation");
    assert_eq!((up.inflight, up.occupancy(30)), (0, 0));
    // What others still say of the earlier incarnation does not concern the later one.
    pool.set_peer_loads(40, 78, &told);
    assert_eq!(pool.listed().next().expect("listed").occupancy(40), 0);
    let again = choose(&mut pool, 50);
    assert!(
        again.uncached_tokens > 8_000,
        "it has nothing: {}",
        again.uncached_tokens
    );
    // The ends of the earlier incarnation's requests, and its late report, reach nobody.
    pool.set_reported_load(
        60,
        first.key,
        Load {
            running: 8,
            waiting: 8,
            slots: 8,
        },
    );
    for choice in [&first, &known] {
        pool.end(60, choice.key, choice.attempt, Outcome::Unresponsive);
    }
    let up = pool.listed().next().expect("listed");
    assert_eq!(up.inflight, 1);
    assert!(!up.health.is_ejected(61));
}

/// Symptom: an engine that has started again gets no work. Sequence: it was leaving; other instances, which
/// have not read its new entry, say so again. Cause: they named the upstream, not its incarnation.
#[test]
fn a_leaving_ends_with_its_life() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(100));
    assert!(pool.mark_leaving("e@100"));
    pool.upsert(0, spec(200));
    assert!(!pool.mark_leaving("e@100"), "it is gone");
    assert!(pool.listed().all(|u| !u.leaving));
    assert!(pool.mark_leaving("e@200"));
}

/// Symptom: an engine's earlier incarnation is listed again. Sequence: a list that is seconds old comes after the
/// watch that told of the later incarnation. Cause: the last entry that came was taken for the newest.
#[test]
fn an_older_entry_changes_nothing() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(200));
    assert_eq!(pool.upsert(0, spec(100)), EntryChange::Unchanged);
    assert_eq!(
        pool.listed().next().expect("listed").spec.started_at_ms,
        Some(200)
    );
    // One that does not say is of the incarnation that is known.
    let silent = Spec {
        started_at_ms: None,
        ..spec(0)
    };
    assert_eq!(pool.upsert(0, silent), EntryChange::Unchanged);
    assert_eq!(
        pool.listed().next().expect("listed").spec.started_at_ms,
        Some(200)
    );
}
