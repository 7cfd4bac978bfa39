//! Which upstream serves a request, under the loads that the choice answers.

mod common;

use std::collections::{BTreeMap, HashMap};

use place::{
    Choice, ChooseError, Criteria, EntryChange, InstanceLoad, Load, Outcome, Pool, PromptSegment,
    Spec,
};

use crate::common::call;

const ENGINES: u32 = 18;

fn spec(i: u32, service: &str) -> Spec {
    Spec {
        service: service.to_string(),
        ..common::spec(&format!("i{i}"), &format!("z{}", i % 3))
    }
}

fn pool(n: u32, service: &str) -> Pool {
    let mut pool = Pool::default();
    (0..n).for_each(|i| assert_eq!(pool.upsert(0, spec(i, service)), EntryChange::New));
    pool
}

fn part(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

fn chat(parts: &[PromptSegment]) -> Criteria<'_> {
    Criteria {
        segments: parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        ..call("z0")
    }
}

/// Answers a request after the time that was expected.
fn serve(pool: &mut Pool, now: u64, choice: &Choice) {
    let done = now + choice.expected_ms as u64;
    pool.record_latency(done, choice, now);
    pool.end(done, choice.key, choice.attempt, Outcome::Success);
}

/// The load: a hundred long beginnings, each asked for again and again, seen by nine instances that
/// share nothing. Each beginning must be read by one engine, whichever instance gets the request.
#[test]
fn instances_that_share_nothing_send_a_beginning_to_one_engine() {
    let mut pools: Vec<Pool> = (0..9).map(|_| pool(ENGINES, "pool")).collect();
    let mut homes: BTreeMap<u64, String> = BTreeMap::new();
    for round in 0..5 {
        for thing in 0..100 {
            let instance = ((thing + round) % 9) as usize;
            let own = 1_000_000 + round * 1_000 + thing;
            let parts = [part(thing, 13_000), part(own, 3_700)];
            let now = (round * 100 + thing) * 1_000;
            let choice = pools[instance].choose(now, &chat(&parts)).unwrap();
            let home = homes.entry(thing).or_insert(choice.spec.id.clone());
            assert_eq!(*home, choice.spec.id, "beginning {thing}");
            assert_eq!(choice.uncached_tokens, 3_700);
            serve(&mut pools[instance], now, &choice);
        }
    }
    let used: std::collections::BTreeSet<_> = homes.values().collect();
    assert!(
        used.len() >= 16,
        "all engines have their part: {}",
        used.len()
    );
}

/// The load: one beginning gets so many requests that its engine would fall behind. Those that would
/// wait longer than another engine needs to read it anew go elsewhere.
#[test]
fn a_beginning_that_overloads_its_engine_spills() {
    let mut pool = pool(ENGINES, "pool");
    let mut at: BTreeMap<String, u32> = BTreeMap::new();
    for i in 0..40 {
        let parts = [part(1, 13_000), part(1_000 + i, 3_700)];
        let choice = pool.choose(i, &chat(&parts)).unwrap();
        *at.entry(choice.spec.id).or_default() += 1;
    }
    assert!(at.len() > 3, "{at:?}");
    assert!(at.values().all(|n| *n < 20), "{at:?}");
}

/// The load: a beginning whose engine is busy for a moment. It waits there for less than reading it anew
/// costs all together, and is read anew at the same engine by all instances when the wait is longer.
#[test]
fn a_beginning_waits_a_little_and_spills_to_the_same_engine() {
    let busy_at = |from: u32, reading_ms: f64| {
        let mut pool = pool(ENGINES, "pool");
        let first = pool.choose(0, &chat(&[part(1, 13_000), part(2, 1_000)]));
        let first = first.unwrap();
        serve(&mut pool, 0, &first);
        let up = pool.listed().find(|u| u.spec.id == first.spec.id);
        let hash = up.unwrap().incarnation_hash();
        let held = InstanceLoad {
            pending_prefill_ms: reading_ms,
            inflight: 2,
        };
        pool.set_peer_loads(10_000, 42, &HashMap::from([(hash, held)]));
        let parts = [part(1, 13_000), part(100 + u64::from(from), 1_000)];
        let choice = pool.choose(10_001, &chat(&parts)).unwrap();
        (first.spec.id == choice.spec.id, choice.spec.id)
    };
    // Reading it anew takes some 270 ms.
    assert!(busy_at(0, 300.0).0, "it waits");
    let (waits, next) = busy_at(0, 1_000.0);
    assert!(!waits);
    for from in 1..9 {
        assert_eq!(busy_at(from, 1_000.0), (false, next.clone()));
    }
}

/// Symptom: long prompts meet at one engine while others idle. Sequence: other instances have sent
/// theirs there a moment ago. Cause: an instance went by its own requests and the engine's late report.
#[test]
fn what_other_instances_sent_counts() {
    let mut pool = pool(ENGINES, "pool");
    let parts = [part(1, 13_000), part(2, 3_700)];
    let home = pool.choose(0, &chat(&parts)).unwrap();
    serve(&mut pool, 0, &home);
    let hash = {
        let up = pool.listed().find(|u| u.spec.id == home.spec.id);
        up.unwrap().incarnation_hash()
    };
    let busy = InstanceLoad {
        pending_prefill_ms: 3_000.0,
        inflight: 8,
    };
    pool.set_peer_loads(10_000, 42, &HashMap::from([(hash, busy)]));
    let parts = [part(1, 13_000), part(3, 3_700)];
    let other = pool.choose(10_010, &chat(&parts)).unwrap();
    assert_ne!(other.spec.id, home.spec.id);
    // The word is old by then, and the reading done.
    let parts = [part(1, 13_000), part(4, 3_700)];
    // The other one has the beginning by now as well: from the own zone the first one is nearer.
    let near = Criteria {
        zone: &home.spec.zone,
        ..chat(&parts)
    };
    let again = pool.choose(14_000, &near).unwrap();
    assert_eq!(again.spec.id, home.spec.id);
}

