//! Holds docs/ERRORS.md and the table of answers together.

use err::{Ran, ERROR_RESPONSES};

#[test]
fn page_shows_the_table() {
    let page = include_str!("../../../docs/ERRORS.md");
    for answer in ERROR_RESPONSES {
        let ran = match answer.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        };
        let retry = answer
            .retry_after_secs
            .map_or("-".to_string(), |s| s.to_string());
        let row = format!(
            "| `{}` | {} | {ran} | {retry} |",
            answer.code, answer.status
        );
        assert!(page.contains(&row), "docs/ERRORS.md lacks {row}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(
        rows,
        ERROR_RESPONSES.len(),
        "docs/ERRORS.md has a row too many"
    );
}

#[test]
fn every_kind_has_its_own_code() {
    let mut codes: Vec<_> = ERROR_RESPONSES.iter().map(|a| a.code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ERROR_RESPONSES.len());
}
