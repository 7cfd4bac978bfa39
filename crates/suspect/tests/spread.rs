//! How fast a whole fleet knows of a request under which upstreams end, with datagrams that are late, lost and doubled, and
//! what that costs.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use suspect::{Admission, Digest, SuspectRecord, SuspectTable};

/// Pause between two times that a word is told, in milliseconds.
const TELL_EVERY: u64 = 150;
/// How often one other instance in turn is told all.
const PAGE_EVERY: u64 = 500;
/// What the program needs between a crash and the word of it: the port is looked at.
const FOUND_OUT: u64 = 30;
const LOST_PCT: u32 = 10;
const DOUBLED_PCT: u32 = 5;
/// The longest way of a datagram, in milliseconds.
const LATE_MOST: u64 = 120;
/// Users count instances that hear each other as knowing by then, in milliseconds.
const KNOWN_WITHIN: u64 = 3_000;

struct Datagram {
    at: u64,
    from: usize,
    to: usize,
    words: Vec<SuspectRecord>,
}

struct Fleet {
    tables: Vec<SuspectTable>,
    /// Instances that hear nothing.
    deaf: Vec<bool>,
    under_way: VecDeque<Datagram>,
    sent: usize,
    bytes: usize,
    rng: StdRng,
    now: u64,
}

impl Fleet {
    fn open(size: usize, seed: u64) -> Fleet {
        Fleet {
            tables: (0..size)
                .map(|i| SuspectTable::new(&format!("n{i}")))
                .collect(),
            deaf: vec![false; size],
            under_way: VecDeque::new(),
            sent: 0,
            bytes: 0,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
        }
    }

    fn keepers(&self, digest: Digest) -> [usize; 2] {
        let size = self.tables.len();
        let first = (digest.placement_key() % size as u64) as usize;
        [first, (first + 1) % size]
    }

    fn send(&mut self, from: usize, to: usize, words: Vec<SuspectRecord>) {
        self.sent += 1;
        self.bytes += serde_json::to_vec(&words).expect("JSON").len();
        if from == to || self.rng.random_ratio(LOST_PCT, 100) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_ratio(DOUBLED_PCT, 100));
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(1..=LATE_MOST);
            let words = words.clone();
            self.under_way.push_back(Datagram {
                at,
                from,
                to,
                words,
            });
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|d| d.at <= self.now);
        self.under_way = later;
        let due: VecDeque<Datagram> = due;
        for Datagram {
            from, to, words, ..
        } in due
        {
            if self.deaf[to] {
                continue;
            }
            let mut lacks = Vec::new();
            for word in &words {
                let keeps = self.keepers(word.digest).contains(&to);
                lacks.extend(self.tables[to].merge(self.now, word, keeps));
            }
            if !lacks.is_empty() {
                self.send(to, from, lacks);
            }
        }
    }

    fn tell(&mut self, i: usize) {
        for (word, all) in self.tables[i].updates_to_send(self.now) {
            let to: Vec<usize> = if all {
                (0..self.tables.len()).filter(|to| *to != i).collect()
            } else {
                let keepers = self.keepers(word.digest);
                keepers.into_iter().filter(|to| *to != i).collect()
            };
            for to in to {
                self.send(i, to, vec![word.clone()]);
            }
        }
    }

    fn page(&mut self, i: usize) {
        let words = self.tables[i].next_page(self.now, 4);
        if !words.is_empty() {
            let to = self.rng.random_range(0..self.tables.len());
            self.send(i, to, words);
        }
    }

    /// Goes on for some time.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.deliver();
            for i in 0..self.tables.len() {
                // Instances do this at different times.
                let phase = 10 * (i as u64 % 50);
                if (self.now + phase) % TELL_EVERY < 10 {
                    self.tell(i);
                }
                if (self.now + phase) % PAGE_EVERY < 10 {
                    self.page(i);
                }
            }
        }
    }

    /// Has an upstream end, as one instance sees it.
    fn end(&mut self, at: usize, incarnation: &str, digest: Digest) {
        self.tables[at].connection_broke(self.now, incarnation, digest);
        self.run(FOUND_OUT);
        self.tables[at].upstream_crashed(self.now, incarnation);
    }

    fn refuse(&mut self, digest: Digest) -> usize {
        let now = self.now;
        let refuses = |t: &mut SuspectTable| t.admit(now, digest) != Admission::Allowed;
        self.tables.iter_mut().map(refuses).filter(|r| *r).count()
    }
}

