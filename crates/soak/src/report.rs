//! What a run prints.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use crate::checks::{describe_retries, Evidence, Service, Violation};

/// Maximum number of violations of each guarantee that are printed, and of log lines for each.
const MAX_VIOLATIONS: usize = 3;
const MAX_LOG_LINES: usize = 8;

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The guarantees that do not hold.
    pub violations: Vec<Violation>,
    /// The text to print.
    pub text: String,
    /// Where the logs are; removed if all guarantees hold.
    pub dir: PathBuf,
}

/// Describes a run.
pub fn describe(seed: u64, evidence: &Evidence, violations: &[Violation], dir: &Path) -> String {
    let mut text = format!(
        "seed {seed}: {} requests, {} faults in {} s\n",
        evidence.records.len(),
        evidence.injected.len(),
        evidence.seconds
    );
    let mut by_status: BTreeMap<(u16, bool), usize> = BTreeMap::new();
    for record in &evidence.records {
        *by_status
            .entry((record.status, record.complete))
            .or_default() += 1;
    }
    for ((status, complete), count) in by_status {
        let end = if complete { "complete" } else { "not complete" };
        // Writing to a string does not fail.
        let _ = writeln!(text, "  status {status}, {end}: {count}");
    }
    let _ = write!(text, "{}", evidence.coverage);
    let late_ms: u64 = evidence.late.iter().map(|l| l.end - l.start).sum();
    let spans = evidence.service_spans().len();
    let _ = writeln!(
        text,
        "  spans in which each kind must be served: {spans}; the soak itself was late for {late_ms} ms"
    );
    for service in Service::ALL {
        let _ = writeln!(text, "  {}", describe_retries(evidence, service));
    }
    if violations.is_empty() {
        text += "all guarantees hold\n";
        return text;
    }
    let mut printed: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in violations {
        let count = printed.entry(violation.guarantee).or_default();
        *count += 1;
        if *count > MAX_VIOLATIONS {
            continue;
        }
        let request = violation.request.as_deref().unwrap_or("-");
        let _ = writeln!(
            text,
            "VIOLATED: {}: request={request} {}",
            violation.guarantee, violation.detail
        );
        if let Some(request) = &violation.request {
            for line in log_lines(dir, request) {
                let _ = writeln!(text, "    {line}");
            }
        }
    }
    let _ = writeln!(
        text,
        "{} violations; logs: {}",
        violations.len(),
        dir.display()
    );
    text
}

/// Returns the first log lines with a request's id, each with its file.
fn log_lines(dir: &Path, request: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let Ok(entries) = std::fs::read_dir(dir) else {
        return lines;
    };
    let logs = entries.flatten().map(|e| e.path());
    let logs = logs.filter(|f| f.extension().is_some_and(|e| e == "log"));
    for file in logs {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        let found = text.lines().filter(|l| l.contains(request));
        lines.extend(found.map(|l| format!("{name}: {l}")));
    }
    lines.truncate(MAX_LOG_LINES);
    lines
}
