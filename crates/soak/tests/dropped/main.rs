//! The end of a run of the soak before its time. It is a test program of its own, because it counts the child
//! processes of the whole program.

use std::path::Path;
use std::time::Duration;

use soak::run::{run, Options};
use soak::schedule::Plan;
use tokio::time::{sleep, timeout, Instant};

/// Time within which the processes have started.
const START_TIME: Duration = Duration::from_secs(4);
/// Time within which they are gone after the run was dropped: its tasks end in the background.
const END_TIME: Duration = Duration::from_secs(5);

fn options() -> Options {
    Options {
        seed: 1,
        seconds: 60,
        instances: 4,
        program: Path::new(env!("CARGO_BIN_EXE_oriolehitch")).to_path_buf(),
        plan: Plan::Any,
    }
}

/// Guards against processes that are left behind when the soak is ended by a signal, which drops its run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_that_is_dropped_leaves_no_process() {
    let before = children();
    let ended = timeout(START_TIME, run(&options())).await;
    assert!(ended.is_err(), "the run goes on for a minute");
    let deadline = Instant::now() + END_TIME;
    while children() > before {
        assert!(Instant::now() < deadline, "{} processes left", children());
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the number of child processes of this one.
fn children() -> usize {
    let own = std::process::id().to_string();
    let entries = std::fs::read_dir("/proc").expect("processes can be listed");
    let is_child = |dir: &Path| {
        let stat = std::fs::read_to_string(dir.join("stat")).unwrap_or_default();
        // The name in parentheses may contain spaces; the state and the parent follow it.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        fields.split(' ').nth(2) == Some(own.as_str())
    };
    let dirs = entries.flatten().map(|e| e.path());
    dirs.filter(|dir| is_child(dir)).count()
}
