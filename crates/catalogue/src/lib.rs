//! Rows of a catalogue of numbered log events.

use tracing::Level;

/// A row of a catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Row<E> {
    /// The event.
    pub event: E,
    /// Its number, which never changes.
    pub id: u16,
    /// Its severity.
    pub level: Level,
    /// Its text.
    pub text: &'static str,
}

/// Makes a row.
pub const fn row<E: Copy>(event: E, id: u16, level: Level, text: &'static str) -> Row<E> {
    Row {
        event,
        id,
        level,
        text,
    }
}

/// Returns an event's row.
///
/// # Panics
///
/// Panics when the catalogue lacks the event; a test holds them together.
pub fn find<E: Copy + PartialEq>(rows: &'static [Row<E>], event: E) -> &'static Row<E> {
    let mut rows = rows.iter();
    rows.find(|r| r.event == event)
        .expect("every event has a row")
}

/// Returns how a page differs from a catalogue; the page's rows begin with `first`.
pub fn differences<E>(page: &str, rows: &[Row<E>], first: &str) -> Vec<String> {
    let line = |r: &Row<E>| format!("| {} | {} | {} |", r.id, r.level, r.text);
    let lacking = rows.iter().map(line).filter(|l| !page.contains(l));
    let mut out: Vec<String> = lacking.map(|l| format!("the page lacks {l}")).collect();
    let shown = page.lines().filter(|l| l.starts_with(first)).count();
    if shown != rows.len() {
        out.push(format!("the page shows {shown} rows, not {}", rows.len()));
    }
    out
}
