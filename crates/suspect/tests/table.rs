//! Which crashes count for a request, what clears them, and when the request is refused.

use suspect::{Admission, Digest, Subject, SuspectRecord, SuspectTable};

/// Time at which the tests begin, in milliseconds.
const START: u64 = 1_000_000;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

fn request(name: &str) -> Subject {
    Subject::Request(Digest::of([name.as_bytes()]))
}

fn is_allowed(table: &mut SuspectTable, now: u64, digest: Subject) -> bool {
    table.admit(now, digest) == Admission::Allowed
}

/// Returns the table of an instance that saw upstreams crash while they ran a request.
fn table_with_crashes(incarnations: &[&str], now: u64, digest: Subject) -> SuspectTable {
    let mut table = SuspectTable::new("a");
    for incarnation in incarnations {
        assert!(
            table.connection_broke(now, incarnation, digest),
            "the upstream is to be checked"
        );
        table.upstream_crashed(now, incarnation);
    }
    table
}

#[test]
fn second_crash_stops_retries_and_third_one_refuses() {
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    for (incarnation, may_retry) in [("u1", true), ("u2", false)] {
        table.connection_broke(START, incarnation, fatal);
        assert_eq!(
            table.upstream_crashed(START, incarnation).counted,
            vec![fatal]
        );
        assert_eq!(table.may_retry(fatal), may_retry, "{incarnation}");
        assert!(is_allowed(&mut table, START, fatal), "{incarnation}");
    }
    table.connection_broke(START, "u3", fatal);
    table.upstream_crashed(START, "u3");
    let Admission::Refused(history) = table.admit(START + SECOND, fatal) else {
        panic!("three crashes refuse");
    };
    assert_eq!(history.crashes.len(), 3);
    assert_eq!(history.retry_ms, Some(4 * SECOND), "the first trial");
    assert!(is_allowed(&mut table, START, request("another")));
}

#[test]
fn crash_seen_repeatedly_counts_once() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u1", "u1"], START, fatal);
    assert!(is_allowed(&mut table, START, fatal));
}

/// Connections break for many reasons: an upstream that answers afterwards has not crashed.
#[test]
fn broken_connection_to_a_live_upstream_is_no_crash() {
    let harmless = request("harmless");
    let mut table = SuspectTable::new("a");
    for incarnation in ["u1", "u2", "u3", "u4"] {
        table.connection_broke(START, incarnation, harmless);
        table.upstream_alive(START, incarnation);
        assert!(
            table
                .upstream_crashed(START, incarnation)
                .counted
                .is_empty(),
            "no request was there"
        );
    }
    assert!(is_allowed(&mut table, START, harmless));
}

/// Until the upstream is checked, the worst case is assumed: each send may cost an upstream.
#[test]
fn unresolved_broken_connection_counts_as_a_crash() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2"], START, fatal);
    table.connection_broke(START, "u3", fatal);
    let Admission::Refused(history) = table.admit(START, fatal) else {
        panic!("two crashes, and perhaps one more");
    };
    assert_eq!(history.retry_ms, Some(300), "the check takes less time");
    table.upstream_alive(START, "u3");
    assert!(is_allowed(&mut table, START, fatal));
}

/// Something that listens on the address after connections were refused may be another incarnation: the
/// upstream list shows whether it is.
#[test]
fn crash_of_an_upstream_whose_address_is_in_use_again_counts() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2"], START, fatal);
    table.connection_broke(START, "u3", fatal);
    table.upstream_listens_again("u3");
    assert!(!table.is_unresolved(START, "u3"));
    assert!(is_allowed(&mut table, START, fatal), "not shown yet");
    let later = START + 3 * SECOND;
    assert_eq!(table.upstream_crashed(later, "u3").counted, [fatal]);
    assert!(!is_allowed(&mut table, later, fatal));
}

