//! Traces: requests, budgets and faults of a run, generated from a seed.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fault::Fault;

/// Arrival of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time from the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Number of the customer's account.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the complete response.
    pub response_tokens: u64,
    /// Most tokens of the response that the caller allows.
    pub max_response_tokens: u64,
}

/// Requests, budgets and faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Name of the trace.
    pub name: &'static str,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Tokens of each account's budget at the start.
    pub budgets: Vec<u64>,
    /// Arrivals of requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults with the times at which they begin or end, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// One-way latency between zones, in milliseconds.
    pub zone_latency_ms: u64,
}

/// Parameters of a generated load.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Mean number of requests per second.
    pub requests_per_sec: f64,
    /// Number of customers.
    pub customers: usize,
    /// Percentage of requests with long prompts.
    pub long_prompt_pct: u32,
    /// Ratio of each customer's budget to its demand over the whole trace; 20,000 tokens are added.
    pub budget_ratio: f64,
    /// One-way latency between zones, in milliseconds.
    pub zone_latency_ms: u64,
}

/// Small budgets that must be enforced tightly, named after Hrísey in traces.
pub const SMALL_BUDGETS: Workload = Workload {
    requests_per_sec: 20.0,
    customers: 10,
    long_prompt_pct: 20,
    budget_ratio: 3.0,
    zone_latency_ms: 1,
};

/// Ample budgets, named after the Southern Plains in traces: a false refusal stops a shift there.
pub const LARGE_BUDGETS: Workload = Workload {
    requests_per_sec: 30.0,
    customers: 10,
    long_prompt_pct: 10,
    budget_ratio: 5.0,
    zone_latency_ms: 1,
};

const MINUTE_MS: u64 = 60_000;

/// Generates a trace from a seed.
pub type TraceFn = fn(u64) -> Trace;

/// Traces on which the policies are compared, by name.
pub const TRACES: &[(&str, TraceFn)] = &[
    ("calm, Hrísey", calm_small_budgets),
    ("calm, Southern Plains", calm_large_budgets),
    ("nearly drained", nearly_drained),
    ("platform out 10 min", platform_outage),
    ("zone cut 1 h", zone_partition),
    ("crash each minute", crash_each_minute),
    ("season's opening", demand_shift),
];

/// Generates a trace without faults.
///
/// Requests arrive as a Poisson process.
pub fn generate(name: &'static str, seed: u64, length_ms: u64, workload: Workload) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let mut demand = vec![0u64; workload.customers];
    loop {
        let unit: f64 = rng.random_range(1e-9..1.0);
        at += -unit.ln() * 1000.0 / workload.requests_per_sec;
        if at >= length_ms as f64 {
            break;
        }
        let arrival = random_arrival(&mut rng, at as u64, workload);
        demand[arrival.account] += arrival.prompt_tokens + arrival.response_tokens;
        arrivals.push(arrival);
    }
    let budget = |d: u64| (d as f64 * workload.budget_ratio) as u64 + 20_000;
    Trace {
        name,
        length_ms,
        budgets: demand.into_iter().map(budget).collect(),
        arrivals,
        faults: Vec::new(),
        zone_latency_ms: workload.zone_latency_ms,
    }
}

fn random_arrival(rng: &mut ChaCha8Rng, at_ms: u64, workload: Workload) -> Arrival {
    // A few customers are large: the smaller of two random numbers favours the first customers.
    let a = rng.random_range(0..workload.customers);
    let account = a.min(rng.random_range(0..workload.customers));
    let long = rng.random_range(0..100) < workload.long_prompt_pct;
    let (prompt, max) = if long {
        (rng.random_range(1000..4000), 600)
    } else {
        (rng.random_range(20..200), 200)
    };
    Arrival {
        at_ms,
        account,
        prompt_tokens: prompt,
        response_tokens: rng.random_range(20..max),
        max_response_tokens: max,
    }
}

fn calm_small_budgets(seed: u64) -> Trace {
    generate("calm, Hrísey", seed, 10 * MINUTE_MS, SMALL_BUDGETS)
}

fn calm_large_budgets(seed: u64) -> Trace {
    generate("calm, Southern Plains", seed, 10 * MINUTE_MS, LARGE_BUDGETS)
}

fn nearly_drained(seed: u64) -> Trace {
    let workload = Workload {
        budget_ratio: 0.7,
        ..SMALL_BUDGETS
    };
    generate("nearly drained", seed, 10 * MINUTE_MS, workload)
}

fn platform_outage(seed: u64) -> Trace {
    let mut trace = generate("platform out 10 min", seed, 20 * MINUTE_MS, SMALL_BUDGETS);
    trace.faults = vec![
        (5 * MINUTE_MS, Fault::PlatformDown(true)),
        (15 * MINUTE_MS, Fault::PlatformDown(false)),
    ];
    trace
}

