//! Cold upstreams that come back together: how many requests all instances send to one of them within a
//! second.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::HashMap;

use place::{ChooseError, ColdStart, Outcome, Pool, Spec};

use crate::common::call;
use crate::fleet::Fleet;

/// Requests per second that a cold upstream sustains, by the service's configuration and the fleet's
/// settings.
const MAX_PER_SEC: usize = 17;
/// How long upstreams are cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Time after which a view of the fleet has settled, in milliseconds.
const SETTLED_MS: u64 = 3_000;
const UPSTREAMS: u32 = 6;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Window in which requests are counted, in milliseconds.
const SECOND_MS: u64 = 1_000;

fn spec(i: u32, zone: &str, cold_ms: Option<u64>) -> Spec {
    Spec {
        cold_ms,
        ..common::spec(&format!("u{i}"), zone)
    }
}

fn cold_starts() -> HashMap<String, ColdStart> {
    let cold_start = ColdStart {
        duration_ms: COLD_MS,
        max_per_sec: Some(MAX_PER_SEC as f64),
    };
    HashMap::from([("pool".to_string(), cold_start)])
}

/// Returns a fleet whose instances have the cold-start settings.
fn fleet(count: usize, transit_ms: fn(u64) -> u64) -> Fleet {
    let mut fleet = Fleet::new(count, transit_ms);
    for pool in &mut fleet.pools {
        pool.set_cold_starts(cold_starts());
    }
    fleet
}

fn list_all(fleet: &mut Fleet, now: u64, cold_ms: Option<u64>) {
    let specs: Vec<Spec> = (0..UPSTREAMS).map(|i| spec(i, "a", cold_ms)).collect();
    fleet.upsert(now, &specs);
}

fn short(_: u64) -> u64 {
    3
}

/// A link that delivers the requests of each second together.
fn bunched(now: u64) -> u64 {
    1_000 - now % 1_000
}

/// Guards against all instances choosing the upstreams that came back idle, in fleets of any size and on
/// delayed links.
#[test]
fn a_cold_upstream_gets_some_requests_within_its_limit() {
    for count in [1, 9, 80, 300, 970] {
        for transit_ms in [short as fn(u64) -> u64, bunched] {
            let mut fleet = fleet(count, transit_ms);
            let all: Vec<usize> = (0..count).collect();
            for instance in 0..count {
                fleet.set_view(0, instance, &all);
            }
            list_all(&mut fleet, SETTLED_MS, Some(COLD_MS));
            for now in (SETTLED_MS..SETTLED_MS + COLD_MS).step_by(STEP_MS as usize) {
                fleet.step(now);
            }
            let max = fleet.max_within(SECOND_MS);
            assert!(max <= MAX_PER_SEC / 3, "{count} instances: {max}");
            assert_eq!(
                fleet.arrivals.len(),
                UPSTREAMS as usize,
                "each upstream gets some"
            );
        }
    }
}

/// Guards against views of the fleet that differ and exceed the limit together: one part of the fleet was cut
/// off before the last instances joined, and another part even earlier.
#[test]
fn three_views_of_the_fleet_stay_within_the_limit_together() {
    for count in [80, 300, 970] {
        let mut fleet = fleet(count, bunched);
        for instance in 0..count {
            let known = match instance % 3 {
                0 => count,
                1 => count * 4 / 5,
                _ => count / 2,
            };
            let listed: Vec<usize> = (0..count)
                .filter(|i| *i < known || *i == instance)
                .collect();
            fleet.set_view(0, instance, &listed);
        }
        list_all(&mut fleet, SETTLED_MS, Some(COLD_MS));
        for now in (SETTLED_MS..SETTLED_MS + COLD_MS).step_by(STEP_MS as usize) {
            fleet.step(now);
        }
        let max = fleet.max_within(SECOND_MS);
        assert!(max <= MAX_PER_SEC, "{count} instances: {max}");
    }
}

