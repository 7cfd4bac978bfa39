//! The step loop: instances with their real decisions, and the fakes around them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use budget::msg::{Reserve, RunAt};
use budget::place::{self, Candidate};
use budget::{Act, Action, Bank, Event, Output, Post, Record, ReserveReply};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fault::Fault;
use crate::job::{Fate, Job, Phase, Request, Run};
use crate::platform::Platform;
use crate::policy::{Asks, Policy};
use crate::trace::Trace;

/// Instances.
pub const INSTANCES: usize = 9;
/// Availability zones.
pub const ZONES: usize = 3;
/// Shards of the budget records.
const SHARDS: u32 = 4;
/// The fleet's share of the platform's writes, a second.
const WRITES_PER_SEC: u64 = 100;
/// A client's limits, in milliseconds.
const CALL_TIMEOUT: u64 = 1_500;
const RPC_TIMEOUT: u64 = 2_500;
const HOME_WAIT: u64 = 1_500;
/// Silence after which an instance is suspected, in milliseconds.
const SUSPECT: u64 = 4_000;
/// How long a caller of a dead entry takes to come back, in milliseconds.
const RETRY: std::ops::Range<u64> = 500..4_000;
/// Callers of dead entries that come back, in percent.
const RETRY_PCT: u32 = 80;
const RESTART: u64 = 3_000;
const TICK: u64 = 20;
const MEMBERS_EVERY: u64 = 500;
const HISTORY: usize = 200;
/// Time after the trace in which everything is healed and settles, in milliseconds.
pub const AFTER: u64 = 90_000;

/// How an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It works.
    Up,
    /// It stops as planned.
    Leaving,
    /// It has stopped as planned.
    Left,
    /// It was killed.
    Dead,
}

/// One start of an instance.
pub struct Node {
    /// Its incarnation.
    pub id: String,
    /// Which of the instances it is a start of.
    pub slot: usize,
    /// Its zone.
    pub zone: usize,
    /// How it stands.
    pub state: State,
    /// When that began, in milliseconds.
    pub since: u64,
    /// Until when it is paused, in milliseconds.
    pub frozen_until: u64,
    frozen_since: u64,
    /// Its decisions on budgets.
    pub bank: Bank,
    asks: BTreeMap<u64, Ask>,
    next_ask: u64,
    silent: BTreeSet<usize>,
    told_leave: bool,
}

#[derive(Clone, Debug)]
enum Ask {
    Reserve {
        job: usize,
        tries: usize,
    },
    Settle {
        job: usize,
    },
    Recall {
        from: usize,
        account: usize,
    },
    Open {
        from: usize,
        account: usize,
        key: String,
    },
    Act,
}

#[derive(Clone, Debug)]
enum Call {
    Read,
    Write {
        base: i64,
        record: Record,
    },
    Segment {
        name: String,
        segment: budget::record::Segment,
    },
    ReadSegment {
        name: String,
    },
}

#[derive(Clone, Debug)]
enum Item {
    Arrive(usize),
    Fault(usize),
    Tick(usize),
    Members,
    Bank {
        node: usize,
        shard: u32,
        event: Event,
    },
    Exec {
        node: usize,
        shard: u32,
        call: Call,
        answered: bool,
    },
    Reserve {
        node: usize,
        job: usize,
        tries: usize,
    },
    Reply {
        job: usize,
        tries: usize,
        reply: ReserveReply,
    },
    ReserveLate {
        job: usize,
        tries: usize,
    },
    Void {
        node: usize,
        job: usize,
        left: u32,
    },
    EngineEnd {
        job: usize,
    },
    SettleRound {
        job: usize,
        round: usize,
    },
    Settle {
        node: usize,
        job: usize,
        post: Post,
    },
    Settled {
        job: usize,
    },
    Recall {
        node: usize,
        from: usize,
        account: usize,
        tokens: u64,
    },
    Recalled {
        node: usize,
        from: usize,
        account: usize,
        sent: Option<u64>,
        ask: u64,
    },
    Keep {
        node: usize,
        from: usize,
        account: usize,
        post: Post,
    },
    Open {
        node: usize,
        from: usize,
        account: usize,
        key: String,
        upto: u64,
    },
    Comeback {
        request: usize,
    },
    Restart(usize),
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Of these, requests that budget and capacity remained for.
    pub false_refusals: u64,
    /// Tokens served beyond the top-ups, at the worst moment.
    pub overspend: u64,
    /// Times of reservations, in milliseconds.
    pub reserve_ms: Vec<u64>,
    /// Times of settlements, in milliseconds.
    pub settle_ms: Vec<u64>,
    /// Kills.
    pub kills: u64,
}

/// Names a run: a home that is given up may probe the one that it was told of.
fn run_at(request: &str, job: usize, tries: usize) -> RunAt {
    RunAt {
        upstream: "e".to_string(),
        run: format!("{request}~{job}.{tries}"),
    }
}

