//! Whether a service has had a single software version.

use origin::{Origin, SeenVersion, VersionHistory};

fn origin(service: &str, version: &str) -> Origin {
    Origin {
        service: service.to_string(),
        version: version.to_string(),
    }
}

/// Guards against a stream of another version that goes on at the only one that an instance has seen
/// since it started.
#[test]
fn a_sole_version_is_known_only_if_nothing_is_missing() {
    let mut history = VersionHistory::default();
    assert!(history.observe(0, [&origin("pool", "v1")]));
    assert_eq!(history.sole_version(1, "pool"), None);
    history.set_complete();
    assert_eq!(history.sole_version(1, "pool"), Some("v1"));
    assert_eq!(history.sole_version(1, "desk"), None);
    assert!(history.observe(1, [&origin("desk", "v7")]));
    assert_eq!(history.sole_version(1, "pool"), Some("v1"));
}

/// Guards against streams of a version whose last upstream has just left.
#[test]
fn a_version_counts_for_as_long_as_its_streams_may_be_continued() {
    let mut history = VersionHistory::default();
    history.set_complete();
    history.observe(0, [&origin("pool", "v1"), &origin("pool", "v2")]);
    for now in (0..=600_000).step_by(10_000) {
        assert!(!history.observe(now, [&origin("pool", "v2")]));
    }
    assert_eq!(history.sole_version(599_999, "pool"), None);
    assert_eq!(history.sole_version(600_000, "pool"), Some("v2"));
    history.expire(600_000);
    assert_eq!(history.list(600_000), Some(vec![origin("pool", "v2")]));
}

/// Guards against a version that counts forever after its last upstream has left, because instances tell
/// it to each other or read it from the store when they start.
#[test]
fn a_version_expires_at_all_instances_and_in_the_store() {
    let mut first = VersionHistory::default();
    first.set_complete();
    first.observe(0, [&origin("pool", "v1"), &origin("pool", "v2")]);
    let stored = [origin("pool", "v1"), origin("pool", "v2")];
    assert!(!first.differs_from(0, &stored));
    let mut second = VersionHistory::default();
    second.merge(400_000, &first.report(400_000).expect("complete"));
    second.set_complete();
    first.merge(500_000, &second.report(500_000).expect("complete"));
    first.add_stored(500_000, &stored);
    for history in [&mut first, &mut second] {
        history.observe(590_000, [&origin("pool", "v2")]);
        assert_eq!(history.sole_version(599_999, "pool"), None);
        assert_eq!(history.sole_version(600_000, "pool"), Some("v2"));
        assert!(history.differs_from(600_000, &stored));
    }
    let old = SeenVersion {
        origin: origin("pool", "v1"),
        ago_ms: 600_000,
    };
    assert!(!first.merge(600_000, &[old]));
    assert_eq!(first.sole_version(600_000, "pool"), Some("v2"));
}

/// Guards against a stream that begins at a version which the store no longer has: it has had no upstream for long, and
/// the instance that removes such versions has removed it.
#[test]
fn a_version_counts_as_recorded_for_as_long_as_the_store_has_it_for_sure() {
    let recorded =
        |history: &VersionHistory, now| -> Vec<Origin> { history.recorded(now).cloned().collect() };
    let (v1, v2) = (origin("pool", "v1"), origin("pool", "v2"));
    let mut history = VersionHistory::default();
    history.observe_listed(0, &[v1.clone(), v2.clone()]);
    assert!(recorded(&history, 0).is_empty(), "listed, but not stored");
    history.record_stored(0, &[v1.clone(), v2.clone()]);
    assert_eq!(recorded(&history, 0), [v1.clone(), v2.clone()]);
    history.observe_listed(150_000, std::slice::from_ref(&v1));
    assert_eq!(recorded(&history, 199_999), [v1.clone(), v2.clone()]);
    assert_eq!(recorded(&history, 200_000), std::slice::from_ref(&v1));
    // It is listed again, and may have been removed from the store meanwhile.
    history.observe_listed(300_000, &[v1.clone(), v2.clone()]);
    assert_eq!(recorded(&history, 300_000), std::slice::from_ref(&v1));
    history.record_stored(300_000, std::slice::from_ref(&v2));
    assert_eq!(recorded(&history, 300_000), [v1, v2]);
}
