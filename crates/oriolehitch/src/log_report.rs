//! Reads logs of instances for the reports, and formats the reports.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde::Deserialize;
use serde_json::Value;

use crate::table::format_table;
use crate::Outcome;

/// The fields of a log line that reports use.
#[derive(Debug, Deserialize)]
pub(crate) struct LogLine {
    pub(crate) timestamp: jiff::Timestamp,
    pub(crate) event: u16,
    pub(crate) detail: String,
}

impl LogLine {
    /// Returns the whole seconds since another line; 0 if that line is later.
    pub(crate) fn seconds_since(&self, first: &LogLine) -> u64 {
        let since = self.timestamp.duration_since(first.timestamp);
        since.as_secs().max(0) as u64
    }
}

/// Returns the rows that a report makes from some logs, as a table or as JSON for programs.
///
/// # Errors
///
/// Returns which file can't be read, and why.
pub(crate) fn run_report(
    files: &[PathBuf],
    json: bool,
    columns: &[&str],
    rows: impl FnOnce(&[(String, LogLine)]) -> Vec<Value>,
) -> Result<Outcome> {
    let lines = read_all(files)?;
    if lines.is_empty() {
        let message = "no log lines of an instance found in these files\n";
        return Ok(Outcome::Failure(message.to_string()));
    }
    let rows = rows(&lines);
    let text = if json {
        format!("{}\n", Value::from(rows))
    } else {
        format_table(&rows, columns)
    };
    Ok(Outcome::Success(text))
}

/// Reads logs, and returns their lines ordered by time, each with the name of its instance.
fn read_all(files: &[PathBuf]) -> Result<Vec<(String, LogLine)>> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    lines.sort_by_key(|(_, line)| line.timestamp);
    Ok(lines)
}

/// Reads a log. The word before a line's JSON names the instance; without one, the file's path does.
fn read_log(file: &Path) -> Result<Vec<(String, LogLine)>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("failed to read {}", file.display()))?;
    let parse = |line: &str| {
        let (before, _) = line.split_once('{')?;
        let parsed = serde_json::from_str(&line[before.len()..]).ok()?;
        let name = before.split_whitespace().last();
        let source = name.map_or_else(|| file.display().to_string(), str::to_string);
        Some((source, parsed))
    };
    Ok(text.lines().filter_map(parse).collect())
}

/// Returns the value of a key in a line's detail, which has the form KEY=VALUE, separated by spaces.
pub(crate) fn field<'a>(detail: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = detail.split(' ');
    pairs.find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
}

pub(crate) fn number(detail: &str, key: &str) -> Option<u64> {
    field(detail, key)?.parse().ok()
}
