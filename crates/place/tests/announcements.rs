//! What upstreams say of themselves in their answers: that they leave, or want nothing for a while.

mod common;

use place::{Choice, ChooseError, Criteria, Outcome, Pool, Spec};

const HOUR: u64 = 3_600_000;

fn spec(id: &str) -> Spec {
    Spec {
        service: "desk".to_string(),
        slots: 8,
        ..common::spec(id, "z")
    }
}

fn pool(ids: &[&str]) -> Pool {
    let mut pool = Pool::default();
    for id in ids {
        pool.upsert(0, spec(id));
    }
    pool
}

fn choose(pool: &mut Pool, now: u64) -> Result<Choice, ChooseError> {
    let want = Criteria {
        service: "desk",
        deadline: now + 1_000,
        random: 0,
        ..common::call("z")
    };
    pool.choose(now, &want)
}

fn end(pool: &mut Pool, now: u64, choice: &Choice) {
    pool.end(now, choice.key, choice.attempt, Outcome::Refused);
}

/// A request that was chosen for it before its word came is not sent there.
#[test]
fn one_that_was_chosen_before_no_longer_takes_it() {
    let mut pool = pool(&["a"]);
    let choice = choose(&mut pool, 0).expect("it takes work");
    assert!(pool.may_send(0, &choice));
    pool.mark_leaving("a");
    assert!(!pool.may_send(0, &choice));
    end(&mut pool, 0, &choice);
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
}

/// Its entry lapses in an outage and is back as it was before; another instance's word comes before its entry.
#[test]
fn a_life_that_leaves_is_listed_again_and_gets_nothing() {
    let mut pool = pool(&["a"]);
    pool.mark_leaving("a");
    pool.delist("a");
    pool.upsert(0, spec("a"));
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
    assert!(!pool.mark_leaving("b"), "it is not listed yet");
    pool.upsert(0, spec("b"));
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
    pool.upsert(0, spec("c"));
    let choice = choose(&mut pool, 0).expect("another incarnation");
    assert_eq!(choice.spec.id, "c");
}

#[test]
fn a_later_life_under_the_name_starts_clean() {
    let born = |started_at_ms| Spec {
        started_at_ms: Some(started_at_ms),
        ..spec("a")
    };
    let mut pool = Pool::default();
    pool.upsert(0, born(100));
    let choice = choose(&mut pool, 0).expect("it takes work");
    pool.pause(0, choice.key, HOUR);
    end(&mut pool, 0, &choice);
    pool.mark_leaving("a@100");
    pool.upsert(0, born(200));
    assert!(choose(&mut pool, 0).is_ok(), "a later incarnation");
    pool.upsert(0, born(100));
    assert!(
        choose(&mut pool, 0).is_ok(),
        "an older entry says nothing of it"
    );
}

/// The earliest time of all that stay; those that leave won't be back at theirs.
#[test]
fn all_that_rest_tell_the_earliest_time() {
    let mut pool = pool(&["a", "b", "c"]);
    let rests = [("a", 5_000), ("b", 3_000), ("c", 1_000)];
    let mut chosen = Vec::new();
    for _ in 0..3 {
        let choice = choose(&mut pool, 0).expect("one that takes work");
        let (_, ms) = rests[rests.iter().position(|r| r.0 == choice.spec.id).unwrap()];
        assert!(pool.pause(0, choice.key, ms), "new");
        end(&mut pool, 0, &choice);
        chosen.push(choice);
    }
    assert_eq!(
        choose(&mut pool, 400).unwrap_err(),
        ChooseError::Resting { retry_ms: 600 }
    );
    pool.mark_leaving("c");
    let denied = ChooseError::Resting { retry_ms: 2_600 };
    assert_eq!(choose(&mut pool, 400).unwrap_err(), denied);
    assert_eq!(
        choose(&mut pool, 3_000).expect("its time is over").spec.id,
        "b"
    );
}

/// What it said first holds until its time, whatever it says meanwhile; it is kept over a lapse of its entry, and taken at its
/// word for an hour at the most.
#[test]
fn a_time_holds_until_it_is_over() {
    let mut pool = pool(&["a"]);
    let choice = choose(&mut pool, 0).expect("it takes work");
    assert!(pool.pause(0, choice.key, 9_000));
    assert!(!pool.pause(100, choice.key, 200), "shorter");
    end(&mut pool, 100, &choice);
    pool.delist("a");
    pool.upsert(0, spec("a"));
    let denied = ChooseError::Resting { retry_ms: 8_000 };
    assert_eq!(choose(&mut pool, 1_000).unwrap_err(), denied);
    let choice = choose(&mut pool, 9_000).expect("its time is over");
    pool.pause(9_000, choice.key, u64::MAX);
    end(&mut pool, 9_000, &choice);
    let denied = ChooseError::Resting { retry_ms: HOUR };
    assert_eq!(choose(&mut pool, 9_000).unwrap_err(), denied);
}

/// When most of a service's upstreams rest, those that are left are used, and none of the others.
#[test]
fn the_floor_of_a_service_takes_none_that_rests() {
    let ids: Vec<String> = (0..10).map(|i| format!("u{i}")).collect();
    let mut pool = pool(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    for _ in 0..9 {
        let choice = choose(&mut pool, 0).expect("one is left");
        pool.pause(0, choice.key, 60_000);
        end(&mut pool, 0, &choice);
    }
    let last = choose(&mut pool, 10).expect("one is left");
    for i in 0..5 {
        let again = choose(&mut pool, 10 + i).expect("the same");
        assert_eq!(again.key, last.key);
    }
}

#[test]
fn many_lives_that_leave_are_bounded_and_the_listed_ones_kept() {
    let mut pool = pool(&["a"]);
    pool.mark_leaving("a");
    for i in 0..5_000 {
        pool.mark_leaving(&format!("x{i}"));
    }
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
}
