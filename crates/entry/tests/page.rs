//! Checks that docs/EVENTS.md lists the events as the catalogue does.

use entry::event::EVENTS;

#[test]
fn events_page_matches_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    let differences = catalogue::differences(page, EVENTS, "| 1");
    assert!(differences.is_empty(), "docs/EVENTS.md: {differences:#?}");
}
