//! Upstreams that come back together, cold: what all instances together send to one of them within a second.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::HashMap;

use place::{ChooseError, ColdStart, Outcome, Pool, Spec};

use crate::common::call;
use crate::fleet::Fleet;

/// Requests a second that a cold upstream bears, by the service's configuration and the fleet's settings.
const BOUND: usize = 17;
/// Time for which upstreams are cold.
const COLD_MS: u64 = 3_000;
/// Time until an instance's view of the fleet counts.
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

fn cold() -> HashMap<String, ColdStart> {
    let cold = ColdStart {
        duration_ms: COLD_MS,
        max_per_sec: Some(BOUND as f64),
    };
    HashMap::from([("pool".to_string(), cold)])
}

/// Returns a fleet whose instances have the settings for cold upstreams.
fn open(count: usize, way_ms: fn(u64) -> u64) -> Fleet {
    let mut fleet = Fleet::open(count, way_ms);
    for pool in &mut fleet.pools {
        pool.set_cold_starts(cold());
    }
    fleet
}

fn list_all(fleet: &mut Fleet, now: u64, cold_ms: Option<u64>) {
    let specs: Vec<Spec> = (0..UPSTREAMS).map(|i| spec(i, "a", cold_ms)).collect();
    fleet.list(now, &specs);
}

fn short(_: u64) -> u64 {
    3
}

/// A link that waits: what was sent in two seconds arrives in one.
fn bunched(now: u64) -> u64 {
    1_000 - now % 1_000
}

/// Guards against all instances rushing to upstreams that came back empty, in fleets of any size, on links that wait.
#[test]
fn a_cold_upstream_gets_its_bound_at_most_and_something() {
    for count in [1, 9, 80, 300, 970] {
        for way in [short as fn(u64) -> u64, bunched] {
            let mut fleet = open(count, way);
            let all: Vec<usize> = (0..count).collect();
            for who in 0..count {
                fleet.see(0, who, &all);
            }
            list_all(&mut fleet, SETTLED_MS, Some(COLD_MS));
            for now in (SETTLED_MS..SETTLED_MS + COLD_MS).step_by(STEP_MS as usize) {
                fleet.step(now);
            }
            let most = fleet.most_within(SECOND_MS);
            assert!(most <= BOUND / 3, "{count} instances: {most}");
            assert_eq!(fleet.arrivals.len(), UPSTREAMS as usize, "each gets some");
        }
    }
}

/// Views that differ: a part of the fleet was cut off before the last ones joined, and another one earlier still.
#[test]
fn three_views_of_the_fleet_keep_to_the_bound_together() {
    for count in [80, 300, 970] {
        let mut fleet = open(count, bunched);
        for who in 0..count {
            let known = match who % 3 {
                0 => count,
                1 => count * 4 / 5,
                _ => count / 2,
            };
            let seen: Vec<usize> = (0..count).filter(|i| *i < known || *i == who).collect();
            fleet.see(0, who, &seen);
        }
        list_all(&mut fleet, SETTLED_MS, Some(COLD_MS));
        for now in (SETTLED_MS..SETTLED_MS + COLD_MS).step_by(STEP_MS as usize) {
            fleet.step(now);
        }
        let most = fleet.most_within(SECOND_MS);
        assert!(most <= BOUND, "{count} instances: {most}");
    }
}

/// A fleet that starts: each instance sees those that came before it, and then more and more.
#[test]
fn instances_that_join_in_turn_keep_to_the_bound() {
    for count in [80, 300] {
        let mut fleet = open(count, bunched);
        list_all(&mut fleet, 0, Some(10_000));
        for now in (0..10_000_u64).step_by(STEP_MS as usize) {
            if now % 200 == 0 {
                let joined = (count * now as usize / 6_000).min(count);
                for who in 0..joined {
                    // Some hear of the newest ones a second later.
                    let late = who % 4 == 0;
                    let then = now.saturating_sub(if late { 1_000 } else { 0 });
                    let seen = (count * then as usize / 6_000).min(count);
                    let seen: Vec<usize> = (0..count).filter(|i| *i < seen || *i == who).collect();
                    fleet.see(now, who, &seen);
                }
            }
            fleet.step(now);
        }
        let most = fleet.most_within(SECOND_MS);
        assert!(most <= BOUND, "{count} instances: {most}");
    }
}

/// A request that was given up may still arrive, so it counts on.
#[test]
fn what_was_given_up_counts_for_seconds() {
    let mut fleet = open(1, short);
    fleet.see(0, 0, &[0]);
    list_all(&mut fleet, SETTLED_MS, Some(20_000));
    let pool = &mut fleet.pools[0];
    let mut given_up = 0;
    for now in SETTLED_MS..SETTLED_MS + 4_000 {
        while let Ok(choice) = pool.choose(now, &call("a")) {
            pool.end(now, choice.key, choice.attempt, Outcome::Unresponsive);
            given_up += 1;
        }
    }
    assert_eq!(given_up, UPSTREAMS as usize * (BOUND / 3));
}

/// One upstream is cold and the other is warm: the warm one gets the work of those that may not send to the cold one.
#[test]
fn the_warm_one_serves_and_nobody_waits_for_the_cold_one() {
    let mut fleet = open(1, short);
    let pool = &mut fleet.pools[0];
    pool.upsert(0, spec(0, "a", Some(COLD_MS)));
    pool.upsert(0, spec(1, "a", Some(0)));
    for _ in 0..20 {
        let choice = pool.choose(10, &call("a")).unwrap();
        assert_eq!(choice.spec.id, "u1");
    }
    // It has become cold as well, by its entry: what was chosen before goes elsewhere, or is refused with the time.
    let choice = pool.choose(10, &call("a")).unwrap();
    assert!(pool.may_send(10, &choice));
    pool.upsert(10, spec(1, "a", Some(2_000)));
    assert!(!pool.may_send(10, &choice));
    let denied = pool.choose(20, &call("a")).unwrap_err();
    assert_eq!(denied, ChooseError::Cold { retry_ms: 1_990 });
    assert!(pool.choose(2_010, &call("a")).is_ok(), "warm again");
}

/// An entry that says nothing of it means the service's usual time; a service without a bound has no such gate.
#[test]
fn an_upstream_of_which_nothing_is_said_is_cold_at_first() {
    let mut pool = Pool::default();
    pool.set_cold_starts(cold());
    pool.upsert(100, spec(0, "a", None));
    assert_eq!(
        pool.choose(100, &call("a")).unwrap_err(),
        ChooseError::Cold { retry_ms: COLD_MS }
    );
    assert!(pool.choose(100 + COLD_MS, &call("a")).is_ok());
    let mut free = Pool::default();
    free.upsert(100, spec(0, "a", Some(COLD_MS)));
    assert!(free.choose(100, &call("a")).is_ok());
}
