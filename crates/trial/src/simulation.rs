//! The step loop: instances with their real decisions, and the fakes around them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use budget::msg::AttemptRef;
use budget::placement::Candidate;
use budget::{Event, OperatorCommand, ShardManager};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::item::{Ask, Item};
use crate::node::{Node, NodeState};
use crate::platform::Platform;
use crate::policy::Policy;
use crate::request::{Attempt, Phase, Request, RequestContext};
use crate::trace::Trace;

/// Instances.
pub const INSTANCES: usize = 9;
/// Availability zones.
pub const ZONES: usize = 3;
/// Shards of the budget records.
pub(crate) const SHARDS: u32 = 4;
/// The fleet's share of the platform's writes, a second.
pub(crate) const WRITES_PER_SEC: u64 = 100;
/// A client's limits, in milliseconds.
pub(crate) const CALL_TIMEOUT: u64 = 1_500;
pub(crate) const RPC_TIMEOUT: u64 = 2_500;
pub(crate) const HOME_WAIT: u64 = 1_500;
/// Silence after which an instance is suspected, in milliseconds.
pub(crate) const SUSPECT: u64 = 4_000;
/// How long a caller of a dead entry takes to come back, in milliseconds.
pub(crate) const RETRY: std::ops::Range<u64> = 500..4_000;
/// Callers of dead entries that come back, in percent.
pub(crate) const RETRY_PCT: u32 = 80;
pub(crate) const RESTART: u64 = 3_000;
pub(crate) const TICK: u64 = 20;
pub(crate) const MEMBERS_EVERY: u64 = 500;
pub(crate) const HISTORY: usize = 200;
/// Traces above this length, in milliseconds, are looked at for overspend more seldom: each look
/// costs time by all runs so far, and what is served never becomes less.
pub(crate) const LONG_TRACE: u64 = 120_000;
pub(crate) const WATCH_LONG_EVERY: u64 = 10_000;
/// Time after the trace in which everything is healed and settles, in milliseconds.
pub const SETTLE_PERIOD_MS: u64 = 90_000;

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Stats {
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
pub(crate) fn run_at(request: &str, job: usize, tries: usize) -> AttemptRef {
    AttemptRef {
        upstream: "e".to_string(),
        id: format!("{request}~{job}.{tries}"),
    }
}

/// The whole fake world.
pub struct Simulation {
    /// The time, in milliseconds.
    pub now: u64,
    /// The trace.
    pub trace: Trace,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) items: BTreeMap<usize, Item>,
    pub(crate) next: u64,
    /// The platform.
    pub platform: Platform,
    /// Every start of every instance.
    pub nodes: Vec<Node>,
    pub(crate) slots: Vec<usize>,
    pub(crate) cut: [bool; ZONES],
    pub(crate) cut_platform: [bool; ZONES],
    /// All requests.
    pub requests: Vec<Request>,
    pub(crate) jobs: Vec<RequestContext>,
    /// All runs at engines.
    pub attempts: Vec<Attempt>,
    pub(crate) run_names: BTreeMap<String, usize>,
    pub(crate) tombstones: BTreeSet<String>,
    pub(crate) topups: u64,
    pub(crate) recall_asks: BTreeMap<u64, usize>,
    pub(crate) next_recall: u64,
    /// What was measured.
    pub stats: Stats,
    /// Steps of the decisions.
    pub steps: u64,
    /// Whether the whole history is kept, for a look at one seed.
    pub keep_full_history: bool,
    /// The latest happenings, for a failure's report.
    pub history: std::collections::VecDeque<String>,
}

