//! Missing entries after an outage of the store.

use place::Missing;

#[test]
fn without_an_outage_what_is_missing_is_gone() {
    let mut missing = Missing::default();
    assert!((0..20).all(|i| missing.is_gone(100 + i, 0, 20)));
}

/// Symptom: requests reach an upstream two seconds after it left. Sequence: an instance's path to the
/// store comes back, an upstream's entry is deleted a second later. Cause: every entry that was
/// missing after an outage was kept for 2.5 s.
#[test]
fn one_that_leaves_right_after_an_outage_is_gone_at_once() {
    let mut missing = Missing::default();
    assert!(missing.is_gone(11_200, 10_000, 21));
    assert!(missing.is_gone(11_300, 10_000, 20));
}

/// Symptom: 503 for everything for two seconds after an outage. Sequence: all entries expire while the
/// store is out. Cause: all of them were taken for gone.
#[test]
fn many_that_vanish_in_an_outage_are_kept_until_they_may_be_back() {
    let mut missing = Missing::default();
    let mut listed = 20;
    for _ in 0..20 {
        listed -= usize::from(missing.is_gone(10_100, 10_000, listed));
    }
    assert_eq!(listed, 15);
    assert!(missing.is_gone(12_600, 10_000, listed));
}
