//! What the store has of budgets: customers' records and the own book, read and learnt.

use std::collections::HashSet;
use std::slice;
use std::sync::atomic::Ordering;

use escrow::{BudgetRecord, Ledger, LedgerEntry, LocalBudget, RecordSnapshot};
use kv::{Found, Reading};

use super::{Account, Budgets};
use crate::event::Event;
use crate::roster::HomeScope;

/// Keys of instances' books.
const BOOKS: &str = "oriolehitch/books/";
/// Keys of budgets' records.
pub(super) const PREFIX: &str = "oriolehitch/budgets/";
/// Records older than this are read again before requests are refused by them, in milliseconds: what
/// others hand back shows a second later at most, and callers come back later than that.
const RECORDS_OLD_MS: u64 = 1_000;
/// Records that the store lists in one call, about: where fewer are wanted than that takes calls, each is read by itself.
const RECORDS_A_CALL: usize = 200;

impl Budgets {
    /// Returns the customers whose records are to be read: those that were never read and this instance has to do with, and those
    /// whose requests lack tokens that by an old record nobody has.
    ///
    /// Of most customers an instance of a large fleet is not the home: it draws from others, and what stands in
    /// their records says nothing to it.
    pub(super) fn unread(&self) -> Vec<String> {
        let now = self.0.clock.now();
        let fleet = &self.means().fleet;
        let accounts = self.0.accounts.lock().expect("no panic inside");
        let old = |(name, account): &(&String, &Account)| {
            let holding = &account.holding;
            match holding.snapshot() {
                None => holding.is_in_use(now) || fleet.is_home(name, HomeScope::Fleet),
                Some(known) => {
                    holding.shortfall() > holding.free() && now > known.read_at + RECORDS_OLD_MS
                }
            }
        };
        let old = accounts.iter().filter(old);
        old.map(|(name, _)| name.clone()).collect()
    }

    /// Reads some customers' records, or all where that takes no more calls, and the own book where it is not known; returns whether
    /// the store answered.
    pub(super) async fn read(&self, customers: &[String]) -> bool {
        let known = self.book().is_some() && !self.is_book_outdated();
        if !known && !self.read_book().await {
            return false;
        }
        if customers.is_empty() {
            return true;
        }
        let accounts = self.0.accounts.lock().expect("no panic inside").len();
        if customers.len() >= accounts.div_ceil(RECORDS_A_CALL) {
            return self.read_all().await;
        }
        for customer in customers {
            let key = format!("{PREFIX}{customer}");
            let Ok(found) = self.means().store.get(&key).await else {
                return false;
            };
            self.learn_records(slice::from_ref(customer), found.as_slice());
        }
        true
    }

