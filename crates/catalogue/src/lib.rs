//! Catalogues of numbered log events.

use tracing::Level;

/// A log event in a catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Row<E> {
    /// The event.
    pub event: E,
    /// Stable number of the event.
    pub id: u16,
    /// Severity.
    pub level: Level,
    /// Message text.
    pub text: &'static str,
}

/// Creates a row.
pub const fn row<E: Copy>(event: E, id: u16, level: Level, text: &'static str) -> Row<E> {
    Row {
        event,
        id,
        level,
        text,
    }
}

/// Returns the row of an event.
///
/// # Panics
///
/// Panics if the catalogue has no row for the event.
pub fn find<E: Copy + PartialEq>(rows: &'static [Row<E>], event: E) -> &'static Row<E> {
    let mut rows = rows.iter();
    rows.find(|r| r.event == event)
        .expect("every event has a row")
}

/// Returns the differences between a catalogue and the Markdown page that documents it. The rows of the
/// page's table start with `row_prefix`.
pub fn differences<E>(page: &str, rows: &[Row<E>], row_prefix: &str) -> Vec<String> {
    let line = |r: &Row<E>| format!("| {} | {} | {} |", r.id, r.level, r.text);
    let missing = rows.iter().map(line).filter(|l| !page.contains(l));
    let mut differences: Vec<String> = missing
        .map(|l| format!("the page does not contain {l}"))
        .collect();
    let count = page.lines().filter(|l| l.starts_with(row_prefix)).count();
    if count != rows.len() {
        differences.push(format!(
            "the page has {count} rows instead of {}",
            rows.len()
        ));
    }
    differences
}
