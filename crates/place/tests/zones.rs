//! Evacuated zones, and regions that a request may not reach.

mod common;

use std::collections::{BTreeMap, HashMap};

use place::{ChooseError, ColdStart, Criteria, Pool, Spec};

fn spec(id: &str, zone: &str) -> Spec {
    Spec {
        cold_ms: Some(0),
        ..common::spec(id, zone)
    }
}

fn criteria(regions: &[String]) -> Criteria<'_> {
    Criteria {
        regions,
        ..common::call("a")
    }
}

/// Returns a pool with one upstream in each of two zones.
fn pool() -> Pool {
    let mut pool = Pool::default();
    let cold_start = ColdStart {
        duration_ms: 3_000,
        max_per_sec: Some(17.0),
    };
    pool.set_cold_starts(HashMap::from([("pool".to_string(), cold_start)]));
    pool.upsert(0, spec("u1", "a"));
    pool.upsert(0, spec("u2", "b"));
    pool
}

/// Guards against requests that reach an evacuated zone: those that chose it before, those that choose later, and
/// those to an upstream whose entry arrives late.
#[test]
fn an_evacuated_zone_gets_no_requests_until_it_is_back_in_service() {
    let mut pool = pool();
    let before = pool.choose(10, &criteria(&[])).unwrap();
    assert_eq!(before.spec.zone, "a", "the zone of the instance first");
    pool.set_evacuated(20, "a", true);
    assert!(!pool.may_send(20, &before), "chosen before");
    pool.upsert(30, spec("u1", "a"));
    pool.upsert(30, spec("u3", "a"));
    for _ in 0..20 {
        assert_eq!(pool.choose(30, &criteria(&[])).unwrap().spec.id, "u2");
    }
    pool.set_evacuated(40, "b", true);
    assert_eq!(
        pool.choose(40, &criteria(&[])).unwrap_err(),
        ChooseError::Evacuated
    );
    pool.set_evacuated(50, "b", false);
    // The upstream may have become cold meanwhile, whatever its entry said before.
    assert!(matches!(
        pool.choose(60, &criteria(&[])).unwrap_err(),
        ChooseError::Cold { .. }
    ));
    pool.upsert(70, spec("u2", "b"));
    assert!(
        pool.choose(80, &criteria(&[])).is_err(),
        "the entry may be older"
    );
    assert!(pool.choose(3_050, &criteria(&[])).is_ok());
}

/// Guards against a request that leaves the regions that its route and its customer allow.
#[test]
fn a_request_stays_in_its_regions() {
    let mut pool = pool();
    let region = |zone: &str, region: &str| (zone.to_string(), region.to_string());
    pool.set_regions(BTreeMap::from([region("a", "north"), region("b", "south")]));
    let (south, west) = (["south".to_string()], ["west".to_string()]);
    for _ in 0..20 {
        assert_eq!(pool.choose(10, &criteria(&south)).unwrap().spec.zone, "b");
    }
    assert_eq!(
        pool.choose(10, &criteria(&west)).unwrap_err(),
        ChooseError::Outside
    );
    // A zone without a known region belongs to none.
    pool.upsert(10, spec("u3", "c"));
    assert_eq!(
        pool.choose(10, &criteria(&west)).unwrap_err(),
        ChooseError::Outside
    );
    assert!(pool.choose(10, &criteria(&[])).is_ok());
}
