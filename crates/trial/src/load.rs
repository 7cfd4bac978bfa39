//! Simulation of routing under load: the real choice of upstreams, queues and retry budgets, with
//! fake engines.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::pool::Criteria;
use route::queue::{AdmissionDecision, Queue, WaiterId};
use route::{Load, Pool, RetryBudget, Spec, UpstreamKey, UpstreamKind};

/// Number of instances that receive requests.
const ENTRIES: usize = 9;
/// Requests that an engine runs at the same time.
const SLOTS: usize = 16;
/// Interval between the steps of an engine, in milliseconds. In a step, a running request whose
/// prefill is done gets one token.
const STEP_MS: u64 = 4;
/// Prompt tokens that an engine processes in a step.
const PREFILL_TOKENS_PER_STEP: u64 = 512;
/// Size of an engine's prefix cache.
const CACHED_PREFIXES: usize = 8;
/// Number of different prefixes among the long requests.
const SHARED_PREFIXES: u64 = 100;
/// Interval between the load reports of an engine, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Time until a load report reaches the entries, in milliseconds.
const REPORT_DELAY_MS: u64 = 250;
/// Time limit of a short request, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 5_000;
/// Time limit of a long request, in milliseconds.
const LONG_DEADLINE_MS: u64 = 60_000;
/// Time limit for the first token of a short request, in milliseconds. A later response does not
/// count as goodput.
const SHORT_FIRST_TOKEN_MS: u64 = 2_000;
/// Maximum number of attempts per request with a retry budget.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts per request with `Strategy::Random`: so many that its retries count
/// as unlimited.
const MAX_RANDOM_ATTEMPTS: u32 = 50;

/// Strategy of routing requests to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// One engine after the other, without queue and retries: a baseline.
    RoundRobin,
    /// A random engine, without queue and with unlimited retries: a baseline.
    Random,
    /// `Default`, but prefixes are ignored: the less loaded of two random engines.
    LeastLoaded,
    /// The strategy of `oriolehitch`, with queue and retry budget.
    Default,
}

/// All strategies, with their labels in tables.
pub const STRATEGIES: &[(Strategy, &str)] = &[
    (Strategy::RoundRobin, "round robin"),
    (Strategy::Random, "random, unlimited retries"),
    (Strategy::LeastLoaded, "least loaded, no prefixes"),
    (Strategy::Default, "default"),
];

/// Load and failures of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Number of engines.
    pub engines: usize,
    /// Mean number of requests per second.
    pub requests_per_sec: f64,
    /// Percentage of long requests.
    pub long_request_pct: u32,
    /// Whether a third of the engines is down in the second third of the time.
    pub with_failures: bool,
    /// Time for which requests arrive, in milliseconds.
    pub length_ms: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests per second that were completed in time.
    pub goodput_per_sec: f64,
    /// Requests refused at once, after waiting or for lack of an engine, in percent.
    pub refused_pct: f64,
    /// 95th percentile of the time to the first token of short requests, in milliseconds.
    pub short_first_token_p95_ms: u64,
    /// Upstream requests per request that arrived, while engines are down.
    pub retry_amplification: f64,
    /// Attempts of long requests that found their prefix in the cache, in percent.
    pub prefix_hit_pct: f64,
    /// Time from the end of the failures to the first second in which at least 95 % of the requests
    /// that arrive are completed in time, in milliseconds.
    pub recovery_ms: u64,
}

#[derive(Clone, Debug)]
struct Request {
    arrived_at: u64,
    is_short: bool,
    prompt_tokens: u64,
    response_tokens: u64,
    prefix: u64,
    entry: usize,
    deadline: u64,
    attempts: u32,
    tried: Vec<UpstreamKey>,
    first_token_at: Option<u64>,
    finished_at: Option<u64>,
}

#[derive(Clone, Debug)]
struct Attempt {
    request: usize,
    prefill_left: u64,
    tokens_left: u64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Attempt>,
    waiting: Vec<Attempt>,
    prefix_cache: VecDeque<u64>,
    down: bool,
    reports: VecDeque<(u64, Load)>,
}

struct Entry {
    pool: Pool,
    queue: Queue,
    waiting: BTreeMap<WaiterId, usize>,
    retry_budget: RetryBudget,
    round_robin: usize,
}

