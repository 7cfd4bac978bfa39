//! A record and books with their revisions, and incarnations that read and write them.

use std::collections::BTreeMap;

use escrow::{BudgetRecord, Ledger, LedgerEntry, LocalBudget, RecordSnapshot};

pub(crate) const CUSTOMER: &str = "c";

/// A write of the record and of one book, with the revisions that it expects.
#[derive(Clone)]
pub(crate) struct Write {
    pub(crate) name: String,
    pub(crate) record: (i64, BudgetRecord),
    pub(crate) book: (i64, Ledger),
}

/// The record and the books with their revisions; late writes land when their conditions still hold.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) record: (i64, BudgetRecord),
    pub(crate) books: BTreeMap<String, (i64, Ledger)>,
    pub(crate) revision: i64,
    pub(crate) late: Vec<Write>,
}

impl Store {
    pub(crate) fn book(&self, name: &str) -> (i64, Ledger) {
        self.books.get(name).cloned().unwrap_or_default()
    }

    pub(crate) fn commit(&mut self, write: &Write) -> bool {
        let holds = self.record.0 == write.record.0 && self.book(&write.name).0 == write.book.0;
        if !holds {
            return false;
        }
        self.revision += 1;
        // What goes through the store is text.
        let record = BudgetRecord::parse(&write.record.1.to_bytes()).expect("sound");
        let book = Ledger::parse(&write.book.1.to_bytes()).expect("sound");
        self.record = (self.revision, record);
        self.books.insert(write.name.clone(), (self.revision, book));
        true
    }
}

/// One incarnation.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) id: String,
    pub(crate) holding: LocalBudget,
    pub(crate) book: Option<i64>,
    pub(crate) open: Vec<u64>,
}

impl Node {
    pub(crate) fn new(name: &str, id: &str, prepaid: u64) -> Node {
        let mut holding = LocalBudget::default();
        holding.set_prepaid(prepaid);
        Node {
            name: name.to_string(),
            id: id.to_string(),
            holding,
            book: None,
            open: Vec::new(),
        }
    }

    pub(crate) fn read(&mut self, store: &Store, at: u64) {
        let (revision, record) = store.record;
        self.holding.update_snapshot(RecordSnapshot {
            record,
            revision,
            read_at: at,
        });
        let (revision, book) = store.book(&self.name);
        if self.book == Some(revision) {
            return;
        }
        self.book = Some(revision);
        let line = book.entry(CUSTOMER);
        if revision == 0 || book.owner == self.id {
            self.holding.confirm_entry(line, revision);
        } else {
            self.holding.on_foreign_ledger(line);
        }
    }

    pub(crate) fn write(&self, line: LedgerEntry) -> Write {
        let known = self.holding.snapshot().expect("planned from it");
        let record = known.record.with_entry(self.holding.entry(), line);
        let book = Ledger {
            owner: self.id.clone(),
            entries: BTreeMap::from([(CUSTOMER.to_string(), line)]),
        };
        Write {
            name: self.name.clone(),
            record: (known.revision, record),
            book: (self.book.expect("read before"), book),
        }
    }

    /// Writes a line and reads what came of it.
    pub(crate) fn commit(&mut self, store: &mut Store, line: LedgerEntry, at: u64) {
        assert!(store.commit(&self.write(line)));
        self.read(store, at);
    }
}
