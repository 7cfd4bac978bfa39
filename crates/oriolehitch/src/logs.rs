//! Logs of instances, as reports read them.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde::Deserialize;

/// What a report says of files that hold no line of a log.
pub(crate) const NONE: &str = "no line of an instance's log in these files\n";

/// One line of a log, as far as it is read.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    pub(crate) timestamp: jiff::Timestamp,
    pub(crate) event: u16,
    pub(crate) detail: String,
}

/// Reads logs; returns their lines in the order of their times, each with the name of its instance.
///
/// # Errors
///
/// Returns which file can't be read.
pub(crate) fn read_all(files: &[PathBuf]) -> Result<Vec<(String, Line)>> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by_key(|(_, line)| line.timestamp);
    Ok(lines)
}

/// Reads a log; what stands before a line's JSON names the instance, else the file does.
fn read(file: &Path) -> Result<Vec<(String, Line)>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    let parse = |line: &str| {
        let (before, _) = line.split_once('{')?;
        let parsed = serde_json::from_str(&line[before.len()..]).ok()?;
        let named = before.split_whitespace().last();
        let source = named.map_or_else(|| file.display().to_string(), str::to_string);
        Some((source, parsed))
    };
    Ok(text.lines().filter_map(parse).collect())
}

/// Returns a field of a line's detail, which are KEY=VALUE separated by spaces.
pub(crate) fn field<'a>(detail: &'a str, key: &str) -> Option<&'a str> {
    let mut words = detail.split(' ');
    words.find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
}

pub(crate) fn number(detail: &str, key: &str) -> Option<u64> {
    field(detail, key)?.parse().ok()
}
