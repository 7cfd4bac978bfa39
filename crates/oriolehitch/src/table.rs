//! Formats lists of JSON objects as tables.

use serde_json::Value;

/// Returns a table with the given columns. A column is the name of a field, or a path of names
/// separated by dots; its header is the last name.
pub fn format_table(rows: &[Value], columns: &[&str]) -> String {
    let header: Vec<String> = columns
        .iter()
        .map(|c| last_name(c).to_uppercase())
        .collect();
    let mut lines = vec![header];
    for row in rows {
        lines.push(columns.iter().map(|c| cell(row, c)).collect());
    }
    let width = |i: usize| lines.iter().map(|l| l[i].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).map(|i| width(i).unwrap_or(0)).collect();
    let mut out = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells.map(|(c, w)| format!("{c:<w$}")).collect();
        out.push_str(padded.join("  ").trim_end());
        out.push('\n');
    }
    out
}

fn last_name(path: &str) -> &str {
    path.rsplit('.').next().unwrap_or(path)
}

fn cell(row: &Value, path: &str) -> String {
    let value = path.split('.').fold(row, |v, name| &v[name]);
    match value {
        Value::Null => "-".to_string(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
