//! Budget data in the store: reads the customers' records and the own ledger, and applies them to
//! the budgets.

use std::collections::HashSet;
use std::slice;
use std::sync::atomic::Ordering;

use escrow::{BudgetRecord, Ledger, LedgerEntry, LocalBudget, RecordSnapshot};
use kv::{Consistency, KeyValue};

use super::{Budgets, CustomerState};
use crate::event::Event;
use crate::roster::HomeScope;

/// Prefix of the keys of the instances' ledgers.
const LEDGER_PREFIX: &str = "oriolehitch/books/";
/// Prefix of the keys of the customers' records.
pub(super) const RECORD_PREFIX: &str = "oriolehitch/budgets/";
/// Records older than this are read again before requests are refused because of them, in
/// milliseconds. Tokens that other instances return are then seen within a second, and refused
/// callers retry later than that.
const MAX_RECORD_AGE_MS: u64 = 1_000;
/// Approximate number of records that the store lists in one call. If listing all records takes
/// more calls than there are records to read, each is read separately.
const RECORDS_PER_CALL: usize = 200;

impl Budgets {
    /// Returns the customers whose records should be read: those never read, if the customer is in
    /// use here or has its home here, and those that are too old, if the customer's
    /// shortfall exceeds the tokens that were free at the last read.
    ///
    /// An instance of a large fleet is not the home of most customers: it draws their tokens from
    /// other instances and does not need their records.
    pub(super) fn customers_to_read(&self) -> Vec<String> {
        let now = self.0.clock.now();
        let fleet = &self.deps().fleet;
        let customers = self.0.customers.lock().expect("lock not poisoned");
        let outdated = |(name, state): &(&String, &CustomerState)| {
            let budget = &state.budget;
            match budget.snapshot() {
                None => budget.is_in_use(now) || fleet.is_home(name, HomeScope::Fleet),
                Some(snapshot) => {
                    budget.shortfall() > budget.free() && now > snapshot.read_at + MAX_RECORD_AGE_MS
                }
            }
        };
        let outdated = customers.iter().filter(outdated);
        outdated.map(|(name, _)| name.clone()).collect()
    }

    /// Reads the records of some customers, or all records if that takes no more calls, and the own
    /// ledger if it is unknown or outdated; returns whether the store answered.
    pub(super) async fn read(&self, customers: &[String]) -> bool {
        let known = self.ledger_revision().is_some() && !self.is_ledger_outdated();
        if !known && !self.read_ledger().await {
            return false;
        }
        if customers.is_empty() {
            return true;
        }
        let known_count = self.0.customers.lock().expect("lock not poisoned").len();
        if customers.len() >= known_count.div_ceil(RECORDS_PER_CALL) {
            return self.read_all_records().await;
        }
        for customer in customers {
            let key = format!("{RECORD_PREFIX}{customer}");
            let Ok(found) = self.deps().store.get(&key).await else {
                return false;
            };
            self.update_records(slice::from_ref(customer), found.as_slice());
        }
        true
    }

