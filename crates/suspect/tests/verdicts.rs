//! Which crashes refuse a segment of prompts, and what allows it again.

use suspect::{Admission, Digest, Segment, Subject, SuspectRecord, SuspectTable};

/// Time at which the tests begin, in milliseconds.
const START: u64 = 1_000_000;
const SECOND: u64 = 1_000;
/// Interval between crashes, in milliseconds.
const INTERVAL_MS: u64 = 200;

fn segment(id: u64) -> Segment {
    Segment::new("pool", id)
}

/// A segment that crashes upstreams.
fn fatal() -> Segment {
    segment(0xbad)
}

fn is_refused(table: &SuspectTable, segment: Segment) -> bool {
    table.is_refused(Subject::Segment(segment))
}

/// Makes an upstream crash with segments waiting.
fn crash(table: &mut SuspectTable, now: u64, incarnation: &str, waiting: &[Segment]) {
    for segment in waiting {
        table.connection_broke(now, incarnation, Subject::Segment(*segment));
    }
    table.upstream_crashed(now, incarnation);
}

/// Makes upstreams crash one after another while a response on another segment goes on in between;
/// returns the time after the last crash.
fn crash_repeatedly(table: &mut SuspectTable, count: u64, waiting: &[Segment]) -> u64 {
    for n in 0..count {
        let now = START + n * INTERVAL_MS;
        crash(table, now, &format!("u{n:03}"), waiting);
        table.segments_survived(now + INTERVAL_MS / 2, &[segment(1)]);
    }
    START + count * INTERVAL_MS
}

#[test]
fn fourth_crash_refuses_a_segment_that_never_survived() {
    let mut table = SuspectTable::new("a");
    crash_repeatedly(&mut table, 3, &[fatal()]);
    assert!(!is_refused(&table, fatal()));
    let mut table = SuspectTable::new("a");
    let now = crash_repeatedly(&mut table, 4, &[fatal()]);
    assert_eq!(table.refused_segments(), vec![fatal()]);
    let Admission::Refused(history) = table.admit(now, Subject::Segment(fatal())) else {
        panic!("it is refused");
    };
    assert_eq!(history.crashes.len(), 4);
    assert!(
        history.retry_ms.is_some_and(|ms| ms > 4 * SECOND),
        "the first trial"
    );
}

/// The same id at another service may be harmless there.
#[test]
fn segment_is_refused_at_its_service_only() {
    let mut table = SuspectTable::new("a");
    crash_repeatedly(&mut table, 4, &[fatal()]);
    assert!(!is_refused(&table, Segment::new("another", 0xbad)));
}

/// Guards against refusing what all prompts share: it is present at each crash, and survives elsewhere
/// many times per second.
#[test]
fn crashes_after_a_recent_survival_do_not_count() {
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - SECOND, &[segment(1)]);
    crash_repeatedly(&mut table, 12, &[fatal(), segment(1)]);
    assert_eq!(table.refused_segments(), vec![fatal()]);
}

/// Guards against refusing what all prompts share if it becomes known late that upstreams have crashed: by
/// then it has survived after the crashes, but not in the last two seconds.
#[test]
fn crashes_that_become_known_late_do_not_count_if_a_survival_followed() {
    let mut table = SuspectTable::new("a");
    for n in 0..12 {
        let at = START + n * INTERVAL_MS;
        table.connection_broke(at, &format!("u{n:03}"), Subject::Segment(segment(1)));
    }
    let survived_at = START + 12 * INTERVAL_MS;
    table.segments_survived(survived_at, &[segment(1)]);
    for n in 0..12 {
        table.upstream_crashed(survived_at + 3 * SECOND, &format!("u{n:03}"));
    }
    let record = table.record(survived_at, Subject::Segment(segment(1)));
    assert!(record.is_none_or(|r| r.crashes.is_empty()));
}

/// Guards against taking crashes for simultaneous because they become known at the same time.
#[test]
fn crashes_that_become_known_late_count_from_when_connections_broke() {
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 2 * SECOND, &[segment(1)]);
    for n in 0..4 {
        let at = START + n * INTERVAL_MS;
        table.connection_broke(at, &format!("u{n:03}"), Subject::Segment(fatal()));
    }
    for n in 0..4 {
        table.upstream_crashed(START + 3 * SECOND, &format!("u{n:03}"));
    }
    assert!(is_refused(&table, fatal()));
}

