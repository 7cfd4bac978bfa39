//! What the store keeps of budgets: one record for each customer, one book for each instance.
//!
//! A record holds sums only, so that it stays as small with a thousand instances as with one; the lines
//! that make them up stand in the books. One transaction changes a record and the own book together.

use std::collections::BTreeMap;

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// What one incarnation has to do with a budget; all but the rate only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Tokens that it took from the budget.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Tokens of these that it handed back.
    #[serde(rename = "r")]
    pub returned: u64,
    /// Tokens that it has spent, by its last word.
    #[serde(rename = "s")]
    pub spent: u64,
    /// Its demand by its last word, in tokens a second.
    #[serde(rename = "d")]
    pub rate: u64,
}

impl LedgerEntry {
    /// Returns the tokens that are charged for it.
    ///
    /// # Panics
    ///
    /// Panics when more was handed back than taken: the budget could then be granted twice.
    pub fn charged(&self) -> u64 {
        let charged = self.granted.checked_sub(self.returned);
        charged.expect("never more handed back than taken")
    }
}

/// A customer's record: what all incarnations that ever were have to do with the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// Tokens that are charged to the budget.
    #[serde(rename = "c")]
    pub charged: u64,
    /// Tokens that are known to be spent: a lower bound.
    #[serde(rename = "s")]
    pub spent: u64,
    /// The demand of all instances, in tokens a second; one that is lost for good stays in it.
    #[serde(rename = "d")]
    pub rate: u64,
}

impl BudgetRecord {
    /// Reads a record as it stands in the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(value: &[u8]) -> Result<BudgetRecord, String> {
        parse(value)
    }

    /// Returns the record as it goes into the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Returns the record after one line of it has changed.
    ///
    /// # Panics
    ///
    /// Panics when a counter of the line would go back, or a sum below it: the write would take tokens
    /// from the record that somebody may spend.
    pub fn with_entry(&self, old: LedgerEntry, new: LedgerEntry) -> BudgetRecord {
        assert!(
            new.granted >= old.granted && new.returned >= old.returned && new.spent >= old.spent,
            "counters of a line only grow"
        );
        let others = self.charged.checked_sub(old.charged());
        BudgetRecord {
            charged: others.expect("a line is part of its sum") + new.charged(),
            spent: self.spent + (new.spent - old.spent),
            // No tokens hang on it: one that is off corrects itself with the next writes.
            rate: self.rate.saturating_sub(old.rate) + new.rate,
        }
    }
}

/// One instance's lines, by customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The incarnation whose lines they are.
    #[serde(rename = "i")]
    pub owner: String,
    /// Its lines.
    #[serde(rename = "l")]
    pub entries: BTreeMap<String, LedgerEntry>,
}

impl Ledger {
    /// Reads a book as it stands in the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(value: &[u8]) -> Result<Ledger, String> {
        let book: Ledger = parse(value)?;
        if book.entries.values().any(|l| l.granted < l.returned) {
            return Err("a line has more handed back than taken".to_string());
        }
        Ok(book)
    }

    /// Returns the book as it goes into the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Returns a customer's line.
    pub fn entry(&self, customer: &str) -> LedgerEntry {
        self.entries.get(customer).copied().unwrap_or_default()
    }
}

fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|e| e.to_string())
}

fn to_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("numbers and texts that JSON can hold")
}
