//! The encoding of budget records and of messages between instances. It must not change: instances
//! of other versions and later incarnations read it.

use escrow::{BudgetRecord, CumulativeTotal, Ledger, LedgerEntry};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;

#[test]
fn cumulative_totals_keep_their_encoding() {
    assert_round_trip::<CumulativeTotal>(include_str!("data/outer/told.json"));
}

#[test]
fn stored_records_keep_their_encoding() {
    assert_round_trip::<LedgerEntry>(include_str!("data/outer/lines.json"));
    assert_round_trip::<BudgetRecord>(include_str!("data/outer/records.json"));
    assert_round_trip::<Ledger>(include_str!("data/outer/books.json"));
}

/// Deserializes each sample, serializes it again and compares the texts.
fn assert_round_trip<T: Serialize + DeserializeOwned>(samples: &str) {
    let samples: Vec<Box<RawValue>> = serde_json::from_str(samples).expect("a list of samples");
    assert!(!samples.is_empty());
    for sample in samples {
        let value: serde_json::Result<T> = serde_json::from_str(sample.get());
        let value = value.unwrap_or_else(|e| panic!("{e}: {sample}"));
        let written = serde_json::to_string(&value).expect("the value serializes");
        assert_eq!(written, sample.get());
    }
}
