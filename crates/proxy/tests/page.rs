//! Compares docs/EVENTS.md with the catalogue of events.

use proxy::event::EVENTS;

#[test]
fn page_shows_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    let differences = catalogue::differences(page, EVENTS, "| 2");
    assert!(differences.is_empty(), "docs/EVENTS.md: {differences:#?}");
}
