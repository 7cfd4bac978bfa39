//! The task that keeps the holdings filled: reads records, plans, writes.

use std::time::Duration;

use escrow::{Holding, Known, Line, Record};
use kv::{Commit, Expect, Found, Put, Txn, TXN_MOST};
use rand::Rng;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::{Bank, Means, TRIES};
use crate::event::Event;

/// Keys of budgets' records.
const PREFIX: &str = "oriolehitch/budgets/";
/// How often the holdings are looked through: a call of the store each time, for tokens that last ten
/// times as long.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);
/// Records older than this are read again before requests are refused by them, in milliseconds.
const RECORDS_OLD_MS: u64 = 250;
/// Shortest pause between two looks that requests ask for.
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// The store alone is waited for so long; then other instances are asked beside it.
const STORE_FIRST: Duration = Duration::from_millis(30);
/// Reading and writing the records takes no longer; what was sent may still take effect.
const CHANGE_MOST: Duration = Duration::from_millis(800);
/// A transaction takes so many records: each needs a condition and a write.
const RECORDS_MOST: usize = TXN_MOST / 2;
/// Longest pause before a transaction that lost against others is tried again, in milliseconds.
const TRY_PAUSE_MS: u64 = 12;

/// How a transaction ended.
pub(super) enum Wrote {
    Done,
    Lost,
    Failed,
}

impl Bank {
    /// Keeps the holdings filled.
    pub(crate) fn spawn(&self, means: Means) {
        assert!(self.0.means.set(means).is_ok(), "spawned once");
        let bank = self.clone();
        tokio::spawn(async move {
            loop {
                let tick = Instant::now() + LOOK_EVERY;
                let _ = timeout_at(tick, bank.0.wake.notified()).await;
                bank.look().await;
                bank.0.looks.send_modify(|n| *n += 1);
                sleep(LOOK_LEAST).await;
            }
        });
    }

    pub(super) fn means(&self) -> &Means {
        self.0.means.get().expect("set before anything runs")
    }

    /// Looks through all holdings once.
    pub(super) async fn look(&self) {
        if self.is_leaving() {
            return;
        }
        if !self.wants_change() || self.means().reach.is_out() {
            self.ask_for_missing().await;
            return;
        }
        let change = timeout(CHANGE_MOST, self.change());
        tokio::pin!(change);
        // A store that does not answer shows only after a while, and requests wait.
        if timeout(STORE_FIRST, &mut change).await.is_err() {
            let (_, ()) = tokio::join!(change, self.ask_for_missing());
            return;
        }
        self.ask_for_missing().await;
    }

    async fn ask_for_missing(&self) {
        for customer in self.missing() {
            self.ask_peers(&customer).await;
        }
    }

    fn wants_change(&self) -> bool {
        let (now, me, live) = (self.0.clock.now(), self.me(), self.means().fleet.live());
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        let mut holdings = accounts.values_mut().map(|a| &mut a.holding);
        holdings
            .any(|h| h.known().is_none() || h.missing() > 0 || h.plan(now, &me, &live).is_some())
    }

    fn missing(&self) -> Vec<String> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let lacking = accounts.iter().filter(|(_, a)| a.holding.missing() > 0);
        lacking.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn me(&self) -> String {
        self.means().fleet.me().to_string()
    }