/// Such an upstream that is still listed later had not crashed.
#[test]
fn connections_that_broke_long_before_a_crash_do_not_count() {
    let harmless = request("harmless");
    let mut table = SuspectTable::new("a");
    table.connection_broke(START, "u1", harmless);
    table.upstream_listens_again("u1");
    let later = START + 10 * SECOND;
    assert!(table.upstream_crashed(later, "u1").counted.is_empty());
}

#[test]
fn complete_response_clears_crashes() {
    let popular = request("popular");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, popular);
    assert!(!is_allowed(&mut table, START, popular));
    assert!(table.request_answered(START, popular));
    assert!(is_allowed(&mut table, START, popular));
    assert!(
        !table.request_answered(START, popular),
        "no crash counted any more"
    );
}

/// Many callers send one request, while upstreams are lost for another reason.
#[test]
fn recently_answered_request_is_not_blamed() {
    let popular = request("popular");
    let mut table = SuspectTable::new("a");
    table.request_answered(START, popular);
    assert!(!table.connection_broke(START + SECOND, "u1", popular));
    assert!(table
        .upstream_crashed(START + SECOND, "u1")
        .counted
        .is_empty());
    // Other instances do not blame it either, once they learn of the answer.
    let other = table_with_crashes(&["u1", "u2", "u3"], START + SECOND, popular);
    let record = other
        .record(START + SECOND, popular)
        .expect("it has crashes there");
    let reply = table.merge(START + SECOND, &record, false);
    let reply = reply.expect("the other instance does not know of the answer");
    assert!(reply.answers > record.answers && reply.crashes.is_empty());
    let mut other = other;
    other.merge(START + SECOND, &reply, false);
    assert!(is_allowed(&mut other, START + SECOND, popular));
}

/// A request that was answered before may start to crash upstreams.
#[test]
fn request_answered_long_ago_is_blamed() {
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    table.request_answered(START, fatal);
    for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
        let now = START + (6 + i as u64) * SECOND;
        table.connection_broke(now, incarnation, fatal);
        table.upstream_crashed(now, incarnation);
    }
    assert!(!is_allowed(&mut table, START + 9 * SECOND, fatal));
}

/// A request that still crashes upstreams costs at most three more, however long callers send it.
#[test]
fn refused_request_gets_three_trials_in_all() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, fatal);
    let (mut trials, mut now) = (0, START);
    while now < START + 12 * HOUR {
        now += SECOND;
        match table.admit(now, fatal) {
            Admission::TrialDue(_) => {
                assert!(table.grant_trial(now, fatal), "the trial is due");
                assert!(!table.grant_trial(now, fatal), "one instance at a time");
                trials += 1;
                let incarnation = format!("t{trials}");
                table.connection_broke(now, &incarnation, fatal);
                table.upstream_crashed(now, &incarnation);
            }
            Admission::Refused(_) => {}
            Admission::Allowed => panic!("allowed again after {} s", (now - START) / SECOND),
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn answered_trial_allows_the_request_again() {
    let fixed = request("fixed");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, fixed);
    let now = START + 5 * SECOND;
    assert!(matches!(table.admit(now, fixed), Admission::TrialDue(_)));
    assert!(table.grant_trial(now, fixed));
    assert!(table.request_answered(now + SECOND, fixed));
    assert!(is_allowed(&mut table, now + SECOND, fixed));
}

#[test]
fn request_that_no_caller_sends_is_forgotten() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, fatal);
    // Records passed among instances do not keep it in the table.
    let record = table.record(START, fatal).expect("it has crashes");
    for minute in 0..61 {
        table.merge(START + minute * 60 * SECOND, &record, false);
    }
    table.next_page(START + HOUR + SECOND, 10);
    assert!(is_allowed(&mut table, START + HOUR + SECOND, fatal));
}

#[test]
fn flood_of_broken_connections_evicts_no_refused_request() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, fatal);
    for i in 0..5_000 {
        let incarnation = format!("f{}", i / 50);
        table.connection_broke(START + i, &incarnation, request(&format!("r{i}")));
        if i % 50 == 49 {
            table.upstream_crashed(START + i, &incarnation);
        }
    }
    assert!(!is_allowed(&mut table, START + 5_000, fatal));
    assert_eq!(table.refused_count(), 1);
}

