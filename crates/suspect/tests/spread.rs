//! How fast a whole fleet learns of a request that crashes upstreams, and at what cost, when
//! datagrams are delayed, lost and duplicated.

mod common;

use common::{Fleet, PROPAGATION_LIMIT_MS, SEND_INTERVAL_MS};
use rand::Rng;
use suspect::{Admission, Digest, Subject, SuspectTable};

fn fatal() -> Subject {
    Subject::Request(Digest::of([b"fatal".as_slice()]))
}

/// Each of three crashes is seen by a different instance; all instances refuse the request within
/// the limit.
#[test]
fn crashes_seen_by_different_instances_reach_all() {
    for size in [3, 9, 195, 970] {
        let mut fleet = Fleet::new(size, size as u64);
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.crash(i * (size / 3), incarnation, &[fatal()]);
        }
        let mut took = 0;
        while fleet.refusing_count(fatal()) < size {
            fleet.advance(50);
            took += 50;
            assert!(
                took < PROPAGATION_LIMIT_MS,
                "{size}: {} know",
                fleet.refusing_count(fatal())
            );
        }
        fleet.advance(PROPAGATION_LIMIT_MS);
        println!(
            "{size} instances: known to all after {took} ms; {} datagrams, {} bytes",
            fleet.datagrams_sent, fleet.bytes_sent
        );
    }
}

/// The instance that saw all three crashes is lost after it has sent its first update.
#[test]
fn record_sent_by_a_lost_instance_reaches_all() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        for incarnation in ["u1", "u2", "u3"] {
            fleet.crash(4, incarnation, &[fatal()]);
        }
        fleet.advance(SEND_INTERVAL_MS);
        fleet.tables[4] = SuspectTable::new("n4");
        fleet.advance(PROPAGATION_LIMIT_MS);
        assert_eq!(fleet.refusing_count(fatal()), 9, "seed {seed}");
    }
}

/// An instance that receives nothing for a while learns of the request within the limit after that.
#[test]
fn instance_that_was_cut_off_learns_later() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        fleet.cut_off[7] = true;
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.crash(i, incarnation, &[fatal()]);
        }
        fleet.advance(10_000);
        assert_eq!(fleet.refusing_count(fatal()), 8, "seed {seed}");
        fleet.cut_off[7] = false;
        fleet.advance(PROPAGATION_LIMIT_MS);
        assert_eq!(fleet.refusing_count(fatal()), 9, "seed {seed}");
    }
}

/// After a complete response all instances allow the request again, also one that missed the
/// update.
#[test]
fn complete_response_reaches_all() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.crash(i, incarnation, &[fatal()]);
        }
        fleet.advance(PROPAGATION_LIMIT_MS);
        fleet.cut_off[7] = true;
        let now = fleet.now;
        assert!(fleet.tables[2].request_answered(now, fatal()));
        fleet.advance(PROPAGATION_LIMIT_MS);
        fleet.cut_off[7] = false;
        fleet.advance(PROPAGATION_LIMIT_MS);
        assert_eq!(fleet.refusing_count(fatal()), 0, "seed {seed}");
    }
}

/// Guards against a burst of datagrams when a whole failure domain of upstreams is lost: each
/// instance has many requests there, all different, and few datagrams may be sent for each.
#[test]
fn loss_of_a_failure_domain_sends_few_datagrams() {
    const SIZE: usize = 195;
    const UPSTREAMS: usize = 20;
    let mut fleet = Fleet::new(SIZE, 1);
    for i in 0..SIZE {
        for j in 0..UPSTREAMS {
            let (incarnation, digest) = (format!("u{j}"), format!("{i}-{j}"));
            let now = fleet.now;
            fleet.tables[i].connection_broke(
                now,
                &incarnation,
                Subject::Request(Digest::of([digest.as_bytes()])),
            );
        }
    }
    for i in 0..SIZE {
        for j in 0..UPSTREAMS {
            let now = fleet.now;
            fleet.tables[i].upstream_crashed(now, &format!("u{j}"));
        }
    }
    fleet.advance(PROPAGATION_LIMIT_MS);
    let each = fleet.datagrams_sent / SIZE;
    println!(
        "{} datagrams, {} bytes; {each} datagrams an instance",
        fleet.datagrams_sent, fleet.bytes_sent
    );
    // The record of each request goes to its two owners, three times.
    assert!(each <= UPSTREAMS * 2 * 3, "{each} datagrams an instance");
}

