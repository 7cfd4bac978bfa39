//! How fast a whole fleet learns of a request that crashes upstreams, and at what cost, when
//! datagrams are delayed, lost and duplicated.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use suspect::{Admission, Digest, Subject, SuspectRecord, SuspectTable};

/// Interval at which an instance sends its pending updates, in milliseconds.
const SEND_INTERVAL_MS: u64 = 150;
/// Interval at which an instance sends a page of refused requests to one other instance, in
/// milliseconds.
const PAGE_INTERVAL_MS: u64 = 500;
/// Time that the proxy takes to notice a crash, in milliseconds: it checks the upstream's port.
const CRASH_CHECK_MS: u64 = 30;
const LOST_PCT: u32 = 10;
const DUPLICATED_PCT: u32 = 5;
/// Longest delay of a datagram, in milliseconds.
const MAX_DELAY_MS: u64 = 120;
/// Time within which users expect all instances that reach each other to know, in milliseconds.
const PROPAGATION_LIMIT_MS: u64 = 3_000;

struct Datagram {
    arrives_at: u64,
    from: usize,
    to: usize,
    records: Vec<SuspectRecord>,
}

struct Fleet {
    tables: Vec<SuspectTable>,
    /// Whether each instance receives no datagrams.
    cut_off: Vec<bool>,
    in_flight: VecDeque<Datagram>,
    datagrams_sent: usize,
    bytes_sent: usize,
    rng: StdRng,
    now: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        Fleet {
            tables: (0..size)
                .map(|i| SuspectTable::new(&format!("n{i}")))
                .collect(),
            cut_off: vec![false; size],
            in_flight: VecDeque::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
        }
    }

    fn owners(&self, digest: Subject) -> [usize; 2] {
        let size = self.tables.len();
        let first = (digest.placement_key() % size as u64) as usize;
        [first, (first + 1) % size]
    }

    fn send(&mut self, from: usize, to: usize, records: Vec<SuspectRecord>) {
        self.datagrams_sent += 1;
        self.bytes_sent += serde_json::to_vec(&records).expect("JSON").len();
        if from == to || self.rng.random_ratio(LOST_PCT, 100) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_ratio(DUPLICATED_PCT, 100));
        for _ in 0..copies {
            let arrives_at = self.now + self.rng.random_range(1..=MAX_DELAY_MS);
            let records = records.clone();
            self.in_flight.push_back(Datagram {
                arrives_at,
                from,
                to,
                records,
            });
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|d| d.arrives_at <= self.now);
        self.in_flight = later;
        let due: VecDeque<Datagram> = due;
        for Datagram {
            from, to, records, ..
        } in due
        {
            if self.cut_off[to] {
                continue;
            }
            let mut replies = Vec::new();
            for record in &records {
                let is_owner = self.owners(record.subject).contains(&to);
                replies.extend(self.tables[to].merge(self.now, record, is_owner));
            }
            if !replies.is_empty() {
                self.send(to, from, replies);
            }
        }
    }

    fn send_updates(&mut self, i: usize) {
        for (record, to_all) in self.tables[i].updates_to_send(self.now) {
            let to: Vec<usize> = if to_all {
                (0..self.tables.len()).filter(|to| *to != i).collect()
            } else {
                let owners = self.owners(record.subject);
                owners.into_iter().filter(|to| *to != i).collect()
            };
            for to in to {
                self.send(i, to, vec![record.clone()]);
            }
        }
    }

    fn send_page(&mut self, i: usize) {
        let records = self.tables[i].next_page(self.now, 4);
        if !records.is_empty() {
            let to = self.rng.random_range(0..self.tables.len());
            self.send(i, to, records);
        }
    }

    /// Lets time pass.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.deliver();
            for i in 0..self.tables.len() {
                // The instances are not synchronized.
                let phase = 10 * (i as u64 % 50);
                if (self.now + phase) % SEND_INTERVAL_MS < 10 {
                    self.send_updates(i);
                }
                if (self.now + phase) % PAGE_INTERVAL_MS < 10 {
                    self.send_page(i);
                }
            }
        }
    }

    /// Makes an upstream crash while it runs a request for one instance.
    fn crash(&mut self, at: usize, incarnation: &str, digest: Subject) {
        self.tables[at].connection_broke(self.now, incarnation, digest);
        self.advance(CRASH_CHECK_MS);
        self.tables[at].upstream_crashed(self.now, incarnation);
    }

    /// Returns the number of instances that do not allow a request.
    fn refusing_count(&mut self, digest: Subject) -> usize {
        let now = self.now;
        let refuses = |t: &mut SuspectTable| t.admit(now, digest) != Admission::Allowed;
        self.tables.iter_mut().map(refuses).filter(|r| *r).count()
    }
}

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
            fleet.crash(i * (size / 3), incarnation, fatal());
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
            fleet.crash(4, incarnation, fatal());
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
            fleet.crash(i, incarnation, fatal());
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
            fleet.crash(i, incarnation, fatal());
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
                fleet.crash(at, &format!("u{crashes:04}"), fatal());
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