/// Guards against refusing a sound segment that happens to be in the prompts of the fatal one.
#[test]
fn crashes_that_another_segment_explains_refuse_nothing_else() {
    let companion = segment(2);
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 30 * SECOND, &[companion]);
    crash_repeatedly(&mut table, 16, &[fatal(), companion]);
    assert_eq!(table.refused_segments(), vec![fatal()]);
}

/// Guards against refusing the segments of a request that crashes upstreams as a whole: it comes again and
/// again, and nothing else has its segments.
#[test]
fn crashes_that_one_request_explains_refuse_no_segment() {
    let request = Subject::Request(Digest::of([b"fatal".as_slice()]));
    let mut table = SuspectTable::new("a");
    for n in 0..8 {
        let (now, incarnation) = (START + n * INTERVAL_MS, format!("u{n:03}"));
        table.connection_broke(now, &incarnation, request);
        crash(&mut table, now, &incarnation, &[segment(2)]);
        table.segments_survived(now + INTERVAL_MS / 2, &[segment(1)]);
    }
    assert!(table.is_refused(request));
    assert!(!is_refused(&table, segment(2)));
}

/// A segment that has survived before may start to crash upstreams.
#[test]
fn segment_that_survived_before_is_refused_later() {
    for (count, refused) in [(5, false), (6, true)] {
        let mut table = SuspectTable::new("a");
        table.segments_survived(START - 30 * SECOND, &[fatal()]);
        crash_repeatedly(&mut table, count, &[fatal()]);
        assert_eq!(is_refused(&table, fatal()), refused, "{count} crashes");
    }
}

/// Guards against refusing segments because many upstreams lose power at once.
#[test]
fn crashes_at_one_moment_refuse_nothing() {
    let mut table = SuspectTable::new("a");
    for n in 0..12 {
        crash(&mut table, START + n, &format!("u{n:03}"), &[fatal()]);
    }
    table.segments_survived(START + SECOND, &[segment(1)]);
    assert!(!is_refused(&table, fatal()));
}

/// Guards against refusing a rare segment of two requests, each of which was retried in a crash loop.
#[test]
fn four_crashes_at_two_moments_refuse_nothing() {
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 2 * SECOND, &[segment(1)]);
    for (at, incarnation) in [(0, "u1"), (0, "u2"), (500, "u3"), (500, "u4")] {
        crash(&mut table, START + at, incarnation, &[fatal()]);
    }
    assert!(!is_refused(&table, fatal()));
    crash(&mut table, START + 500, "u5", &[fatal()]);
    assert!(is_refused(&table, fatal()), "five crashes");
}

/// Guards against refusing segments of use while no upstream lives long enough for any response.
#[test]
fn known_segment_is_not_refused_while_no_other_survives() {
    let known = segment(3);
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 30 * SECOND, &[known]);
    for n in 0..12 {
        let now = START + n * INTERVAL_MS;
        crash(&mut table, now, &format!("u{n:03}"), &[known, segment(4)]);
    }
    assert!(!is_refused(&table, known));
}

/// Guards against refusing what all prompts share after all instances have started anew: none of them knows of
/// a survival, and upstreams crash for another reason.
#[test]
fn no_segment_is_refused_before_survivals_are_known() {
    let shared = [segment(3), segment(4), segment(5)];
    let mut table = SuspectTable::new("a");
    for n in 0..12 {
        let now = START + n * INTERVAL_MS;
        crash(&mut table, now, &format!("u{n:03}"), &shared);
    }
    table.segments_survived(START + 12 * INTERVAL_MS, &[segment(1)]);
    assert_eq!(table.refused_segments(), vec![]);
}

/// Guards against a segment in so many requests that no other one ever survives.
#[test]
fn unknown_segment_is_refused_although_no_other_survives() {
    let mut table = SuspectTable::new("a");
    table.segments_survived(START - 5 * SECOND, &[segment(1)]);
    for n in 0..8 {
        crash(
            &mut table,
            START + n * INTERVAL_MS,
            &format!("u{n:03}"),
            &[fatal()],
        );
    }
    assert!(is_refused(&table, fatal()));
}

