//! Instances of other versions and later incarnations read these: their encoding stays.

use escrow::{BudgetRecord, CumulativeTotal, Ledger, LedgerEntry};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn totals_between_instances_keep_their_encoding() {
    assert_kept::<CumulativeTotal>(include_str!("data/outer/told.json"));
}

#[test]
fn stored_records_keep_their_encoding() {
    assert_kept::<LedgerEntry>(include_str!("data/outer/lines.json"));
    assert_kept::<BudgetRecord>(include_str!("data/outer/records.json"));
    assert_kept::<Ledger>(include_str!("data/outer/books.json"));
}

/// Reads each sample and writes it again.
fn assert_kept<T: Serialize + DeserializeOwned>(samples: &str) {
    let samples: Vec<Box<RawValue>> = serde_json::from_str(samples).expect("a list of samples");
    assert!(!samples.is_empty());
    for sample in samples {
        let value: serde_json::Result<T> = serde_json::from_str(sample.get());
        let value = value.unwrap_or_else(|e| panic!("{e}: {sample}"));
        let written = serde_json::to_string(&value).expect("a value that JSON can hold");
        assert_eq!(written, sample.get());
    }
}