impl Simulation {
    /// Opens a world at the start of a trace.
    pub fn new(seed: u64, policy: Policy, trace: Trace) -> Simulation {
        let mut world = Simulation {
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
            attempts: Vec::new(),
            run_names: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            topups: 0,
            recall_asks: BTreeMap::new(),
            next_recall: 0,
            stats: Stats::default(),
            steps: 0,
            keep_full_history: false,
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
            let at = 3_000 + world.trace.arrivals[i].at_ms;
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
        let end = 3_000 + self.trace.length_ms;
        self.run_until(end);
        self.heal();
        self.run_until(end + SETTLE_PERIOD_MS);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
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

    pub(crate) fn heal(&mut self) {
        self.platform.faults = Default::default();
        self.cut = [false; ZONES];
        self.cut_platform = [false; ZONES];
    }

    pub(crate) fn put(&mut self, at: u64, item: Item) {
        let id = self.next as usize;
        self.queue.push(Reverse((at, self.next, id)));
        self.items.insert(id, item);
        self.next += 1;
    }

    pub(crate) fn note(&mut self, what: impl FnOnce() -> String) {
        let line = format!("{:>7} {}", self.now, what());
        self.history.push_back(line);
        if self.history.len() > HISTORY && !self.keep_full_history {
            self.history.pop_front();
        }
    }

    pub(crate) fn start(&mut self, slot: usize) {
        let node = self.nodes.len();
        let id = format!("n{slot}.{node}");
        let params = self.policy.params(INSTANCES);
        let bank = ShardManager::new(self.now, &id, SHARDS, WRITES_PER_SEC, params);
        self.nodes.push(Node {
            id,
            instance: slot,
            zone: slot % ZONES,
            state: NodeState::Up,
            state_since: self.now,
            paused_until: 0,
            frozen_since: 0,
            manager: bank,
            asks: BTreeMap::new(),
            next_ask: 1,
            silent: BTreeSet::new(),
            told_leave: false,
        });
        self.slots[slot] = node;
        self.put(self.now + TICK, Item::Tick(node));
    }

    pub(crate) fn account(&self, account: usize) -> String {
        format!("c{account}")
    }

    /// Returns whether two zones hear each other.
    pub(crate) fn linked(&self, a: usize, b: usize) -> bool {
        a == b || !(self.cut[a] || self.cut[b])
    }

    /// Returns which instance an item must reach.
    pub(crate) fn target(&self, item: &Item) -> Option<usize> {
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

    pub(crate) fn take(&mut self, item: Item) {
        if let Some(node) = self.target(&item) {
            let node = &self.nodes[node];
            if matches!(node.state, NodeState::Killed | NodeState::Left) {
                return;
            }
            if node.paused_until > self.now {
                let at = node.paused_until;
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

    pub(crate) fn step(&mut self, node: usize, shard: u32, event: Event) {
        self.steps += 1;
        if self.keep_full_history {
            let short: String = format!("{event:?}").chars().take(300).collect();
            self.note(|| format!("node {node} shard {shard}: {short}"));
        }
        let outputs = self.nodes[node].manager.step(self.now, shard, event);
        for output in outputs {
            self.act(node, output);
        }
    }

    pub(crate) fn tick(&mut self, node: usize) {
        self.steps += 1;
        let outputs = self.nodes[node].manager.step_all(self.now, &Event::Tick);
        for output in outputs {
            self.act(node, output);
        }
        self.leave_if_done(node);
        self.put(self.now + TICK, Item::Tick(node));
    }

    pub(crate) fn leave_if_done(&mut self, node: usize) {
        if self.nodes[node].state != NodeState::Leaving {
            return;
        }
        let open = |j: &RequestContext| j.entry == node && j.phase != Phase::Ended;
        if self.jobs.iter().any(open) {
            return;
        }
        if !self.nodes[node].told_leave {
            self.nodes[node].told_leave = true;
            self.nodes[node].manager.leave();
        } else if self.nodes[node].manager.is_drained() {
            self.note(|| format!("node {node} left"));
            self.nodes[node].state = NodeState::Left;
            self.nodes[node].state_since = self.now;
            let slot = self.nodes[node].instance;
            self.put(self.now + RESTART, Item::Restart(slot));
        }
    }

    /// Returns whether an instance seems to live to another one.
    pub(crate) fn seems_live(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        if from == to {
            return a.state == NodeState::Up;
        }
        let silent_since = match b.state {
            NodeState::Left | NodeState::Leaving => return false,
            NodeState::Killed => b.state_since,
            NodeState::Up if b.paused_until > self.now => b.frozen_since,
            NodeState::Up => u64::MAX,
        };
        self.now < silent_since.saturating_add(SUSPECT) && self.linked(a.zone, b.zone)
    }

    pub(crate) fn members(&mut self) {
        let ids = |keep: fn(&NodeState) -> bool| -> Vec<String> {
            let kept = self.nodes.iter().filter(|n| keep(&n.state));
            kept.map(|n| n.id.clone()).collect()
        };
        let present = ids(|s| matches!(s, NodeState::Up | NodeState::Leaving));
        let left = ids(|s| *s == NodeState::Left);
        for node in 0..self.nodes.len() {
            let me = &self.nodes[node];
            let works = matches!(me.state, NodeState::Up | NodeState::Leaving);
            if !works || me.paused_until > self.now {
                continue;
            }
            let live: Vec<usize> = (0..self.nodes.len())
                .filter(|n| self.seems_live(node, *n))
                .collect();
            let silent: BTreeSet<usize> = (0..self.nodes.len())
                .filter(|n| !live.contains(n) && self.nodes[*n].state != NodeState::Leaving)
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
            self.nodes[node].manager.set_members(candidates);
            self.nodes[node]
                .manager
                .set_presence(self.now, &present, &left);
            for other in news {
                let entry = self.nodes[other].id.clone();
                let event = Event::InstanceUnresponsive { instance: entry };
                let outputs = self.nodes[node].manager.step_all(self.now, &event);
                for output in outputs {
                    self.act(node, output);
                }
            }
        }
        let is_long = self.trace.length_ms > LONG_TRACE;
        if !is_long || self.now % WATCH_LONG_EVERY == 0 {
            self.watch_overspend();
        }
    }

    pub(crate) fn watch_overspend(&mut self) {
        for account in 0..self.trace.budgets.len() {
            let (total, served) = (self.budget_total(account), self.tokens_served(account));
            let over = served.saturating_sub(total);
            self.stats.overspend = self.stats.overspend.max(over);
        }
    }

    /// Returns the sum of an account's top-ups that are in force.
    pub fn budget_total(&self, account: usize) -> u64 {
        let name = self.account(account);
        let accounts = self
            .platform
            .records()
            .filter_map(|r| r.accounts.get(&name));
        accounts.map(|a| a.total()).sum()
    }

    /// Returns the tokens that engines served to an account.
    pub fn tokens_served(&self, account: usize) -> u64 {
        let own = self.attempts.iter().filter(|r| r.account == account);
        own.map(|r| r.tokens_served(self.now)).sum()
    }

    pub(crate) fn top_up(&mut self, account: usize, tokens: u64, zone: usize) {
        let up =
            |n: &Node| n.state == NodeState::Up && n.zone == zone && n.paused_until <= self.now;
        let Some(node) = self.nodes.iter().position(up) else {
            return;
        };
        self.topups += 1;
        let id = format!("t{}", self.topups);
        let name = self.account(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let ask = self.ask(node, Ask::Act);
        let act = OperatorCommand::TopUp { id, tokens };
        let account = name;
        self.step(
            node,
            shard,
            Event::Operator {
                reply_to: ask,
                account,
                command: act,
            },
        );
    }

    pub(crate) fn ask(&mut self, node: usize, ask: Ask) -> u64 {
        let node = &mut self.nodes[node];
        let id = node.next_ask;
        node.next_ask += 1;
        node.asks.insert(id, ask);
        id
    }

    /// Returns the tokens that vanished holders left unspent.
    pub fn stranded_tokens(&self) -> u64 {
        let gone = |h: &str| {
            let node = self.nodes.iter().find(|n| n.id == h);
            node.is_none_or(|n| matches!(n.state, NodeState::Killed | NodeState::Left))
        };
        let mut sum = 0;
        for account in self.platform.records().flat_map(|r| r.accounts.values()) {
            let lines = account.ledger.keys().filter(|h| gone(h));
            sum += lines.map(|h| account.unspent(h)).sum::<u64>();
            let joints = account.joint_grants.iter().filter(|(k, _)| {
                let parts = budget::record::parse_joint_key(k);
                parts.is_some_and(|(h, w)| gone(h) && gone(w))
            });
            sum += joints.map(|(_, j)| j.granted - j.opened).sum::<u64>();
        }
        sum
    }
}
