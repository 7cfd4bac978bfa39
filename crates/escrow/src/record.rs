//! A customer's record in the store.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Lines above this number are folded: keeps a record small while instances come and go for months.
const LINES_MOST: usize = 128;

/// What one incarnation has to do with the budget; all but the rate only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
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

impl Line {
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

/// A customer's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The lines of incarnations that are gone, added up.
    #[serde(default, rename = "f")]
    pub folded: Line,
    /// Lines by incarnation.
    #[serde(rename = "h")]
    pub lines: BTreeMap<String, Line>,
}

impl Record {
    /// Reads a record as it stands in the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(value: &[u8]) -> Result<Record, String> {
        let record: Record = serde_json::from_slice(value).map_err(|e| e.to_string())?;
        let sound = |l: &Line| l.granted >= l.returned;
        if !record.lines.values().chain([&record.folded]).all(sound) {
            return Err("a line has more handed back than taken".to_string());
        }
        Ok(record)
    }

    /// Returns the record as it goes into the store.
    ///
    /// # Panics
    ///
    /// Never: a record of numbers and texts can be written as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record that JSON can hold")
    }

    /// Returns the tokens that are charged to the budget.
    pub fn charged(&self) -> u64 {
        self.lines.values().map(Line::charged).sum::<u64>() + self.folded.charged()
    }

    /// Returns the tokens that are known to be spent: a lower bound.
    pub fn spent(&self) -> u64 {
        self.lines.values().map(|l| l.spent).sum::<u64>() + self.folded.spent
    }

    /// Returns the demand of some incarnations, in tokens a second.
    pub fn rate_of(&self, live: &BTreeSet<String>) -> u64 {
        let rate = |id: &String| self.lines.get(id).map_or(0, |l| l.rate);
        live.iter().map(rate).sum()
    }

    /// Returns a record in which one line is replaced.
    ///
    /// # Panics
    ///
    /// Panics when a counter of the line would go back: the write would take tokens from the record
    /// that somebody may spend.
    pub fn with(&self, id: &str, line: Line, live: &BTreeSet<String>) -> Record {
        let mut next = self.clone();
        let old = next.lines.insert(id.to_string(), line).unwrap_or_default();
        assert!(
            line.granted >= old.granted && line.returned >= old.returned,
            "counters of a line only grow"
        );
        next.fold(live);
        next
    }

    /// Adds up the lines of incarnations that are gone, when there are many.
    ///
    /// One that is alive after all finds its line missing and begins a new one: what it holds stays
    /// charged in the sum.
    fn fold(&mut self, live: &BTreeSet<String>) {
        if self.lines.len() <= LINES_MOST {
            return;
        }
        let gone = |id: &String| !live.contains(id);
        let ids: Vec<String> = self.lines.keys().filter(|id| gone(id)).cloned().collect();
        for id in ids {
            let line = self.lines.remove(&id).unwrap_or_default();
            self.folded.granted += line.granted;
            self.folded.returned += line.returned;
            self.folded.spent += line.spent;
        }
    }
}
