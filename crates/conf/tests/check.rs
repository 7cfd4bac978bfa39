//! Checks the files under tests/check: each states the faults that it must show.

use std::path::Path;

use conf::{Config, Settings};

/// The first lines of a file are comments with the expected faults, then comes the document.
fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("// ")).collect();
    let lines = text.lines().filter(|l| !l.starts_with("//"));
    let document = lines.collect::<Vec<_>>().join("\n");
    let is_config = path
        .file_name()
        .is_some_and(|n| n.to_string_lossy().starts_with("config"));
    let faults = if is_config {
        Config::parse(&document).err()
    } else {
        Settings::parse(&document).err()
    };
    let mut seen: Vec<String> = faults
        .unwrap_or_default()
        .iter()
        .map(ToString::to_string)
        .collect();
    seen.sort();
    let mut wanted: Vec<String> = expected.iter().map(ToString::to_string).collect();
    wanted.sort();
    if seen == wanted {
        Ok(())
    } else {
        Err(format!("expected {wanted:#?}\ngot {seen:#?}").into())
    }
}

datatest_stable::harness! {
    { test = run, root = "tests/check", pattern = r"\.jsonc$" },
}
