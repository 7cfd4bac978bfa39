//! Budget data in the store: one record per customer, one ledger per instance.
//!
//! A record has sums only, so that it stays as small with a thousand instances as with one. The entries that make up
//! the sums are in the ledgers. One transaction changes a record and the own ledger together.

use std::collections::BTreeMap;

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// One incarnation's use of a customer's budget; all fields except the rate only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Tokens that it took from the budget.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Tokens of these that it returned to the budget.
    #[serde(rename = "r")]
    pub returned: u64,
    /// Tokens that it last reported as spent.
    #[serde(rename = "s")]
    pub spent: u64,
    /// Its demand when it last wrote the entry, in tokens per second.
    #[serde(rename = "d")]
    pub rate: u64,
}

impl LedgerEntry {
    /// Returns the tokens charged to the budget: granted and not returned.
    ///
    /// # Panics
    ///
    /// Panics if more tokens were returned than granted: the budget could then be granted twice.
    pub fn charged(&self) -> u64 {
        let charged = self.granted.checked_sub(self.returned);
        charged.expect("returned tokens exceed granted tokens")
    }
}

/// A customer's record: the use of the budget by all incarnations that ever existed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// Tokens charged to the budget.
    #[serde(rename = "c")]
    pub charged: u64,
    /// Tokens known to be spent: a lower bound.
    #[serde(rename = "s")]
    pub spent: u64,
    /// Demand of all instances, in tokens per second; that of an instance lost for good stays included.
    #[serde(rename = "d")]
    pub rate: u64,
}

impl BudgetRecord {
    /// Parses a record from the store.
    ///
    /// # Errors
    ///
    /// Returns why the value is not a valid record.
    pub fn parse(value: &[u8]) -> Result<BudgetRecord, String> {
        parse(value)
    }

    /// Serializes the record for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Returns the record with one of its entries changed.
    ///
    /// # Panics
    ///
    /// Panics if a counter of the entry decreases, or if the charged total is below the entry's: the write would
    /// release tokens that may still be spent.
    pub fn with_entry(&self, old: LedgerEntry, new: LedgerEntry) -> BudgetRecord {
        assert!(
            new.granted >= old.granted && new.returned >= old.returned && new.spent >= old.spent,
            "a counter of a ledger entry would decrease"
        );
        let others = self.charged.checked_sub(old.charged());
        BudgetRecord {
            charged: others.expect("a ledger entry exceeds its record's sum") + new.charged(),
            spent: self.spent + (new.spent - old.spent),
            // Saturating: no tokens are counted by the rate, and later writes correct a wrong one.
            rate: self.rate.saturating_sub(old.rate) + new.rate,
        }
    }
}

/// One instance's ledger: its entries by customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The incarnation that wrote the entries.
    #[serde(rename = "i")]
    pub owner: String,
    /// The entries by customer.
    #[serde(rename = "l")]
    pub entries: BTreeMap<String, LedgerEntry>,
}

impl Ledger {
    /// Parses a ledger from the store.
    ///
    /// # Errors
    ///
    /// Returns why the value is not a valid ledger.
    pub fn parse(value: &[u8]) -> Result<Ledger, String> {
        let ledger: Ledger = parse(value)?;
        if ledger.entries.values().any(|e| e.granted < e.returned) {
            return Err("an entry has more tokens returned than granted".to_string());
        }
        Ok(ledger)
    }

    /// Serializes the ledger for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Returns a customer's entry; all zero if there is none.
    pub fn entry(&self, customer: &str) -> LedgerEntry {
        self.entries.get(customer).copied().unwrap_or_default()
    }
}

fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|e| e.to_string())
}

fn to_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("numbers and strings are valid JSON")
}
