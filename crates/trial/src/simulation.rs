//! The event loop: instances with the real state machines of their budgets, and the fakes around
//! them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use budget::msg::AttemptRef;
use budget::placement::Candidate;
use budget::{Event, OperatorCommand, ShardManager};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::node::{Node, NodeState};
use crate::platform::Platform;
use crate::policy::Policy;
use crate::request::{Attempt, Phase, Request, RequestContext};
use crate::sim_event::{PendingReply, SimEvent};
use crate::trace::Trace;

/// Number of instances.
pub const INSTANCES: usize = 9;
/// Number of availability zones.
pub const ZONES: usize = 3;
/// Number of shards that the accounts are grouped into.
pub(crate) const SHARDS: u32 = 4;
/// Record writes per second that the whole fleet may make.
pub(crate) const WRITES_PER_SEC: u64 = 100;
/// Timeout of a platform call, in milliseconds.
pub(crate) const PLATFORM_TIMEOUT_MS: u64 = 1_500;
/// Timeout of a call to another instance, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 2_500;
/// Time that a home has to obtain the tokens of a reservation, in milliseconds.
pub(crate) const TOKEN_WAIT_MS: u64 = 1_500;
/// Time for which the others still take a killed or paused instance for live, in milliseconds.
pub(crate) const UNRESPONSIVE_AFTER_MS: u64 = 4_000;
/// Time for which the others remember an instance that was killed or has left, in milliseconds.
pub(crate) const FORGET_AFTER_MS: u64 = 120_000;
/// Time after which the caller of a killed entry retries, in milliseconds.
pub(crate) const CALLER_RETRY_MS: std::ops::Range<u64> = 500..4_000;
/// Percentage of the callers of killed entries that retry.
pub(crate) const CALLER_RETRY_PCT: u32 = 80;
/// Time until an instance that was killed or has left restarts, in milliseconds.
pub(crate) const RESTART_MS: u64 = 3_000;
/// Interval between the ticks of a node, in milliseconds.
pub(crate) const TICK_MS: u64 = 20;
/// Interval at which the nodes update which instances they take for live, in milliseconds.
pub(crate) const MEMBERSHIP_INTERVAL_MS: u64 = 500;
/// Number of lines that are kept of the history, unless all are.
pub(crate) const MAX_HISTORY: usize = 200;
/// Length above which a trace is checked for overspend less often, in milliseconds.
///
/// Each check takes time in proportion to the attempts so far. Rarer checks suffice because the
/// number of tokens served never decreases.
pub(crate) const LONG_TRACE_MS: u64 = 120_000;
/// Interval at which a long trace is checked for overspend, in milliseconds.
pub(crate) const LONG_TRACE_CHECK_MS: u64 = 10_000;
/// Time after the trace, without faults, for everything to settle, in milliseconds.
pub const SETTLE_PERIOD_MS: u64 = 90_000;

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests that arrived.
    pub requests: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals of requests that the rest of the budget would have covered.
    pub false_refusals: u64,
    /// Most tokens that an account was ever served in excess of its top-ups.
    pub overspend: u64,
    /// Durations of reservations that were answered, in milliseconds.
    pub reserve_ms: Vec<u64>,
    /// Durations of settlements, in milliseconds.
    pub settle_ms: Vec<u64>,
    /// Nodes killed.
    pub kills: u64,
}

/// Returns the reference of the attempt that a home is told of.
///
/// It differs for each home that is asked, because a home that was given up may still cancel the
/// attempt that it was told of and ask the engine for its usage.
pub(crate) fn attempt_ref(request: &str, cx: usize, home_index: usize) -> AttemptRef {
    AttemptRef {
        upstream: "e".to_string(),
        id: format!("{request}~{cx}.{home_index}"),
    }
}