/// The whole fake world.
pub struct World {
    /// The time, in milliseconds.
    pub now: u64,
    /// The trace.
    pub trace: Trace,
    policy: Policy,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    items: BTreeMap<usize, Item>,
    next: u64,
    /// The platform.
    pub platform: Platform,
    /// Every start of every instance.
    pub nodes: Vec<Node>,
    slots: Vec<usize>,
    cut: [bool; ZONES],
    cut_platform: [bool; ZONES],
    /// All requests.
    pub requests: Vec<Request>,
    jobs: Vec<Job>,
    /// All runs at engines.
    pub runs: Vec<Run>,
    run_names: BTreeMap<String, usize>,
    tombstones: BTreeSet<String>,
    topups: u64,
    recall_asks: BTreeMap<u64, usize>,
    next_recall: u64,
    /// What was measured.
    pub tally: Tally,
    /// Steps of the decisions.
    pub steps: u64,
    /// Whether the whole history is kept, for a look at one seed.
    pub keep_all: bool,
    /// The latest happenings, for a failure's report.
    pub history: std::collections::VecDeque<String>,
}

impl World {
    /// Opens a world at the start of a trace.
    pub fn open(seed: u64, policy: Policy, trace: Trace) -> World {
        let mut world = World {
            now: 0,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            next: 0,
            platform: Platform::default(),
            nodes: Vec::new(),
            slots: vec![0; INSTANCES],
            cut: [false; ZONES],
            cut_platform: [false; ZONES],
            requests: Vec::new(),
            jobs: Vec::new(),
            runs: Vec::new(),
            run_names: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            topups: 0,
            recall_asks: BTreeMap::new(),
            next_recall: 0,
            tally: Tally::default(),
            steps: 0,
            keep_all: false,
            history: Default::default(),
            trace,
        };
        for slot in 0..INSTANCES {
            world.start(slot);
        }
        world.members();
        for account in 0..world.trace.budgets.len() {
            let tokens = world.trace.budgets[account];
            world.top_up(account, tokens, account % ZONES);
        }
        for i in 0..world.trace.arrivals.len() {
            let at = 3_000 + world.trace.arrivals[i].at;
            world.put(at, Item::Arrive(i));
        }
        for i in 0..world.trace.faults.len() {
            let at = 3_000 + world.trace.faults[i].0;
            world.put(at, Item::Fault(i));
        }
        world.put(MEMBERS_EVERY, Item::Members);
        world
    }