/// State of a simulation.
pub struct LoadSimulation {
    now: u64,
    strategy: Strategy,
    profile: LoadProfile,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    refused: u64,
    sent: u64,
    sent_during_failure: u64,
    arrived_during_failure: u64,
    prefix_hits: u64,
    long_attempts: u64,
}

impl LoadSimulation {
    /// Creates a simulation in which no request has arrived.
    pub fn new(seed: u64, strategy: Strategy, profile: LoadProfile) -> LoadSimulation {
        let new_entry = || {
            let mut pool = Pool::default();
            let spec = |i: usize| Spec::engine(&format!("e{i}"), &format!("z{}", i % 3), "m");
            pool.apply_list((0..profile.engines).map(spec).collect());
            pool.set_instance_count(ENTRIES);
            Entry {
                pool,
                queue: Queue::default(),
                waiting: BTreeMap::new(),
                retry_budget: RetryBudget::default(),
                round_robin: 0,
            }
        };
        LoadSimulation {
            now: 0,
            strategy,
            profile,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: (0..profile.engines).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| new_entry()).collect(),
            requests: Vec::new(),
            refused: 0,
            sent: 0,
            sent_during_failure: 0,
            arrived_during_failure: 0,
            prefix_hits: 0,
            long_attempts: 0,
        }
    }

    fn engines_failing(&self) -> bool {
        let third = self.profile.length_ms / 3;
        self.profile.with_failures && (third..2 * third).contains(&self.now)
    }

    /// Runs until the last requests have ended or are past their deadlines.
    ///
    /// No requests arrive in the last minute.
    pub fn run(mut self) -> LoadReport {
        let mut next_arrival = 0.0;
        while self.now < self.profile.length_ms + LONG_DEADLINE_MS {
            while next_arrival <= self.now as f64 && self.now < self.profile.length_ms {
                self.add_arrival();
                let unit: f64 = self.rng.random_range(1e-9..1.0);
                next_arrival += -unit.ln() * 1000.0 / self.profile.requests_per_sec;
            }
            let failing = self.engines_failing();
            for i in 0..self.engines.len() / 3 {
                self.set_engine_down(i, failing);
            }
            if self.now % STEP_MS == 0 {
                (0..self.engines.len()).for_each(|i| self.step_engine(i));
            }
            if self.now % REPORT_INTERVAL_MS == 0 {
                self.send_load_reports();
            }
            if self.now % 20 == 0 {
                (0..ENTRIES).for_each(|e| self.release_waiting(e));
            }
            self.now += 1;
        }
        self.report()
    }

    fn add_arrival(&mut self) {
        let is_short = self.rng.random_range(0..100) >= self.profile.long_request_pct;
        let (prompt_tokens, response_tokens, time_limit_ms) = if is_short {
            let prompt_tokens = self.rng.random_range(20..200);
            (
                prompt_tokens,
                self.rng.random_range(20..100),
                SHORT_DEADLINE_MS,
            )
        } else {
            let prompt_tokens = self.rng.random_range(2_000..8_000);
            (
                prompt_tokens,
                self.rng.random_range(200..500),
                LONG_DEADLINE_MS,
            )
        };
        let request = Request {
            arrived_at: self.now,
            is_short,
            prompt_tokens,
            response_tokens,
            prefix: if is_short {
                self.rng.random()
            } else {
                self.rng.random_range(0..SHARED_PREFIXES)
            },
            entry: self.rng.random_range(0..ENTRIES),
            deadline: self.now + time_limit_ms,
            attempts: 0,
            tried: Vec::new(),
            first_token_at: None,
            finished_at: None,
        };
        self.arrived_during_failure += u64::from(self.engines_failing());
        self.requests.push(request);
        self.admit(self.requests.len() - 1);
    }

    fn uses_queue(&self) -> bool {
        matches!(self.strategy, Strategy::LeastLoaded | Strategy::Default)
    }

    fn admit(&mut self, id: usize) {
        let request = &self.requests[id];
        let (is_short, deadline) = (request.is_short, request.deadline);
        let now = self.now;
        let entry = &mut self.entries[request.entry];
        entry.retry_budget.record_request();
        if !self.uses_queue() {
            self.send(id);
            return;
        }
        let entry = &mut self.entries[self.requests[id].entry];
        let capacity = entry.pool.capacity(now, UpstreamKind::Engine, "m");
        let priority = if is_short { 8 } else { 4 };
        // Waiting is of use only while the response could still be in time.
        let queue_deadline = if is_short {
            now + SHORT_FIRST_TOKEN_MS
        } else {
            deadline
        };
        match entry.queue.admit(now, &capacity, priority, queue_deadline) {
            AdmissionDecision::Admit => self.send(id),
            AdmissionDecision::Wait(waiter) => {
                entry.waiting.insert(waiter, id);
            }
            AdmissionDecision::Refuse { .. } => self.refused += 1,
        }
    }

    fn release_waiting(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        for waiter in entry.queue.expire(now) {
            entry.waiting.remove(&waiter);
            self.refused += 1;
        }
        if entry.queue.is_empty() {
            return;
        }
        let capacity = entry.pool.capacity(now, UpstreamKind::Engine, "m");
        let ids: Vec<usize> = entry
            .queue
            .release(&capacity)
            .into_iter()
            .filter_map(|t| entry.waiting.remove(&t))
            .collect();
        ids.into_iter().for_each(|id| self.send(id));
    }

    fn choose_engine(&mut self, id: usize) -> Option<UpstreamKey> {
        let random: u64 = self.rng.random();
        let request = &self.requests[id];
        let entry = &mut self.entries[request.entry];
        match self.strategy {
            Strategy::RoundRobin => {
                entry.round_robin += 1;
                Some(UpstreamKey(
                    (entry.round_robin % self.profile.engines) as u32,
                ))
            }
            Strategy::Random => Some(UpstreamKey((random % self.profile.engines as u64) as u32)),
            Strategy::LeastLoaded | Strategy::Default => {
                let prefix = (self.strategy == Strategy::Default && !request.is_short)
                    .then_some(request.prefix);
                let criteria = Criteria {
                    kind: UpstreamKind::Engine,
                    target: "m",
                    version: None,
                    prefix,
                    zone: ["z0", "z1", "z2"][request.entry % 3],
                    tried: &request.tried,
                    random,
                };
                entry.pool.choose(self.now, &criteria).map(|c| c.key)
            }
        }
    }

    fn send(&mut self, id: usize) {
        let Some(key) = self.choose_engine(id) else {
            self.refused += 1;
            return;
        };
        self.sent += 1;
        self.sent_during_failure += u64::from(self.engines_failing());
        let entry = self.requests[id].entry;
        self.entries[entry].pool.get_mut(key).record_start();
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.tried.push(key);
        if self.engines[key.0 as usize].down {
            self.on_attempt_failed(id, key);
            return;
        }
        let (is_long, prefix, prompt) = (!request.is_short, request.prefix, request.prompt_tokens);
        let engine = &mut self.engines[key.0 as usize];
        let is_hit = engine.prefix_cache.contains(&prefix);
        if is_long {
            self.long_attempts += 1;
            self.prefix_hits += u64::from(is_hit);
            engine.prefix_cache.retain(|p| *p != prefix);
            engine.prefix_cache.push_back(prefix);
            if engine.prefix_cache.len() > CACHED_PREFIXES {
                engine.prefix_cache.pop_front();
            }
        }
        let prefill_left = if is_hit { prompt / 10 } else { prompt };
        let attempt = Attempt {
            request: id,
            prefill_left,
            tokens_left: request.response_tokens,
        };
        engine.waiting.push(attempt);
    }

    /// Handles a failed attempt: retries the request if the strategy and the deadline allow it.
    fn on_attempt_failed(&mut self, id: usize, key: UpstreamKey) {
        let jitter = self.rng.random();
        let entry = &mut self.entries[self.requests[id].entry];
        entry.pool.get_mut(key).record_end(self.now, false, jitter);
        let is_late = self.now > self.requests[id].deadline;
        let attempts = self.requests[id].attempts;
        let may_retry = match self.strategy {
            Strategy::Random => attempts < MAX_RANDOM_ATTEMPTS,
            Strategy::RoundRobin => false,
            _ => attempts < MAX_ATTEMPTS && entry.retry_budget.try_acquire(),
        };
        if may_retry && !is_late {
            self.requests[id].first_token_at = None;
            self.send(id);
        }
    }

    fn set_engine_down(&mut self, i: usize, down: bool) {
        if self.engines[i].down == down {
            return;
        }
        self.engines[i].down = down;
        let engine = &mut self.engines[i];
        engine.prefix_cache.clear();
        let aborted: Vec<Attempt> = engine
            .running
            .drain(..)
            .chain(engine.waiting.drain(..))
            .collect();
        for attempt in aborted {
            self.on_attempt_failed(attempt.request, UpstreamKey(i as u32));
        }
    }

    fn step_engine(&mut self, i: usize) {
        let now = self.now;
        let requests = &mut self.requests;
        let engine = &mut self.engines[i];
        while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
            // Priorities are passed on to the engines, which start short requests first.
            let first_short = engine
                .waiting
                .iter()
                .position(|r| requests[r.request].is_short);
            let attempt = engine.waiting.remove(first_short.unwrap_or(0));
            engine.running.push(attempt);
        }
        // The number of prompt tokens in a step is limited; short requests go first.
        let mut prefill_budget = PREFILL_TOKENS_PER_STEP;
        engine
            .running
            .sort_by_key(|r| !requests[r.request].is_short);
        let mut finished = Vec::new();
        for attempt in &mut engine.running {
            if attempt.prefill_left > 0 {
                let prefilled = attempt.prefill_left.min(prefill_budget);
                attempt.prefill_left -= prefilled;
                prefill_budget -= prefilled;
                continue;
            }
            let request = &mut requests[attempt.request];
            request.first_token_at.get_or_insert(now);
            attempt.tokens_left -= 1;
            if attempt.tokens_left == 0 {
                request.finished_at = Some(now);
                finished.push(attempt.request);
            }
        }
        engine.running.retain(|r| r.tokens_left > 0);
        for id in finished {
            let entry = &mut self.entries[self.requests[id].entry];
            entry
                .pool
                .get_mut(UpstreamKey(i as u32))
                .record_end(now, true, 0);
            entry.queue.record_finish(now);
        }
    }

    fn send_load_reports(&mut self) {
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            let load = Load {
                slots: SLOTS as u32,
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                draining: false,
            };
            engine.reports.push_back((self.now + REPORT_DELAY_MS, load));
            let due = engine
                .reports
                .front()
                .is_some_and(|(at, _)| *at <= self.now);
            if engine.down || !due {
                continue;
            }
            let (_, load) = engine.reports.pop_front().expect("checked above");
            for entry in &mut self.entries {
                entry
                    .pool
                    .record_load(self.now, UpstreamKey(i as u32), load);
            }
        }
    }

    fn is_good(request: &Request) -> bool {
        let in_time = request
            .finished_at
            .is_some_and(|end| end <= request.deadline);
        let started_in_time = request
            .first_token_at
            .is_some_and(|f| f <= request.arrived_at + SHORT_FIRST_TOKEN_MS);
        in_time && (!request.is_short || started_in_time)
    }

    fn report(&self) -> LoadReport {
        let good = self.requests.iter().filter(|r| Self::is_good(r)).count();
        let short_requests = self.requests.iter().filter(|r| r.is_short);
        let mut first_token_ms: Vec<u64> = short_requests
            .filter_map(|r| Some(r.first_token_at? - r.arrived_at))
            .collect();
        first_token_ms.sort_unstable();
        let p95 = first_token_ms
            .get(first_token_ms.len() * 95 / 100)
            .copied()
            .unwrap_or(0);
        let pct = |n: u64, of: u64| n as f64 * 100.0 / of.max(1) as f64;
        let arrived = self.requests.len() as u64;
        LoadReport {
            requests: arrived,
            goodput_per_sec: good as f64 * 1000.0 / self.profile.length_ms as f64,
            refused_pct: pct(self.refused, arrived),
            short_first_token_p95_ms: p95,
            retry_amplification: self.sent_during_failure as f64
                / self.arrived_during_failure.max(1) as f64,
            prefix_hit_pct: pct(self.prefix_hits, self.long_attempts),
            recovery_ms: self.recovery_ms(),
        }
    }

    /// Returns the time from the end of the failures to the first second in which at least 95 % of
    /// the requests that arrive are completed in time; if there is none, the rest of the time.
    fn recovery_ms(&self) -> u64 {
        let recovered_at = self.profile.length_ms / 3 * 2;
        let mut from = recovered_at;
        while from < self.profile.length_ms {
            let arrived = self
                .requests
                .iter()
                .filter(|r| (from..from + 1_000).contains(&r.arrived_at));
            let (good, all) =
                arrived.fold((0, 0), |(g, a), r| (g + u32::from(Self::is_good(r)), a + 1));
            if all > 0 && good * 100 >= all * 95 {
                return from - recovered_at;
            }
            from += 1_000;
        }
        self.profile.length_ms - recovered_at
    }
}