fn zone_partition(seed: u64) -> Trace {
    let workload = Workload {
        requests_per_sec: 5.0,
        ..SMALL_BUDGETS
    };
    let mut trace = generate("zone cut 1 h", seed, 80 * MINUTE_MS, workload);
    trace.faults = vec![
        (10 * MINUTE_MS, Fault::Partition(2, true)),
        (70 * MINUTE_MS, Fault::Partition(2, false)),
    ];
    for i in 0..10u64 {
        let at = (15 + 5 * i) * MINUTE_MS;
        trace.faults.push((at, Fault::TopUp(0, 50_000, 0)));
        trace.faults.push((at + 1, Fault::TopUp(1, 50_000, 2)));
    }
    trace
}

fn crash_each_minute(seed: u64) -> Trace {
    let mut trace = generate("crash each minute", seed, 10 * MINUTE_MS, SMALL_BUDGETS);
    for i in 1..10u64 {
        let victim = (i as usize * 4) % 9;
        trace.faults.push((i * MINUTE_MS, Fault::Kill(victim)));
    }
    trace
}

/// Generates a trace in which the demand shifts to other customers after two minutes.
///
/// Of the generated requests after that time only those of the first three customers are kept, and
/// the last three customers send about 50 per second in addition.
fn demand_shift(seed: u64) -> Trace {
    let mut trace = generate("season's opening", seed, 10 * MINUTE_MS, SMALL_BUDGETS);
    let shifted = Workload {
        requests_per_sec: 5.0,
        customers: 3,
        ..SMALL_BUDGETS
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let customers = SMALL_BUDGETS.customers;
    trace
        .arrivals
        .retain(|a| a.at_ms < 2 * MINUTE_MS || a.account < 3);
    let mut at = 2 * MINUTE_MS;
    while at < trace.length_ms {
        at += rng.random_range(0..40);
        let mut arrival = random_arrival(&mut rng, at, shifted);
        arrival.account = customers - 1 - arrival.account;
        trace.arrivals.push(arrival);
    }
    trace.arrivals.sort_by_key(|a| a.at_ms);
    let mut demand = vec![0; customers];
    for a in &trace.arrivals {
        demand[a.account] += a.prompt_tokens + a.response_tokens;
    }
    trace.budgets = demand.into_iter().map(|d| d * 3 + 20_000).collect();
    trace
}

/// Generates a short trace with random faults of all kinds, which may overlap.
pub fn random(seed: u64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let workload = Workload {
        requests_per_sec: rng.random_range(3.0..15.0),
        customers: rng.random_range(1..4),
        long_prompt_pct: 20,
        budget_ratio: rng.random_range(0.3..2.0),
        zone_latency_ms: rng.random_range(1..30),
    };
    let length_ms = 60_000;
    let mut trace = generate("random", seed, length_ms, workload);
    for _ in 0..rng.random_range(2..8) {
        let at = rng.random_range(0..length_ms - 20_000);
        push_fault(&mut rng, at, workload.customers, &mut trace.faults);
    }
    trace.faults.sort_by_key(|f| f.0);
    trace
}

fn push_fault(rng: &mut ChaCha8Rng, at: u64, customers: usize, out: &mut Vec<(u64, Fault)>) {
    let end = at + rng.random_range(500..20_000);
    let instance = rng.random_range(0..9);
    let zone = rng.random_range(0..3);
    let (fault, undo) = match rng.random_range(0..9) {
        0 => (Fault::Kill(instance), None),
        1 => (Fault::Pause(instance, end - at), None),
        2 => (Fault::PlannedStop(instance), None),
        3 => (Fault::PlatformDown(true), Some(Fault::PlatformDown(false))),
        4 => {
            let delay_ms = rng.random_range(100..4_000);
            (
                Fault::PlatformDelay(delay_ms),
                Some(Fault::PlatformDelay(0)),
            )
        }
        5 => (
            Fault::PlatformReplyLoss(rng.random_range(5..60)),
            Some(Fault::PlatformReplyLoss(0)),
        ),
        6 => (
            Fault::Partition(zone, true),
            Some(Fault::Partition(zone, false)),
        ),
        7 => (
            Fault::PeerPartition(zone, true),
            Some(Fault::PeerPartition(zone, false)),
        ),
        _ => {
            let account = rng.random_range(0..customers);
            let tokens = rng.random_range(1_000..20_000);
            (Fault::TopUp(account, tokens, zone), None)
        }
    };
    out.push((at, fault));
    out.extend(undo.map(|u| (end, u)));
}
