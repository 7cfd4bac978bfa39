//! The task that keeps the budgets filled: in each cycle, it plans changes of the own ledger
//! entries and writes them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use escrow::{Ledger, LedgerEntry};
use futures_util::future::join_all;
use kv::{KeyValue, Precondition, Put, Txn, TxnResult, MAX_TXN_OPS};
use rand::Rng;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::records::RECORD_PREFIX;
use super::{BudgetDeps, Budgets, MAX_COMMIT_ATTEMPTS};
use crate::event::Event;
use crate::roster::HomeScope;

/// Interval of the refill cycles for all budgets: a cycle that changes an entry takes a call to the
/// store, and grants last ten times as long.
const REFILL_INTERVAL: Duration = Duration::from_millis(1_000);
/// In fleets of more instances than this, the interval grows with the fleet, so that all instances
/// together write no more: with more writes, more of them conflict on a record, and one of two
/// conflicting writes has no effect.
const FULL_RATE_INSTANCES: u32 = 40;
/// Maximum interval of the refill cycles for all budgets: less than half of the time that grants
/// last.
const MAX_REFILL_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum random addition to the interval, in milliseconds, so that instances that start together
/// do not refill at the same time.
const REFILL_JITTER_MS: u64 = 100;
/// Minimum pause between two refill cycles that requests trigger.
const MIN_REFILL_PAUSE: Duration = Duration::from_millis(20);
/// How long the store alone is waited for, before other instances are asked in parallel.
const STORE_HEAD_START: Duration = Duration::from_millis(30);
/// Maximum time for reading and writing records in a cycle; a transaction that was sent may still
/// take effect later.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of records in a transaction besides the own ledger: each needs a condition and a
/// write.
const MAX_RECORDS_PER_TXN: usize = MAX_TXN_OPS / 2 - 1;
/// Maximum random pause after a conflict, in milliseconds per failed attempt. It can be short,
/// because the conflict returned the current records, and is random, because other instances have
/// to try again as well.
const CONFLICT_BACKOFF_MS: u64 = 4;

/// Result of a transaction.
pub(super) enum CommitOutcome {
    Committed,
    Conflict,
    Failed,
}

/// Which ledger entries a transaction changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All that need a change.
    All,
    /// Those of customers with a shortfall: fewer records mean fewer conflicts.
    Waiting,
    /// All, returning as many tokens as possible.
    Shutdown,
}

impl Budgets {
    /// Spawns the tasks that keep the budgets filled and send settlements.
    pub(crate) fn spawn(&self, deps: BudgetDeps) {
        assert!(self.0.deps.set(deps).is_ok(), "`spawn` was called twice");
        tokio::spawn(self.clone().send_settlements());
        let budgets = self.clone();
        tokio::spawn(async move {
            let mut due = Instant::now();
            loop {
                let _ = timeout_at(due, budgets.0.refill_requested.notified()).await;
                let scope = if Instant::now() < due {
                    Scope::Waiting
                } else {
                    due = Instant::now() + budgets.refill_interval();
                    budgets.resolve_uncertain();
                    Scope::All
                };
                budgets.refill(scope).await;
                budgets.0.finished_searches.send_modify(|n| *n += 1);
                sleep(MIN_REFILL_PAUSE).await;
            }
        });
    }

    /// Returns the time until the next refill cycle for all budgets.
    fn refill_interval(&self) -> Duration {
        let instances = self.deps().fleet.instance_count() as u32;
        let interval = REFILL_INTERVAL * instances.max(FULL_RATE_INSTANCES) / FULL_RATE_INSTANCES;
        let jitter = rand::rng().random_range(0..REFILL_JITTER_MS);
        interval.min(MAX_REFILL_INTERVAL) + Duration::from_millis(jitter)
    }

    pub(super) fn deps(&self) -> &BudgetDeps {
        self.0.deps.get().expect("set by `spawn`")
    }

    /// Runs one refill cycle.
    async fn refill(&self, scope: Scope) {
        if self.is_shutting_down() {
            return;
        }
        if self.is_store_unavailable() {
            self.request_shortfalls().await;
            return;
        }
        let update = timeout(UPDATE_TIMEOUT, self.update_store(scope));
        tokio::pin!(update);
        if timeout(STORE_HEAD_START, &mut update).await.is_ok() {
            self.request_shortfalls().await;
            return;
        }
        // It takes a while until a store that does not answer counts as unavailable, and requests
        // arrive meanwhile.
        let ended = AtomicBool::new(false);
        let update = async {
            // Without a response in time, the next cycle begins with what is known.
            let _ = update.await;
            ended.store(true, Ordering::Relaxed);
            self.0.refill_requested.notify_one();
        };
        tokio::join!(update, self.request_shortfalls_until(&ended));
    }

    /// Requests the shortfalls of customers from other instances, and again at each request for a
    /// refill, until `ended` is set.
    ///
    /// A call is never cancelled: the tokens that the other instance has debited would be lost.
    async fn request_shortfalls_until(&self, ended: &AtomicBool) {
        while !ended.load(Ordering::Relaxed) {
            self.request_shortfalls().await;
            self.notify_waiting();
            self.0.refill_requested.notified().await;
            sleep(MIN_REFILL_PAUSE).await;
        }
    }

    /// Tells waiting requests to try again. This counts as no search: one that is under way may yet
    /// find tokens.
    pub(super) fn notify_waiting(&self) {
        self.0.finished_searches.send_modify(|_| {});
    }