#[test]
fn survival_clears_crashes() {
    let mut table = SuspectTable::new("a");
    let now = crash_repeatedly(&mut table, 5, &[fatal()]);
    assert_eq!(
        table.segments_survived(now, &[segment(1), fatal()]),
        vec![fatal()]
    );
    assert!(!is_refused(&table, fatal()));
}

/// A segment that still crashes upstreams costs at most three more, however many requests have it.
#[test]
fn refused_segment_gets_three_trials_in_all() {
    let mut table = SuspectTable::new("a");
    let mut now = crash_repeatedly(&mut table, 4, &[fatal()]);
    let subject = Subject::Segment(fatal());
    let mut trials = 0;
    while now < START + 12 * 3_600 * SECOND {
        now += SECOND;
        match table.admit(now, subject) {
            Admission::TrialDue(_) => {
                assert!(table.grant_trial(now, subject), "the trial is due");
                assert!(!table.grant_trial(now, subject), "one instance at a time");
                trials += 1;
                crash(&mut table, now, &format!("t{trials}"), &[fatal()]);
            }
            Admission::Refused(_) => {}
            Admission::Allowed => panic!("allowed again after {} s", (now - START) / SECOND),
        }
    }
    assert_eq!(trials, 3);
}

/// Returns the record of a segment after crashes at another instance.
fn record_after_crashes(count: u64, segment: Segment) -> (u64, SuspectRecord) {
    let mut table = SuspectTable::new("b");
    let now = crash_repeatedly(&mut table, count, &[segment]);
    let record = table.record(now, Subject::Segment(segment));
    (now, record.expect("it has crashes there"))
}

/// Guards against refusing a segment that survives at other instances than those that saw the crashes.
#[test]
fn instance_where_it_survived_clears_the_crashes_of_others() {
    let (now, record) = record_after_crashes(4, segment(2));
    let mut table = SuspectTable::new("a");
    table.segments_survived(now - SECOND, &[segment(2)]);
    let reply = table.merge(now, &record, false);
    let reply = reply.expect("the sender does not know of the survival");
    assert!(reply.answers > record.answers && reply.crashes.is_empty());
    assert!(!is_refused(&table, segment(2)));
    assert!(
        table.updates_to_send(now).is_empty(),
        "the sender tells all"
    );
}

/// Guards against crashes that count for nothing: they are in a record from before a survival, which the
/// instance that sends it does not know of.
#[test]
fn owner_answers_a_record_from_before_a_survival() {
    let (now, first) = record_after_crashes(1, fatal());
    let mut owner = SuspectTable::new("a");
    owner.segments_survived(now, &[fatal()]);
    assert!(owner
        .merge(now, &first, true)
        .is_some_and(|r| r.answers > 0));
    let (_, second) = record_after_crashes(2, fatal());
    let reply = owner.merge(now + 30 * SECOND, &second, true);
    assert!(reply.is_some_and(|r| r.answers > second.answers));
}

/// Guards against a dozen datagrams to all instances for each crash: only an owner of the record sends
/// to all, and only when something has changed for them.
#[test]
fn owner_sends_each_stage_to_all_once() {
    let mut owner = SuspectTable::new("a");
    let mut sent_to_all = 0;
    for count in [1, 2, 3, 4, 4, 5, 6] {
        let (now, record) = record_after_crashes(count, fatal());
        owner.merge(now, &record, true);
        for _ in 0..5 {
            sent_to_all += owner.updates_to_send(now).iter().filter(|u| u.1).count();
        }
    }
    // Once for the survivals at the third crash, three times for the verdict at the fourth.
    assert_eq!(sent_to_all, 4);
}

/// Guards against allowing a refused segment again after all instances were down at once.
#[test]
fn saved_record_refuses_the_segment_after_a_restart() {
    let mut table = SuspectTable::new("a");
    let now = crash_repeatedly(&mut table, 4, &[fatal()]);
    let subject = Subject::Segment(fatal());
    assert_eq!(table.unsaved(), vec![subject]);
    let record = table.to_save(now, subject).expect("it is refused");
    let mut restarted = SuspectTable::new("b");
    restarted.load(now, record);
    assert!(is_refused(&restarted, fatal()));
    assert!(!restarted.has_unsaved());
}