    /// Reads the own ledger; returns whether the store answered.
    pub(super) async fn read_ledger(&self) -> bool {
        let unconfirmed = self.0.unconfirmed_revision.load(Ordering::Relaxed);
        match self.deps().store.get(&self.ledger_key()).await {
            Ok(found) => {
                self.update_ledger(found.as_ref());
                self.0
                    .checked_revision
                    .store(unconfirmed, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    /// Reads all records; returns whether the store answered.
    async fn read_all_records(&self) -> bool {
        match self
            .deps()
            .store
            .list(RECORD_PREFIX, Consistency::Linearizable)
            .await
        {
            Ok(listing) => {
                self.update_records(&self.customer_names(), &listing.entries);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the names of all customers that are known here.
    pub(super) fn customer_names(&self) -> Vec<String> {
        let customers = self.0.customers.lock().expect("lock not poisoned");
        customers.keys().cloned().collect()
    }

    /// Applies the records of some customers as just read; a missing record counts as empty.
    fn update_records(&self, customers: &[String], items: &[KeyValue]) {
        let read_at = self.0.clock.now();
        let names = items
            .iter()
            .filter_map(|f| f.key.strip_prefix(RECORD_PREFIX));
        let found: HashSet<&str> = names.collect();
        {
            let mut states = self.0.customers.lock().expect("lock not poisoned");
            let missing = customers.iter().filter(|c| !found.contains(c.as_str()));
            for customer in missing {
                let empty = RecordSnapshot {
                    record: BudgetRecord::default(),
                    revision: 0,
                    read_at,
                };
                if let Some(state) = states.get_mut(customer) {
                    state.budget.update_snapshot(empty);
                }
            }
        }
        self.update_snapshots(items);
    }

    /// Applies records that were read or written; other items are ignored.
    pub(super) fn update_snapshots(&self, items: &[KeyValue]) {
        let read_at = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        for item in items {
            let name = item.key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
            let Some(state) = customers.get_mut(name) else {
                continue;
            };
            match BudgetRecord::parse(&item.value) {
                Ok(record) => state.budget.update_snapshot(RecordSnapshot {
                    record,
                    revision: item.revision,
                    read_at,
                }),
                Err(why) => self.log_malformed(&item.key, &why),
            }
        }
    }

    /// Applies the own ledger as the store has it; `None` if the store has none.
    ///
    /// A malformed ledger is ignored, so that no tokens are taken because of it.
    pub(super) fn update_ledger(&self, found: Option<&KeyValue>) {
        let ledger = match found.map(|f| Ledger::parse(&f.value)) {
            None => Ledger::default(),
            Some(Ok(ledger)) => ledger,
            Some(Err(why)) => return self.log_malformed(&self.ledger_key(), &why),
        };
        let revision = found.map_or(0, |f| f.revision);
        let mut known = self.0.ledger_revision.lock().expect("lock not poisoned");
        // Responses may arrive out of order. A revision that is known already is not applied again
        // either: a write that replaces its entries may be in progress.
        if known.is_some_and(|k| k >= revision) {
            return;
        }
        *known = Some(revision);
        let own_id = self.own_id();
        let mut customers = self.0.customers.lock().expect("lock not poisoned");
        for (name, state) in customers.iter_mut() {
            let entry = ledger.entry(name);
            if revision == 0 || ledger.owner == own_id {
                let old = state.budget.entry();
                state.budget.confirm_entry(entry, revision);
                if entry != old {
                    self.log_grant(name, entry, &state.budget);
                }
            } else {
                state.budget.on_foreign_ledger(entry);
                if entry.granted > 0 {
                    self.log_left_charged(name, entry);
                }
            }
        }
    }

    fn log_malformed(&self, key: &str, why: &str) {
        let detail = format_args!("key={key} why={why}");
        self.0.log.event(Event::BudgetRecordInvalid, detail);
    }

    /// Returns whether the store has a newer own ledger than the one applied here.
    pub(super) fn is_ledger_outdated(&self) -> bool {
        let checked = self.0.checked_revision.load(Ordering::Relaxed);
        self.0.unconfirmed_revision.load(Ordering::Relaxed) > checked
    }

    pub(super) fn ledger_revision(&self) -> Option<i64> {
        *self.0.ledger_revision.lock().expect("lock not poisoned")
    }

    pub(super) fn ledger_key(&self) -> String {
        format!("{LEDGER_PREFIX}{}", self.deps().fleet.name())
    }

    /// Logs an own ledger entry that the store has: a planned one may be lost in a conflict with
    /// another instance.
    fn log_grant(&self, customer: &str, entry: LedgerEntry, budget: &LocalBudget) {
        let now = self.0.clock.now();
        let record = budget.snapshot().map(|s| s.record);
        let shown = |sum: Option<u64>| sum.map_or("unknown".to_string(), |s| s.to_string());
        let detail = format_args!(
            "customer={customer} granted={} returned={} spent={} rate={} balance={} charged={} all_spent={} prepaid={} usual_rate={} held_back={}",
            entry.granted,
            entry.returned,
            entry.spent,
            entry.rate,
            budget.balance(),
            shown(record.map(|r| r.charged)),
            shown(record.map(|r| r.spent)),
            budget.prepaid(),
            budget.usual_rate(now),
            budget.held_back(now),
        );
        self.0.log.event(Event::GrantChanged, detail);
    }

    /// Logs what the previous incarnation left charged.
    fn log_left_charged(&self, customer: &str, entry: LedgerEntry) {
        let (granted, returned, spent) = (entry.granted, entry.returned, entry.spent);
        let detail =
            format_args!("customer={customer} granted={granted} returned={returned} spent={spent}");
        self.0.log.event(Event::PreviousIncarnationTokens, detail);
    }
}
