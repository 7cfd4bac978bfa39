//! Runs the scenarios: text files that start real processes, inject failures and state the expected results.

mod actions;
mod env;
mod expect;
#[path = "../support/kept_logs.rs"]
mod kept_logs;
mod line;

use std::path::Path;

use env::TestEnv;
use line::Line;

/// Runs one scenario. The message of a failure contains the line, the folder with the processes' whole logs, and their ends.
fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut env = TestEnv::new()?;
        for (number, text) in text.lines().enumerate() {
            let Some(line) = Line::parse(text) else {
                continue;
            };
            let result = actions::run_line(&mut env, &line).await;
            result.map_err(|e| format!("line {}: {text}\n{e}\n{}", number + 1, env.keep_logs()))?;
        }
        Ok(())
    })
}

datatest_stable::harness! {
    { test = run, root = "tests/scenarios", pattern = r"\.scn$" },
}