    /// Reads the own book; returns whether the store answered.
    pub(super) async fn read_book(&self) -> bool {
        let doubted = self.0.book_doubted.load(Ordering::Relaxed);
        match self.means().store.get(&self.book_key()).await {
            Ok(found) => {
                self.learn_book(found.as_ref());
                self.0.book_checked.store(doubted, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    /// Reads all records; returns whether the store answered.
    async fn read_all(&self) -> bool {
        match self.means().store.list(PREFIX, Reading::Linearizable).await {
            Ok(listing) => {
                self.learn_records(&self.customers(), &listing.items);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns all customers that are known here.
    fn customers(&self) -> Vec<String> {
        let accounts = self.0.accounts.lock().expect("no panic inside");
        accounts.keys().cloned().collect()
    }

    /// Takes some customers' records as they are now; those that are missing are empty.
    fn learn_records(&self, customers: &[String], items: &[Found]) {
        let at = self.0.clock.now();
        let names = items.iter().filter_map(|f| f.key.strip_prefix(PREFIX));
        let found: HashSet<&str> = names.collect();
        {
            let mut accounts = self.0.accounts.lock().expect("no panic inside");
            let missing = customers.iter().filter(|c| !found.contains(c.as_str()));
            for customer in missing {
                let empty = RecordSnapshot {
                    record: BudgetRecord::default(),
                    revision: 0,
                    read_at: at,
                };
                if let Some(account) = accounts.get_mut(customer) {
                    account.holding.update_snapshot(empty);
                }
            }
        }
        self.learn(items);
    }

    pub(super) fn learn(&self, items: &[Found]) {
        let at = self.0.clock.now();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for found in items {
            let name = found.key.strip_prefix(PREFIX).unwrap_or_default();
            let Some(account) = accounts.get_mut(name) else {
                continue;
            };
            match BudgetRecord::parse(&found.value) {
                Ok(record) => account.holding.update_snapshot(RecordSnapshot {
                    record,
                    revision: found.revision,
                    read_at: at,
                }),
                Err(why) => self.broken(&found.key, &why),
            }
        }
    }

    /// Takes the own book as the store has it; none when there is none.
    ///
    /// One that can't be read leaves the budgets alone: nothing is taken by it.
    pub(super) fn learn_book(&self, found: Option<&Found>) {
        let book = match found.map(|f| Ledger::parse(&f.value)) {
            None => Ledger::default(),
            Some(Ok(book)) => book,
            Some(Err(why)) => return self.broken(&self.book_key(), &why),
        };
        let revision = found.map_or(0, |f| f.revision);
        let mut known = self.0.book.lock().expect("no panic inside");
        // Answers may overtake each other. And one that is known already says nothing: a write of the own
        // lines over it may be under way.
        if known.is_some_and(|k| k >= revision) {
            return;
        }
        *known = Some(revision);
        let me = self.own_id();
        let mut accounts = self.0.accounts.lock().expect("no panic inside");
        for (name, account) in accounts.iter_mut() {
            let line = book.entry(name);
            if revision == 0 || book.owner == me {
                let old = account.holding.entry();
                account.holding.confirm_entry(line, revision);
                if line != old {
                    self.log_grant(name, line, &account.holding);
                }
            } else {
                account.holding.on_foreign_ledger(line);
                if line.granted > 0 {
                    self.log_left_behind(name, line);
                }
            }
        }
    }

    fn broken(&self, key: &str, why: &str) {
        let detail = format_args!("key={key} why={why}");
        self.0.log.event(Event::BudgetRecordInvalid, detail);
    }

    /// Returns whether the store has a newer own book than is known.
    pub(super) fn is_book_outdated(&self) -> bool {
        let checked = self.0.book_checked.load(Ordering::Relaxed);
        self.0.book_doubted.load(Ordering::Relaxed) > checked
    }

    pub(super) fn book(&self) -> Option<i64> {
        *self.0.book.lock().expect("no panic inside")
    }

    pub(super) fn book_key(&self) -> String {
        format!("{BOOKS}{}", self.means().fleet.name())
    }

    /// Logs a line of the own book as the store has it: a planned one may lose against another instance's.
    fn log_grant(&self, customer: &str, line: LedgerEntry, holding: &LocalBudget) {
        let known = holding.snapshot().map(|k| k.record);
        let shown = |sum: Option<u64>| sum.map_or("unknown".to_string(), |s| s.to_string());
        let detail = format_args!(
            "customer={customer} granted={} returned={} spent={} rate={} balance={} charged={} all_spent={} prepaid={}",
            line.granted,
            line.returned,
            line.spent,
            line.rate,
            holding.balance(),
            shown(known.map(|r| r.charged)),
            shown(known.map(|r| r.spent)),
            holding.prepaid(),
        );
        self.0.log.event(Event::GrantChanged, detail);
    }

    /// Logs what the incarnation before this one left charged.
    fn log_left_behind(&self, customer: &str, line: LedgerEntry) {
        let (granted, returned, spent) = (line.granted, line.returned, line.spent);
        let detail =
            format_args!("customer={customer} granted={granted} returned={returned} spent={spent}");
        self.0.log.event(Event::PreviousIncarnationTokens, detail);
    }
}