fn fatal() -> Digest {
    Digest::of([b"fatal".as_slice()])
}

/// Each of three ends is seen by another instance; all refuse the request well within the time.
#[test]
fn three_ends_seen_by_three_instances_are_known_to_all() {
    for size in [3, 9, 195, 970] {
        let mut fleet = Fleet::open(size, size as u64);
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.end(i * (size / 3), incarnation, fatal());
        }
        let mut took = 0;
        while fleet.refuse(fatal()) < size {
            fleet.run(50);
            took += 50;
            assert!(
                took < KNOWN_WITHIN,
                "{size}: {} know",
                fleet.refuse(fatal())
            );
        }
        fleet.run(KNOWN_WITHIN);
        println!(
            "{size} instances: known to all after {took} ms; {} datagrams, {} bytes",
            fleet.sent, fleet.bytes
        );
    }
}

/// The instance that saw all three is lost after its first word.
#[test]
fn what_a_lost_instance_told_is_known_to_all() {
    for seed in 0..20 {
        let mut fleet = Fleet::open(9, seed);
        for incarnation in ["u1", "u2", "u3"] {
            fleet.end(4, incarnation, fatal());
        }
        fleet.run(TELL_EVERY);
        fleet.tables[4] = SuspectTable::new("n4");
        fleet.run(KNOWN_WITHIN);
        assert_eq!(fleet.refuse(fatal()), 9, "seed {seed}");
    }
}

/// One that hears nothing for a while knows it within the time after that.
#[test]
fn one_that_was_cut_off_hears_of_it_later() {
    for seed in 0..20 {
        let mut fleet = Fleet::open(9, seed);
        fleet.deaf[7] = true;
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.end(i, incarnation, fatal());
        }
        fleet.run(10_000);
        assert_eq!(fleet.refuse(fatal()), 8, "seed {seed}");
        fleet.deaf[7] = false;
        fleet.run(KNOWN_WITHIN);
        assert_eq!(fleet.refuse(fatal()), 9, "seed {seed}");
    }
}

/// A whole answer makes it free everywhere, also where an instance missed the word of it.
#[test]
fn a_whole_answer_is_known_to_all() {
    for seed in 0..20 {
        let mut fleet = Fleet::open(9, seed);
        for (i, incarnation) in ["u1", "u2", "u3"].iter().enumerate() {
            fleet.end(i, incarnation, fatal());
        }
        fleet.run(KNOWN_WITHIN);
        fleet.deaf[7] = true;
        let now = fleet.now;
        assert!(fleet.tables[2].request_answered(now, fatal()));
        fleet.run(KNOWN_WITHIN);
        fleet.deaf[7] = false;
        fleet.run(KNOWN_WITHIN);
        assert_eq!(fleet.refuse(fatal()), 0, "seed {seed}");
    }
}