    async fn request_shortfalls(&self) {
        let customers = self.customers_in_shortfall();
        let requests = customers
            .iter()
            .map(|customer| self.request_from_peers(customer));
        join_all(requests).await;
    }

    fn customers_in_shortfall(&self) -> Vec<String> {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let waiting = customers.iter().filter(|(_, s)| s.budget.shortfall() > 0);
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Writes the own ledger entries that need a change.
    ///
    /// The records as last read suffice for the first attempt: a transaction that conflicts with
    /// another instance's returns the current ones.
    async fn update_store(&self, scope: Scope) {
        let unread = self.customers_to_read();
        let read = !unread.is_empty() || self.is_ledger_outdated();
        if read && !self.read(&unread).await {
            return;
        }
        for attempt in 1..=MAX_COMMIT_ATTEMPTS {
            let txn = self.plan_txn(scope);
            if self.is_ledger_outdated() && self.read_ledger().await {
                continue;
            }
            if txn.puts.is_empty() {
                return;
            }
            match self.commit(txn).await {
                CommitOutcome::Committed | CommitOutcome::Failed => return,
                CommitOutcome::Conflict => {
                    let backoff = rand::rng().random_range(0..CONFLICT_BACKOFF_MS * attempt as u64);
                    sleep(Duration::from_millis(backoff)).await;
                }
            }
        }
    }

    pub(super) async fn commit(&self, txn: Txn) -> CommitOutcome {
        let deps = self.deps();
        let written = txn.puts.clone();
        match deps.store.commit(txn).await {
            Ok(TxnResult::Done(revision)) => {
                let items = written.into_iter().map(|p| KeyValue {
                    key: p.key,
                    value: p.value,
                    revision,
                });
                let items: Vec<KeyValue> = items.collect();
                self.update_snapshots(&items);
                self.update_ledger(items.iter().find(|f| f.key == self.ledger_key()));
                CommitOutcome::Committed
            }
            Ok(TxnResult::Conflict(items)) => {
                self.update_snapshots(&items);
                self.update_ledger(items.iter().find(|f| f.key == self.ledger_key()));
                CommitOutcome::Conflict
            }
            Ok(TxnResult::LeaseEnded) => CommitOutcome::Failed,
            Err(error) => {
                let detail = format_args!("what=budgets why={error:?}");
                self.0.log.event(Event::StoreWriteFailed, detail);
                CommitOutcome::Failed
            }
        }
    }

    /// Returns the transaction that writes the own ledger entries that need a change; empty if none
    /// does.
    ///
    /// # Panics
    ///
    /// Panics if a record does not include the own ledger entry although the record is no newer
    /// than the ledger, or the ledger was read again since: tokens could be spent twice.
    pub(super) fn plan_txn(&self, scope: Scope) -> Txn {
        let (now, instances) = (
            self.0.clock.now(),
            self.deps().fleet.instance_count() as u64,
        );
        let mut txn = Txn::default();
        let Some(ledger_revision) = self.ledger_revision() else {
            return txn;
        };
        let mut ledger = Ledger {
            owner: self.own_id(),
            ..Ledger::default()
        };
        let checked = self.0.checked_revision.load(Ordering::Relaxed);
        let mut unconfirmed = 0;
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        for (name, state) in customers.iter_mut() {
            let budget = &mut state.budget;
            if let Some(recovery_ms) = self.deps().recovery_ms {
                budget.set_recovery_time(recovery_ms);
            }
            let old = budget.entry();
            ledger.entries.insert(name.clone(), old);
            let in_scope = scope != Scope::Waiting || budget.shortfall() > 0;
            // No entry changes without its record: in a large fleet, most customers have their
            // homes elsewhere.
            let snapshot = budget.snapshot().map(|s| (s.record, s.revision));
            let Some((record, revision)) = snapshot.filter(|_| in_scope) else {
                continue;
            };
            if !budget.snapshot_includes_entry() {
                let newer = revision > ledger_revision.max(checked);
                assert!(newer, "a record does not include the own ledger entry");
                // A write whose response was lost has taken effect since the ledger was read.
                unconfirmed = unconfirmed.max(revision);
                continue;
            }
            if txn.puts.len() == MAX_RECORDS_PER_TXN {
                continue;
            }
            let entry = match scope {
                Scope::Shutdown => budget.plan_shutdown(),
                Scope::All | Scope::Waiting => {
                    let is_home = self.deps().fleet.is_home(name, HomeScope::Fleet);
                    budget.plan_update(now, instances, is_home)
                }
            };
            let Some(entry) = entry else {
                continue;
            };
            ledger.entries.insert(name.clone(), entry);
            let key = format!("{RECORD_PREFIX}{name}");
            add_put(
                &mut txn,
                key,
                revision,
                record.with_entry(old, entry).to_bytes(),
            );
        }
        drop(customers);
        if unconfirmed > 0 {
            self.0
                .unconfirmed_revision
                .store(unconfirmed, Ordering::Relaxed);
            return Txn::default();
        }
        if !txn.puts.is_empty() {
            ledger
                .entries
                .retain(|_, entry| *entry != LedgerEntry::default());
            add_put(
                &mut txn,
                self.ledger_key(),
                ledger_revision,
                ledger.to_bytes(),
            );
        }
        txn
    }
}

fn add_put(txn: &mut Txn, key: String, revision: i64, value: Vec<u8>) {
    txn.preconditions.push(Precondition {
        key: key.clone(),
        revision,
    });
    txn.puts.push(Put {
        key,
        value,
        lease: 0,
    });
}
