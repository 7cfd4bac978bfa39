//! Holds docs/EVENTS.md and the catalogue of events together.

use proxy::event::EVENTS;

#[test]
fn page_shows_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    for row in EVENTS {
        let line = format!("| {} | {} | {} |", row.id, row.level, row.text);
        assert!(page.contains(&line), "docs/EVENTS.md lacks {line}");
    }
    let rows = page.lines().filter(|l| l.starts_with("| 2")).count();
    assert_eq!(rows, EVENTS.len(), "docs/EVENTS.md has a row too many");
}
