//! Callers and entries: requests, reservations, runs at engines and settlements.

use budget::msg::{AttemptRef, ReserveRequest};
use budget::placement::{self, Candidate};
use budget::{Event, ReserveReply, Settlement};
use rand::Rng;

use crate::item::{Ask, Item};
use crate::job::{Fate, Job, Phase, Request, Run};
use crate::node::{Node, State};
use crate::policy::Asks;
use crate::world::{run_at, World, HOME_WAIT, RPC_TIMEOUT, SHARDS};

impl World {
    pub(crate) fn arrive(&mut self, i: usize) {
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
    pub(crate) fn begin(&mut self, request: usize) {
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
            at: AttemptRef::default(),
        });
        self.ask_home(job);
    }

    pub(crate) fn homes(&self, entry: usize, account: usize) -> Vec<usize> {
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
        let shard = placement::shard_of(&self.account(account), SHARDS);
        let own = self.nodes[entry].zone.to_string();
        let mut order = placement::home_and_standbys(shard, &candidates);
        match self.policy.asks() {
            Asks::OwnZone => order.sort_by_key(|c| c.zone != own),
            _ if order.len() > 1 => order[1..].sort_by_key(|c| c.zone != own),
            _ => {}
        }
        let find = |c: &Candidate| self.nodes.iter().position(|n| n.id == c.id);
        order.into_iter().filter_map(find).collect()
    }

    pub(crate) fn ask_home(&mut self, job: usize) {
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

    pub(crate) fn reserve(&mut self, node: usize, job: usize, tries: usize) {
        let request = &self.requests[self.jobs[job].request];
        let account = self.account(request.account);
        let req = ReserveRequest {
            account: account.clone(),
            request_id: request.id.clone(),
            body_hash: 1,
            entry: self.nodes[self.jobs[job].entry].id.clone(),
            attempt: run_at(&request.id, job, tries),
            tokens: request.bound,
            weight: 25,
        };
        let ask = self.ask(node, Ask::Reserve { job, tries });
        let shard = self.nodes[node].bank.shard_of(&account);
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

    pub(crate) fn void(&mut self, node: usize, job: usize, left: u32) {
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
            request_id: request.id.clone(),
            entry: self.nodes[entry].id.clone(),
        };
        let shard = self.nodes[node].bank.shard_of(&account);
        self.step(node, shard, event);
    }

    pub(crate) fn reply(&mut self, job: usize, tries: usize, reply: ReserveReply) {
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
                attempt: at,
                billed,
            } => {
                self.jobs[job].hold = Some((holder, hold));
                self.jobs[job].run = self.run_names.get(&at.id).copied();
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

    pub(crate) fn dispatch(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Running;
        let name = self.jobs[job].at.id.clone();
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

    pub(crate) fn refuse(&mut self, job: usize, reply: &ReserveReply) {
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
    pub(crate) fn remainder(&self, account: usize) -> u64 {
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

    pub(crate) fn end(&mut self, job: usize, fate: Fate) {
        self.jobs[job].phase = Phase::Ended;
        let request = self.jobs[job].request;
        if self.requests[request].fate == Fate::Open || fate == Fate::Served {
            self.requests[request].fate = fate;
        }
    }

    pub(crate) fn engine_end(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Running {
            return;
        }
        self.jobs[job].phase = Phase::Settling;
        self.jobs[job].since = self.now;
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
            .run
            .map_or(0, |r| self.runs[r].served(self.now));
        let post = Settlement {
            holder: holder.clone(),
            hold,
            request_id: request.id.clone(),
            tokens,
            billed: tokens > 0,
            body_hash: 1,
            attempt: self.jobs[job].at.clone(),
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
        let shard = self.nodes[node].bank.shard_of(&account);
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
            self.tally.settle_ms.push(self.now - self.jobs[job].since);
            let ran = self.jobs[job].run.is_some();
            self.end(job, if ran { Fate::Served } else { Fate::Lost });
        }
    }
}
