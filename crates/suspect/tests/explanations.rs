//! What else may explain the crashes of a segment, and what may end its refusal.

use suspect::{Digest, Segment, Subject, SuspectTable, Withdrawal};

/// Time at which the tests begin, in milliseconds.
const START: u64 = 1_000_000;
/// Interval between crashes, in milliseconds.
const INTERVAL_MS: u64 = 200;

fn segment(id: u64) -> Segment {
    Segment::new("pool", id)
}

/// A segment that crashes upstreams.
fn fatal() -> Segment {
    segment(0xbad)
}

/// Another one.
fn also_fatal() -> Segment {
    segment(0xbad2)
}

fn request(name: &str) -> Digest {
    Digest::of([name.as_bytes()])
}

fn is_refused(table: &SuspectTable, segment: Segment) -> bool {
    table.is_refused(Subject::Segment(segment))
}

/// Makes the n-th upstream crash under requests, each with its segments.
fn crash(table: &mut SuspectTable, n: u64, requests: &[(&str, &[Segment])]) {
    let (now, incarnation) = (START + n * INTERVAL_MS, format!("u{n:03}"));
    for (name, segments) in requests {
        let request = request(name);
        table.connection_broke(now, &incarnation, Subject::Request(request));
        for segment in *segments {
            table.segment_lost(now, &incarnation, *segment, request);
        }
    }
    table.upstream_crashed(now, &incarnation);
    table.segments_survived(now + INTERVAL_MS / 2, &[segment(1)]);
    table.take_verdicts(now);
}

/// Returns a table in which another segment has survived before the crashes.
fn new_table() -> SuspectTable {
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 5_000, &[segment(1)]);
    table
}

/// Guards against a refused segment that is sent again: a caller sends one of its requests until that is refused as a
/// request, which then explains most of the segment's crashes.
#[test]
fn request_sent_again_does_not_end_the_refusal_of_its_segment() {
    let mut table = new_table();
    for (n, name) in ["a", "b", "c", "a"].iter().enumerate() {
        crash(&mut table, n as u64, &[(name, &[fatal()])]);
    }
    assert!(is_refused(&table, fatal()), "four crashes");
    crash(&mut table, 4, &[("a", &[fatal()])]);
    assert!(table.is_refused(Subject::Request(request("a"))));
    assert!(is_refused(&table, fatal()), "a request has three of five");
}

/// Guards against a segment that is not refused in time because callers send its requests again: each of these is
/// refused as a request after three crashes.
#[test]
fn requests_sent_again_do_not_delay_the_refusal_of_their_segment() {
    let mut table = new_table();
    for (n, name) in ["a", "a", "a", "b", "b"].iter().enumerate() {
        crash(&mut table, n as u64, &[(name, &[fatal()])]);
    }
    assert!(is_refused(&table, fatal()), "five crashes");
}

/// Guards against refusing the segments of a single request that crashes upstreams as a whole.
#[test]
fn single_request_that_crashes_upstreams_refuses_no_segment() {
    let mut table = new_table();
    for n in 0..8 {
        crash(&mut table, n, &[("a", &[segment(2)])]);
    }
    assert!(table.is_refused(Subject::Request(request("a"))));
    assert!(!is_refused(&table, segment(2)));
}

/// Guards against refusing a rare segment whose requests happened to wait where a request without it crashed
/// upstreams.
#[test]
fn request_without_the_segment_explains_its_crashes() {
    let mut table = new_table();
    for n in 0..5 {
        let bystander = format!("b{n}");
        let present: [(&str, &[Segment]); 2] = [("a", &[]), (&bystander, &[segment(2)])];
        crash(&mut table, n, &present);
    }
    assert!(table.is_refused(Subject::Request(request("a"))));
    assert!(!is_refused(&table, segment(2)));
}

/// Makes upstreams crash under a segment, then more under another one that was present at most of the same crashes.
fn table_with_two_fatal_segments() -> SuspectTable {
    let mut table = new_table();
    crash(&mut table, 0, &[("a0", &[fatal()])]);
    for n in 1..4 {
        let (one, other) = (format!("a{n}"), format!("b{n}"));
        crash(
            &mut table,
            n,
            &[(&one, &[fatal()]), (&other, &[also_fatal()])],
        );
    }
    assert!(is_refused(&table, fatal()), "four crashes");
    for n in 4..9 {
        crash(&mut table, n, &[(&format!("b{n}"), &[also_fatal()])]);
    }
    assert!(is_refused(&table, also_fatal()), "eight crashes");
    table
}

/// Guards against a refusal that ends because another segment comes to more crashes, which explain it.
#[test]
fn second_segment_does_not_end_the_refusal_of_the_first() {
    let table = table_with_two_fatal_segments();
    assert!(is_refused(&table, fatal()));
}

/// Guards against a refusal that an instance does not learn because it knows the second segment already.
#[test]
fn refusal_holds_at_an_instance_that_learns_both_segments_at_once() {
    let table = table_with_two_fatal_segments();
    let mut other = SuspectTable::new("b");
    let now = START + 20 * INTERVAL_MS;
    for segment in [also_fatal(), fatal()] {
        let record = table.record(now, Subject::Segment(segment));
        other.merge(now, &record.expect("it is refused"), false);
    }
    assert!(is_refused(&other, fatal()));
}

/// Guards against a refusal that is lost in a failure of all instances because the record was stored before it.
#[test]
fn refusal_after_a_record_was_stored_is_stored() {
    let mut table = new_table();
    for (n, name) in ["a", "a", "a", "b"].iter().enumerate() {
        crash(&mut table, n as u64, &[(name, &[fatal()])]);
    }
    let now = START + 4 * INTERVAL_MS;
    let subject = Subject::Segment(fatal());
    let record = table.to_save(now, subject);
    table.mark_saved(subject, record.as_ref());
    crash(&mut table, 4, &[("b", &[fatal()])]);
    assert!(table.unsaved().contains(&subject));
    let record = table.to_save(now, subject).expect("it is refused");
    let mut restarted = SuspectTable::new("b");
    restarted.load(now, record);
    assert!(is_refused(&restarted, fatal()));
}

/// Guards against refusals that end unnoticed.
#[test]
fn end_of_a_refusal_is_reported_with_its_reason() {
    let mut table = new_table();
    for n in 0..4 {
        crash(&mut table, n, &[(&format!("a{n}"), &[fatal()])]);
    }
    let now = START + 5 * INTERVAL_MS;
    table.segments_survived(now, &[fatal()]);
    let withdrawn = table.take_verdicts(now).withdrawn;
    assert_eq!(withdrawn, vec![(fatal(), Withdrawal::Survived)]);
}

/// Guards against removals that are kept forever at instances that don't write the record.
#[test]
fn removal_that_another_instance_writes_is_forgotten() {
    const DAY_MS: u64 = 24 * 3_600_000;
    let mut table = new_table();
    for n in 0..4 {
        crash(&mut table, n, &[(&format!("a{n}"), &[fatal()])]);
    }
    let subject = Subject::Segment(fatal());
    let record = table.to_save(START, subject);
    table.mark_saved(subject, record.as_ref());
    table.next_page(START + DAY_MS, 1);
    assert!(table.is_removed(subject) && table.has_unsaved());
    table.forget_removed(subject);
    assert!(!table.is_removed(subject) && !table.has_unsaved());
}
