//! The policy under load: real choices, queues and retries against fake engines in a step loop.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::pool::Criteria;
use route::queue::{AdmissionDecision, Queue, WaiterId};
use route::{Load, Pool, RetryBudget, Spec, UpstreamKey, UpstreamKind};

/// Entries, engines, and what an engine does at once.
const ENTRIES: usize = 9;
const SLOTS: usize = 16;
const STEP_MS: u64 = 4;
const PREFILL: u64 = 512;
/// Prefixes that an engine keeps, and prefixes that long reads share.
const CACHE: usize = 8;
const PREFIXES: u64 = 100;
const REPORT_EVERY: u64 = 250;
const REPORT_LAG: u64 = 250;
const QUICK_DEADLINE: u64 = 5_000;
const LONG_DEADLINE: u64 = 60_000;
/// A quick answer counts only if it begins within this, in milliseconds.
const QUICK_FIRST: u64 = 2_000;
const ATTEMPTS: u32 = 3;
const UNLIMITED: u32 = 50;

/// How requests find an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// One after another, no queue: a baseline.
    RoundRobin,
    /// Any, no queue, tried again without limit: a baseline.
    Random,
    /// Least load of two, no prefixes, with the queue.
    LeastLoaded,
    /// As the program does.
    Default,
}

/// All ways.
pub const STRATEGIES: &[(Strategy, &str)] = &[
    (Strategy::RoundRobin, "round robin"),
    (Strategy::Random, "random, unlimited retries"),
    (Strategy::LeastLoaded, "least loaded, no prefixes"),
    (Strategy::Default, "chosen"),
];

/// What comes, and what fails.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Engines.
    pub engines: usize,
    /// Requests a second.
    pub requests_per_sec: f64,
    /// Percentage of long reads.
    pub long_request_pct: u32,
    /// Whether a third of the engines fails between a third and two thirds of the time.
    pub with_failures: bool,
    /// Length, in milliseconds.
    pub length_ms: u64,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests.
    pub requests: u64,
    /// Answers within their deadline, a second.
    pub goodput_per_sec: f64,
    /// Refusals at once, in percent.
    pub refused_pct: f64,
    /// 95th percentile of quick questions' first token, in milliseconds.
    pub short_first_token_p95_ms: u64,
    /// Upstream requests for each caller's request while engines fail.
    pub retry_amplification: f64,
    /// Long reads whose prefix was cached, in percent.
    pub prefix_hit_pct: f64,
    /// When all was normal after the engines came back, in milliseconds.
    pub recovery_ms: u64,
}

#[derive(Clone, Debug)]
struct Request {
    at: u64,
    quick: bool,
    prompt: u64,
    answer: u64,
    prefix: u64,
    entry: usize,
    deadline: u64,
    attempts: u32,
    tried: Vec<UpstreamKey>,
    first: Option<u64>,
    end: Option<u64>,
}

#[derive(Clone, Debug)]
struct Run {
    request: usize,
    unread: u64,
    left: u64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Run>,
    waiting: Vec<Run>,
    cache: VecDeque<u64>,
    down: bool,
    reports: VecDeque<(u64, Load)>,
}

struct Entry {
    pool: Pool,
    queue: Queue,
    waiting: BTreeMap<WaiterId, usize>,
    retry: RetryBudget,
    turn: usize,
}

/// The whole fake world of one run.
pub struct LoadSimulation {
    now: u64,
    way: Strategy,
    mix: LoadProfile,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    refused: u64,
    sent: u64,
    sent_failing: u64,
    came_failing: u64,
    hits: u64,
    longs: u64,
}

impl LoadSimulation {
    /// Opens a world.
    pub fn new(seed: u64, way: Strategy, mix: LoadProfile) -> LoadSimulation {
        let entry = || {
            let mut pool = Pool::default();
            let spec = |i: usize| Spec::engine(&format!("e{i}"), &format!("z{}", i % 3), "m");
            pool.apply_list((0..mix.engines).map(spec).collect());
            pool.set_instance_count(ENTRIES);
            Entry {
                pool,
                queue: Queue::default(),
                waiting: BTreeMap::new(),
                retry: RetryBudget::default(),
                turn: 0,
            }
        };
        LoadSimulation {
            now: 0,
            way,
            mix,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: (0..mix.engines).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            requests: Vec::new(),
            refused: 0,
            sent: 0,
            sent_failing: 0,
            came_failing: 0,
            hits: 0,
            longs: 0,
        }
    }

    fn failing(&self) -> bool {
        let third = self.mix.length_ms / 3;
        self.mix.with_failures && (third..2 * third).contains(&self.now)
    }

