//! Callers and entries: requests, reservations, runs at engines and settlements.

use budget::msg::{AttemptRef, ReserveRequest};
use budget::placement::{self, Candidate};
use budget::{Event, ReserveReply, Settlement};
use rand::Rng;

use crate::item::{Ask, Item};
use crate::node::{Node, NodeState};
use crate::policy::HomeSelection;
use crate::request::{Attempt, Phase, Request, RequestContext, RequestState};
use crate::simulation::{run_at, Simulation, HOME_WAIT, RPC_TIMEOUT, SHARDS};

impl Simulation {
    pub(crate) fn arrive(&mut self, i: usize) {
        let arrival = self.trace.arrivals[i];
        self.stats.requests += 1;
        let request = self.requests.len();
        self.requests.push(Request {
            id: format!("r{i}"),
            account: arrival.account,
            prompt_tokens: arrival.prompt_tokens,
            response_tokens: arrival.response_tokens,
            max_cost: arrival.prompt_tokens + arrival.max_response_tokens,
            state: RequestState::InProgress,
        });
        self.begin(request);
    }

    /// Starts an entry's work on a request, at an instance that the balancer picks.
    pub(crate) fn begin(&mut self, request: usize) {
        let takes = |n: &Node| n.state == NodeState::Up && n.paused_until <= self.now;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| takes(&self.nodes[*n]))
            .collect();
        if up.is_empty() {
            self.requests[request].state = RequestState::Lost;
            return;
        }
        let entry = up[self.rng.random_range(0..up.len())];
        let homes = self.homes(entry, self.requests[request].account);
        let job = self.jobs.len();
        self.jobs.push(RequestContext {
            request,
            entry,
            homes,
            home_index: 0,
            phase: Phase::Reserving,
            hold: None,
            attempt: None,
            phase_started_at: self.now,
            rounds: 0,
            attempt_ref: AttemptRef::default(),
        });
        self.ask_home(job);
    }

    pub(crate) fn homes(&self, entry: usize, account: usize) -> Vec<usize> {
        if self.policy.home_selection() == HomeSelection::Local {
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
        let shard = placement::shard_of(&self.account(account), SHARDS);
        let own = self.nodes[entry].zone.to_string();
        let mut order = placement::home_and_standbys(shard, &candidates);
        match self.policy.home_selection() {
            HomeSelection::OwnZone => order.sort_by_key(|c| c.zone != own),
            _ if order.len() > 1 => order[1..].sort_by_key(|c| c.zone != own),
            _ => {}
        }
        let find = |c: &Candidate| self.nodes.iter().position(|n| n.id == c.id);
        order.into_iter().filter_map(find).collect()
    }

    pub(crate) fn ask_home(&mut self, job: usize) {
        let tries = self.jobs[job].home_index;
        let entry = self.jobs[job].entry;
        // A home that is given up may still probe the run that it was told of.
        let id = &self.requests[self.jobs[job].request].id;
        self.jobs[job].attempt_ref = run_at(id, job, tries);
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

    pub(crate) fn reserve(&mut self, node: usize, job: usize, tries: usize) {
        let request = &self.requests[self.jobs[job].request];
        let account = self.account(request.account);
        let req = ReserveRequest {
            account: account.clone(),
            request_id: request.id.clone(),
            body_hash: 1,
            entry: self.nodes[self.jobs[job].entry].id.clone(),
            attempt: run_at(&request.id, job, tries),
            tokens: request.max_cost,
            weight: 25,
        };
        let ask = self.ask(node, Ask::Reserve { job, tries });
        let shard = self.nodes[node].manager.shard_of(&account);
        let deadline = self.now + HOME_WAIT;
        self.step(
            node,
            shard,
            Event::Reserve {
                reply_to: ask,
                request: req,
                deadline,
            },
        );
    }

    pub(crate) fn reserve_late(&mut self, job: usize, tries: usize) {
        let waits = self.jobs[job].phase == Phase::Reserving && self.jobs[job].home_index == tries;
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
        self.jobs[job].home_index += 1;
        self.ask_home(job);
    }

    pub(crate) fn void(&mut self, node: usize, job: usize, left: u32) {
        let entry = self.jobs[job].entry;
        if self.hop(entry, node).is_none() || self.nodes[entry].state == NodeState::Killed {
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
            request_id: request.id.clone(),
            entry: self.nodes[entry].id.clone(),
        };
        let shard = self.nodes[node].manager.shard_of(&account);
        self.step(node, shard, event);
    }

    pub(crate) fn reply(&mut self, job: usize, tries: usize, reply: ReserveReply) {
        let waits = self.jobs[job].phase == Phase::Reserving && self.jobs[job].home_index == tries;
        if !waits {
            return;
        }
        let took = self.now - self.jobs[job].phase_started_at;
        self.stats.reserve_ms.push(took);
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
                attempt: at,
                billed,
            } => {
                self.jobs[job].hold = Some((holder, hold));
                self.jobs[job].attempt = self.run_names.get(&at.id).copied();
                self.jobs[job].attempt_ref = at;
                if self.jobs[job].attempt.is_none() {
                    // Reserved, and never sent as far as known: in progress elsewhere.
                    self.jobs[job].phase = Phase::Ended;
                    let request = self.jobs[job].request;
                    self.put(self.now + 3_000, Item::Comeback { request });
                    return;
                }
                if billed.is_some() {
                    self.end(job, RequestState::Served);
                    return;
                }
                self.jobs[job].phase = Phase::Running;
                let ends = self.jobs[job]
                    .attempt
                    .map_or(self.now, |r| self.attempts[r].ends_at());
                self.put(ends.max(self.now), Item::EngineEnd { job });
            }
            other => self.refuse(job, &other),
        }
    }

    pub(crate) fn dispatch(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Running;
        let name = self.jobs[job].attempt_ref.id.clone();
        if self.tombstones.contains(&name) {
            self.put(self.now, Item::EngineEnd { job });
            return;
        }
        let request = &self.requests[self.jobs[job].request];
        let run = Attempt {
            request: self.jobs[job].request,
            account: request.account,
            started_at: self.now,
            prompt_tokens: request.prompt_tokens,
            response_tokens: request.response_tokens,
            cancelled_at: None,
            max_cost: request.max_cost,
        };
        let ends = run.ends_at();
        self.jobs[job].attempt = Some(self.attempts.len());
        self.run_names.insert(name, self.attempts.len());
        self.attempts.push(run);
        self.put(ends, Item::EngineEnd { job });
    }

    pub(crate) fn refuse(&mut self, job: usize, reply: &ReserveReply) {
        let request = self.jobs[job].request;
        let bound = self.requests[request].max_cost;
        let account = self.requests[request].account;
        self.stats.refused += 1;
        let is_false = self.remainder(account) >= bound;
        self.stats.false_refusals += u64::from(is_false);
        self.note(|| format!("request {request} of c{account}: {reply:?}, false {is_false}"));
        self.end(job, RequestState::Refused);
    }

    /// Returns what remains of a budget to one who knows everything.
    pub(crate) fn remainder(&self, account: usize) -> u64 {
        let now = self.now;
        let own = self.attempts.iter().filter(|r| r.account == account);
        let taken = |r: &Attempt| {
            if r.ends_at() > now {
                r.max_cost
            } else {
                r.tokens_served(now)
            }
        };
        let taken: u64 = own.map(taken).sum();
        self.budget_total(account).saturating_sub(taken)
    }

    pub(crate) fn end(&mut self, job: usize, fate: RequestState) {
        self.jobs[job].phase = Phase::Ended;
        let request = self.jobs[job].request;
        if self.requests[request].state == RequestState::InProgress || fate == RequestState::Served
        {
            self.requests[request].state = fate;
        }
    }

    pub(crate) fn engine_end(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Running {
            return;
        }
        self.jobs[job].phase = Phase::Settling;
        self.jobs[job].phase_started_at = self.now;
        self.settle_round(job, 0);
    }

    /// Sends a bill to its home, and from the second round on to others besides.
    pub(crate) fn settle_round(&mut self, job: usize, round: usize) {
        if self.jobs[job].phase != Phase::Settling {
            return;
        }
        let Some((holder, hold)) = self.jobs[job].hold.clone() else {
            return;
        };
        let request = &self.requests[self.jobs[job].request];
        let tokens = self.jobs[job]
            .attempt
            .map_or(0, |r| self.attempts[r].tokens_served(self.now));
        let post = Settlement {
            holder: holder.clone(),
            hold,
            request_id: request.id.clone(),
            tokens,
            billed: tokens > 0,
            body_hash: 1,
            attempt: self.jobs[job].attempt_ref.clone(),
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

    pub(crate) fn settle(&mut self, node: usize, job: usize, post: Settlement) {
        let account = self.account(self.requests[self.jobs[job].request].account);
        let ask = Some(self.ask(node, Ask::Settle { job }));
        let shard = self.nodes[node].manager.shard_of(&account);
        let event = Event::Settle {
            reply_to: ask,
            account,
            settlement: post,
            unconfirmed: Vec::new(),
        };
        self.step(node, shard, event);
    }

    pub(crate) fn settled(&mut self, job: usize) {
        let request = self.jobs[job].request;
        self.note(|| format!("r{request} job {job} settled"));
        if self.jobs[job].phase == Phase::Settling {
            self.stats
                .settle_ms
                .push(self.now - self.jobs[job].phase_started_at);
            let ran = self.jobs[job].attempt.is_some();
            self.end(
                job,
                if ran {
                    RequestState::Served
                } else {
                    RequestState::Lost
                },
            );
        }
    }
}