/// Guards against a starting fleet that exceeds the limit: each instance first lists those that joined before
/// it, and then more and more of them.
#[test]
fn instances_that_join_in_turn_stay_within_the_limit() {
    for count in [80, 300] {
        let mut fleet = fleet(count, bunched);
        list_all(&mut fleet, 0, Some(10_000));
        for now in (0..10_000_u64).step_by(STEP_MS as usize) {
            if now % 200 == 0 {
                let joined = (count * now as usize / 6_000).min(count);
                for instance in 0..joined {
                    // Some list the newest ones a second later.
                    let late = instance % 4 == 0;
                    let then = now.saturating_sub(if late { 1_000 } else { 0 });
                    let known = (count * then as usize / 6_000).min(count);
                    let listed: Vec<usize> = (0..count)
                        .filter(|i| *i < known || *i == instance)
                        .collect();
                    fleet.set_view(now, instance, &listed);
                }
            }
            fleet.step(now);
        }
        let max = fleet.max_within(SECOND_MS);
        assert!(max <= MAX_PER_SEC, "{count} instances: {max}");
    }
}

/// Guards against a limit that is exceeded by abandoned requests, which may still arrive: they go on counting
/// for some seconds.
#[test]
fn abandoned_requests_count_for_seconds() {
    let mut fleet = fleet(1, short);
    fleet.set_view(0, 0, &[0]);
    list_all(&mut fleet, SETTLED_MS, Some(20_000));
    let pool = &mut fleet.pools[0];
    let mut abandoned = 0;
    for now in SETTLED_MS..SETTLED_MS + 4_000 {
        while let Ok(choice) = pool.choose(now, &call("a")) {
            pool.end(now, choice.key, choice.attempt, Outcome::Unresponsive);
            abandoned += 1;
        }
    }
    assert_eq!(abandoned, UPSTREAMS as usize * (MAX_PER_SEC / 3));
}

/// Guards against requests that wait for a cold upstream: a warm one serves those of the instances that may not
/// send to the cold one.
#[test]
fn a_warm_upstream_serves_instead_of_a_cold_one() {
    let mut fleet = fleet(1, short);
    let pool = &mut fleet.pools[0];
    pool.upsert(0, spec(0, "a", Some(COLD_MS)));
    pool.upsert(0, spec(1, "a", Some(0)));
    for _ in 0..20 {
        let choice = pool.choose(10, &call("a")).unwrap();
        assert_eq!(choice.spec.id, "u1");
    }
    // Its list entry says that it has become cold as well: a request that chose it before goes elsewhere, or is
    // refused with a retry time.
    let choice = pool.choose(10, &call("a")).unwrap();
    assert!(pool.may_send(10, &choice));
    pool.upsert(10, spec(1, "a", Some(2_000)));
    assert!(!pool.may_send(10, &choice));
    let error = pool.choose(20, &call("a")).unwrap_err();
    assert_eq!(error, ChooseError::Cold { retry_ms: 1_990 });
    assert!(pool.choose(2_010, &call("a")).is_ok(), "warm again");
}

/// Without a time in its list entry, an upstream is cold for the time that its service's settings name; a service
/// without a limit gets requests also while its upstreams are cold.
#[test]
fn an_upstream_without_a_cold_time_is_cold_at_first() {
    let mut pool = Pool::default();
    pool.set_cold_starts(cold_starts());
    pool.upsert(100, spec(0, "a", None));
    assert_eq!(
        pool.choose(100, &call("a")).unwrap_err(),
        ChooseError::Cold { retry_ms: COLD_MS }
    );
    assert!(pool.choose(100 + COLD_MS, &call("a")).is_ok());
    let mut unlimited = Pool::default();
    unlimited.upsert(100, spec(0, "a", Some(COLD_MS)));
    assert!(unlimited.choose(100, &call("a")).is_ok());
}
