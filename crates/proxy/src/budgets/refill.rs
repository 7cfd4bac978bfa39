//! The task that keeps the holdings filled: looks through them, plans, writes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use escrow::{Ledger, LedgerEntry};
use futures_util::future::join_all;
use kv::{Commit, Expect, Found, Put, Txn, TXN_MOST};
use rand::Rng;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::records::PREFIX;
use super::{Budgets, Dependencies, TRIES};
use crate::event::Event;
use crate::roster::HomeScope;

/// How often all holdings are looked through: a call of the store each time, for tokens that last ten
/// times as long.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);
/// A fleet of more instances than this looks more seldom, so that all of them together write no more:
/// the more writes, the more of them meet at one record, and one of two that meet is in vain.
const OFTEN_MOST: u32 = 40;
/// Longest pause between two looks: less than half of what grants last.
const LOOK_MOST: Duration = Duration::from_secs(4);
/// Instances that start together do not look at the same time: longest random addition, in
/// milliseconds.
const LOOK_SPREAD_MS: u64 = 100;
/// Shortest pause between two looks that requests ask for.
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// The store alone is waited for so long; then other instances are asked beside it.
const STORE_FIRST: Duration = Duration::from_millis(30);
/// Reading and writing the records takes no longer; what was sent may still take effect.
const CHANGE_MOST: Duration = Duration::from_millis(800);
/// A transaction takes so many records beside the own book: each needs a condition and a write.
const RECORDS_MOST: usize = TXN_MOST / 2 - 1;
/// Longest pause before a transaction that lost against others is tried again, in milliseconds for
/// each time that it lost: what it lost against is known then, and others lost as well.
const TRY_PAUSE_MS: u64 = 4;

/// How a transaction ended.
pub(super) enum Wrote {
    Done,
    Lost,
    Failed,
}

/// Which lines a transaction changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All that should change.
    All,
    /// Those of customers whose requests wait: the fewer records, the fewer meetings with others.
    Missing,
    /// All, with everything handed back that can be.
    Leaving,
}

impl Budgets {
    /// Keeps the holdings filled.
    pub(crate) fn spawn(&self, means: Dependencies) {
        assert!(self.0.means.set(means).is_ok(), "spawned once");
        tokio::spawn(self.clone().settle());
        let bank = self.clone();
        tokio::spawn(async move {
            let mut due = Instant::now();
            loop {
                let _ = timeout_at(due, bank.0.wake.notified()).await;
                let scope = if Instant::now() < due {
                    Scope::Missing
                } else {
                    due = Instant::now() + bank.pause();
                    Scope::All
                };
                bank.look(scope).await;
                bank.looked();
                sleep(LOOK_LEAST).await;
            }
        });
    }

    /// Returns the pause until all holdings are looked through again.
    fn pause(&self) -> Duration {
        let sharers = self.means().fleet.instance_count() as u32;
        let pause = LOOK_EVERY * sharers.max(OFTEN_MOST) / OFTEN_MOST;
        let spread = rand::rng().random_range(0..LOOK_SPREAD_MS);
        pause.min(LOOK_MOST) + Duration::from_millis(spread)
    }

    pub(super) fn means(&self) -> &Dependencies {
        self.0.means.get().expect("set before anything runs")
    }

    /// Looks through holdings once.
    async fn look(&self, scope: Scope) {
        if self.is_shutting_down() {
            return;
        }
        if self.is_store_unreachable() {
            self.ask_for_missing().await;
            return;
        }
        let change = timeout(CHANGE_MOST, self.change(scope));
        tokio::pin!(change);
        if timeout(STORE_FIRST, &mut change).await.is_ok() {
            self.ask_for_missing().await;
            return;
        }
        // A store that does not answer shows only after a while, and requests come meanwhile.
        let ended = AtomicBool::new(false);
        let change = async {
            // Without an answer in time the next look begins with what is known.
            let _ = change.await;
            ended.store(true, Ordering::Relaxed);
            self.0.wake.notify_one();
        };
        tokio::join!(change, self.ask_until(&ended));
    }

    /// Asks other instances for what requests lack, and again for each request that comes.
    ///
    /// An ask is never dropped: what the other one has debited would be lost.
    async fn ask_until(&self, ended: &AtomicBool) {
        while !ended.load(Ordering::Relaxed) {
            self.ask_for_missing().await;
            self.looked();
            self.0.wake.notified().await;
            sleep(LOOK_LEAST).await;
        }
    }

    /// Tells requests that wait that they may look again.
    pub(super) fn looked(&self) {
        self.0.looks.send_modify(|n| *n += 1);
    }

    async fn ask_for_missing(&self) {
        let missing = self.missing();
        let asks = missing.iter().map(|customer| self.ask_peers(customer));
        join_all(asks).await;
    }

