//! Results of runs, and tables of them.

use crate::policy::Policy;
use crate::simulation::{Simulation, SETTLE_PERIOD_MS};
use crate::trace::Trace;

/// Results of one run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Most tokens that an account was ever served in excess of its top-ups.
    pub overspend: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Refusals although the rest of the budget would have sufficed, in percent of the requests.
    pub false_refusal_pct: f64,
    /// Refusals, in percent of the requests.
    pub refused_pct: f64,
    /// Tokens that are stranded at the end, in percent of the budgets.
    pub stranded_pct: f64,
    /// Platform reads per second.
    pub reads_per_sec: f64,
    /// Platform writes per second.
    pub writes_per_sec: f64,
    /// Median and 99th percentile of the durations of reservations, in milliseconds.
    pub reserve_ms: (u64, u64),
    /// Median and 99th percentile of the durations of settlements, in milliseconds.
    pub settle_ms: (u64, u64),
    /// Invariant that was violated, if any.
    pub violation: Option<String>,
}

/// Runs a trace under a policy.
pub fn run(seed: u64, policy: Policy, trace: Trace) -> RunReport {
    let secs = (trace.length_ms + SETTLE_PERIOD_MS) as f64 / 1000.0;
    let mut sim = Simulation::new(seed, policy, trace);
    sim.run();
    let total: u64 = (0..sim.trace.budgets.len())
        .map(|a| sim.budget_total(a))
        .sum();
    let stats = &sim.stats;
    let pct = |n: u64, of: u64| n as f64 * 100.0 / of.max(1) as f64;
    RunReport {
        overspend: stats.overspend,
        requests: stats.requests,
        false_refusal_pct: pct(stats.false_refusals, stats.requests),
        refused_pct: pct(stats.refused, stats.requests),
        stranded_pct: pct(sim.stranded_tokens(), total),
        reads_per_sec: sim.platform.reads as f64 / secs,
        writes_per_sec: sim.platform.writes as f64 / secs,
        reserve_ms: percentiles(&stats.reserve_ms),
        settle_ms: percentiles(&stats.settle_ms),
        violation: crate::invariants::check(&sim).err(),
    }
}

fn percentiles(times: &[u64]) -> (u64, u64) {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = |pct: usize| times.get((times.len() * pct / 100).min(times.len().max(1) - 1));
    (at(50).copied().unwrap_or(0), at(99).copied().unwrap_or(0))
}

/// Returns the results as a row of a Markdown table.
pub fn table_row(name: &str, report: &RunReport) -> String {
    format!(
        "| {name} | {} | {:.3} | {:.2} | {:.3} | {:.1} | {:.1} | {}/{} | {}/{} | {} |",
        report.overspend,
        report.false_refusal_pct,
        report.refused_pct,
        report.stranded_pct,
        report.reads_per_sec,
        report.writes_per_sec,
        report.reserve_ms.0,
        report.reserve_ms.1,
        report.settle_ms.0,
        report.settle_ms.1,
        report.violation.as_deref().unwrap_or("holds"),
    )
}

/// Header of the Markdown table that the rows belong to.
pub const TABLE_HEADER: &str = "| policy | overspend, tokens | false refusals, % | refusals, % | stranded, % of budgets | platform reads/s | platform writes/s | reserve p50/p99, ms | settle p50/p99, ms | invariants |\n|---|---|---|---|---|---|---|---|---|---|";
