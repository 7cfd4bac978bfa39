//! Runs randomised runs and policy trials.

#![allow(missing_docs, unreachable_pub, reason = "made by the macro")]

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use trial::load::{LoadProfile, LoadSimulation, STRATEGIES};
use trial::policy::POLICIES;
use trial::trace::TRACES;
use trial::{invariants, report, trace, Policy, Simulation};

xflags::xflags! {
    /// Randomised runs and policy trials of the budget decisions.
    cmd trial {
        /// Random faults, from many seeds; prints a failing seed and the end of its history.
        cmd random {
            /// First seed.
            optional --from seed: u64
            /// Seeds.
            optional --seeds count: u64
        }
        /// Choice, queues and retries under load, as a table in Markdown.
        cmd load {
            /// Seed.
            optional --seed seed: u64
        }
        /// One seed, with its whole history.
        cmd show {
            /// The seed.
            required seed: u64
        }
        /// The policies on the traces, as tables in Markdown.
        cmd policies {
            /// Seed.
            optional --seed seed: u64
            /// Only traces whose name holds this.
            optional --trace name: String
        }
    }
}

const DEFAULT_SEEDS: u64 = 1_000;
const THREADS: u64 = 4;
const MAX_HISTORY_SHOWN: usize = 40;

fn main() -> ExitCode {
    let flags = Trial::from_env_or_exit();
    match flags.subcommand {
        TrialCmd::Random(cmd) => random(cmd.from.unwrap_or(1), cmd.seeds.unwrap_or(DEFAULT_SEEDS)),
        TrialCmd::Show(cmd) => show(cmd.seed),
        TrialCmd::Load(cmd) => load(cmd.seed.unwrap_or(1)),
        TrialCmd::Policies(cmd) => policies(cmd.seed.unwrap_or(1), &cmd.trace.unwrap_or_default()),
    }
}

fn random(from: u64, seeds: u64) -> ExitCode {
    let next = AtomicU64::new(from);
    let steps = AtomicU64::new(0);
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let mut sim = Simulation::new(seed, Policy::Default, trace::random(seed));
                let result = catch_unwind(AssertUnwindSafe(|| sim.run()));
                let outcome = match result {
                    Ok(()) => invariants::check(&sim),
                    Err(_) => Err("an invariant inside failed".to_string()),
                };
                steps.fetch_add(sim.steps, Ordering::Relaxed);
                if let Err(violation) = outcome {
                    let skip = sim.history.len().saturating_sub(MAX_HISTORY_SHOWN);
                    let history: Vec<String> = sim.history.into_iter().skip(skip).collect();
                    let mut failures = failures.lock().expect("no panic inside");
                    failures.push((seed, violation, history));
                }
            });
        }
    });
    let mut failures = failures.into_inner().expect("no panic inside");
    failures.sort();
    for (seed, violation, history) in failures.iter().take(3) {
        println!("seed {seed}: {violation}\n{}\n", history.join("\n"));
    }
    let failed_seeds: Vec<u64> = failures.iter().map(|f| f.0).collect();
    let steps = steps.into_inner();
    println!(
        "{seeds} seeds, {steps} steps, {} failed {failed_seeds:?}",
        failed_seeds.len()
    );
    if failed_seeds.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Requests a second that 20 engines can just bear with a fifth of long reads.
const CAPACITY_PER_SEC: f64 = 620.0;
const LOAD_MS: u64 = 60_000;

fn load(seed: u64) -> ExitCode {
    let base = LoadProfile {
        engines: 20,
        requests_per_sec: CAPACITY_PER_SEC,
        long_request_pct: 20,
        with_failures: false,
        length_ms: LOAD_MS,
    };
    let profiles = [
        ("at capacity", base),
        (
            "at 2 x capacity",
            LoadProfile {
                requests_per_sec: CAPACITY_PER_SEC * 2.0,
                length_ms: 3 * LOAD_MS,
                ..base
            },
        ),
        (
            "at 0.6 x, quick questions only",
            LoadProfile {
                requests_per_sec: CAPACITY_PER_SEC * 0.6,
                long_request_pct: 0,
                ..base
            },
        ),
        (
            "at 0.6 x, with long reads",
            LoadProfile {
                requests_per_sec: CAPACITY_PER_SEC * 0.6,
                ..base
            },
        ),
        (
            "at 0.6 x, a third fails for 20 s",
            LoadProfile {
                requests_per_sec: CAPACITY_PER_SEC * 0.6,
                with_failures: true,
                ..base
            },
        ),
        (
            "3 engines at 2 x",
            LoadProfile {
                engines: 3,
                requests_per_sec: CAPACITY_PER_SEC * 0.3,
                length_ms: 3 * LOAD_MS,
                ..base
            },
        ),
    ];
    for (name, profile) in profiles {
        println!("\n### 20 engines, {name}, seed {seed}\n");
        println!("| way | requests | goodput/s | refused, % | quick first token p95, ms | upstream requests per request while failing | prefix hits, % | recovery, ms |");
        println!("|---|---|---|---|---|---|---|---|");
        for (strategy, label) in STRATEGIES {
            let report = LoadSimulation::new(seed, *strategy, profile).run();
            println!(
                "| {label} | {} | {:.1} | {:.1} | {} | {:.3} | {:.1} | {} |",
                report.requests,
                report.goodput_per_sec,
                report.refused_pct,
                report.short_first_token_p95_ms,
                report.retry_amplification,
                report.prefix_hit_pct,
                report.recovery_ms,
            );
        }
    }
    ExitCode::SUCCESS
}

fn show(seed: u64) -> ExitCode {
    let mut sim = Simulation::new(seed, Policy::Default, trace::random(seed));
    sim.keep_full_history = true;
    let result = catch_unwind(AssertUnwindSafe(|| sim.run()));
    for line in &sim.history {
        println!("{line}");
    }
    println!("{:?} {:?}", result.is_ok(), invariants::check(&sim));
    ExitCode::SUCCESS
}

fn policies(seed: u64, filter: &str) -> ExitCode {
    for (name, generate) in TRACES.iter().filter(|(n, _)| n.contains(filter)) {
        println!("\n### {name}, seed {seed}\n\n{}", report::TABLE_HEADER);
        let rows: Vec<String> = thread::scope(|scope| {
            let measure = |(policy, label): &(Policy, &'static str)| {
                let (policy, label) = (*policy, *label);
                scope.spawn(move || {
                    report::table_row(label, &report::run(seed, policy, generate(seed)))
                })
            };
            let threads: Vec<_> = POLICIES.iter().map(measure).collect();
            let join = |t: thread::ScopedJoinHandle<'_, String>| t.join().expect("a trial's run");
            threads.into_iter().map(join).collect()
        });
        println!("{}", rows.join("\n"));
    }
    ExitCode::SUCCESS
}
