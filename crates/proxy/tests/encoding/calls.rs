//! How calls of the store are named in the log, and all metrics: monitoring reads both, and they stay.

use std::sync::Arc;

use clock::Clock;
use dial::Dialer;

use super::{CallLabels, StoreCalls};
use crate::log::Log;
use crate::metrics::Metrics;
use crate::store_health::StoreHealth;
use crate::suspects::Suspects;

fn call() -> CallLabels {
    CallLabels {
        task: "budgets",
        call: "write",
        end: "done",
        store: "in_reach",
    }
}

#[test]
fn calls_of_the_store_keep_their_text() {
    assert_eq!(call().to_string(), "budgets.write.done.in_reach");
}

#[test]
fn metrics_keep_their_names_and_labels() {
    let clock = Clock::start();
    let log = Arc::new(Log::new(clock));
    let reach = Arc::new(StoreHealth::new(clock, Arc::clone(&log)));
    let calls = StoreCalls::new(clock, reach);
    let suspects = Suspects::new("r1", clock, log, Dialer::default());
    let metrics = Metrics::new(&calls, &suspects);
    calls.count(call());
    metrics.count_request("chat", "ok");
    metrics.observe_first_output("chat", 5);
    let text = metrics.encode();
    // Without their values, which follow the last space.
    let line = |l: &str| match l.rsplit_once(' ') {
        Some((name, _)) if !l.starts_with('#') => name.to_string(),
        _ => l.to_string(),
    };
    let lines: Vec<String> = text.lines().map(line).collect();
    let sample = include_str!("../data/outer/metrics.txt");
    assert_eq!(lines, sample.lines().collect::<Vec<_>>());
}
