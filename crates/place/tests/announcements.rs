//! What upstreams announce in their responses: that they are leaving, or accept no requests for a while.

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
    let criteria = Criteria {
        service: "desk",
        deadline: now + 1_000,
        random: 0,
        ..common::call("z")
    };
    pool.choose(now, &criteria)
}

fn end(pool: &mut Pool, now: u64, choice: &Choice) {
    pool.end(now, choice.key, choice.attempt, Outcome::Refused);
}

/// Guards against a request that is sent to an upstream which has announced, after it was chosen, that it is
/// leaving.
#[test]
fn an_upstream_that_leaves_after_it_was_chosen_gets_no_request() {
    let mut pool = pool(&["a"]);
    let choice = choose(&mut pool, 0).expect("it accepts requests");
    assert!(pool.may_send(0, &choice));
    pool.mark_leaving("a");
    assert!(!pool.may_send(0, &choice));
    end(&mut pool, 0, &choice);
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
}

/// Guards against requests to a leaving incarnation whose entry expires in an outage and comes back unchanged, or
/// whose entry arrives after another instance's report that it is leaving.
#[test]
fn a_leaving_incarnation_that_is_listed_again_gets_no_requests() {
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
fn a_later_incarnation_starts_without_announcements() {
    let started_at = |started_at_ms| Spec {
        started_at_ms: Some(started_at_ms),
        ..spec("a")
    };
    let mut pool = Pool::default();
    pool.upsert(0, started_at(100));
    let choice = choose(&mut pool, 0).expect("it accepts requests");
    pool.pause(0, choice.key, HOUR);
    end(&mut pool, 0, &choice);
    pool.mark_leaving("a@100");
    pool.upsert(0, started_at(200));
    assert!(choose(&mut pool, 0).is_ok(), "a later incarnation");
    pool.upsert(0, started_at(100));
    assert!(
        choose(&mut pool, 0).is_ok(),
        "an older entry does not apply to it"
    );
}

/// The retry time is the earliest one of the upstreams that remain: those that are leaving accept no requests at
/// theirs.
#[test]
fn paused_upstreams_give_the_earliest_retry_time() {
    let mut pool = pool(&["a", "b", "c"]);
    let pauses = [("a", 5_000), ("b", 3_000), ("c", 1_000)];
    let mut chosen = Vec::new();
    for _ in 0..3 {
        let choice = choose(&mut pool, 0).expect("one that accepts requests");
        let (_, ms) = pauses[pauses.iter().position(|p| p.0 == choice.spec.id).unwrap()];
        assert!(pool.pause(0, choice.key, ms), "new");
        end(&mut pool, 0, &choice);
        chosen.push(choice);
    }
    assert_eq!(
        choose(&mut pool, 400).unwrap_err(),
        ChooseError::Resting { retry_ms: 600 }
    );
    pool.mark_leaving("c");
    let error = ChooseError::Resting { retry_ms: 2_600 };
    assert_eq!(choose(&mut pool, 400).unwrap_err(), error);
    assert_eq!(
        choose(&mut pool, 3_000).expect("its pause is over").spec.id,
        "b"
    );
}

/// A pause holds until its time has come, even if the upstream announces a shorter one meanwhile; it is kept while
/// the entry is missing, and lasts an hour at most.
#[test]
fn a_pause_holds_until_it_is_over() {
    let mut pool = pool(&["a"]);
    let choice = choose(&mut pool, 0).expect("it accepts requests");
    assert!(pool.pause(0, choice.key, 9_000));
    assert!(!pool.pause(100, choice.key, 200), "shorter");
    end(&mut pool, 100, &choice);
    pool.delist("a");
    pool.upsert(0, spec("a"));
    let error = ChooseError::Resting { retry_ms: 8_000 };
    assert_eq!(choose(&mut pool, 1_000).unwrap_err(), error);
    let choice = choose(&mut pool, 9_000).expect("its pause is over");
    pool.pause(9_000, choice.key, u64::MAX);
    end(&mut pool, 9_000, &choice);
    let error = ChooseError::Resting { retry_ms: HOUR };
    assert_eq!(choose(&mut pool, 9_000).unwrap_err(), error);
}

/// Guards against requests to paused upstreams when most of a service's upstreams are paused: only the remaining
/// ones are used, although they are less than half of them.
#[test]
fn paused_upstreams_are_not_chosen_when_few_remain() {
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
fn leaving_incarnations_are_bounded_and_the_listed_ones_kept() {
    let mut pool = pool(&["a"]);
    pool.mark_leaving("a");
    for i in 0..5_000 {
        pool.mark_leaving(&format!("x{i}"));
    }
    assert_eq!(choose(&mut pool, 0).unwrap_err(), ChooseError::NoneLeft);
}