/// State of a simulation.
pub struct Simulation {
    /// Current time, in milliseconds.
    pub now: u64,
    /// Requests and faults of the run.
    pub trace: Trace,
    pub(crate) policy: Policy,
    pub(crate) rng: ChaCha8Rng,
    /// Time, sequence number and id of each scheduled event.
    pub(crate) event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) events: BTreeMap<usize, SimEvent>,
    pub(crate) next_event_id: u64,
    /// Fake platform.
    pub platform: Platform,
    /// Incarnations of all instances, in order of their starts.
    pub nodes: Vec<Node>,
    /// Latest node of each instance.
    pub(crate) current_nodes: Vec<usize>,
    /// Whether each zone is cut off from the other zones.
    pub(crate) partitioned: [bool; ZONES],
    /// Whether each zone is cut off from the platform.
    pub(crate) platform_unreachable: [bool; ZONES],
    /// Requests that have arrived.
    pub requests: Vec<Request>,
    pub(crate) contexts: Vec<RequestContext>,
    /// Attempts at engines.
    pub attempts: Vec<Attempt>,
    pub(crate) attempts_by_id: BTreeMap<String, usize>,
    /// Ids of attempts that were cancelled before they started.
    pub(crate) cancelled_before_start: BTreeSet<String>,
    pub(crate) top_up_count: u64,
    /// Recalls without a reply, by id: 1,000 times the node that was asked plus the one that asks.
    pub(crate) open_recalls: BTreeMap<u64, usize>,
    pub(crate) last_recall_id: u64,
    /// Measurements so far.
    pub stats: Stats,
    /// Steps so far: events of single shards, and ticks of nodes.
    pub steps: u64,
    /// Whether all lines of the history are kept, including one for each event of a shard, to
    /// examine a single seed.
    pub keep_full_history: bool,
    /// Latest log lines, to report with a failure.
    pub history: std::collections::VecDeque<String>,
}

impl Simulation {
    /// Creates a simulation in which all instances are up and the budgets are being topped up.
    ///
    /// The trace begins after 3 s.
    pub fn new(seed: u64, policy: Policy, trace: Trace) -> Simulation {
        let mut sim = Simulation {
            now: 0,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event_id: 0,
            platform: Platform::default(),
            nodes: Vec::new(),
            current_nodes: vec![0; INSTANCES],
            partitioned: [false; ZONES],
            platform_unreachable: [false; ZONES],
            requests: Vec::new(),
            contexts: Vec::new(),
            attempts: Vec::new(),
            attempts_by_id: BTreeMap::new(),
            cancelled_before_start: BTreeSet::new(),
            top_up_count: 0,
            open_recalls: BTreeMap::new(),
            last_recall_id: 0,
            stats: Stats::default(),
            steps: 0,
            keep_full_history: false,
            history: Default::default(),
            trace,
        };
        for instance in 0..INSTANCES {
            sim.start_node(instance);
        }
        sim.update_members();
        for account in 0..sim.trace.budgets.len() {
            let tokens = sim.trace.budgets[account];
            sim.top_up(account, tokens, account % ZONES);
        }
        for i in 0..sim.trace.arrivals.len() {
            let at = 3_000 + sim.trace.arrivals[i].at_ms;
            sim.schedule(at, SimEvent::Arrival(i));
        }
        for i in 0..sim.trace.faults.len() {
            let at = 3_000 + sim.trace.faults[i].0;
            sim.schedule(at, SimEvent::Fault(i));
        }
        sim.schedule(MEMBERSHIP_INTERVAL_MS, SimEvent::UpdateMembers);
        sim
    }