    /// Runs to the end, without new requests in the last minute.
    pub fn run(mut self) -> LoadReport {
        let mut next = 0.0;
        while self.now < self.mix.length_ms + LONG_DEADLINE {
            while next <= self.now as f64 && self.now < self.mix.length_ms {
                self.arrive();
                let unit: f64 = self.rng.random_range(1e-9..1.0);
                next += -unit.ln() * 1000.0 / self.mix.requests_per_sec;
            }
            let failing = self.failing();
            for i in 0..self.engines.len() / 3 {
                self.fail(i, failing);
            }
            if self.now % STEP_MS == 0 {
                (0..self.engines.len()).for_each(|i| self.step(i));
            }
            if self.now % REPORT_EVERY == 0 {
                self.report();
            }
            if self.now % 20 == 0 {
                (0..ENTRIES).for_each(|e| self.wake(e));
            }
            self.now += 1;
        }
        self.seen()
    }

    fn arrive(&mut self) {
        let quick = self.rng.random_range(0..100) >= self.mix.long_request_pct;
        let (prompt, answer, wait) = if quick {
            let prompt = self.rng.random_range(20..200);
            (prompt, self.rng.random_range(20..100), QUICK_DEADLINE)
        } else {
            let prompt = self.rng.random_range(2_000..8_000);
            (prompt, self.rng.random_range(200..500), LONG_DEADLINE)
        };
        let request = Request {
            at: self.now,
            quick,
            prompt,
            answer,
            prefix: if quick {
                self.rng.random()
            } else {
                self.rng.random_range(0..PREFIXES)
            },
            entry: self.rng.random_range(0..ENTRIES),
            deadline: self.now + wait,
            attempts: 0,
            tried: Vec::new(),
            first: None,
            end: None,
        };
        self.came_failing += u64::from(self.failing());
        self.requests.push(request);
        self.admit(self.requests.len() - 1);
    }

    fn queues(&self) -> bool {
        matches!(self.way, Strategy::LeastLoaded | Strategy::Default)
    }

    fn admit(&mut self, id: usize) {
        let request = &self.requests[id];
        let (quick, deadline) = (request.quick, request.deadline);
        let now = self.now;
        let entry = &mut self.entries[request.entry];
        entry.retry.record_request();
        if !self.queues() {
            self.send(id);
            return;
        }
        let entry = &mut self.entries[self.requests[id].entry];
        let rooms = entry.pool.capacity(now, UpstreamKind::Engine, "m");
        let priority = if quick { 8 } else { 4 };
        // Waiting is worth it only as long as the answer would still be in time.
        let wait = if quick { now + QUICK_FIRST } else { deadline };
        match entry.queue.admit(now, &rooms, priority, wait) {
            AdmissionDecision::Admit => self.send(id),
            AdmissionDecision::Wait(ticket) => {
                entry.waiting.insert(ticket, id);
            }
            AdmissionDecision::Refuse { .. } => self.refused += 1,
        }
    }

    fn wake(&mut self, e: usize) {
        let now = self.now;
        let entry = &mut self.entries[e];
        for ticket in entry.queue.expire(now) {
            entry.waiting.remove(&ticket);
            self.refused += 1;
        }
        if entry.queue.is_empty() {
            return;
        }
        let rooms = entry.pool.capacity(now, UpstreamKind::Engine, "m");
        let ids: Vec<usize> = entry
            .queue
            .release(&rooms)
            .into_iter()
            .filter_map(|t| entry.waiting.remove(&t))
            .collect();
        ids.into_iter().for_each(|id| self.send(id));
    }

    fn choose(&mut self, id: usize) -> Option<UpstreamKey> {
        let random: u64 = self.rng.random();
        let request = &self.requests[id];
        let entry = &mut self.entries[request.entry];
        match self.way {
            Strategy::RoundRobin => {
                entry.turn += 1;
                Some(UpstreamKey((entry.turn % self.mix.engines) as u32))
            }
            Strategy::Random => Some(UpstreamKey((random % self.mix.engines as u64) as u32)),
            Strategy::LeastLoaded | Strategy::Default => {
                let prefix =
                    (self.way == Strategy::Default && !request.quick).then_some(request.prefix);
                let ask = Criteria {
                    kind: UpstreamKind::Engine,
                    target: "m",
                    version: None,
                    prefix,
                    zone: ["z0", "z1", "z2"][request.entry % 3],
                    tried: &request.tried,
                    random,
                };
                entry.pool.choose(self.now, &ask).map(|c| c.key)
            }
        }
    }

    fn send(&mut self, id: usize) {
        let Some(key) = self.choose(id) else {
            self.refused += 1;
            return;
        };
        self.sent += 1;
        self.sent_failing += u64::from(self.failing());
        let entry = self.requests[id].entry;
        self.entries[entry].pool.get_mut(key).record_start();
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.tried.push(key);
        if self.engines[key.0 as usize].down {
            self.broke(id, key);
            return;
        }
        let (long, prefix, prompt) = (!request.quick, request.prefix, request.prompt);
        let engine = &mut self.engines[key.0 as usize];
        let hit = engine.cache.contains(&prefix);
        if long {
            self.longs += 1;
            self.hits += u64::from(hit);
            engine.cache.retain(|p| *p != prefix);
            engine.cache.push_back(prefix);
            if engine.cache.len() > CACHE {
                engine.cache.pop_front();
            }
        }
        let unread = if hit { prompt / 10 } else { prompt };
        let run = Run {
            request: id,
            unread,
            left: request.answer,
        };
        engine.waiting.push(run);
    }

