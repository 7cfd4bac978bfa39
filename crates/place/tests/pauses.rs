//! Times at which an instance did not run.

use place::Pauses;

/// Guards against late timers of a busy instance being taken for a pause, and against one that goes unnoticed.
#[test]
fn only_long_gaps_are_pauses() {
    let mut pauses = Pauses::default();
    let seen = [7_000, 7_100, 7_500, 7_999, 9_000, 9_001].map(|now| pauses.record_running(now));
    assert_eq!(seen, [None, None, None, None, Some(1_001), None]);
}
