//! What is held against a request, what voids it, and what follows.

use suspect::{Admission, Digest, SuspectRecord, SuspectTable};

/// Time at which the tests begin, in milliseconds.
const START: u64 = 1_000_000;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

fn request(name: &str) -> Digest {
    Digest::of([name.as_bytes()])
}

fn is_free(table: &mut SuspectTable, now: u64, digest: Digest) -> bool {
    table.admit(now, digest) == Admission::Allowed
}

/// Has upstreams end under a request, and returns the table of the instance that saw it.
fn seen(incarnations: &[&str], now: u64, digest: Digest) -> SuspectTable {
    let mut table = SuspectTable::new("a");
    for incarnation in incarnations {
        assert!(
            table.connection_broke(now, incarnation, digest),
            "to be found out"
        );
        table.upstream_crashed(now, incarnation);
    }
    table
}

#[test]
fn the_third_end_refuses_and_the_second_one_ends_repetition() {
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    for (incarnation, repeats) in [("u1", true), ("u2", false)] {
        table.connection_broke(START, incarnation, fatal);
        assert_eq!(table.upstream_crashed(START, incarnation), vec![fatal]);
        assert_eq!(table.may_retry(fatal), repeats, "{incarnation}");
        assert!(is_free(&mut table, START, fatal), "{incarnation}");
    }
    table.connection_broke(START, "u3", fatal);
    table.upstream_crashed(START, "u3");
    let Admission::Refused(blame) = table.admit(START + SECOND, fatal) else {
        panic!("three ends refuse");
    };
    assert_eq!(blame.crashes.len(), 3);
    assert_eq!(blame.retry_ms, Some(4 * SECOND), "the first trial");
    assert!(is_free(&mut table, START, request("another")));
}

#[test]
fn one_end_seen_twice_is_one() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u1", "u1"], START, fatal);
    assert!(is_free(&mut table, START, fatal));
}

/// Connections break for many reasons: an upstream that answers afterwards has not ended.
#[test]
fn a_connection_that_broke_is_no_end() {
    let harmless = request("harmless");
    let mut table = SuspectTable::new("a");
    for incarnation in ["u1", "u2", "u3", "u4"] {
        table.connection_broke(START, incarnation, harmless);
        table.upstream_alive(incarnation);
        assert!(
            table.upstream_crashed(START, incarnation).is_empty(),
            "nothing was there"
        );
    }
    assert!(is_free(&mut table, START, harmless));
}

/// Until it is found out, the careful guess holds: each send may cost an upstream.
#[test]
fn what_is_not_found_out_yet_counts() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u2"], START, fatal);
    table.connection_broke(START, "u3", fatal);
    let Admission::Refused(blame) = table.admit(START, fatal) else {
        panic!("two ends, and one more perhaps");
    };
    assert_eq!(blame.retry_ms, Some(300), "soon it is known");
    table.upstream_alive("u3");
    assert!(is_free(&mut table, START, fatal));
}

#[test]
fn a_whole_answer_voids_what_was_held_against_it() {
    let popular = request("popular");
    let mut table = seen(&["u1", "u2", "u3"], START, popular);
    assert!(!is_free(&mut table, START, popular));
    assert!(table.request_answered(START, popular));
    assert!(is_free(&mut table, START, popular));
    assert!(
        !table.request_answered(START, popular),
        "nothing was held any more"
    );
}

/// Many callers with one request, while upstreams are lost for another reason.
#[test]
fn a_request_that_was_answered_a_moment_ago_is_not_blamed() {
    let popular = request("popular");
    let mut table = SuspectTable::new("a");
    table.request_answered(START, popular);
    assert!(!table.connection_broke(START + SECOND, "u1", popular));
    assert!(table.upstream_crashed(START + SECOND, "u1").is_empty());
    // Nor by others, who are told so.
    let other = seen(&["u1", "u2", "u3"], START + SECOND, popular);
    let word = other.record(START + SECOND, popular).expect("known there");
    let reply = table.merge(START + SECOND, &word, false);
    let reply = reply.expect("the other one lacks the answer");
    assert!(reply.answers > word.answers && reply.crashes.is_empty());
    let mut other = other;
    other.merge(START + SECOND, &reply, false);
    assert!(is_free(&mut other, START + SECOND, popular));
}

/// .. but one that was answered once may end upstreams from some moment on.
#[test]
fn a_request_that_was_answered_long_ago_is_blamed() {
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    table.request_answered(START, fatal);
    for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
        let now = START + (6 + i as u64) * SECOND;
        table.connection_broke(now, incarnation, fatal);
        table.upstream_crashed(now, incarnation);
    }
    assert!(!is_free(&mut table, START + 9 * SECOND, fatal));
}

