//! Checks that docs/ERRORS.md matches the table of error responses.

use err::{Ran, ERROR_RESPONSES};

#[test]
fn page_shows_the_table() {
    let page = include_str!("../../../docs/ERRORS.md");
    for response in ERROR_RESPONSES {
        let ran = match response.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        };
        let retry = response
            .retry_after_secs
            .map_or("-".to_string(), |s| s.to_string());
        let row = format!(
            "| `{}` | {} | {ran} | {retry} |",
            response.code, response.status
        );
        assert!(page.contains(&row), "docs/ERRORS.md does not contain {row}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(
        rows,
        ERROR_RESPONSES.len(),
        "docs/ERRORS.md contains unknown rows"
    );
}

#[test]
fn every_kind_has_its_own_code() {
    let mut codes: Vec<_> = ERROR_RESPONSES.iter().map(|r| r.code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ERROR_RESPONSES.len());
}