    /// Runs until everything has settled.
    pub fn run(&mut self) {
        let end = 3_000 + self.trace.length;
        self.run_until(end);
        self.heal();
        self.run_until(end + AFTER);
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let item = self.items.remove(&id).expect("queued items are kept");
            self.take(item);
        }
        self.now = end;
    }

    fn heal(&mut self) {
        self.platform.faults = Default::default();
        self.cut = [false; ZONES];
        self.cut_platform = [false; ZONES];
    }

    fn put(&mut self, at: u64, item: Item) {
        let id = self.next as usize;
        self.queue.push(Reverse((at, self.next, id)));
        self.items.insert(id, item);
        self.next += 1;
    }

    fn note(&mut self, what: impl FnOnce() -> String) {
        let line = format!("{:>7} {}", self.now, what());
        self.history.push_back(line);
        if self.history.len() > HISTORY && !self.keep_all {
            self.history.pop_front();
        }
    }

    fn start(&mut self, slot: usize) {
        let node = self.nodes.len();
        let id = format!("n{slot}.{node}");
        let params = self.policy.params(INSTANCES);
        let bank = Bank::open(self.now, &id, SHARDS, WRITES_PER_SEC, params);
        self.nodes.push(Node {
            id,
            slot,
            zone: slot % ZONES,
            state: State::Up,
            since: self.now,
            frozen_until: 0,
            frozen_since: 0,
            bank,
            asks: BTreeMap::new(),
            next_ask: 1,
            silent: BTreeSet::new(),
            told_leave: false,
        });
        self.slots[slot] = node;
        self.put(self.now + TICK, Item::Tick(node));
    }

    fn account(&self, account: usize) -> String {
        format!("c{account}")
    }

    /// Returns whether two zones hear each other.
    fn linked(&self, a: usize, b: usize) -> bool {
        a == b || !(self.cut[a] || self.cut[b])
    }

    /// Returns which instance an item must reach.
    fn target(&self, item: &Item) -> Option<usize> {
        match item {
            Item::Tick(node)
            | Item::Bank { node, .. }
            | Item::Reserve { node, .. }
            | Item::Void { node, .. }
            | Item::Settle { node, .. }
            | Item::Recall { node, .. }
            | Item::Recalled { node, .. }
            | Item::Open { node, .. }
            | Item::Keep { node, .. } => Some(*node),
            Item::Reply { job, .. }
            | Item::ReserveLate { job, .. }
            | Item::EngineEnd { job }
            | Item::SettleRound { job, .. }
            | Item::Settled { job } => Some(self.jobs[*job].entry),
            _ => None,
        }
    }

    fn take(&mut self, item: Item) {
        if let Some(node) = self.target(&item) {
            let node = &self.nodes[node];
            if matches!(node.state, State::Dead | State::Left) {
                return;
            }
            if node.frozen_until > self.now {
                let at = node.frozen_until;
                self.put(at, item);
                return;
            }
        }
        match item {
            Item::Arrive(i) => self.arrive(i),
            Item::Fault(i) => self.fault(i),
            Item::Tick(node) => self.tick(node),
            Item::Members => {
                self.members();
                self.put(self.now + MEMBERS_EVERY, Item::Members);
            }
            Item::Bank { node, shard, event } => self.step(node, shard, event),
            Item::Exec {
                node,
                shard,
                call,
                answered,
            } => self.exec(node, shard, call, answered),
            Item::Reserve { node, job, tries } => self.reserve(node, job, tries),
            Item::Reply { job, tries, reply } => self.reply(job, tries, reply),
            Item::ReserveLate { job, tries } => self.reserve_late(job, tries),
            Item::Void { node, job, left } => self.void(node, job, left),
            Item::EngineEnd { job } => self.engine_end(job),
            Item::SettleRound { job, round } => self.settle_round(job, round),
            Item::Settle { node, job, post } => self.settle(node, job, post),
            Item::Settled { job } => self.settled(job),
            Item::Recall {
                node,
                from,
                account,
                tokens,
            } => self.recall(node, from, account, tokens),
            Item::Recalled {
                node,
                from,
                account,
                sent,
                ask,
            } => self.recalled(node, from, account, sent, ask),
            Item::Keep {
                node,
                from,
                account,
                post,
            } => self.keep(node, from, account, post),
            Item::Open {
                node,
                from,
                account,
                key,
                upto,
            } => self.open_step(node, from, account, key, upto),
            Item::Comeback { request } => self.begin(request),
            Item::Restart(slot) => self.start(slot),
        }
    }

    fn step(&mut self, node: usize, shard: u32, event: Event) {
        self.steps += 1;
        if self.keep_all {
            let short: String = format!("{event:?}").chars().take(300).collect();
            self.note(|| format!("node {node} shard {shard}: {short}"));
        }
        let outputs = self.nodes[node].bank.step(self.now, shard, event);
        for output in outputs {
            self.act(node, output);
        }
    }

    fn tick(&mut self, node: usize) {
        self.steps += 1;
        let outputs = self.nodes[node].bank.step_all(self.now, &Event::Tick);
        for output in outputs {
            self.act(node, output);
        }
        self.leave_if_done(node);
        self.put(self.now + TICK, Item::Tick(node));
    }

    fn leave_if_done(&mut self, node: usize) {
        if self.nodes[node].state != State::Leaving {
            return;
        }
        let open = |j: &Job| j.entry == node && j.phase != Phase::Ended;
        if self.jobs.iter().any(open) {
            return;
        }
        if !self.nodes[node].told_leave {
            self.nodes[node].told_leave = true;
            self.nodes[node].bank.leave();
        } else if self.nodes[node].bank.is_clear() {
            self.note(|| format!("node {node} left"));
            self.nodes[node].state = State::Left;
            self.nodes[node].since = self.now;
            let slot = self.nodes[node].slot;
            self.put(self.now + RESTART, Item::Restart(slot));
        }
    }

    /// Returns whether an instance seems to live to another one.
    fn seems_live(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        if from == to {
            return a.state == State::Up;
        }
        let silent_since = match b.state {
            State::Left | State::Leaving => return false,
            State::Dead => b.since,
            State::Up if b.frozen_until > self.now => b.frozen_since,
            State::Up => u64::MAX,
        };
        self.now < silent_since.saturating_add(SUSPECT) && self.linked(a.zone, b.zone)
    }

    fn members(&mut self) {
        let ids = |keep: fn(&State) -> bool| -> Vec<String> {
            let kept = self.nodes.iter().filter(|n| keep(&n.state));
            kept.map(|n| n.id.clone()).collect()
        };
        let present = ids(|s| matches!(s, State::Up | State::Leaving));
        let left = ids(|s| *s == State::Left);
        for node in 0..self.nodes.len() {
            let me = &self.nodes[node];
            let works = matches!(me.state, State::Up | State::Leaving);
            if !works || me.frozen_until > self.now {
                continue;
            }
            let live: Vec<usize> = (0..self.nodes.len())
                .filter(|n| self.seems_live(node, *n))
                .collect();
            let silent: BTreeSet<usize> = (0..self.nodes.len())
                .filter(|n| !live.contains(n) && self.nodes[*n].state != State::Leaving)
                .collect();
            let news: Vec<usize> = silent
                .difference(&self.nodes[node].silent)
                .copied()
                .filter(|n| *n != node)
                .collect();
            let candidates = live.iter().map(|n| Candidate {
                id: self.nodes[*n].id.clone(),
                zone: self.nodes[*n].zone.to_string(),
            });
            let candidates = candidates.collect();
            self.nodes[node].silent = silent;
            self.nodes[node].bank.set_members(candidates);
            self.nodes[node]
                .bank
                .set_presence(self.now, &present, &left);
            for other in news {
                let entry = self.nodes[other].id.clone();
                let event = Event::Gone { entry };
                let outputs = self.nodes[node].bank.step_all(self.now, &event);
                for output in outputs {
                    self.act(node, output);
                }
            }
        }
        self.watch_overspend();
    }

    fn watch_overspend(&mut self) {
        for account in 0..self.trace.budgets.len() {
            let (total, served) = (self.total(account), self.served(account));
            let over = served.saturating_sub(total);
            self.tally.overspend = self.tally.overspend.max(over);
        }
    }

    /// Returns the sum of an account's top-ups that are in force.
    pub fn total(&self, account: usize) -> u64 {
        let name = self.account(account);
        let accounts = self
            .platform
            .records()
            .filter_map(|r| r.accounts.get(&name));
        accounts.map(|a| a.total()).sum()
    }

    /// Returns the tokens that engines served to an account.
    pub fn served(&self, account: usize) -> u64 {
        let own = self.runs.iter().filter(|r| r.account == account);
        own.map(|r| r.served(self.now)).sum()
    }

    fn top_up(&mut self, account: usize, tokens: u64, zone: usize) {
        let up = |n: &Node| n.state == State::Up && n.zone == zone && n.frozen_until <= self.now;
        let Some(node) = self.nodes.iter().position(up) else {
            return;
        };
        self.topups += 1;
        let id = format!("t{}", self.topups);
        let name = self.account(account);
        let shard = self.nodes[node].bank.shard(&name);
        let ask = self.ask(node, Ask::Act);
        let act = Act::TopUp { id, tokens };
        let account = name;
        self.step(node, shard, Event::Act { ask, account, act });
    }

    fn ask(&mut self, node: usize, ask: Ask) -> u64 {
        let node = &mut self.nodes[node];
        let id = node.next_ask;
        node.next_ask += 1;
        node.asks.insert(id, ask);
        id
    }

    fn fault(&mut self, i: usize) {
        let fault = self.trace.faults[i].1;
        self.note(|| format!("{fault:?}"));
        match fault {
            Fault::Kill(slot) => self.kill(slot),
            Fault::Freeze(slot, ms) => {
                let node = self.slots[slot];
                if self.nodes[node].frozen_until <= self.now {
                    self.nodes[node].frozen_since = self.now;
                    self.nodes[node].frozen_until = self.now + ms;
                }
            }
            Fault::Stop(slot) => {
                let node = self.slots[slot];
                if self.nodes[node].state == State::Up {
                    self.nodes[node].state = State::Leaving;
                }
            }
            Fault::Down(down) => self.platform.faults.down = down,
            Fault::Slow(ms) => self.platform.faults.slow_ms = ms,
            Fault::Lose(pct) => self.platform.faults.lose_pct = pct,
            Fault::Cut(zone, cut) => {
                self.cut[zone] = cut;
                self.cut_platform[zone] = cut;
            }
            Fault::CutPeers(zone, cut) => self.cut[zone] = cut,
            Fault::TopUp(account, tokens, zone) => self.top_up(account, tokens, zone),
        }
    }

    fn kill(&mut self, slot: usize) {
        let node = self.slots[slot];
        if matches!(self.nodes[node].state, State::Dead | State::Left) {
            return;
        }
        self.tally.kills += 1;
        self.nodes[node].state = State::Dead;
        self.nodes[node].since = self.now;
        self.put(self.now + RESTART, Item::Restart(slot));
        for job in 0..self.jobs.len() {
            if self.jobs[job].entry == node && self.jobs[job].phase != Phase::Ended {
                self.jobs[job].phase = Phase::Ended;
                let request = self.jobs[job].request;
                if self.rng.random_range(0..100) < RETRY_PCT {
                    let at = self.now + self.rng.random_range(RETRY);
                    self.put(at, Item::Comeback { request });
                } else {
                    self.requests[request].fate = Fate::Lost;
                }
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrival = self.trace.arrivals[i];
        self.tally.requests += 1;
        let request = self.requests.len();
        self.requests.push(Request {
            id: format!("r{i}"),
            account: arrival.account,
            prompt: arrival.prompt,
            answer: arrival.answer,
            bound: arrival.prompt + arrival.max,
            fate: Fate::Open,
        });
        self.begin(request);
    }

    /// Starts an entry's work on a request, at an instance that the balancer picks.
    fn begin(&mut self, request: usize) {
        let takes = |n: &Node| n.state == State::Up && n.frozen_until <= self.now;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| takes(&self.nodes[*n]))
            .collect();
        if up.is_empty() {
            self.requests[request].fate = Fate::Lost;
            return;
        }
        let entry = up[self.rng.random_range(0..up.len())];
        let homes = self.homes(entry, self.requests[request].account);
        let job = self.jobs.len();
        self.jobs.push(Job {
            request,
            entry,
            homes,
            tries: 0,
            phase: Phase::Reserving,
            hold: None,
            run: None,
            since: self.now,
            rounds: 0,
            at: RunAt::default(),
        });
        self.ask_home(job);
    }

    fn homes(&self, entry: usize, account: usize) -> Vec<usize> {
        if self.policy.asks() == Asks::Itself {
            return vec![entry];
        }
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.seems_live(entry, *n))
            .collect();
        let candidates: Vec<Candidate> = live
            .iter()
            .map(|n| Candidate {
                id: self.nodes[*n].id.clone(),
                zone: self.nodes[*n].zone.to_string(),
            })
            .collect();
        let shard = place::shard(&self.account(account), SHARDS);
        let own = self.nodes[entry].zone.to_string();
        let mut order = place::home_and_standbys(shard, &candidates);
        match self.policy.asks() {
            Asks::OwnZone => order.sort_by_key(|c| c.zone != own),
            _ if order.len() > 1 => order[1..].sort_by_key(|c| c.zone != own),
            _ => {}
        }
        let find = |c: &Candidate| self.nodes.iter().position(|n| n.id == c.id);
        order.into_iter().filter_map(find).collect()
    }

    fn hop(&self, from: usize, to: usize) -> Option<u64> {
        let (a, b) = (self.nodes[from].zone, self.nodes[to].zone);
        let ms = if a == b { 0 } else { self.trace.hop_ms };
        self.linked(a, b).then_some(ms)
    }

    fn ask_home(&mut self, job: usize) {
        let tries = self.jobs[job].tries;
        let entry = self.jobs[job].entry;
        // A home that is given up may still probe the run that it was told of.
        let id = &self.requests[self.jobs[job].request].id;
        self.jobs[job].at = run_at(id, job, tries);
        let Some(home) = self.jobs[job].homes.get(tries).copied() else {
            let reply = ReserveReply::OutOfReach { retry_ms: 2_000 };
            self.refuse(job, &reply);
            return;
        };
        if let Some(hop) = self.hop(entry, home) {
            let node = home;
            self.put(self.now + hop, Item::Reserve { node, job, tries });
        }
        self.put(self.now + RPC_TIMEOUT, Item::ReserveLate { job, tries });
    }

    fn reserve(&mut self, node: usize, job: usize, tries: usize) {
        let request = &self.requests[self.jobs[job].request];
        let account = self.account(request.account);
        let req = Reserve {
            account: account.clone(),
            request: request.id.clone(),
            body: 1,
            entry: self.nodes[self.jobs[job].entry].id.clone(),
            at: run_at(&request.id, job, tries),
            tokens: request.bound,
            weight: 25,
        };
        let ask = self.ask(node, Ask::Reserve { job, tries });
        let shard = self.nodes[node].bank.shard(&account);
        let deadline = self.now + HOME_WAIT;
        self.step(node, shard, Event::Reserve { ask, req, deadline });
    }

    fn reserve_late(&mut self, job: usize, tries: usize) {
        let waits = self.jobs[job].phase == Phase::Reserving && self.jobs[job].tries == tries;
        if !waits {
            return;
        }
        let node = self.jobs[job].homes[tries];
        self.put(
            self.now,
            Item::Void {
                node,
                job,
                left: 60,
            },
        );
        self.jobs[job].tries += 1;
        self.ask_home(job);
    }

    fn void(&mut self, node: usize, job: usize, left: u32) {
        let entry = self.jobs[job].entry;
        if self.hop(entry, node).is_none() || self.nodes[entry].state == State::Dead {
            if left > 0 {
                let left = left - 1;
                self.put(self.now + 1_000, Item::Void { node, job, left });
            }
            return;
        }
        let request = &self.requests[self.jobs[job].request];
        let account = self.account(request.account);
        let event = Event::Void {
            account: account.clone(),
            request: request.id.clone(),
            entry: self.nodes[entry].id.clone(),
        };
        let shard = self.nodes[node].bank.shard(&account);
        self.step(node, shard, event);
    }

    fn reply(&mut self, job: usize, tries: usize, reply: ReserveReply) {
        let waits = self.jobs[job].phase == Phase::Reserving && self.jobs[job].tries == tries;
        if !waits {
            return;
        }
        let took = self.now - self.jobs[job].since;
        self.tally.reserve_ms.push(took);
        let (request, entry) = (self.jobs[job].request, self.jobs[job].entry);
        self.note(|| format!("r{request} job {job} at node {entry}: {reply:?}"));
        match reply {
            ReserveReply::Held { holder, hold } => {
                self.jobs[job].hold = Some((holder, hold));
                self.dispatch(job);
            }
            ReserveReply::Exists {
                holder,
                hold,
                at,
                billed,
            } => {
                self.jobs[job].hold = Some((holder, hold));
                self.jobs[job].run = self.run_names.get(&at.run).copied();
                self.jobs[job].at = at;
                if self.jobs[job].run.is_none() {
                    // Reserved, and never sent as far as known: in progress elsewhere.
                    self.jobs[job].phase = Phase::Ended;
                    let request = self.jobs[job].request;
                    self.put(self.now + 3_000, Item::Comeback { request });
                    return;
                }
                if billed.is_some() {
                    self.end(job, Fate::Served);
                    return;
                }
                self.jobs[job].phase = Phase::Running;
                let ends = self.jobs[job].run.map_or(self.now, |r| self.runs[r].ends());
                self.put(ends.max(self.now), Item::EngineEnd { job });
            }
            other => self.refuse(job, &other),
        }
    }

    fn dispatch(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Running;
        let name = self.jobs[job].at.run.clone();
        if self.tombstones.contains(&name) {
            self.put(self.now, Item::EngineEnd { job });
            return;
        }
        let request = &self.requests[self.jobs[job].request];
        let run = Run {
            request: self.jobs[job].request,
            account: request.account,
            began: self.now,
            prompt: request.prompt,
            answer: request.answer,
            cancelled: None,
            bound: request.bound,
        };
        let ends = run.ends();
        self.jobs[job].run = Some(self.runs.len());
        self.run_names.insert(name, self.runs.len());
        self.runs.push(run);
        self.put(ends, Item::EngineEnd { job });
    }

    fn refuse(&mut self, job: usize, reply: &ReserveReply) {
        let request = self.jobs[job].request;
        let bound = self.requests[request].bound;
        let account = self.requests[request].account;
        self.tally.refused += 1;
        let is_false = self.remainder(account) >= bound;
        self.tally.false_refusals += u64::from(is_false);
        self.note(|| format!("request {request} of c{account}: {reply:?}, false {is_false}"));
        self.end(job, Fate::Refused);
    }

    /// Returns what remains of a budget to one who knows everything.
    fn remainder(&self, account: usize) -> u64 {
        let now = self.now;
        let own = self.runs.iter().filter(|r| r.account == account);
        let taken = |r: &Run| {
            if r.ends() > now {
                r.bound
            } else {
                r.served(now)
            }
        };
        let taken: u64 = own.map(taken).sum();
        self.total(account).saturating_sub(taken)
    }

    fn end(&mut self, job: usize, fate: Fate) {
        self.jobs[job].phase = Phase::Ended;
        let request = self.jobs[job].request;
        if self.requests[request].fate == Fate::Open || fate == Fate::Served {
            self.requests[request].fate = fate;
        }
    }

    fn engine_end(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Running {
            return;
        }
        self.jobs[job].phase = Phase::Settling;
        self.jobs[job].since = self.now;
        self.settle_round(job, 0);
    }

    /// Sends a bill to its home, and from the second round on to others besides.
    fn settle_round(&mut self, job: usize, round: usize) {
        if self.jobs[job].phase != Phase::Settling {
            return;
        }
        let Some((holder, hold)) = self.jobs[job].hold.clone() else {
            return;
        };
        let request = &self.requests[self.jobs[job].request];
        let tokens = self.jobs[job]
            .run
            .map_or(0, |r| self.runs[r].served(self.now));
        let post = Post {
            holder: holder.clone(),
            hold,
            request: request.id.clone(),
            tokens,
            billed: tokens > 0,
            body: 1,
            at: self.jobs[job].at.clone(),
            at_ms: self.now,
        };
        let entry = self.jobs[job].entry;
        let mut to: Vec<usize> = self
            .nodes
            .iter()
            .position(|n| n.id == holder)
            .into_iter()
            .collect();
        if round >= 1 {
            to.extend(self.homes(entry, request.account));
        }
        for node in to {
            if let Some(hop) = self.hop(entry, node) {
                let post = post.clone();
                self.put(self.now + hop, Item::Settle { node, job, post });
            }
        }
        let round = round + 1;
        self.put(self.now + RPC_TIMEOUT, Item::SettleRound { job, round });
    }

    fn settle(&mut self, node: usize, job: usize, post: Post) {
        let account = self.account(self.requests[self.jobs[job].request].account);
        let ask = Some(self.ask(node, Ask::Settle { job }));
        let shard = self.nodes[node].bank.shard(&account);
        let event = Event::Settle {
            ask,
            account,
            post,
            doubts: Vec::new(),
        };
        self.step(node, shard, event);
    }

    fn settled(&mut self, job: usize) {
        let request = self.jobs[job].request;
        self.note(|| format!("r{request} job {job} settled"));
        if self.jobs[job].phase == Phase::Settling {
            self.tally.settle_ms.push(self.now - self.jobs[job].since);
            let ran = self.jobs[job].run.is_some();
            self.end(job, if ran { Fate::Served } else { Fate::Lost });
        }
    }

    fn recall(&mut self, node: usize, from: usize, account: usize, tokens: u64) {
        let name = self.account(account);
        let to = self.nodes[from].id.clone();
        let ask = self.ask(node, Ask::Recall { from, account });
        let shard = self.nodes[node].bank.shard(&name);
        let event = Event::Recall {
            ask,
            account: name,
            to,
            tokens,
        };
        self.step(node, shard, event);
    }

    fn recalled(&mut self, node: usize, from: usize, account: usize, sent: Option<u64>, ask: u64) {
        // The first of answer and time-out counts.
        if self.recall_asks.remove(&ask).is_none() {
            return;
        }
        let name = self.account(account);
        let shard = self.nodes[node].bank.shard(&name);
        let event = Event::Recalled {
            account: name,
            from: self.nodes[from].id.clone(),
            sent,
        };
        self.step(node, shard, event);
    }

    fn keep(&mut self, node: usize, from: usize, account: usize, post: Post) {
        let name = self.account(account);
        let shard = self.nodes[node].bank.shard(&name);
        let hold = post.hold;
        let account = name.clone();
        self.step(node, shard, Event::Keep { account, post });
        if let Some(hop) = self.hop(node, from) {
            let event = Event::Copied {
                account: name,
                hold,
            };
            let node = from;
            self.put(self.now + hop, Item::Bank { node, shard, event });
        }
    }

    fn account_index(name: &str) -> usize {
        name[1..].parse().expect("accounts are numbered")
    }

    fn act(&mut self, node: usize, output: Output) {
        let shard = output.shard;
        match output.action {
            Action::Read => self.call(node, shard, Call::Read),
            Action::Write { base, record } => self.call(node, shard, Call::Write { base, record }),
            Action::ReadSegment { name } => {
                let name = format!("{shard}/{name}");
                self.call(node, shard, Call::ReadSegment { name });
            }
            Action::WriteSegment { name, segment } => {
                let name = format!("{shard}/{name}");
                self.call(node, shard, Call::Segment { name, segment });
            }
            Action::Reserved { ask, reply } => {
                if let Some(Ask::Reserve { job, tries }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, self.jobs[job].entry) {
                        self.put(self.now + hop, Item::Reply { job, tries, reply });
                    }
                }
            }
            Action::Settled { ask, .. } => {
                if let Some(Ask::Settle { job }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, self.jobs[job].entry) {
                        self.put(self.now + hop, Item::Settled { job });
                    }
                }
            }
            Action::Handed { ask, sent } => {
                if let Some(Ask::Recall { from, account }) = self.nodes[node].asks.remove(&ask) {
                    self.hand(node, from, account, sent);
                }
            }
            Action::Acted { ask, .. } => {
                self.nodes[node].asks.remove(&ask);
            }
            Action::Recall {
                account,
                from,
                tokens,
            } => self.send_recall(node, &account, &from, tokens),
            Action::Open {
                account,
                witness,
                key,
                upto,
            } => self.send_open(node, shard, account, &witness, key, upto),
            Action::Witnessed { ask, opened } => {
                if let Some(Ask::Open { from, account, key }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, from) {
                        let event = Event::Opened {
                            account: self.account(account),
                            key,
                            opened: Some(opened),
                        };
                        let node = from;
                        self.put(self.now + hop, Item::Bank { node, shard, event });
                    }
                }
            }
            Action::Copy { account, post } => {
                let zone = self.nodes[node].zone;
                let other = (0..self.nodes.len())
                    .find(|n| self.nodes[*n].zone != zone && self.seems_live(node, *n));
                let to = other.and_then(|to| Some((to, self.hop(node, to)?)));
                if let Some((to, hop)) = to {
                    let item = Item::Keep {
                        node: to,
                        from: node,
                        account: Self::account_index(&account),
                        post,
                    };
                    self.put(self.now + hop, item);
                }
            }
            Action::Probe { account, hold, at } => {
                let tokens = self.cancel(&at.run);
                let event = Event::Proof {
                    account,
                    hold,
                    tokens,
                    at_ms: self.now,
                };
                self.put(self.now + 2, Item::Bank { node, shard, event });
            }
            Action::DroppedOut { .. } | Action::Note(_) => {}
        }
    }

    fn cancel(&mut self, run: &str) -> u64 {
        self.note(|| format!("{run} cancelled"));
        let Some(run) = self.run_names.get(run) else {
            self.tombstones.insert(run.to_string());
            return 0;
        };
        let run = &mut self.runs[*run];
        run.cancelled.get_or_insert(self.now);
        run.served(self.now)
    }

    /// Answers go by the recall's cumulative counter, so a lost one harms nothing.
    fn hand(&mut self, node: usize, to: usize, account: usize, sent: u64) {
        let open = self
            .recall_asks
            .iter()
            .find(|(_, n)| **n == node * 1_000 + to);
        let Some(ask) = open.map(|(a, _)| *a) else {
            return;
        };
        if let Some(hop) = self.hop(node, to) {
            let item = Item::Recalled {
                node: to,
                from: node,
                account,
                sent: Some(sent),
                ask,
            };
            self.put(self.now + hop, item);
        }
    }

    fn send_open(
        &mut self,
        node: usize,
        shard: u32,
        account: String,
        witness: &str,
        key: String,
        upto: u64,
    ) {
        let to = self.nodes.iter().position(|n| n.id == witness);
        let to = to.expect("witnesses are instances");
        if let Some(hop) = self.hop(node, to) {
            let item = Item::Open {
                node: to,
                from: node,
                account: Self::account_index(&account),
                key: key.clone(),
                upto,
            };
            self.put(self.now + hop, item);
        }
        // After the answer this finds nothing to end: the grant is asked for its next step by then,
        // or the answer to this one has not come.
        if self.nodes[to].state != State::Up || self.hop(node, to).is_none() {
            let event = Event::Opened {
                account,
                key,
                opened: None,
            };
            self.put(self.now + RPC_TIMEOUT, Item::Bank { node, shard, event });
        }
    }

    fn open_step(&mut self, node: usize, from: usize, account: usize, key: String, upto: u64) {
        let name = self.account(account);
        let shard = self.nodes[node].bank.shard(&name);
        let ask = Ask::Open {
            from,
            account,
            key: key.clone(),
        };
        let ask = self.ask(node, ask);
        self.step(node, shard, Event::Open { ask, key, upto });
    }

    fn send_recall(&mut self, node: usize, account: &str, from: &str, tokens: u64) {
        let account = Self::account_index(account);
        let donor = self.nodes.iter().position(|n| n.id == from);
        let donor = donor.expect("donors are instances");
        self.next_recall += 1;
        let ask = self.next_recall;
        self.recall_asks.insert(ask, donor * 1_000 + node);
        if let Some(hop) = self.hop(node, donor) {
            let item = Item::Recall {
                node: donor,
                from: node,
                account,
                tokens,
            };
            self.put(self.now + hop, item);
        }
        let late = Item::Recalled {
            node,
            from: donor,
            account,
            sent: None,
            ask,
        };
        self.put(self.now + RPC_TIMEOUT, late);
    }

    /// Sends a platform call: it may be refused, land late, or lose its answer.
    fn call(&mut self, node: usize, shard: u32, call: Call) {
        let faults = self.platform.faults;
        if faults.down || self.cut_platform[self.nodes[node].zone] {
            let event = match call {
                Call::Read => Event::ReadFailed,
                Call::Write { .. } => Event::WriteRefused,
                Call::Segment { .. } => Event::SegmentWritten(false),
                Call::ReadSegment { .. } => Event::SegmentRead(None),
            };
            self.put(self.now + 50, Item::Bank { node, shard, event });
            return;
        }
        let takes = 1 + self.trace.hop_ms + faults.slow_ms;
        let lost = self.rng.random_range(0..100) < faults.lose_pct;
        let answered = !lost && takes < CALL_TIMEOUT;
        if !answered {
            let event = match call {
                Call::Read => Event::ReadFailed,
                Call::Write { .. } => Event::WriteUnknown,
                Call::Segment { .. } => Event::SegmentWritten(false),
                Call::ReadSegment { .. } => Event::SegmentRead(None),
            };
            let at = self.now + CALL_TIMEOUT;
            self.put(at, Item::Bank { node, shard, event });
        }
        let item = Item::Exec {
            node,
            shard,
            call,
            answered,
        };
        self.put(self.now + takes, item);
    }

    fn exec(&mut self, node: usize, shard: u32, call: Call, answered: bool) {
        let event = match call {
            Call::Read => Event::Read(self.platform.read(shard)),
            Call::Write { base, record } => match self.platform.write(shard, base, record) {
                Ok(revision) => Event::Written { revision },
                Err(stored) => Event::WriteLost(stored),
            },
            Call::ReadSegment { name } => Event::SegmentRead(self.platform.read_segment(&name)),
            Call::Segment { name, segment } => {
                self.platform.write_segment(name, segment);
                Event::SegmentWritten(true)
            }
        };
        if answered {
            let at = self.now + 1 + self.trace.hop_ms;
            self.put(at, Item::Bank { node, shard, event });
        }
    }

    /// Returns the tokens that vanished holders left unspent.
    pub fn stranded(&self) -> u64 {
        let gone = |h: &str| {
            let node = self.nodes.iter().find(|n| n.id == h);
            node.is_none_or(|n| matches!(n.state, State::Dead | State::Left))
        };
        let mut sum = 0;
        for account in self.platform.records().flat_map(|r| r.accounts.values()) {
            let lines = account.lines.keys().filter(|h| gone(h));
            sum += lines.map(|h| account.unspent(h)).sum::<u64>();
            let joints = account.joints.iter().filter(|(k, _)| {
                let parts = budget::record::joint_parts(k);
                parts.is_some_and(|(h, w)| gone(h) && gone(w))
            });
            sum += joints.map(|(_, j)| j.granted - j.opened).sum::<u64>();
        }
        sum
    }
}