/// A request that can still end upstreams costs three more at most, however long it comes.
#[test]
fn trials_are_three_for_good() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u2", "u3"], START, fatal);
    let (mut trials, mut now) = (0, START);
    while now < START + 12 * HOUR {
        now += SECOND;
        match table.admit(now, fatal) {
            Admission::TrialDue(_) => {
                assert!(table.grant_trial(now, fatal), "it is due");
                assert!(!table.grant_trial(now, fatal), "by one instance only");
                trials += 1;
                let incarnation = format!("t{trials}");
                table.connection_broke(now, &incarnation, fatal);
                table.upstream_crashed(now, &incarnation);
            }
            Admission::Refused(_) => {}
            Admission::Allowed => panic!("free again after {} s", (now - START) / SECOND),
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn a_trial_that_is_answered_makes_it_free() {
    let mended = request("mended");
    let mut table = seen(&["u1", "u2", "u3"], START, mended);
    let now = START + 5 * SECOND;
    assert!(matches!(table.admit(now, mended), Admission::TrialDue(_)));
    assert!(table.grant_trial(now, mended));
    assert!(table.request_answered(now + SECOND, mended));
    assert!(is_free(&mut table, now + SECOND, mended));
}

#[test]
fn one_that_nobody_asks_for_is_forgotten() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u2", "u3"], START, fatal);
    // Words that go round among instances are no question.
    let word = table.record(START, fatal).expect("known");
    for minute in 0..61 {
        table.merge(START + minute * 60 * SECOND, &word, false);
    }
    table.next_page(START + HOUR + SECOND, 10);
    assert!(is_free(&mut table, START + HOUR + SECOND, fatal));
}

#[test]
fn a_flood_of_broken_answers_pushes_out_no_request_that_is_refused() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u2", "u3"], START, fatal);
    for i in 0..5_000 {
        let incarnation = format!("f{}", i / 50);
        table.connection_broke(START + i, &incarnation, request(&format!("r{i}")));
        if i % 50 == 49 {
            table.upstream_crashed(START + i, &incarnation);
        }
    }
    assert!(!is_free(&mut table, START + 5_000, fatal));
    assert_eq!(table.refused_count(), 1);
}

/// What the store has after all instances have ended is enough to go on from.
#[test]
fn what_was_saved_refuses_it_after_a_start() {
    let fatal = request("fatal");
    let mut table = seen(&["u1", "u2", "u3"], START, fatal);
    assert_eq!(table.unsaved(), vec![fatal]);
    let word = table.to_save(START, fatal).expect("it is refused");
    table.mark_saved(fatal, Some(&word));
    assert!(!table.has_unsaved());
    table.grant_trial(START + 5 * SECOND, fatal);
    assert!(
        table.has_unsaved(),
        "a trial is saved: there are three, for good"
    );
    let mut started = SuspectTable::new("b");
    started.load(START, word);
    assert!(!started.has_unsaved());
    assert!(!is_free(&mut started, START, fatal));
    started.request_answered(START + SECOND, fatal);
    assert_eq!(started.unsaved(), vec![fatal]);
    assert_eq!(started.to_save(START, fatal), None, "it is taken out");
}

/// Words may come in any order, twice, and late: what is known in the end is the same.
#[test]
fn words_in_any_order_come_to_the_same() {
    use rand::rngs::StdRng;
    use rand::seq::{IndexedRandom, SliceRandom};
    use rand::SeedableRng;

    let fatal = request("fatal");
    for seed in 0..200 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut words: Vec<SuspectRecord> = Vec::new();
        for (i, by) in ["a", "b", "c", "d"].iter().enumerate() {
            let mut table = SuspectTable::new(by);
            for incarnation in
                ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9", "v1"].choose_multiple(rng, 4)
            {
                table.connection_broke(START, incarnation, fatal);
                table.upstream_crashed(START, incarnation);
            }
            if i == 3 && seed % 2 == 0 {
                table.request_answered(START, fatal);
            }
            words.extend(table.record(START, fatal));
        }
        words.extend(words.clone());
        let mut end = |by: &str| {
            words.shuffle(rng);
            let mut table = SuspectTable::new(by);
            for word in &words {
                table.merge(START, word, true);
            }
            let word = table.record(START, fatal).expect("heard of");
            let incarnations = word.crashes.iter().map(|e| e.incarnation.clone());
            (word.answers, word.trials, incarnations.collect::<Vec<_>>())
        };
        assert_eq!(end("x"), end("y"), "seed {seed}");
    }
}

/// Guards against refusing harmless requests that are in flight together with a fatal one: each is
/// present at no more than two ends, the fatal one at all of them.
#[test]
fn only_the_request_present_at_every_end_is_refused() {
    const CONCURRENT: usize = 20;
    let fatal = request("fatal");
    let mut table = SuspectTable::new("a");
    for end in 0..8 {
        let now = START + end * SECOND;
        let incarnation = format!("u{end}");
        let concurrent = (0..CONCURRENT).map(|i| request(&format!("{end} {i}")));
        // Half of the requests that broke at the previous end are retried once.
        let retried =
            (0..CONCURRENT / 2).map(|i| request(&format!("{} {i}", end.saturating_sub(1))));
        for digest in concurrent.chain(retried).chain([fatal]) {
            table.connection_broke(now, &incarnation, digest);
        }
        table.upstream_crashed(now, &incarnation);
    }
    let now = START + 8 * SECOND;
    assert_eq!(table.refused_count(), 1);
    assert!(!is_free(&mut table, now, fatal));
    for end in 0..8 {
        for i in 0..CONCURRENT {
            assert!(is_free(&mut table, now, request(&format!("{end} {i}"))));
        }
    }
}
