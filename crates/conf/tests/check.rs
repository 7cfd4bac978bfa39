//! Validates the documents under tests/check, each of which lists the errors that are expected for it.

use std::path::Path;

use conf::{Config, Settings};

/// Validates one file: comments with the expected errors, followed by the document.
fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("// ")).collect();
    let lines = text.lines().filter(|l| !l.starts_with("//"));
    let document = lines.collect::<Vec<_>>().join("\n");
    let is_config = path
        .file_name()
        .is_some_and(|n| n.to_string_lossy().starts_with("config"));
    let errors = if is_config {
        Config::parse(&document).err()
    } else {
        Settings::parse(&document).err()
    };
    let mut actual: Vec<String> = errors
        .unwrap_or_default()
        .iter()
        .map(ToString::to_string)
        .collect();
    actual.sort();
    let mut expected: Vec<String> = expected.iter().map(ToString::to_string).collect();
    expected.sort();
    if actual == expected {
        Ok(())
    } else {
        Err(format!("expected {expected:#?}\ngot {actual:#?}").into())
    }
}

datatest_stable::harness! {
    { test = run, root = "tests/check", pattern = r"\.jsonc$" },
}
