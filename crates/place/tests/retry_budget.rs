//! The retry budget.

use place::{RetryBudget, RetryLimits, SlackPart};

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window_ms: 10_000,
};

/// Returns the part of one of `sharers` instances, whose lease does not expire.
fn part(sharers: usize) -> Option<SlackPart> {
    let until = u64::MAX;
    Some(SlackPart { sharers, until })
}

/// Returns the budget of an instance that has started at a time and knows nine instances.
fn budget_of_nine(started_at: u64) -> RetryBudget {
    let mut budget = RetryBudget::new(LIMITS);
    budget.set_part(started_at, part(9));
    budget
}

/// Guards against a failing service that is overloaded with retries. It happens if all requests fail at nine
/// instances for a minute, and each instance uses the whole limit for itself.
#[test]
fn nine_instances_together_stay_within_the_limit_in_every_window() {
    let mut instances: Vec<RetryBudget> = (0..9).map(|_| budget_of_nine(0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for t in (0..60_000).step_by(10) {
        let i = (t / 10 % 9) as usize;
        let priority = (t / 10 % 3) as u8;
        instances[i].record_request(t, "desk", priority);
        requests.push(t);
        if instances[i].try_acquire(t, "desk", priority) {
            instances[i].complete("desk");
            retries.push(t);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| **t > end - 10_000 && **t <= end)
                .count()
        };
        let max = 0.2 * within(&requests) as f64 + 58.0;
        assert!(within(&retries) as f64 <= max);
    }
    assert!(retries.len() > 300, "the budget is used: {}", retries.len());
}

/// Guards against retries that are lost to all requests because those that took them were not sent.
#[test]
fn a_retry_that_was_not_sent_may_be_used_by_another_request() {
    let mut budget = budget_of_nine(0);
    let drain = |budget: &mut RetryBudget| {
        (0..)
            .take_while(|_| budget.try_acquire(10_000, "desk", 0))
            .count()
    };
    let saved = drain(&mut budget);
    assert!(saved >= 2, "{saved}");
    budget.put_back("desk");
    budget.complete("desk");
    assert_eq!(drain(&mut budget), 1);
}

/// Guards against retries that have waited for an upstream, arrive later than they were taken, and add up to more than
/// the limit together with those that were taken meanwhile.
#[test]
fn retries_in_progress_count_until_they_arrive() {
    let mut budget = budget_of_nine(0);
    let mut in_progress = 0;
    for t in 0..60_000 {
        budget.record_request(t, "desk", 0);
        in_progress += usize::from(budget.try_acquire(t, "desk", 0));
    }
    // (0.2 x 10,000 x 0.2 + 58 / 9 x 0.5) x 0.9 retries may be saved up or in progress.
    assert!(in_progress <= 363, "{in_progress} retries in progress");
}

/// Guards against retries of an instance that has just started, which the incarnation before it may have used.
#[test]
fn a_new_incarnation_retries_only_what_it_has_saved_up() {
    let mut budget = budget_of_nine(60_000);
    assert!(!budget.try_acquire(60_000, "desk", 0));
    for i in 1..=100 {
        budget.record_request(60_000 + i, "desk", 0);
    }
    let mut retries = 0;
    while budget.try_acquire(60_100, "desk", 0) {
        retries += 1;
    }
    assert!((1..=20).contains(&retries), "{retries} of 100 requests");
}

/// Returns how many retries without any request nine instances send within a window, `later_ms` after four of them have
/// been cut off from the list, which was the same for two minutes.
fn retries_after_a_cut(later_ms: u64) -> usize {
    let cut_at = 120_000;
    let mut instances: Vec<RetryBudget> = (0..9).map(|_| budget_of_nine(0)).collect();
    let mut retries = 0;
    for budget in &mut instances[..5] {
        budget.set_part(cut_at, part(5));
    }
    let start = cut_at + later_ms;
    for t in (start..start + 10_000).step_by(100) {
        for budget in &mut instances {
            while budget.try_acquire(t, "desk", 0) {
                budget.complete("desk");
                retries += 1;
            }
        }
    }
    retries
}

/// Guards against instances that divide the slack by fewer than have a part, since others that are cut off from the list
/// are no longer in it and go on, and against parts that are lost for good.
#[test]
fn instances_that_are_no_longer_listed_keep_their_part_of_the_slack_for_a_minute() {
    let retries = retries_after_a_cut(10_000);
    assert!(retries <= 58, "{retries} retries without any request");
    assert!(retries_after_a_cut(70_000) > retries);
}

/// Guards against retries from the slack at instances that others don't count, since they are not listed yet.
#[test]
fn an_instance_that_is_not_listed_has_no_part_of_the_slack() {
    let mut budget = RetryBudget::new(LIMITS);
    assert!(!budget.try_acquire(60_000, "desk", 0));
    budget.set_part(60_000, part(9));
    assert!(!budget.try_acquire(60_000, "desk", 0));
    assert!(budget.try_acquire(70_000, "desk", 0));
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = budget_of_nine(0);
    while budget.try_acquire(10_000, "a", 0) {}
    assert!(budget.try_acquire(10_000, "b", 0));
}

/// Returns how many of some failed requests, one per millisecond with these priorities in turn, may be
/// retried, by priority.
fn retries_by_priority(priorities: &[u8]) -> [usize; 10] {
    let mut budget = budget_of_nine(0);
    for t in 0..1_000 {
        budget.record_request(t, "desk", priorities[t as usize % priorities.len()]);
    }
    let mut retries = [0; 10];
    for priority in priorities.iter().rev() {
        while budget.try_acquire(1_000, "desk", *priority) {
            retries[usize::from(*priority)] += 1;
        }
    }
    retries
}

/// Guards against less urgent requests using up all retries when everything fails, so that the more urgent
/// ones are refused after one attempt.
#[test]
fn retries_are_left_for_more_urgent_requests() {
    // (0.2 x 1,000 x 0.2 + 58 / 9 x 0.5) x 0.9 retries are saved up.
    let max = 38;
    let retries = retries_by_priority(&[0, 2]);
    assert_eq!(retries.iter().sum::<usize>(), max);
    assert_eq!(retries[0], 9, "half of the share of the urgent half");
    let retries = retries_by_priority(&[0, 1, 2]);
    assert_eq!(retries.iter().sum::<usize>(), max);
    assert!(retries[0] >= 6 && retries[1] >= 6, "{retries:?}");
}

/// Guards against retries that are kept for requests which never come.
#[test]
fn a_service_with_one_priority_may_use_all_retries() {
    for priority in [0, 5, 9] {
        let retries = retries_by_priority(&[priority]);
        assert_eq!(retries[usize::from(priority)], 38);
    }
}

/// Guards against retries of the urgent requests being denied because the less urgent ones use theirs.
#[test]
fn what_urgent_requests_have_used_is_not_kept_for_them_again() {
    let mut budget = budget_of_nine(0);
    for t in 0..1_000 {
        budget.record_request(t, "desk", (t % 2) as u8);
    }
    for _ in 0..15 {
        assert!(budget.try_acquire(1_000, "desk", 0));
    }
    let mut others = 0;
    while budget.try_acquire(1_000, "desk", 1) {
        others += 1;
    }
    assert_eq!(others, 23);
}

/// Guards against retries from the slack at an instance that others don't count any more, since its lease has expired.
#[test]
fn an_instance_whose_lease_has_expired_has_no_part_of_the_slack() {
    let mut budget = RetryBudget::new(LIMITS);
    let lease = |until| Some(SlackPart { sharers: 9, until });
    budget.set_part(0, lease(30_000));
    assert_eq!(budget.sharers(29_999), Some(9));
    assert!(budget.try_acquire(29_999, "desk", 0));
    assert_eq!(budget.sharers(30_000), None);
    assert!(!budget.try_acquire(30_000, "desk", 0));
    budget.set_part(31_000, lease(61_000));
    assert!(budget.try_acquire(41_000, "desk", 0));
}

/// Returns how many retries an instance has saved up from requests within a second that begins `later_ms` after a pause of
/// two seconds, before which it had received 20 requests each second.
fn saved_after_a_pause(later_ms: u64) -> usize {
    let limits = RetryLimits {
        slack: 0.0,
        ..LIMITS
    };
    let mut budget = RetryBudget::new(limits);
    for n in 0..400 {
        budget.record_request(n * 50, "desk", 0);
    }
    while budget.try_acquire(20_000, "desk", 0) {
        budget.complete("desk");
    }
    budget.record_pause(22_000, 2_000);
    for n in 0..40 {
        budget.record_request(22_000 + later_ms + n * 25, "desk", 0);
    }
    let mut retries = 0;
    while budget.try_acquire(23_000 + later_ms, "desk", 0) {
        budget.complete("desk");
        retries += 1;
    }
    retries
}

/// Guards against retries for requests that were sent during a pause, and against requests that never add any again.
#[test]
fn requests_after_a_pause_add_retries_again() {
    assert_eq!(saved_after_a_pause(0), 0, "read at once");
    assert_eq!(
        saved_after_a_pause(5_000),
        0,
        "as many as were expected meanwhile"
    );
    assert_eq!(saved_after_a_pause(10_000), 1, "after a window");
}
