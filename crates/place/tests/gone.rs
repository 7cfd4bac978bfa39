//! When an upstream counts as gone, and when it was last known to be alive.

mod common;

use place::{Choice, Criteria, GoneUpstream, Outcome, Pool};

fn choose(pool: &mut Pool, now: u64) -> Choice {
    let criteria = Criteria {
        deadline: now + 10_000,
        random: 1,
        ..common::call("z")
    };
    pool.choose(now, &criteria).expect("one upstream")
}

/// Guards against prompts that count as not run while one of them is still running: an upstream is delisted with
/// attempts in flight.
#[test]
fn an_upstream_is_gone_once_its_last_attempt_has_ended() {
    let mut pool = Pool::default();
    let spec = common::spec("e", "z");
    let incarnation_hash = spec.incarnation_hash();
    pool.upsert(10, spec);
    let first = choose(&mut pool, 100);
    let second = choose(&mut pool, 200);
    pool.end(300, first.key, first.attempt, Outcome::Success);
    pool.delist("e");
    assert!(pool.take_gone().is_empty());
    pool.end(400, second.key, second.attempt, Outcome::Unresponsive);
    let gone = GoneUpstream {
        incarnation_hash,
        heard_at: 300,
    };
    assert_eq!(pool.take_gone(), [gone]);
    assert!(pool.take_gone().is_empty());
    assert_eq!(pool.heard_at(incarnation_hash), None);
}

/// Guards against tokens that are spent twice: an upstream that leaves runs what it got although it is not heard of.
#[test]
fn an_upstream_that_leaves_counts_as_alive_to_the_end() {
    let mut pool = Pool::default();
    let spec = common::spec("e", "z");
    pool.upsert(10, spec.clone());
    pool.mark_leaving(&spec.incarnation());
    pool.delist("e");
    assert_eq!(pool.take_gone()[0].heard_at, u64::MAX);
}

/// Guards against tokens that are spent twice: what shows that an upstream was alive is not counted.
#[test]
fn entries_probes_and_parts_of_responses_show_that_an_upstream_is_alive() {
    let mut pool = Pool::default();
    let spec = common::spec("e", "z");
    let hash = spec.incarnation_hash();
    pool.upsert(10, spec.clone());
    assert_eq!(pool.heard_at(hash), Some(10));
    pool.upsert(20, spec);
    assert_eq!(pool.heard_at(hash), Some(20));
    pool.record_alive(30, hash);
    assert_eq!(pool.heard_at(hash), Some(30));
    let choice = choose(&mut pool, 40);
    pool.record_heard(choice.key, 50);
    assert_eq!(pool.heard_at(hash), Some(50));
    pool.end(60, choice.key, choice.attempt, Outcome::Abandoned);
    assert_eq!(pool.heard_at(hash), Some(50));
}