/// The load: short calls from one zone over upstreams in three. They stay in the zone while it has room.
#[test]
fn plain_calls_stay_in_their_zone_until_it_is_full() {
    let mut pool = pool(3, "pool");
    for i in 0..10 {
        let choice = pool.choose(i * 100, &call("z1")).unwrap();
        assert_eq!(choice.spec.zone, "z1");
        serve(&mut pool, i * 100, &choice);
    }
    let open: Vec<_> = (0..190)
        .filter_map(|i| pool.choose(2_000 + i, &call("z1")).ok())
        .collect();
    let zones: std::collections::BTreeSet<_> = open.iter().map(|c| c.spec.zone.clone()).collect();
    assert_eq!(zones.len(), 3);
}

/// Symptom: every request waits for a dead upstream. Cause: it was tried again and again.
#[test]
fn an_upstream_that_can_not_be_reached_is_left_alone() {
    let mut pool = pool(3, "pool");
    let dead = pool.choose(0, &call("z0")).unwrap();
    pool.end(250, dead.key, dead.attempt, Outcome::Unresponsive);
    for i in 0..20 {
        let choice = pool.choose(260 + i, &call("z0")).unwrap();
        assert_ne!(choice.spec.id, dead.spec.id);
        serve(&mut pool, 260 + i, &choice);
    }
    // Afterwards one request at a time tries it, and none that may not be repeated.
    let once = Criteria {
        retryable: false,
        ..call("z0")
    };
    assert_ne!(pool.choose(1_000, &once).unwrap().spec.id, dead.spec.id);
}

/// Symptom: a fault of the caller's side takes all upstreams out. Sequence: all of them seem dead.
/// Cause: each was judged alone.
#[test]
fn at_least_half_of_the_upstreams_stay_in_use() {
    let mut pool = pool(4, "pool");
    for i in 0..12 {
        if let Ok(choice) = pool.choose(i, &call("z0")) {
            pool.end(i, choice.key, choice.attempt, Outcome::Unresponsive);
        }
    }
    assert!(pool.choose(20, &call("z0")).is_ok());
}

#[test]
fn what_leaves_or_was_tried_gets_nothing() {
    let mut pool = pool(2, "pool");
    assert!(pool.mark_leaving("i0"));
    let choice = pool.choose(0, &call("z0")).unwrap();
    assert_eq!(choice.spec.id, "i1");
    let tried = [choice.key];
    let again = Criteria {
        tried: &tried,
        ..call("z0")
    };
    assert_eq!(pool.choose(1, &again).unwrap_err(), ChooseError::NoneLeft);
    assert_eq!(pool.delist("i1").as_deref(), Some("i1"));
    assert_eq!(
        pool.choose(2, &call("z0")).unwrap_err(),
        ChooseError::NoneLeft
    );
    let nobody = Criteria {
        service: "other",
        ..call("z0")
    };
    assert_eq!(pool.choose(3, &nobody).unwrap_err(), ChooseError::Unknown);
}

/// The load: more than the engines can read in time. What can't make its deadline is refused at once.
#[test]
fn what_can_not_make_its_deadline_is_refused_at_once() {
    let mut pool = pool(1, "pool");
    let mut refused = None;
    for i in 0..60 {
        let parts = [part(i, 40_000), part(1_000 + i, 10_000)];
        let want = Criteria {
            deadline: 5_000,
            ..chat(&parts)
        };
        if let Err(denied) = pool.choose(0, &want) {
            refused = Some((i, denied));
            break;
        }
    }
    let (after, denied) = refused.expect("a bound");
    assert!((2..20).contains(&after), "{after}");
    assert!(matches!(denied, ChooseError::Busy { retry_ms } if retry_ms > 0));
}

#[test]
fn a_full_engine_gets_nothing_more() {
    let mut pool = pool(2, "pool");
    let first = pool.choose(0, &call("z0")).unwrap();
    let full = Load {
        running: 64,
        waiting: 40,
        slots: 64,
    };
    pool.set_reported_load(0, first.key, full);
    for i in 0..20 {
        let choice = pool.choose(i, &call("z0")).unwrap();
        assert_ne!(choice.spec.id, first.spec.id);
    }
}

/// Guards against one upstream that gets a service's first requests from all instances, as the first of the list that all of them
/// have: none of them knows anything of the upstreams yet.
#[test]
fn instances_that_know_nothing_spread_over_the_upstreams() {
    for (instances, upstreams) in [(30_u64, 10), (300, 61), (985, 305), (2_000, 600)] {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for me in 0..instances {
            let mut pool = pool(upstreams, "pool");
            let name = me.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            pool.set_instances(0, name, &[name]);
            for now in 0..4 {
                let choice = pool.choose(now * 1_000, &call("z0")).unwrap();
                assert_eq!(choice.spec.zone, "z0");
                *counts.entry(choice.spec.id.clone()).or_default() += 1;
                serve(&mut pool, now * 1_000, &choice);
            }
        }
        let of_zone = u64::from(upstreams.div_ceil(3));
        let mean = instances * 4 / of_zone;
        let most = counts.values().max().copied().unwrap_or_default();
        assert!(most <= mean * 3, "{instances}: {most}, {mean} in the mean");
        let idle = of_zone - counts.len() as u64;
        assert!(
            idle <= of_zone / 10,
            "{instances}: {idle} of {of_zone} idle"
        );
    }
}
