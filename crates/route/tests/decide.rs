//! Decisions on upstreams, queues and retries.

use route::pool::Criteria;
use route::queue::{AdmissionDecision, Queue};
use route::{Capacity, Load, Pool, RetryBudget, Spec, UpstreamKind};

fn pool(count: usize) -> Pool {
    let mut pool = Pool::default();
    let spec = |i: usize| Spec::engine(&format!("e{i}"), &format!("z{}", i % 3), "m");
    pool.apply_list((0..count).map(spec).collect());
    for i in 0..count {
        let key = pool.find(&format!("e{i}")).expect("listed");
        let load = Load {
            slots: 8,
            ..Load::default()
        };
        pool.record_load(0, key, load);
    }
    pool
}

fn ask(random: u64, prefix: Option<u64>) -> Criteria<'static> {
    Criteria {
        kind: UpstreamKind::Engine,
        target: "m",
        version: None,
        prefix,
        zone: "z0",
        tried: &[],
        random,
    }
}

/// Symptom: an upstream that is leaving gets new work.
/// Sequence: one source says that it leaves, then an older list shows it as live.
/// Cause: the later word took the earlier one back.
#[test]
fn leaving_is_never_taken_back() {
    let mut pool = pool(2);
    assert!(pool.mark_leaving("e0"));
    let specs = pool.iter().map(|(_, u)| u.spec.clone()).collect();
    pool.apply_list(specs);
    for random in 0..100 {
        let choice = pool.choose(1, &ask(random << 32 | random, None));
        assert_eq!(choice.expect("one is left").id, "e1");
    }
}

/// Symptom: no upstream is left although they work.
/// Sequence: the network hiccups and every upstream fails a few times.
/// Cause: ejection without a floor.
#[test]
fn ejection_leaves_a_floor() {
    let mut pool = pool(4);
    for i in 0..4 {
        let key = pool.find(&format!("e{i}")).expect("listed");
        for _ in 0..3 {
            pool.get_mut(key).record_start();
            pool.get_mut(key).record_end(1, false, 0);
        }
    }
    assert!(pool.choose(2, &ask(7, None)).is_some());
}

#[test]
fn prefix_sticks_until_its_upstream_is_loaded() {
    let mut pool = pool(6);
    let first = pool.choose(1, &ask(1, Some(42))).expect("some");
    for random in 0..20 {
        assert_eq!(
            pool.choose(1, &ask(random, Some(42))).expect("some").id,
            first.id
        );
    }
    for _ in 0..8 {
        pool.get_mut(first.key).record_start();
    }
    assert_ne!(
        pool.choose(1, &ask(1, Some(42))).expect("some").id,
        first.id
    );
}

/// Symptom: quick questions wait behind long reads, or low priorities never run.
/// Sequence: requests of several priorities wait; later ones of the highest keep coming.
/// Cause: order by arrival alone, or by priority alone.
#[test]
fn queue_goes_by_priority_and_starves_nobody() {
    let mut queue = Queue::default();
    let wait =
        |queue: &mut Queue, priority| match queue.admit(0, &Capacity::uniform(0), priority, 60_000)
        {
            AdmissionDecision::Wait(ticket) => ticket,
            other => panic!("{other:?}"),
        };
    let low = wait(&mut queue, 1);
    let high = wait(&mut queue, 9);
    assert_eq!(queue.release(&Capacity::uniform(1)), vec![high]);
    let mut before = 0;
    loop {
        wait(&mut queue, 9);
        if queue.release(&Capacity::uniform(1)) == vec![low] {
            break;
        }
        before += 1;
    }
    assert!((1..8).contains(&before), "{before} went before the oldest");
}

/// Symptom: a request waits to its deadline and is refused then.
/// Sequence: the backlog is longer than the time that the request has.
/// Cause: nobody worked out the wait when it came.
#[test]
fn hopeless_request_is_refused_at_once() {
    let mut queue = Queue::default();
    for _ in 0..100 {
        assert!(matches!(
            queue.admit(0, &Capacity::uniform(0), 5, 60_000),
            AdmissionDecision::Wait(_)
        ));
    }
    let AdmissionDecision::Refuse { retry_ms } = queue.admit(0, &Capacity::uniform(0), 5, 1_000)
    else {
        panic!("not refused");
    };
    assert!(retry_ms >= 1_000);
}

#[test]
fn retries_are_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_acquire());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}
