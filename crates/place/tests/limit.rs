//! Request rate limits that upstreams advertise, shared by all instances.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;

use place::{ChooseError, Outcome, Pool, RateLimit, Spec, VersionedLimit};

use crate::common::call;
use crate::fleet::Fleet;

const UPSTREAMS: u32 = 2;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// Window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after which a view of the fleet has settled, in milliseconds.
const SETTLED_MS: u64 = 3_000;
/// Time within which a newly advertised limit takes effect, in milliseconds.
const CONVERGENCE_MS: u64 = 3_000;
/// Simulated duration, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// Returns the maximum number of requests that an upstream may get within the window.
fn max_requests(per_sec: f64) -> usize {
    (1.5 * per_sec * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

fn spec(i: u32) -> Spec {
    common::spec(&format!("u{i}"), "a")
}

fn limit(per_sec: f64) -> Option<RateLimit> {
    RateLimit::from_per_sec(per_sec)
}

fn versioned(per_sec: f64, changes: u32) -> VersionedLimit {
    VersionedLimit {
        rate: limit(per_sec),
        changes,
    }
}

/// Returns instances that all know each other and upstreams whose responses have a limit.
fn fleet(count: usize, per_sec: f64, transit_ms: fn(u64) -> u64) -> Fleet {
    let mut fleet = Fleet::new(count, transit_ms);
    let all: Vec<usize> = (0..count).collect();
    for instance in 0..count {
        fleet.set_view(0, instance, &all);
    }
    let specs: Vec<Spec> = (0..UPSTREAMS).map(spec).collect();
    fleet.upsert(0, &specs);
    fleet.limit = limit(per_sec);
    fleet
}

/// Announces the limit of every upstream to all instances.
fn announce_limit(fleet: &mut Fleet, now: u64, per_sec: f64) {
    for pool in &mut fleet.pools {
        for i in 0..UPSTREAMS {
            assert!(pool.merge_limit(now, &format!("u{i}"), versioned(per_sec, 1)));
        }
    }
}

fn run(fleet: &mut Fleet, from: u64, to: u64) {
    for now in (from..to).step_by(STEP_MS as usize) {
        fleet.step(now);
    }
}

fn short(_: u64) -> u64 {
    3
}

/// A link that delivers the requests of each half second together.
fn bunched(now: u64) -> u64 {
    500 - now % 500
}

/// Guards against a limit that is applied per instance, and against one that is left unused, for fleets of any size.
#[test]
fn all_instances_together_stay_within_a_limit_and_use_it() {
    for count in [1, 9, 80, 300, 970] {
        for per_sec in [0.3, 1.0, 2.5, 17.0, 120.0] {
            for transit_ms in [short as fn(u64) -> u64, bunched] {
                let mut fleet = fleet(count, per_sec, transit_ms);
                announce_limit(&mut fleet, 0, per_sec);
                run(&mut fleet, SETTLED_MS, SETTLED_MS + DURATION_MS);
                let max = fleet.max_within(WINDOW_MS);
                assert!(max <= max_requests(per_sec), "{count}, {per_sec}/s: {max}");
                let allowed = per_sec * DURATION_MS as f64 / 1_000.0;
                for arrivals in fleet.arrivals.values() {
                    let got = arrivals.len() as f64;
                    let burst = per_sec + 4.0;
                    assert!(got <= allowed + burst, "{count}, {per_sec}/s: {got}");
                    assert!(got >= allowed * 0.85, "{count}, {per_sec}/s: {got}");
                }
                assert_eq!(fleet.arrivals.len(), UPSTREAMS as usize);
            }
        }
    }
}

/// Guards against instances that exceed a limit after the time allowed for it to reach them.
#[test]
fn a_limit_from_responses_takes_effect_at_all_instances_in_time() {
    for count in [9, 80, 300] {
        for per_sec in [1.0, 5.0] {
            let mut fleet = fleet(count, per_sec, short);
            let start = SETTLED_MS;
            run(&mut fleet, start, start + CONVERGENCE_MS);
            fleet.arrivals.clear();
            run(
                &mut fleet,
                start + CONVERGENCE_MS,
                start + CONVERGENCE_MS + DURATION_MS,
            );
            let max = fleet.max_within(WINDOW_MS);
            assert!(max <= max_requests(per_sec), "{count}, {per_sec}/s: {max}");
        }
    }
}

/// Guards against a limit that is exceeded while instances join and leave, with some views a second behind.
#[test]
fn a_limit_holds_while_instances_join_and_leave() {
    for count in [9, 80, 300] {
        for per_sec in [1.0, 5.0, 40.0] {
            let mut fleet = fleet(count, per_sec, short);
            announce_limit(&mut fleet, 0, per_sec);
            for now in (SETTLED_MS..SETTLED_MS + DURATION_MS).step_by(STEP_MS as usize) {
                if now % 200 == 0 {
                    for instance in 0..count {
                        let late = if instance % 4 == 0 { 1_000 } else { 0 };
                        // A different fifth of the fleet is absent each second and then joins again.
                        let absent = (now - late) / 1_000 % 5;
                        let present = |i: &usize| *i as u64 % 5 != absent || *i == instance;
                        let listed: Vec<usize> = (0..count).filter(present).collect();
                        fleet.set_view(now, instance, &listed);
                    }
                }
                fleet.step(now);
            }
            let max = fleet.max_within(WINDOW_MS);
            assert!(max <= max_requests(per_sec), "{count}, {per_sec}/s: {max}");
        }
    }
}

/// Guards against a partitioned fleet that sends more than the limit once for each half.
#[test]
fn two_halves_of_a_partition_send_at_most_twice_the_limit() {
    for count in [8, 80, 300] {
        for per_sec in [1.0, 5.0, 40.0] {
            let mut fleet = fleet(count, per_sec, short);
            announce_limit(&mut fleet, 0, per_sec);
            for instance in 0..count {
                let listed: Vec<usize> = (0..count).filter(|i| i % 2 == instance % 2).collect();
                fleet.set_view(SETTLED_MS, instance, &listed);
            }
            run(&mut fleet, SETTLED_MS, SETTLED_MS + DURATION_MS);
            let got = fleet.arrivals.values().map(Vec::len).max().unwrap() as f64;
            let allowed = 2.0 * (per_sec * DURATION_MS as f64 / 1_000.0 + per_sec + 4.0);
            assert!(got <= allowed, "{count}, {per_sec}/s: {got} of {allowed}");
        }
    }
}

/// Guards against a limit that is lost when its upstream is delisted, and against one that carries over to the next incarnation.
#[test]
fn a_limit_applies_to_its_incarnation_across_delisting() {
    let mut pool = Pool::default();
    assert!(
        pool.merge_limit(0, "u0", versioned(0.0, 1)),
        "not listed yet"
    );
    pool.upsert(0, spec(0));
    assert!(matches!(
        pool.choose(10, &call("a")).unwrap_err(),
        ChooseError::Limited { .. }
    ));
    pool.delist("u0");
    pool.upsert(20, spec(0));
    assert!(pool.choose(20, &call("a")).is_err());
    pool.delist("u0");
    let started_at_ms = Some(1_700_000_000_000);
    pool.upsert(
        30,
        Spec {
            started_at_ms,
            ..spec(0)
        },
    );
    assert!(pool.choose(30, &call("a")).is_ok());
}

/// Guards against an outdated response or notice that removes or restores a limit.
#[test]
fn only_a_response_to_a_later_request_removes_a_limit() {
    let mut pool = Pool::default();
    pool.upsert(0, spec(0));
    let earlier = pool.choose(10, &call("a")).unwrap();
    assert!(pool.merge_limit(20, "u0", versioned(1.0, 1)));
    assert!(!pool.may_send(20, &earlier), "chosen before");
    assert_eq!(pool.set_limit(30, earlier.key, 10, None), None);
    assert_eq!(pool.limited_count(), 1);
    let key = earlier.key;
    pool.end(30, key, earlier.attempt, Outcome::Success);
    // A stricter limit applies regardless of when its request was sent.
    let stricter = pool.set_limit(40, key, 10, limit(0.5));
    assert_eq!(stricter, Some(versioned(0.5, 2)));
    let removed = pool.set_limit(60, key, 50, None).unwrap();
    assert_eq!(removed.rate, None);
    assert!(pool.choose(60, &call("a")).is_ok());
    // An outdated notice does not restore the limit; the stricter of two concurrent changes wins.
    assert!(!pool.merge_limit(70, "u0", versioned(0.5, 2)));
    assert!(pool.merge_limit(70, "u0", versioned(2.0, 3)));
    assert!(!pool.merge_limit(70, "u0", versioned(3.0, 3)));
}

/// Guards against requests that wait for a limited upstream instead of going to another one or being refused with a retry time.
#[test]
fn requests_over_a_limit_go_elsewhere_or_are_refused_with_a_retry_time() {
    let mut pool = Pool::default();
    pool.set_instances(0, 1, &[1]);
    pool.upsert(0, spec(0));
    pool.upsert(0, spec(1));
    pool.merge_limit(0, "u0", versioned(1.0, 1));
    let mut sent = BTreeMap::from([("u0".to_string(), 0), ("u1".to_string(), 0)]);
    for _ in 0..20 {
        let choice = pool.choose(SETTLED_MS + 10, &call("a")).unwrap();
        *sent.get_mut(&choice.spec.id).unwrap() += 1;
        pool.end(
            SETTLED_MS + 10,
            choice.key,
            choice.attempt,
            Outcome::Success,
        );
    }
    assert!(sent["u0"] <= 1, "{sent:?}");
    sent.insert("u1".to_string(), 0);
    pool.merge_limit(0, "u1", versioned(0.5, 1));
    let error = loop {
        match pool.choose(SETTLED_MS + 20, &call("a")) {
            Ok(choice) => {
                *sent.get_mut(&choice.spec.id).unwrap() += 1;
                pool.end(
                    SETTLED_MS + 20,
                    choice.key,
                    choice.attempt,
                    Outcome::Success,
                );
            }
            Err(error) => break error,
        }
    };
    assert!(sent["u0"] <= 1 && sent["u1"] <= 1, "{sent:?}");
    let ChooseError::Limited { retry_ms } = error else {
        panic!("{error:?}");
    };
    assert!((300..=2_000).contains(&retry_ms), "{retry_ms}");
}