    fn missing(&self) -> Vec<String> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let lacking = accounts.iter().filter(|(_, a)| a.holding.shortfall() > 0);
        lacking.map(|(name, _)| name.clone()).collect()
    }

    /// Writes the own lines where they should change.
    ///
    /// What was read last is good enough to begin with: a transaction that loses against another
    /// instance's brings the records as they are now.
    async fn change(&self, scope: Scope) {
        let unread = self.unread();
        let read = !unread.is_empty() || self.is_book_outdated();
        if read && !self.read(&unread).await {
            return;
        }
        for lost in 1..=TRIES {
            let txn = self.plan(scope);
            if self.is_book_outdated() && self.read_book().await {
                continue;
            }
            if txn.put.is_empty() {
                return;
            }
            match self.commit(txn).await {
                Wrote::Done | Wrote::Failed => return,
                Wrote::Lost => {
                    let pause = rand::rng().random_range(0..TRY_PAUSE_MS * lost as u64);
                    sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    pub(super) async fn commit(&self, txn: Txn) -> Wrote {
        let means = self.means();
        let written = txn.put.clone();
        match means.store.commit(txn).await {
            Ok(Commit::Done(revision)) => {
                let found = written.into_iter().map(|p| Found {
                    key: p.key,
                    value: p.value,
                    revision,
                });
                let found: Vec<Found> = found.collect();
                self.learn(&found);
                self.learn_book(found.iter().find(|f| f.key == self.book_key()));
                Wrote::Done
            }
            Ok(Commit::Lost(items)) => {
                self.learn(&items);
                self.learn_book(items.iter().find(|f| f.key == self.book_key()));
                Wrote::Lost
            }
            Ok(Commit::LeaseEnded) => Wrote::Failed,
            Err(failure) => {
                let detail = format_args!("what=budgets why={failure:?}");
                self.0.log.event(Event::StoreWriteFailed, detail);
                Wrote::Failed
            }
        }
    }

    /// Returns the transaction that brings the own lines to where they should be; empty when they are.
    ///
    /// # Panics
    ///
    /// Panics when a record lacks a line of the own book, though it is no newer than that book, or the book was read again since:
    /// tokens could be spent twice.
    pub(super) fn plan(&self, scope: Scope) -> Txn {
        let (now, sharers) = (
            self.0.clock.now(),
            self.means().fleet.instance_count() as u64,
        );
        let mut txn = Txn::default();
        let Some(book_revision) = self.book() else {
            return txn;
        };
        let mut book = Ledger {
            owner: self.own_id(),
            ..Ledger::default()
        };
        let checked = self.0.book_checked.load(Ordering::Relaxed);
        let mut doubted = 0;
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for (name, account) in accounts.iter_mut() {
            let holding = &mut account.holding;
            if let Some(recovery_ms) = self.means().recovery_ms {
                holding.set_recovery_time(recovery_ms);
            }
            let old = holding.entry();
            book.entries.insert(name.clone(), old);
            let chosen = scope != Scope::Missing || holding.shortfall() > 0;
            // Without its record no line changes: most of a large fleet's customers have their homes elsewhere.
            let known = holding.snapshot().map(|k| (k.record, k.revision));
            let Some((record, revision)) = known.filter(|_| chosen) else {
                continue;
            };
            if !holding.snapshot_includes_entry() {
                let newer = revision > book_revision.max(checked);
                assert!(newer, "a line is part of its sum");
                // A write whose answer was lost has landed since the book was read.
                doubted = doubted.max(revision);
                continue;
            }
            if txn.put.len() == RECORDS_MOST {
                continue;
            }
            let line = match scope {
                Scope::Leaving => holding.plan_shutdown(),
                Scope::All | Scope::Missing => {
                    let home = self.means().fleet.is_home(name, HomeScope::Fleet);
                    holding.plan_update(now, sharers, home)
                }
            };
            let Some(line) = line else {
                continue;
            };
            book.entries.insert(name.clone(), line);
            let key = format!("{PREFIX}{name}");
            write(
                &mut txn,
                key,
                revision,
                record.with_entry(old, line).to_bytes(),
            );
        }
        drop(accounts);
        if doubted > 0 {
            self.0.book_doubted.store(doubted, Ordering::Relaxed);
            return Txn::default();
        }
        if !txn.put.is_empty() {
            book.entries
                .retain(|_, line| *line != LedgerEntry::default());
            write(&mut txn, self.book_key(), book_revision, book.to_bytes());
        }
        txn
    }
}

fn write(txn: &mut Txn, key: String, revision: i64, value: Vec<u8>) {
    txn.expect.push(Expect {
        key: key.clone(),
        revision,
    });
    txn.put.push(Put {
        key,
        value,
        lease: 0,
    });
}
