//! The command `check`: lists every fault of settings and configuration files.

use std::path::Path;

use conf::{Config, Settings, ValidationError};
use serde_json::Value;

use crate::flags::Check;
use crate::Outcome;

/// Runs the command.
pub fn run(flags: &Check) -> Outcome {
    let faults: String = flags.files.iter().map(|f| check_file(f)).collect();
    if faults.is_empty() {
        Outcome::Success(String::new())
    } else {
        Outcome::Failure(faults)
    }
}

/// Returns a line for each fault of a file, or one that tells why the file can't be read.
fn check_file(file: &Path) -> String {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return format!("{}: {e}\n", file.display()),
    };
    let faults = if is_config(&text) {
        Config::parse(&text).err()
    } else {
        Settings::parse(&text).err()
    };
    format_faults(file, &faults.unwrap_or_default())
}

/// A file with templates or customers is a configuration, any other file contains settings.
fn is_config(text: &str) -> bool {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value.get("templates").is_some() || value.get("customers").is_some()
}

/// Formats faults of a file, one per line.
pub fn format_faults(file: &Path, faults: &[ValidationError]) -> String {
    let line = |f: &ValidationError| format!("{}: {f}\n", file.display());
    faults.iter().map(line).collect()
}