    /// Writes the own lines where they should change.
    ///
    /// What was read last is good enough to begin with: a transaction that loses against another
    /// instance's brings the records as they are now.
    async fn change(&self) {
        if self.must_read() && !self.read().await {
            return;
        }
        for _ in 0..TRIES {
            let txn = self.plan(false);
            if txn.put.is_empty() {
                return;
            }
            match self.commit(txn).await {
                Wrote::Done | Wrote::Failed => return,
                Wrote::Lost => {
                    let pause = rand::rng().random_range(0..TRY_PAUSE_MS);
                    sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Returns whether a record was never read, or requests lack tokens by an old one.
    fn must_read(&self) -> bool {
        let now = self.0.clock.now();
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let old = |h: &Holding| match h.known() {
            None => true,
            Some(known) => h.missing() > 0 && now > known.at + RECORDS_OLD_MS,
        };
        accounts.values().any(|a| old(&a.holding))
    }

    /// Reads all records; returns whether the store answered.
    pub(super) async fn read(&self) -> bool {
        let means = self.means();
        match means.store.list(PREFIX).await {
            Ok(listing) => {
                means.reach.answered();
                self.learn_all(&listing.items);
                true
            }
            Err(failure) => {
                means.reach.failed(&failure);
                false
            }
        }
    }

    pub(super) async fn commit(&self, txn: Txn) -> Wrote {
        let means = self.means();
        let written = txn.put.clone();
        match means.store.commit(txn).await {
            Ok(Commit::Done(revision)) => {
                means.reach.answered();
                let found = written.into_iter().map(|p| Found {
                    key: p.key,
                    value: p.value,
                    revision,
                });
                let found: Vec<Found> = found.collect();
                self.learn(&found);
                Wrote::Done
            }
            Ok(Commit::Lost(items)) => {
                means.reach.answered();
                self.learn(&items);
                Wrote::Lost
            }
            Ok(Commit::LeaseEnded) => Wrote::Failed,
            Err(failure) => {
                means.reach.failed(&failure);
                let detail = format_args!("what=budgets why={failure:?}");
                self.0.log.note(Event::WriteFailed, detail);
                Wrote::Failed
            }
        }
    }

    /// Returns the transaction that brings the own lines to where they should be.
    pub(super) fn plan(&self, leaving: bool) -> Txn {
        let (now, me, live) = (self.0.clock.now(), self.me(), self.means().fleet.live());
        let mut txn = Txn::default();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for (name, account) in accounts.iter_mut() {
            if txn.put.len() == RECORDS_MOST {
                break;
            }
            let holding = &mut account.holding;
            let line = if leaving {
                holding.leave()
            } else {
                holding.plan(now, &me, &live)
            };
            let (Some(line), Some(known)) = (line, holding.known()) else {
                continue;
            };
            let key = format!("{PREFIX}{name}");
            let record = known.record.with(&me, line, &live);
            self.log_grant(name, line, &record, holding);
            txn.expect.push(Expect {
                key: key.clone(),
                revision: known.revision,
            });
            txn.put.push(Put {
                key,
                value: record.to_bytes(),
                lease: 0,
            });
        }
        txn
    }

    fn log_grant(&self, customer: &str, line: Line, record: &Record, holding: &Holding) {
        let detail = format_args!(
            "customer={customer} granted={} returned={} spent={} rate={} balance={} charged={} all_spent={} prepaid={}",
            line.granted,
            line.returned,
            line.spent,
            line.rate,
            holding.balance(),
            record.charged(),
            record.spent(),
            holding.prepaid(),
        );
        self.0.log.note(Event::Grant, detail);
    }

    /// Takes all records as they are now; those that are missing are empty.
    fn learn_all(&self, items: &[Found]) {
        let now = self.0.clock.now();
        let me = self.me();
        {
            let mut accounts = self.0.accounts.lock().expect("no panic inside");
            for (name, account) in accounts.iter_mut() {
                let key = format!("{PREFIX}{name}");
                if items.iter().all(|f| f.key != key) {
                    let empty = Known {
                        record: Record::default(),
                        revision: 0,
                        at: now,
                    };
                    account.holding.learn(&me, empty);
                }
            }
        }
        self.learn(items);
    }

    fn learn(&self, items: &[Found]) {
        let now = self.0.clock.now();
        let me = self.me();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for found in items {
            let name = found.key.strip_prefix(PREFIX).unwrap_or_default();
            let Some(account) = accounts.get_mut(name) else {
                continue;
            };
            match Record::parse(&found.value) {
                Ok(record) => {
                    let known = Known {
                        record,
                        revision: found.revision,
                        at: now,
                    };
                    account.holding.learn(&me, known);
                }
                Err(why) => {
                    let detail = format_args!("key={} why={why}", found.key);
                    self.0.log.note(Event::RecordBroken, detail);
                }
            }
        }
    }
}