/// A whole domain of upstreams is lost: each instance has many requests there, all different, and all but nothing is told.
#[test]
fn the_loss_of_a_domain_costs_little() {
    const SIZE: usize = 195;
    const LIVES: usize = 20;
    let mut fleet = Fleet::open(SIZE, 1);
    for i in 0..SIZE {
        for j in 0..LIVES {
            let (incarnation, digest) = (format!("u{j}"), format!("{i}-{j}"));
            let now = fleet.now;
            fleet.tables[i].connection_broke(now, &incarnation, Digest::of([digest.as_bytes()]));
        }
    }
    for i in 0..SIZE {
        for j in 0..LIVES {
            let now = fleet.now;
            fleet.tables[i].upstream_crashed(now, &format!("u{j}"));
        }
    }
    fleet.run(KNOWN_WITHIN);
    let each = fleet.sent / SIZE;
    println!(
        "{} datagrams, {} bytes; {each} datagrams an instance",
        fleet.sent, fleet.bytes
    );
    // Each request's word goes to two instances, three times.
    assert!(each <= LIVES * 2 * 3, "{each} datagrams an instance");
}

/// Has the request come to an instance; returns whether it is sent: freely, or as a trial that its keeper grants.
fn comes(fleet: &mut Fleet, at: usize) -> bool {
    let now = fleet.now;
    match fleet.tables[at].admit(now, fatal()) {
        Admission::Allowed => true,
        Admission::Refused(_) => false,
        Admission::TrialDue(_) => {
            let keepers = fleet.keepers(fatal()).into_iter();
            let keepers: Vec<usize> = keepers.filter(|k| !fleet.deaf[*k]).collect();
            // What the other one knows comes first, then the first one decides.
            let mut granted = false;
            for keeper in keepers.iter().rev() {
                let word = fleet.tables[at].record(now, fatal()).expect("refused here");
                fleet.tables[*keeper].merge(now, &word, true);
                if Some(keeper) == keepers.first() {
                    granted = fleet.tables[*keeper].grant_trial(now, fatal());
                }
                let word = fleet.tables[*keeper].record(now, fatal());
                let word = word.expect("it was told");
                fleet.tables[at].merge(now, &word, false);
            }
            granted
        }
    }
}

/// The request goes on coming for a quarter of an hour, to any instance, and ends each upstream that runs it. Instances are
/// killed and start again, the one that decides among them, and stand still for a while; what they know then is what
/// two others tell them at the start, and what they hear. From the time on by which all know, it is sent three times more by
/// those that have not stood still within that time before.
#[test]
fn three_more_sends_in_all_and_for_good() {
    const SIZE: usize = 9;
    const COMES_EVERY: u64 = 250;
    for seed in 0..20 {
        let mut fleet = Fleet::open(SIZE, seed);
        let (mut ends, mut known_at, mut late) = (0, u64::MAX, 0);
        let mut wakes_at = [0; SIZE];
        while fleet.now < 900_000 {
            let at = fleet.rng.random_range(0..SIZE);
            if !fleet.deaf[at] && comes(&mut fleet, at) {
                ends += 1;
                let in_touch = fleet.now > wakes_at[at] + KNOWN_WITHIN;
                late += usize::from(fleet.now > known_at && in_touch);
                fleet.end(at, &format!("u{ends:04}"), fatal());
                if ends == 3 {
                    known_at = fleet.now + KNOWN_WITHIN;
                }
            }
            fleet.run(COMES_EVERY);
            if fleet.rng.random_ratio(1, 80) {
                let killed = fleet.rng.random_range(0..SIZE);
                fleet.tables[killed] = SuspectTable::new(&format!("n{killed}"));
                for other in [(killed + 3) % SIZE, (killed + 5) % SIZE] {
                    let now = fleet.now;
                    for word in fleet.tables[other].list(now) {
                        fleet.tables[killed].merge(now, &word, false);
                    }
                }
            }
            if fleet.rng.random_ratio(1, 80) {
                let still = fleet.rng.random_range(0..SIZE);
                wakes_at[still] = fleet.now + 4_000;
            }
            let still = wakes_at.iter().map(|at| fleet.now < *at);
            fleet.deaf = still.collect();
        }
        assert!(
            late <= 3,
            "seed {seed}: sent {late} times more, {ends} ends"
        );
        assert!(late >= 1, "seed {seed}: never tried");
    }
}