    /// An attempt failed: another one, if there is a retry for it.
    fn broke(&mut self, id: usize, key: UpstreamKey) {
        let jitter = self.rng.random();
        let entry = &mut self.entries[self.requests[id].entry];
        entry.pool.get_mut(key).record_end(self.now, false, jitter);
        let late = self.now > self.requests[id].deadline;
        let attempts = self.requests[id].attempts;
        let again = match self.way {
            Strategy::Random => attempts < UNLIMITED,
            Strategy::RoundRobin => false,
            _ => attempts < ATTEMPTS && entry.retry.try_acquire(),
        };
        if again && !late {
            self.requests[id].first = None;
            self.send(id);
        }
    }

    fn fail(&mut self, i: usize, down: bool) {
        if self.engines[i].down == down {
            return;
        }
        self.engines[i].down = down;
        let engine = &mut self.engines[i];
        engine.cache.clear();
        let runs: Vec<Run> = engine
            .running
            .drain(..)
            .chain(engine.waiting.drain(..))
            .collect();
        for run in runs {
            self.broke(run.request, UpstreamKey(i as u32));
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.now;
        let requests = &mut self.requests;
        let engine = &mut self.engines[i];
        while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
            // Priority is passed on: quick questions first.
            let quick = engine
                .waiting
                .iter()
                .position(|r| requests[r.request].quick);
            let run = engine.waiting.remove(quick.unwrap_or(0));
            engine.running.push(run);
        }
        // One batch reads a bounded number of prompt tokens a step, quick questions first.
        let mut budget = PREFILL;
        engine.running.sort_by_key(|r| !requests[r.request].quick);
        let mut ended = Vec::new();
        for run in &mut engine.running {
            if run.unread > 0 {
                let read = run.unread.min(budget);
                run.unread -= read;
                budget -= read;
                continue;
            }
            let request = &mut requests[run.request];
            request.first.get_or_insert(now);
            run.left -= 1;
            if run.left == 0 {
                request.end = Some(now);
                ended.push(run.request);
            }
        }
        engine.running.retain(|r| r.left > 0);
        for id in ended {
            let entry = &mut self.entries[self.requests[id].entry];
            entry
                .pool
                .get_mut(UpstreamKey(i as u32))
                .record_end(now, true, 0);
            entry.queue.record_finish(now);
        }
    }

    fn report(&mut self) {
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            let load = Load {
                slots: SLOTS as u32,
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                draining: false,
            };
            engine.reports.push_back((self.now + REPORT_LAG, load));
            let due = engine
                .reports
                .front()
                .is_some_and(|(at, _)| *at <= self.now);
            if engine.down || !due {
                continue;
            }
            let (_, load) = engine.reports.pop_front().expect("looked at above");
            for entry in &mut self.entries {
                entry
                    .pool
                    .record_load(self.now, UpstreamKey(i as u32), load);
            }
        }
    }

    fn is_good(request: &Request) -> bool {
        let in_time = request.end.is_some_and(|end| end <= request.deadline);
        let began = request.first.is_some_and(|f| f <= request.at + QUICK_FIRST);
        in_time && (!request.quick || began)
    }

    fn seen(&self) -> LoadReport {
        let good = self.requests.iter().filter(|r| Self::is_good(r)).count();
        let quick = self.requests.iter().filter(|r| r.quick);
        let mut firsts: Vec<u64> = quick.filter_map(|r| Some(r.first? - r.at)).collect();
        firsts.sort_unstable();
        let p95 = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or(0);
        let pct = |n: u64, of: u64| n as f64 * 100.0 / of.max(1) as f64;
        let came = self.requests.len() as u64;
        LoadReport {
            requests: came,
            goodput_per_sec: good as f64 * 1000.0 / self.mix.length_ms as f64,
            refused_pct: pct(self.refused, came),
            short_first_token_p95_ms: p95,
            retry_amplification: self.sent_failing as f64 / self.came_failing.max(1) as f64,
            prefix_hit_pct: pct(self.hits, self.longs),
            recovery_ms: self.recovery(),
        }
    }

    /// Returns the time from the engines' return to the first second with 95 % good answers.
    fn recovery(&self) -> u64 {
        let back = self.mix.length_ms / 3 * 2;
        let mut from = back;
        while from < self.mix.length_ms {
            let of = self
                .requests
                .iter()
                .filter(|r| (from..from + 1_000).contains(&r.at));
            let (good, all) = of.fold((0, 0), |(g, a), r| (g + u32::from(Self::is_good(r)), a + 1));
            if all > 0 && good * 100 >= all * 95 {
                return from - back;
            }
            from += 1_000;
        }
        self.mix.length_ms - back
    }
}
