//! Runs the scenarios: text files that start real processes, break things and state what they expect.

mod act;
mod expect;
mod line;
mod stage;

use std::path::Path;

use line::Line;
use stage::Stage;

/// Runs one scenario; its failure names the line.
fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut stage = Stage::open()?;
        for (number, text) in text.lines().enumerate() {
            let Some(line) = Line::parse(text) else {
                continue;
            };
            let done = act::act(&mut stage, &line).await;
            done.map_err(|e| format!("line {}: {text}\n{e}\n{}", number + 1, stage.logs()))?;
        }
        Ok(())
    })
}

datatest_stable::harness! {
    { test = run, root = "tests/scenarios", pattern = r"\.scn$" },
}
