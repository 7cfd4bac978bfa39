//! Tests of the choice of upstreams, the queue and the retry budget.

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

fn criteria(random: u64, prefix: Option<u64>) -> Criteria<'static> {
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

/// A leaving upstream must not get new requests again when an outdated instance list still shows it
/// as active.
#[test]
fn leaving_is_never_reset() {
    let mut pool = pool(2);
    assert!(pool.mark_leaving("e0"));
    let specs = pool.iter().map(|(_, u)| u.spec.clone()).collect();
    pool.apply_list(specs);
    for random in 0..100 {
        let choice = pool.choose(1, &criteria(random << 32 | random, None));
        assert_eq!(choice.expect("one upstream is not leaving").id, "e1");
    }
}

/// A network disruption makes requests fail at every upstream. If all of them were ejected, no
/// upstream would be available, although they work.
#[test]
fn ejection_leaves_candidates() {
    let mut pool = pool(4);
    for i in 0..4 {
        let key = pool.find(&format!("e{i}")).expect("listed");
        for _ in 0..3 {
            pool.get_mut(key).record_start();
            pool.get_mut(key).record_end(1, false, 0);
        }
    }
    assert!(pool.choose(2, &criteria(7, None)).is_some());
}

#[test]
fn prefix_keeps_its_upstream_until_that_is_loaded() {
    let mut pool = pool(6);
    let first = pool.choose(1, &criteria(1, Some(42))).expect("an upstream");
    for random in 0..20 {
        assert_eq!(
            pool.choose(1, &criteria(random, Some(42)))
                .expect("an upstream")
                .id,
            first.id
        );
    }
    for _ in 0..8 {
        pool.get_mut(first.key).record_start();
    }
    assert_ne!(
        pool.choose(1, &criteria(1, Some(42)))
            .expect("an upstream")
            .id,
        first.id
    );
}

/// Short requests must not wait behind long ones of a lower priority, as they would in order of
/// arrival. Requests of a low priority must run eventually while urgent ones keep arriving, which
/// they would not in order of priority alone.
#[test]
fn queue_orders_by_priority_without_starvation() {
    let mut queue = Queue::default();
    let wait =
        |queue: &mut Queue, priority| match queue.admit(0, &Capacity::uniform(0), priority, 60_000)
        {
            AdmissionDecision::Wait(waiter) => waiter,
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
    assert!(
        (1..8).contains(&before),
        "{before} requests were released before the oldest"
    );
}

/// A request must not wait until its deadline if the backlog at its arrival is longer than that.
#[test]
fn request_that_cannot_be_served_in_time_is_refused_immediately() {
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
