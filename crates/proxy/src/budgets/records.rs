//! What the store has of budgets: customers' records and the own book, read and learnt.

use std::collections::HashSet;
use std::slice;
use std::sync::atomic::Ordering;

use escrow::{BudgetRecord, Ledger, LedgerEntry, LocalBudget, RecordSnapshot};
use kv::{Found, Reading};

use super::{Budgets, CustomerState};
use crate::event::Event;
use crate::roster::HomeScope;

/// Keys of instances' books.
const LEDGER_PREFIX: &str = "oriolehitch/books/";
/// Keys of budgets' records.
pub(super) const RECORD_PREFIX: &str = "oriolehitch/budgets/";
/// Records older than this are read again before requests are refused by them, in milliseconds: what
/// others hand back shows a second later at most, and callers come back later than that.
const MAX_RECORD_AGE_MS: u64 = 1_000;
/// Records that the store lists in one call, about: where fewer are wanted than that takes calls, each is read by itself.
const RECORDS_PER_CALL: usize = 200;

impl Budgets {
    /// Returns the customers whose records are to be read: those that were never read and this instance has to do with, and those
    /// whose requests lack tokens that by an old record nobody has.
    ///
    /// Of most customers an instance of a large fleet is not the home: it draws from others, and what stands in
    /// their records says nothing to it.
    pub(super) fn customers_to_read(&self) -> Vec<String> {
        let now = self.0.clock.now();
        let fleet = &self.deps().fleet;
        let customers = self.0.customers.lock().expect("no panic inside");
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

    /// Reads some customers' records, or all where that takes no more calls, and the own book where it is not known; returns whether
    /// the store answered.
    pub(super) async fn read(&self, customers: &[String]) -> bool {
        let known = self.ledger_revision().is_some() && !self.is_ledger_outdated();
        if !known && !self.read_ledger().await {
            return false;
        }
        if customers.is_empty() {
            return true;
        }
        let known_count = self.0.customers.lock().expect("no panic inside").len();
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

    /// Reads the own book; returns whether the store answered.
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
            .list(RECORD_PREFIX, Reading::Linearizable)
            .await
        {
            Ok(listing) => {
                self.update_records(&self.customer_names(), &listing.items);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns all customers that are known here.
    fn customer_names(&self) -> Vec<String> {
        let customers = self.0.customers.lock().expect("no panic inside");
        customers.keys().cloned().collect()
    }

    /// Takes some customers' records as they are now; those that are missing are empty.
    fn update_records(&self, customers: &[String], items: &[Found]) {
        let read_at = self.0.clock.now();
        let names = items
            .iter()
            .filter_map(|f| f.key.strip_prefix(RECORD_PREFIX));
        let found: HashSet<&str> = names.collect();
        {
            let mut states = self.0.customers.lock().expect("no panic inside");
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

    pub(super) fn update_snapshots(&self, items: &[Found]) {
        let read_at = self.0.clock.now();
        let mut customers = self.0.customers.lock().expect("no panic inside");
        for found in items {
            let name = found.key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
            let Some(state) = customers.get_mut(name) else {
                continue;
            };
            match BudgetRecord::parse(&found.value) {
                Ok(record) => state.budget.update_snapshot(RecordSnapshot {
                    record,
                    revision: found.revision,
                    read_at,
                }),
                Err(why) => self.log_malformed(&found.key, &why),
            }
        }
    }

    /// Takes the own book as the store has it; none when there is none.
    ///
    /// One that can't be read leaves the budgets alone: nothing is taken by it.
    pub(super) fn update_ledger(&self, found: Option<&Found>) {
        let ledger = match found.map(|f| Ledger::parse(&f.value)) {
            None => Ledger::default(),
            Some(Ok(ledger)) => ledger,
            Some(Err(why)) => return self.log_malformed(&self.ledger_key(), &why),
        };
        let revision = found.map_or(0, |f| f.revision);
        let mut known = self.0.ledger_revision.lock().expect("no panic inside");
        // Answers may overtake each other. And one that is known already says nothing: a write of the own
        // lines over it may be under way.
        if known.is_some_and(|k| k >= revision) {
            return;
        }
        *known = Some(revision);
        let own_id = self.own_id();
        let mut customers = self.0.customers.lock().expect("no panic inside");
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

    /// Returns whether the store has a newer own book than is known.
    pub(super) fn is_ledger_outdated(&self) -> bool {
        let checked = self.0.checked_revision.load(Ordering::Relaxed);
        self.0.unconfirmed_revision.load(Ordering::Relaxed) > checked
    }

    pub(super) fn ledger_revision(&self) -> Option<i64> {
        *self.0.ledger_revision.lock().expect("no panic inside")
    }

    pub(super) fn ledger_key(&self) -> String {
        format!("{LEDGER_PREFIX}{}", self.deps().fleet.name())
    }

    /// Logs a line of the own book as the store has it: a planned one may lose against another instance's.
    fn log_grant(&self, customer: &str, entry: LedgerEntry, budget: &LocalBudget) {
        let record = budget.snapshot().map(|s| s.record);
        let shown = |sum: Option<u64>| sum.map_or("unknown".to_string(), |s| s.to_string());
        let detail = format_args!(
            "customer={customer} granted={} returned={} spent={} rate={} balance={} charged={} all_spent={} prepaid={}",
            entry.granted,
            entry.returned,
            entry.spent,
            entry.rate,
            budget.balance(),
            shown(record.map(|r| r.charged)),
            shown(record.map(|r| r.spent)),
            budget.prepaid(),
        );
        self.0.log.event(Event::GrantChanged, detail);
    }

    /// Logs what the incarnation before this one left charged.
    fn log_left_charged(&self, customer: &str, entry: LedgerEntry) {
        let (granted, returned, spent) = (entry.granted, entry.returned, entry.spent);
        let detail =
            format_args!("customer={customer} granted={granted} returned={returned} spent={spent}");
        self.0.log.event(Event::PreviousIncarnationTokens, detail);
    }
}
