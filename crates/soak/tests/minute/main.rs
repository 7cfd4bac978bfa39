//! A minute of the soak with a fixed seed.

use std::path::Path;

use soak::run::{run, Options};
use soak::schedule::Plan;

const SEED: u64 = 1;
const SECONDS: u64 = 60;
const INSTANCES: usize = 4;

const RETRIES_SECONDS: u64 = 50;

fn options(plan: Plan, seconds: u64) -> Options {
    Options {
        seed: SEED,
        seconds,
        instances: INSTANCES,
        program: Path::new(env!("CARGO_BIN_EXE_oriolehitch")).to_path_buf(),
        plan,
    }
}

/// Guards against violations of the fleet's guarantees under faults that come in series and overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_for_a_minute_of_faults() {
    let report = run(&options(Plan::Any, SECONDS))
        .await
        .expect("the run can be made");
    println!("{}", report.text);
    assert!(report.violations.is_empty(), "{}", report.text);
}

/// Guards against more retries than all instances together may send while services fail and instances don't run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_the_budget_while_services_fail() {
    let report = run(&options(Plan::Retries, RETRIES_SECONDS)).await;
    let report = report.expect("the run can be made");
    println!("{}", report.text);
    assert!(report.violations.is_empty(), "{}", report.text);
}
