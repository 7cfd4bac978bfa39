//! Keeps the logs of a failed test.

use std::io::Result;
use std::path::{Path, PathBuf};

/// Folder of the logs of failed tests.
const KEPT_LOGS_DIR: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/failed");

/// Copies the logs of a test from its folder, which is removed, and returns where they are kept.
pub(crate) fn keep(test_dir: &Path) -> Result<PathBuf> {
    let kept = Path::new(KEPT_LOGS_DIR).join(test_dir.file_name().unwrap_or_default());
    std::fs::create_dir_all(&kept)?;
    for entry in std::fs::read_dir(test_dir)? {
        let file = entry?.path();
        if file.extension().is_some_and(|e| e == "log") {
            std::fs::copy(&file, kept.join(file.file_name().unwrap_or_default()))?;
        }
    }
    Ok(kept)
}