/// Sends the request to an instance; returns whether the instance forwards it, because it is
/// allowed or because an owner grants a trial.
fn is_forwarded(fleet: &mut Fleet, at: usize) -> bool {
    let now = fleet.now;
    match fleet.tables[at].admit(now, fatal()) {
        Admission::Allowed => true,
        Admission::Refused(_) => false,
        Admission::TrialDue(_) => {
            let owners = fleet.owners(fatal()).into_iter();
            let owners: Vec<usize> = owners.filter(|o| !fleet.cut_off[*o]).collect();
            // Records are exchanged with the second owner before the first one decides.
            let mut granted = false;
            for owner in owners.iter().rev() {
                let record = fleet.tables[at]
                    .record(now, fatal())
                    .expect("it has crashes here");
                fleet.tables[*owner].merge(now, &record, true);
                if Some(owner) == owners.first() {
                    granted = fleet.tables[*owner].grant_trial(now, fatal());
                }
                let record = fleet.tables[*owner].record(now, fatal());
                let record = record.expect("it was merged");
                fleet.tables[at].merge(now, &record, false);
            }
            granted
        }
    }
}

/// Guards against a refused request crashing further upstreams: callers send it to any instance for
/// a quarter of an hour, and it crashes each upstream that runs it. Instances, among them the one
/// that grants trials, are killed and restarted, and others are cut off for a while. A restarted
/// instance learns what two others know, and the rest from datagrams. Once all instances should
/// know of the request, it is forwarded at most three times more, not counting instances that were
/// cut off within the limit before.
#[test]
fn refused_request_is_forwarded_at_most_three_times_more() {
    const SIZE: usize = 9;
    const CALL_INTERVAL_MS: u64 = 250;
    for seed in 0..20 {
        let mut fleet = Fleet::new(SIZE, seed);
        let (mut crashes, mut known_at, mut late_forwards) = (0, u64::MAX, 0);
        let mut reachable_at = [0; SIZE];
        while fleet.now < 900_000 {
            let at = fleet.rng.random_range(0..SIZE);
            if !fleet.cut_off[at] && is_forwarded(&mut fleet, at) {
                crashes += 1;
                let was_reachable = fleet.now > reachable_at[at] + PROPAGATION_LIMIT_MS;
                late_forwards += usize::from(fleet.now > known_at && was_reachable);
                fleet.crash(at, &format!("u{crashes:04}"), &[fatal()]);
                if crashes == 3 {
                    known_at = fleet.now + PROPAGATION_LIMIT_MS;
                }
            }
            fleet.advance(CALL_INTERVAL_MS);
            if fleet.rng.random_ratio(1, 80) {
                let killed = fleet.rng.random_range(0..SIZE);
                fleet.tables[killed] = SuspectTable::new(&format!("n{killed}"));
                for other in [(killed + 3) % SIZE, (killed + 5) % SIZE] {
                    let now = fleet.now;
                    for record in fleet.tables[other].list(now) {
                        fleet.tables[killed].merge(now, &record, false);
                    }
                }
            }
            if fleet.rng.random_ratio(1, 80) {
                let cut_off = fleet.rng.random_range(0..SIZE);
                reachable_at[cut_off] = fleet.now + 4_000;
            }
            let cut_off = reachable_at.iter().map(|at| fleet.now < *at);
            fleet.cut_off = cut_off.collect();
        }
        assert!(
            late_forwards <= 3,
            "seed {seed}: forwarded {late_forwards} times more, {crashes} crashes"
        );
        assert!(late_forwards >= 1, "seed {seed}: no trial");
    }
}
