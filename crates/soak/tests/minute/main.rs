//! A minute of the soak with a fixed seed.

use std::path::Path;

use soak::run::{run, Options};
use soak::schedule::Plan;

const SEED: u64 = 1;
const SECONDS: u64 = 60;
const INSTANCES: usize = 4;

fn options() -> Options {
    Options {
        seed: SEED,
        seconds: SECONDS,
        instances: INSTANCES,
        program: Path::new(env!("CARGO_BIN_EXE_oriolehitch")).to_path_buf(),
        plan: Plan::Any,
    }
}

/// Guards against violations of the fleet's guarantees under faults that come in series and overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_for_a_minute_of_faults() {
    let report = run(&options()).await.expect("the run can be made");
    println!("{}", report.text);
    assert!(report.violations.is_empty(), "{}", report.text);
}
