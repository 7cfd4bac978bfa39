//! Traces: who asks for what and when, and which faults happen; all from a seed.

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fault::Fault;

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When, in milliseconds.
    pub at: u64,
    /// The customer.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub answer: u64,
    /// The most tokens that the caller allows.
    pub max: u64,
}

/// A whole trace.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Its name.
    pub name: &'static str,
    /// Its length, in milliseconds.
    pub length: u64,
    /// Budgets at the start, in tokens.
    pub budgets: Vec<u64>,
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults with their times.
    pub faults: Vec<(u64, Fault)>,
    /// One way between zones, in milliseconds.
    pub hop_ms: u64,
}

/// What a firm's load looks like.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second.
    pub per_sec: f64,
    /// Customers.
    pub customers: usize,
    /// Percentage of long reads.
    pub long_pct: u32,
    /// Times the whole demand that the budgets cover.
    pub cover: f64,
    /// One way between zones, in milliseconds.
    pub hop_ms: u64,
}

/// Hrísey: small budgets, tightly held.
pub const HRISEY: Load = Load {
    per_sec: 20.0,
    customers: 10,
    long_pct: 20,
    cover: 3.0,
    hop_ms: 1,
};

/// Southern Plains: false refusals stop a shift.
pub const PLAINS: Load = Load {
    per_sec: 30.0,
    customers: 10,
    long_pct: 10,
    cover: 5.0,
    hop_ms: 1,
};

const MINUTE: u64 = 60_000;

/// Makes a trace from a seed.
pub type Make = fn(u64) -> Trace;

/// The traces of the policy trial.
pub const TRACES: &[(&str, Make)] = &[
    ("calm, Hrísey", calm_hrisey),
    ("calm, Southern Plains", calm_plains),
    ("nearly drained", drained),
    ("platform out 10 min", outage),
    ("zone cut 1 h", cut),
    ("crash each minute", crashes),
    ("season's opening", season),
];

/// Draws a load over a time.
pub fn draw(name: &'static str, seed: u64, length: u64, load: Load) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let mut demand = vec![0u64; load.customers];
    loop {
        let unit: f64 = rng.random_range(1e-9..1.0);
        at += -unit.ln() * 1000.0 / load.per_sec;
        if at >= length as f64 {
            break;
        }
        let arrival = one(&mut rng, at as u64, load);
        demand[arrival.account] += arrival.prompt + arrival.answer;
        arrivals.push(arrival);
    }
    let cover = |d: u64| (d as f64 * load.cover) as u64 + 20_000;
    Trace {
        name,
        length,
        budgets: demand.into_iter().map(cover).collect(),
        arrivals,
        faults: Vec::new(),
        hop_ms: load.hop_ms,
    }
}

fn one(rng: &mut ChaCha8Rng, at: u64, load: Load) -> Arrival {
    // A few customers are large: the smaller of two draws prefers the first ones.
    let a = rng.random_range(0..load.customers);
    let account = a.min(rng.random_range(0..load.customers));
    let long = rng.random_range(0..100) < load.long_pct;
    let (prompt, max) = if long {
        (rng.random_range(1000..4000), 600)
    } else {
        (rng.random_range(20..200), 200)
    };
    Arrival {
        at,
        account,
        prompt,
        answer: rng.random_range(20..max),
        max,
    }
}

fn calm_hrisey(seed: u64) -> Trace {
    draw("calm, Hrísey", seed, 10 * MINUTE, HRISEY)
}

fn calm_plains(seed: u64) -> Trace {
    draw("calm, Southern Plains", seed, 10 * MINUTE, PLAINS)
}

fn drained(seed: u64) -> Trace {
    let load = Load {
        cover: 0.7,
        ..HRISEY
    };
    draw("nearly drained", seed, 10 * MINUTE, load)
}

fn outage(seed: u64) -> Trace {
    let mut trace = draw("platform out 10 min", seed, 20 * MINUTE, HRISEY);
    trace.faults = vec![
        (5 * MINUTE, Fault::Down(true)),
        (15 * MINUTE, Fault::Down(false)),
    ];
    trace
}

fn cut(seed: u64) -> Trace {
    let load = Load {
        per_sec: 5.0,
        ..HRISEY
    };
    let mut trace = draw("zone cut 1 h", seed, 80 * MINUTE, load);
    trace.faults = vec![
        (10 * MINUTE, Fault::Cut(2, true)),
        (70 * MINUTE, Fault::Cut(2, false)),
    ];
    for i in 0..10u64 {
        let at = (15 + 5 * i) * MINUTE;
        trace.faults.push((at, Fault::TopUp(0, 50_000, 0)));
        trace.faults.push((at + 1, Fault::TopUp(1, 50_000, 2)));
    }
    trace
}

fn crashes(seed: u64) -> Trace {
    let mut trace = draw("crash each minute", seed, 10 * MINUTE, HRISEY);
    for i in 1..10u64 {
        let victim = (i as usize * 4) % 9;
        trace.faults.push((i * MINUTE, Fault::Kill(victim)));
    }
    trace
}

/// Demand moves tenfold to other customers within a minute.
fn season(seed: u64) -> Trace {
    let mut trace = draw("season's opening", seed, 10 * MINUTE, HRISEY);
    let low = Load {
        per_sec: 5.0,
        customers: 3,
        ..HRISEY
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let customers = HRISEY.customers;
    trace
        .arrivals
        .retain(|a| a.at < 2 * MINUTE || a.account < 3);
    let mut at = 2 * MINUTE;
    while at < trace.length {
        at += rng.random_range(0..40);
        let mut arrival = one(&mut rng, at, low);
        arrival.account = customers - 1 - arrival.account;
        trace.arrivals.push(arrival);
    }
    trace.arrivals.sort_by_key(|a| a.at);
    let mut demand = vec![0; customers];
    for a in &trace.arrivals {
        demand[a.account] += a.prompt + a.answer;
    }
    trace.budgets = demand.into_iter().map(|d| d * 3 + 20_000).collect();
    trace
}

/// A short trace with random faults of every sort, two at once at times.
pub fn random(seed: u64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let load = Load {
        per_sec: rng.random_range(3.0..15.0),
        customers: rng.random_range(1..4),
        long_pct: 20,
        cover: rng.random_range(0.3..2.0),
        hop_ms: rng.random_range(1..30),
    };
    let length = 60_000;
    let mut trace = draw("random", seed, length, load);
    for _ in 0..rng.random_range(2..8) {
        let at = rng.random_range(0..length - 20_000);
        push_fault(&mut rng, at, load.customers, &mut trace.faults);
    }
    trace.faults.sort_by_key(|f| f.0);
    trace
}

fn push_fault(rng: &mut ChaCha8Rng, at: u64, customers: usize, out: &mut Vec<(u64, Fault)>) {
    let end = at + rng.random_range(500..20_000);
    let node = rng.random_range(0..9);
    let zone = rng.random_range(0..3);
    let (fault, undo) = match rng.random_range(0..9) {
        0 => (Fault::Kill(node), None),
        1 => (Fault::Freeze(node, end - at), None),
        2 => (Fault::Stop(node), None),
        3 => (Fault::Down(true), Some(Fault::Down(false))),
        4 => {
            let slow = rng.random_range(100..4_000);
            (Fault::Slow(slow), Some(Fault::Slow(0)))
        }
        5 => (Fault::Lose(rng.random_range(5..60)), Some(Fault::Lose(0))),
        6 => (Fault::Cut(zone, true), Some(Fault::Cut(zone, false))),
        7 => (
            Fault::CutPeers(zone, true),
            Some(Fault::CutPeers(zone, false)),
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
