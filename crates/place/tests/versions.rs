//! Choosing among upstreams of several software versions.

mod common;

use common::{call, spec};
use place::{ChooseError, Criteria, Pool, PromptSegment, Spec};

const SEGMENTS: [PromptSegment; 1] = [PromptSegment { id: 1, tokens: 100 }];
/// Number of slots of each engine.
const SLOTS: u32 = 10;

/// Returns a pool with an engine of each of the versions, named `e0`, `e1` and so on.
fn pool(versions: &[&str]) -> Pool {
    let mut pool = Pool::default();
    for (i, version) in versions.iter().enumerate() {
        let spec = Spec {
            version: version.to_string(),
            slots: SLOTS,
            ..spec(&format!("e{i}"), "z")
        };
        pool.upsert(0, spec);
    }
    pool
}

fn stream(version: Option<&str>) -> Criteria<'_> {
    Criteria {
        version,
        segments: &SEGMENTS,
        prompt_tokens: 100,
        ..call("z")
    }
}

/// Guards against streams that begin at a version which no instance knows after the loss of all.
#[test]
fn a_resumable_stream_begins_only_at_recorded_versions() {
    let mut pool = pool(&["v1", "v2", "v1", "v2"]);
    let recorded = ["v1".to_string()];
    let new_stream = Criteria {
        recorded_versions: Some(&recorded),
        ..stream(None)
    };
    for _ in 0..SLOTS {
        let choice = pool.choose(0, &new_stream).expect("room");
        assert_eq!(choice.spec.version, "v1");
    }
    let none = Criteria {
        recorded_versions: Some(&[]),
        ..stream(None)
    };
    assert_eq!(pool.choose(0, &none).unwrap_err(), ChooseError::Unknown);
}

/// Guards against streams that go on at another version because theirs is full or gone.
#[test]
fn a_continued_stream_is_sent_to_its_version_only() {
    let mut pool = pool(&["v1", "v2", "v1", "v2"]);
    for _ in 0..2 * SLOTS {
        let choice = pool.choose(0, &stream(Some("v1"))).expect("room");
        assert_eq!(choice.spec.version, "v1");
        assert_eq!(pool.software_version(&choice), Some("v1"));
    }
    let full = pool.choose(0, &stream(Some("v1"))).unwrap_err();
    assert!(matches!(full, ChooseError::Busy { .. }), "{full:?}");
    let gone = pool.choose(0, &stream(Some("v3"))).unwrap_err();
    assert_eq!(gone, ChooseError::Unknown);
    pool.mark_leaving("e1");
    pool.mark_leaving("e3");
    let leaving = pool.choose(0, &stream(Some("v2"))).unwrap_err();
    assert_eq!(leaving, ChooseError::Unknown);
}

/// Guards against continued streams that are refused because new ones have taken the last slots of the
/// only version that may serve them.
#[test]
fn new_streams_leave_slots_for_continued_ones() {
    let mut pool = pool(&["v1"]);
    while pool.choose(0, &stream(None)).is_ok() {}
    assert!(pool.choose(0, &stream(Some("v1"))).is_ok());
}

/// Guards against streams that begin where they can't go on: a release replaces all but one upstream of a
/// version first, and the next version has one at its beginning.
#[test]
fn new_streams_begin_where_they_can_go_on() {
    let mut pool = pool(&["v1", "v2", "v2", "v3"]);
    for _ in 0..SLOTS {
        let choice = pool.choose(0, &stream(None)).expect("room");
        assert_eq!(choice.spec.version, "v2");
    }
    let mut lone = 0;
    while let Ok(choice) = pool.choose(0, &stream(None)) {
        lone += u32::from(choice.spec.version != "v2");
    }
    assert!(lone >= SLOTS, "the others get streams once these are busy");
}

/// Guards against a stream that counts as one of the version before: its upstream has started again under
/// its name with another version.
#[test]
fn the_version_of_a_replaced_upstream_is_not_known() {
    let mut pool = pool(&["v1"]);
    let choice = pool.choose(0, &stream(None)).expect("room");
    let mut again = choice.spec.clone();
    again.version = "v2".to_string();
    pool.upsert(1, again.clone());
    assert_eq!(pool.software_version(&choice), None);
    let choice = pool.choose(1, &stream(None)).expect("room");
    again.started_at_ms = Some(1);
    pool.upsert(2, again.clone());
    again.started_at_ms = Some(2);
    pool.upsert(3, again);
    assert_eq!(pool.software_version(&choice), None);
}
