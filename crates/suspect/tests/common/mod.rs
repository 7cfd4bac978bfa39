//! A fleet of tables that exchange records in datagrams which are delayed, lost and duplicated.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use suspect::{Subject, SuspectRecord, SuspectTable};

/// Interval at which an instance sends its pending updates, in milliseconds.
pub(crate) const SEND_INTERVAL_MS: u64 = 150;
/// Interval at which an instance sends a page of refused requests to one other instance, in
/// milliseconds.
const PAGE_INTERVAL_MS: u64 = 500;
/// Time that the proxy takes to notice a crash, in milliseconds: it checks the upstream's port.
pub(crate) const CRASH_CHECK_MS: u64 = 30;
const LOST_PCT: u32 = 10;
const DUPLICATED_PCT: u32 = 5;
/// Longest delay of a datagram, in milliseconds.
const MAX_DELAY_MS: u64 = 120;
/// Time within which users expect all instances that reach each other to know, in milliseconds.
pub(crate) const PROPAGATION_LIMIT_MS: u64 = 3_000;

struct Datagram {
    arrives_at: u64,
    from: usize,
    to: usize,
    records: Vec<SuspectRecord>,
}

/// The tables of a fleet.
pub(crate) struct Fleet {
    pub(crate) tables: Vec<SuspectTable>,
    /// Whether each instance receives no datagrams.
    pub(crate) cut_off: Vec<bool>,
    in_flight: VecDeque<Datagram>,
    pub(crate) datagrams_sent: usize,
    pub(crate) bytes_sent: usize,
    /// The bytes that each instance has sent.
    pub(crate) bytes_sent_by: Vec<usize>,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64) -> Fleet {
        Fleet {
            tables: (0..size)
                .map(|i| SuspectTable::new(&format!("n{i}")))
                .collect(),
            cut_off: vec![false; size],
            in_flight: VecDeque::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            bytes_sent_by: vec![0; size],
            rng: StdRng::seed_from_u64(seed),
            now: 0,
        }
    }

    pub(crate) fn owners(&self, digest: Subject) -> [usize; 2] {
        let size = self.tables.len();
        let first = (digest.placement_key() % size as u64) as usize;
        [first, (first + 1) % size]
    }

    fn send(&mut self, from: usize, to: usize, records: Vec<SuspectRecord>) {
        // An instance that owns a record merges it itself.
        if from == to {
            for record in &records {
                self.tables[to].merge(self.now, record, true);
            }
            return;
        }
        self.datagrams_sent += 1;
        let bytes = serde_json::to_vec(&records).expect("JSON").len();
        self.bytes_sent += bytes;
        self.bytes_sent_by[from] += bytes;
        if self.rng.random_ratio(LOST_PCT, 100) {
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
                self.owners(record.subject).to_vec()
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
            if to != i {
                self.send(i, to, records);
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, ms: u64) {
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

    /// Makes an upstream crash with subjects present at one instance.
    pub(crate) fn crash(&mut self, at: usize, incarnation: &str, present: &[Subject]) {
        for subject in present {
            self.tables[at].connection_broke(self.now, incarnation, *subject);
        }
        self.advance(CRASH_CHECK_MS);
        self.tables[at].upstream_crashed(self.now, incarnation);
    }

    /// Returns the number of instances that refuse a subject.
    pub(crate) fn refusing_count(&self, subject: Subject) -> usize {
        let refuses = |t: &&SuspectTable| t.is_refused(subject);
        self.tables.iter().filter(refuses).count()
    }
}