/// Guards against allowing a refused request again after all instances were down at once.
#[test]
fn saved_record_refuses_the_request_after_a_restart() {
    let fatal = request("fatal");
    let mut table = table_with_crashes(&["u1", "u2", "u3"], START, fatal);
    assert_eq!(table.unsaved(), vec![fatal]);
    let record = table
        .to_save(START, fatal)
        .expect("refused requests are saved");
    table.mark_saved(fatal, Some(&record));
    assert!(!table.has_unsaved());
    table.grant_trial(START + 5 * SECOND, fatal);
    assert!(
        table.has_unsaved(),
        "a trial is saved: there are three in all, restarts included"
    );
    let mut restarted = SuspectTable::new("b");
    restarted.load(START, record);
    assert!(!restarted.has_unsaved());
    assert!(!is_allowed(&mut restarted, START, fatal));
    restarted.request_answered(START + SECOND, fatal);
    assert_eq!(restarted.unsaved(), vec![fatal]);
    assert_eq!(
        restarted.to_save(START, fatal),
        None,
        "the store's record is to be deleted"
    );
}

/// Records may arrive late, twice and in any order: the merged record must be the same.
#[test]
fn records_merge_to_the_same_result_in_any_order() {
    use rand::rngs::StdRng;
    use rand::seq::{IndexedRandom, SliceRandom};
    use rand::SeedableRng;

    let fatal = request("fatal");
    for seed in 0..200 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut records: Vec<SuspectRecord> = Vec::new();
        for (i, instance) in ["a", "b", "c", "d"].iter().enumerate() {
            let mut table = SuspectTable::new(instance);
            for incarnation in
                ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9", "v1"].choose_multiple(rng, 4)
            {
                table.connection_broke(START, incarnation, fatal);
                table.upstream_crashed(START, incarnation);
            }
            if i == 3 && seed % 2 == 0 {
                table.request_answered(START, fatal);
            }
            records.extend(table.record(START, fatal));
        }
        records.extend(records.clone());
        let mut merged = |instance: &str| {
            records.shuffle(rng);
            let mut table = SuspectTable::new(instance);
            for record in &records {
                table.merge(START, record, true);
            }
            let record = table.record(START, fatal).expect("it was merged");
            let incarnations = record.crashes.iter().map(|c| c.incarnation.clone());
            (
                record.answers,
                record.trials,
                incarnations.collect::<Vec<_>>(),
            )
        };
        assert_eq!(merged("x"), merged("y"), "seed {seed}");
    }
}

/// Guards against refusing harmless requests that are in flight together with a fatal one: each is
/// present at no more than two crashes, the fatal one at all of them.
#[test]
fn only_the_request_present_at_every_crash_is_refused() {
    const CONCURRENT: usize = 20;
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    for crash in 0..8 {
        let now = START + crash * SECOND;
        let incarnation = format!("u{crash}");
        let concurrent = (0..CONCURRENT).map(|i| request(&format!("{crash} {i}")));
        // Half of the requests that broke at the previous crash are retried once.
        let retried =
            (0..CONCURRENT / 2).map(|i| request(&format!("{} {i}", crash.saturating_sub(1))));
        for digest in concurrent.chain(retried).chain([fatal]) {
            table.connection_broke(now, &incarnation, digest);
        }
        table.upstream_crashed(now, &incarnation);
    }
    let now = START + 8 * SECOND;
    assert_eq!(table.refused_count(), 1);
    assert!(!is_allowed(&mut table, now, fatal));
    for crash in 0..8 {
        for i in 0..CONCURRENT {
            assert!(is_allowed(
                &mut table,
                now,
                request(&format!("{crash} {i}"))
            ));
        }
    }
}