    /// Runs the trace, ends all faults, and runs on until everything should have settled.
    pub fn run(&mut self) {
        let end = 3_000 + self.trace.length_ms;
        self.run_until(end);
        self.clear_faults();
        self.run_until(end + SETTLE_PERIOD_MS);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, id))) = self.event_queue.peek().copied() {
            if at > end {
                break;
            }
            self.event_queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&id)
                .expect("each queued id has an event");
            self.handle(event);
        }
        self.now = end;
    }

    pub(crate) fn clear_faults(&mut self) {
        self.platform.faults = Default::default();
        self.partitioned = [false; ZONES];
        self.platform_unreachable = [false; ZONES];
    }

    pub(crate) fn schedule(&mut self, at: u64, event: SimEvent) {
        let id = self.next_event_id as usize;
        self.event_queue.push(Reverse((at, self.next_event_id, id)));
        self.events.insert(id, event);
        self.next_event_id += 1;
    }

    pub(crate) fn log(&mut self, message: impl FnOnce() -> String) {
        let line = format!("{:>7} {}", self.now, message());
        self.history.push_back(line);
        if self.history.len() > MAX_HISTORY && !self.keep_full_history {
            self.history.pop_front();
        }
    }

    pub(crate) fn start_node(&mut self, instance: usize) {
        let node = self.nodes.len();
        let id = format!("n{instance}.{node}");
        let params = self.policy.params(INSTANCES);
        let manager = ShardManager::new(self.now, &id, SHARDS, WRITES_PER_SEC, params);
        self.nodes.push(Node {
            id,
            instance,
            zone: instance % ZONES,
            state: NodeState::Up,
            state_since: self.now,
            paused_until: 0,
            paused_since: 0,
            manager,
            pending_replies: BTreeMap::new(),
            next_reply_id: 1,
            unresponsive: BTreeSet::new(),
            leave_started: false,
        });
        self.current_nodes[instance] = node;
        self.schedule(self.now + TICK_MS, SimEvent::Tick(node));
    }

    pub(crate) fn account_name(&self, account: usize) -> String {
        format!("c{account}")
    }

    /// Returns whether the instances of two zones can reach each other.
    pub(crate) fn zones_connected(&self, a: usize, b: usize) -> bool {
        a == b || !(self.partitioned[a] || self.partitioned[b])
    }

    /// Returns the node that handles an event, if a node does.
    pub(crate) fn target_node(&self, event: &SimEvent) -> Option<usize> {
        match event {
            SimEvent::Tick(node)
            | SimEvent::ShardEvent { node, .. }
            | SimEvent::Reserve { node, .. }
            | SimEvent::Void { node, .. }
            | SimEvent::Settle { node, .. }
            | SimEvent::Recall { node, .. }
            | SimEvent::RecallReply { node, .. }
            | SimEvent::OpenStep { node, .. }
            | SimEvent::StoreCopy { node, .. } => Some(*node),
            SimEvent::ReserveReply { cx, .. }
            | SimEvent::ReserveTimeout { cx, .. }
            | SimEvent::AttemptEnd { cx }
            | SimEvent::SettleRound { cx, .. }
            | SimEvent::Settled { cx } => Some(self.contexts[*cx].entry),
            _ => None,
        }
    }

    /// Handles an event. It is lost if its node was killed or has left, and delayed while the node
    /// is paused.
    pub(crate) fn handle(&mut self, sim_event: SimEvent) {
        if let Some(node) = self.target_node(&sim_event) {
            let node = &self.nodes[node];
            if matches!(node.state, NodeState::Killed | NodeState::Left) {
                return;
            }
            if node.paused_until > self.now {
                let at = node.paused_until;
                self.schedule(at, sim_event);
                return;
            }
        }
        match sim_event {
            SimEvent::Arrival(i) => self.on_arrival(i),
            SimEvent::Fault(i) => self.apply_fault(i),
            SimEvent::Tick(node) => self.tick(node),
            SimEvent::UpdateMembers => {
                self.update_members();
                self.schedule(self.now + MEMBERSHIP_INTERVAL_MS, SimEvent::UpdateMembers);
            }
            SimEvent::ShardEvent { node, shard, event } => self.step_shard(node, shard, event),
            SimEvent::ExecuteCall {
                node,
                shard,
                call,
                answered,
            } => self.execute_call(node, shard, call, answered),
            SimEvent::Reserve {
                node,
                cx,
                home_index,
            } => self.on_reserve(node, cx, home_index),
            SimEvent::ReserveReply {
                cx,
                home_index,
                reply,
            } => self.on_reserve_reply(cx, home_index, reply),
            SimEvent::ReserveTimeout { cx, home_index } => self.on_reserve_timeout(cx, home_index),
            SimEvent::Void {
                node,
                cx,
                retries_left,
            } => self.send_void(node, cx, retries_left),
            SimEvent::AttemptEnd { cx } => self.on_attempt_end(cx),
            SimEvent::SettleRound { cx, round } => self.send_settlement(cx, round),
            SimEvent::Settle {
                node,
                cx,
                settlement,
            } => self.on_settle(node, cx, settlement),
            SimEvent::Settled { cx } => self.on_settled(cx),
            SimEvent::Recall {
                node,
                from,
                account,
                tokens,
            } => self.on_recall(node, from, account, tokens),
            SimEvent::RecallReply {
                node,
                from,
                account,
                total_sent,
                recall_id,
            } => self.on_recall_reply(node, from, account, total_sent, recall_id),
            SimEvent::StoreCopy {
                node,
                from,
                account,
                settlement,
            } => self.on_store_copy(node, from, account, settlement),
            SimEvent::OpenStep {
                node,
                from,
                account,
                key,
                up_to,
            } => self.on_open_step(node, from, account, key, up_to),
            SimEvent::CallerRetry { request } => self.start_request(request),
            SimEvent::Restart(instance) => self.start_node(instance),
        }
    }

    pub(crate) fn step_shard(&mut self, node: usize, shard: u32, event: Event) {
        self.steps += 1;
        if self.keep_full_history {
            let text: String = format!("{event:?}").chars().take(300).collect();
            self.log(|| format!("node {node} shard {shard}: {text}"));
        }
        let actions = self.nodes[node].manager.step(self.now, shard, event);
        for action in actions {
            self.run_action(node, action);
        }
    }

    pub(crate) fn tick(&mut self, node: usize) {
        self.steps += 1;
        let actions = self.nodes[node].manager.step_all(self.now, &Event::Tick);
        for action in actions {
            self.run_action(node, action);
        }
        self.advance_planned_stop(node);
        self.schedule(self.now + TICK_MS, SimEvent::Tick(node));
    }

    pub(crate) fn advance_planned_stop(&mut self, node: usize) {
        if self.nodes[node].state != NodeState::Leaving {
            return;
        }
        let is_open = |cx: &RequestContext| cx.entry == node && cx.phase != Phase::Ended;
        if self.contexts.iter().any(is_open) {
            return;
        }
        if !self.nodes[node].leave_started {
            self.nodes[node].leave_started = true;
            self.nodes[node].manager.leave();
        } else if self.nodes[node].manager.is_drained() {
            self.log(|| format!("node {node} completed its planned stop"));
            self.nodes[node].state = NodeState::Left;
            self.nodes[node].state_since = self.now;
            let instance = self.nodes[node].instance;
            self.schedule(self.now + RESTART_MS, SimEvent::Restart(instance));
        }
    }

    /// Returns whether a node takes another one, or itself, for live.
    pub(crate) fn appears_live(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        if from == to {
            return a.state == NodeState::Up;
        }
        let last_seen_at = match b.state {
            NodeState::Left | NodeState::Leaving => return false,
            NodeState::Killed => b.state_since,
            NodeState::Up if b.paused_until > self.now => b.paused_since,
            NodeState::Up => u64::MAX,
        };
        self.now < last_seen_at.saturating_add(UNRESPONSIVE_AFTER_MS)
            && self.zones_connected(a.zone, b.zone)
    }

    /// Returns whether the others remember a node although it is not live.
    fn is_remembered(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        match node.state {
            NodeState::Up | NodeState::Leaving => true,
            NodeState::Left | NodeState::Killed => self.now < node.state_since + FORGET_AFTER_MS,
        }
    }

    pub(crate) fn update_members(&mut self) {
        let ids = |keep: fn(&NodeState) -> bool| -> Vec<String> {
            let nodes = self.nodes.iter().filter(|n| keep(&n.state));
            nodes.map(|n| n.id.clone()).collect()
        };
        let present = ids(|s| matches!(s, NodeState::Up | NodeState::Leaving));
        let left = ids(|s| *s == NodeState::Left);
        for node in 0..self.nodes.len() {
            let me = &self.nodes[node];
            let is_running = matches!(me.state, NodeState::Up | NodeState::Leaving);
            if !is_running || me.paused_until > self.now {
                continue;
            }
            let live: Vec<usize> = (0..self.nodes.len())
                .filter(|n| self.appears_live(node, *n))
                .collect();
            let unresponsive: BTreeSet<usize> = (0..self.nodes.len())
                .filter(|n| !live.contains(n) && self.nodes[*n].state != NodeState::Leaving)
                .collect();
            let newly_unresponsive: Vec<usize> = unresponsive
                .difference(&self.nodes[node].unresponsive)
                .copied()
                .filter(|n| *n != node)
                .collect();
            let is_absent = |n: &usize| !live.contains(n) && self.is_remembered(*n);
            let absent = (0..self.nodes.len()).filter(is_absent);
            let to_candidate = |n: usize| Candidate {
                id: self.nodes[n].id.clone(),
                zone: self.nodes[n].zone.to_string(),
            };
            let absent = absent.map(to_candidate).collect();
            let live = live.into_iter().map(to_candidate).collect();
            self.nodes[node].unresponsive = unresponsive;
            self.nodes[node].manager.set_members(live, absent);
            self.nodes[node]
                .manager
                .set_presence(self.now, &present, &left);
            for other in newly_unresponsive {
                let instance = self.nodes[other].id.clone();
                let event = Event::InstanceUnresponsive { instance };
                let actions = self.nodes[node].manager.step_all(self.now, &event);
                for action in actions {
                    self.run_action(node, action);
                }
            }
        }
        let is_long = self.trace.length_ms > LONG_TRACE_MS;
        if !is_long || self.now % LONG_TRACE_CHECK_MS == 0 {
            self.record_overspend();
        }
    }

    pub(crate) fn record_overspend(&mut self) {
        for account in 0..self.trace.budgets.len() {
            let (total, served) = (self.budget_total(account), self.tokens_served(account));
            let excess = served.saturating_sub(total);
            self.stats.overspend = self.stats.overspend.max(excess);
        }
    }

    /// Returns the sum of an account's top-ups that are on record.
    pub fn budget_total(&self, account: usize) -> u64 {
        let name = self.account_name(account);
        let accounts = self
            .platform
            .records()
            .filter_map(|r| r.accounts.get(&name));
        accounts.map(|a| a.total()).sum()
    }

    /// Returns the tokens that engines have served to an account.
    pub fn tokens_served(&self, account: usize) -> u64 {
        let own = self.attempts.iter().filter(|a| a.account == account);
        own.map(|a| a.tokens_served(self.now)).sum()
    }

    pub(crate) fn top_up(&mut self, account: usize, tokens: u64, zone: usize) {
        let accepts =
            |n: &Node| n.state == NodeState::Up && n.zone == zone && n.paused_until <= self.now;
        let Some(node) = self.nodes.iter().position(accepts) else {
            return;
        };
        self.top_up_count += 1;
        let id = format!("t{}", self.top_up_count);
        let name = self.account_name(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let reply_to = self.expect_reply(node, PendingReply::Operator);
        let command = OperatorCommand::TopUp { id, tokens };
        let account = name;
        self.step_shard(
            node,
            shard,
            Event::Operator {
                reply_to,
                account,
                command,
            },
        );
    }

    pub(crate) fn expect_reply(&mut self, node: usize, reply: PendingReply) -> u64 {
        let node = &mut self.nodes[node];
        let id = node.next_reply_id;
        node.next_reply_id += 1;
        node.pending_replies.insert(id, reply);
        id
    }

    /// Returns the unspent tokens of holders that were killed or have left.
    ///
    /// The unopened part of a joint grant counts only if its witness is gone, too: otherwise the
    /// witness returns it to the record.
    pub fn stranded_tokens(&self) -> u64 {
        let gone = |h: &str| {
            let node = self.nodes.iter().find(|n| n.id == h);
            node.is_none_or(|n| matches!(n.state, NodeState::Killed | NodeState::Left))
        };
        let mut sum = 0;
        for account in self.platform.records().flat_map(|r| r.accounts.values()) {
            let holders = account.ledger.keys().filter(|h| gone(h));
            sum += holders.map(|h| account.unspent(h)).sum::<u64>();
            let joint_grants = account.joint_grants.iter().filter(|(k, _)| {
                let parts = budget::record::parse_joint_key(k);
                parts.is_some_and(|(h, w)| gone(h) && gone(w))
            });
            sum += joint_grants.map(|(_, j)| j.granted - j.opened).sum::<u64>();
        }
        sum
    }
}
