//! What one instance knows of the origins of streams.

use origin::{Lookup, Origin, OriginRecord, OriginTable};

fn origin(version: &str) -> Origin {
    Origin {
        service: "pool".to_string(),
        version: version.to_string(),
    }
}

fn record(request: &str, version: &str, ttl_ms: u64) -> OriginRecord {
    OriginRecord {
        request: request.to_string(),
        origin: origin(version),
        ttl_ms,
    }
}

#[test]
fn a_record_is_known_until_its_caller_has_given_up() {
    let mut table = OriginTable::default();
    table.insert(1_000, &record("a", "v1", 500));
    let known = Lookup::Known(origin("v1").into());
    assert_eq!(table.lookup(1_499, "a"), known);
    assert_eq!(table.lookup(1_500, "a"), Lookup::Unknown);
    assert_eq!(table.lookup(1_200, "b"), Lookup::Unknown);
    assert_eq!(table.record(1_200, "a"), Some(record("a", "v1", 300)));
}

/// Guards against a stream that goes on at the version of the latest of two records that differ.
#[test]
fn records_that_differ_are_not_used() {
    let mut table = OriginTable::default();
    table.insert(0, &record("a", "v1", 1_000));
    table.insert(0, &record("a", "v2", 1_000));
    table.insert(0, &record("a", "v2", 1_000));
    assert_eq!(table.lookup(1, "a"), Lookup::Conflicting);
    assert_eq!(table.record(1, "a"), None);
    let mut other_service = record("b", "v1", 1_000);
    table.insert(0, &other_service);
    other_service.origin.service = "desk".to_string();
    table.insert(0, &other_service);
    assert_eq!(table.lookup(1, "b"), Lookup::Conflicting);
}

#[test]
fn only_own_streams_that_may_be_continued_are_sent_again() {
    let mut table = OriginTable::default();
    table.insert(0, &record("held", "v1", 1_000));
    table.insert_own(0, &record("own", "v1", 1_000));
    table.insert_own(0, &record("complete", "v2", 1_000));
    table.remove_own("complete");
    assert_eq!(table.own_records(400), [record("own", "v1", 600)]);
    assert_eq!(table.lookup(400, "complete"), Lookup::Unknown);
    assert!(table.own_records(1_000).is_empty());
}

/// Guards against memory that grows with the number of streams: callers may say that they wait for days.
#[test]
fn expired_records_are_removed_and_their_number_is_bounded() {
    let mut table = OriginTable::default();
    for now in 0..100_000 {
        table.insert(now, &record(&now.to_string(), "v1", 1_000));
    }
    assert!(table.len() <= 2_100, "{} records", table.len());
    let mut table = OriginTable::default();
    for i in 0..100_000 {
        table.insert(0, &record(&i.to_string(), "v1", u64::MAX));
    }
    assert!(table.len() <= 1 << 16, "{} records", table.len());
    assert_eq!(table.lookup(600_000, "1"), Lookup::Unknown);
}
