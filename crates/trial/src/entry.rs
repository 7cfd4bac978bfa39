//! Requests at their entries: reservations, attempts at engines and settlements.

use budget::msg::{AttemptRef, ReserveRequest};
use budget::placement::{self, Candidate};
use budget::{Event, ReserveReply, Settlement};
use rand::Rng;

use crate::node::{Node, NodeState};
use crate::policy::HomeSelection;
use crate::request::{Attempt, Phase, Request, RequestContext, RequestState};
use crate::sim_event::{PendingReply, SimEvent};
use crate::simulation::{attempt_ref, Simulation, PEER_TIMEOUT_MS, SHARDS, TOKEN_WAIT_MS};

impl Simulation {
    pub(crate) fn on_arrival(&mut self, i: usize) {
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
        self.start_request(request);
    }

    /// Starts a request at a random instance, as a load balancer in front of the fleet would.
    pub(crate) fn start_request(&mut self, request: usize) {
        let accepts = |n: &Node| n.state == NodeState::Up && n.paused_until <= self.now;
        let accepting: Vec<usize> = (0..self.nodes.len())
            .filter(|n| accepts(&self.nodes[*n]))
            .collect();
        if accepting.is_empty() {
            self.requests[request].state = RequestState::Lost;
            return;
        }
        let entry = accepting[self.rng.random_range(0..accepting.len())];
        let homes = self.home_order(entry, self.requests[request].account);
        let cx = self.contexts.len();
        self.contexts.push(RequestContext {
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
        self.request_reservation(cx);
    }

    pub(crate) fn home_order(&self, entry: usize, account: usize) -> Vec<usize> {
        if self.policy.home_selection() == HomeSelection::Local {
            return vec![entry];
        }
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.appears_live(entry, *n))
            .collect();
        let candidates: Vec<Candidate> = live
            .iter()
            .map(|n| Candidate {
                id: self.nodes[*n].id.clone(),
                zone: self.nodes[*n].zone.to_string(),
            })
            .collect();
        let shard = placement::shard_of(&self.account_name(account), SHARDS);
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

    pub(crate) fn request_reservation(&mut self, cx: usize) {
        let home_index = self.contexts[cx].home_index;
        let entry = self.contexts[cx].entry;
        // Each home is told of another attempt: one that was given up may still cancel its own.
        let id = &self.requests[self.contexts[cx].request].id;
        self.contexts[cx].attempt_ref = attempt_ref(id, cx, home_index);
        let Some(home) = self.contexts[cx].homes.get(home_index).copied() else {
            let reply = ReserveReply::OutOfReach { retry_ms: 2_000 };
            self.refuse(cx, &reply);
            return;
        };
        if let Some(latency_ms) = self.latency(entry, home) {
            let node = home;
            self.schedule(
                self.now + latency_ms,
                SimEvent::Reserve {
                    node,
                    cx,
                    home_index,
                },
            );
        }
        self.schedule(
            self.now + PEER_TIMEOUT_MS,
            SimEvent::ReserveTimeout { cx, home_index },
        );
    }

    pub(crate) fn on_reserve(&mut self, node: usize, cx: usize, home_index: usize) {
        let request = &self.requests[self.contexts[cx].request];
        let account = self.account_name(request.account);
        let reserve_request = ReserveRequest {
            account: account.clone(),
            request_id: request.id.clone(),
            body_hash: 1,
            entry: self.nodes[self.contexts[cx].entry].id.clone(),
            attempt: attempt_ref(&request.id, cx, home_index),
            tokens: request.max_cost,
            weight: 25,
        };
        let reply_to = self.expect_reply(node, PendingReply::Reserve { cx, home_index });
        let shard = self.nodes[node].manager.shard_of(&account);
        let deadline = self.now + TOKEN_WAIT_MS;
        self.step_shard(
            node,
            shard,
            Event::Reserve {
                reply_to,
                request: reserve_request,
                deadline,
            },
        );
    }

    pub(crate) fn on_reserve_timeout(&mut self, cx: usize, home_index: usize) {
        let is_waiting = self.contexts[cx].phase == Phase::Reserving
            && self.contexts[cx].home_index == home_index;
        if !is_waiting {
            return;
        }
        let node = self.contexts[cx].homes[home_index];
        self.schedule(
            self.now,
            SimEvent::Void {
                node,
                cx,
                retries_left: 60,
            },
        );
        self.contexts[cx].home_index += 1;
        self.request_reservation(cx);
    }

    pub(crate) fn send_void(&mut self, node: usize, cx: usize, retries_left: u32) {
        let entry = self.contexts[cx].entry;
        if self.latency(entry, node).is_none() || self.nodes[entry].state == NodeState::Killed {
            if retries_left > 0 {
                let retries_left = retries_left - 1;
                self.schedule(
                    self.now + 1_000,
                    SimEvent::Void {
                        node,
                        cx,
                        retries_left,
                    },
                );
            }
            return;
        }
        let request = &self.requests[self.contexts[cx].request];
        let account = self.account_name(request.account);
        let event = Event::Void {
            account: account.clone(),
            request_id: request.id.clone(),
            entry: self.nodes[entry].id.clone(),
        };
        let shard = self.nodes[node].manager.shard_of(&account);
        self.step_shard(node, shard, event);
    }

    pub(crate) fn on_reserve_reply(&mut self, cx: usize, home_index: usize, reply: ReserveReply) {
        let is_waiting = self.contexts[cx].phase == Phase::Reserving
            && self.contexts[cx].home_index == home_index;
        if !is_waiting {
            return;
        }
        let elapsed = self.now - self.contexts[cx].phase_started_at;
        self.stats.reserve_ms.push(elapsed);
        let (request, entry) = (self.contexts[cx].request, self.contexts[cx].entry);
        self.log(|| format!("r{request}, context {cx} at node {entry}: {reply:?}"));
        match reply {
            ReserveReply::Held { holder, hold } => {
                self.contexts[cx].hold = Some((holder, hold));
                self.start_attempt(cx);
            }
            ReserveReply::Exists {
                holder,
                hold,
                attempt: attempt_ref,
                billed,
            } => {
                self.contexts[cx].hold = Some((holder, hold));
                self.contexts[cx].attempt = self.attempts_by_id.get(&attempt_ref.id).copied();
                self.contexts[cx].attempt_ref = attempt_ref;
                if self.contexts[cx].attempt.is_none() {
                    // The request is reserved, but no attempt of it has started as far as known:
                    // another entry is taken to be working on it.
                    self.contexts[cx].phase = Phase::Ended;
                    let request = self.contexts[cx].request;
                    self.schedule(self.now + 3_000, SimEvent::CallerRetry { request });
                    return;
                }
                if billed.is_some() {
                    self.finish_request(cx, RequestState::Served);
                    return;
                }
                self.contexts[cx].phase = Phase::Running;
                let ends_at = self.contexts[cx]
                    .attempt
                    .map_or(self.now, |a| self.attempts[a].ends_at());
                self.schedule(ends_at.max(self.now), SimEvent::AttemptEnd { cx });
            }
            other => self.refuse(cx, &other),
        }
    }

    pub(crate) fn start_attempt(&mut self, cx: usize) {
        self.contexts[cx].phase = Phase::Running;
        let id = self.contexts[cx].attempt_ref.id.clone();
        if self.cancelled_before_start.contains(&id) {
            self.schedule(self.now, SimEvent::AttemptEnd { cx });
            return;
        }
        let request = &self.requests[self.contexts[cx].request];
        let attempt = Attempt {
            request: self.contexts[cx].request,
            account: request.account,
            started_at: self.now,
            prompt_tokens: request.prompt_tokens,
            response_tokens: request.response_tokens,
            cancelled_at: None,
            max_cost: request.max_cost,
        };
        let ends_at = attempt.ends_at();
        self.contexts[cx].attempt = Some(self.attempts.len());
        self.attempts_by_id.insert(id, self.attempts.len());
        self.attempts.push(attempt);
        self.schedule(ends_at, SimEvent::AttemptEnd { cx });
    }

    pub(crate) fn refuse(&mut self, cx: usize, reply: &ReserveReply) {
        let request = self.contexts[cx].request;
        let max_cost = self.requests[request].max_cost;
        let account = self.requests[request].account;
        self.stats.refused += 1;
        let is_false = self.remaining_budget(account) >= max_cost;
        self.stats.false_refusals += u64::from(is_false);
        self.log(|| {
            format!("r{request} of c{account} refused: {reply:?}, false refusal: {is_false}")
        });
        self.finish_request(cx, RequestState::Refused);
    }

    /// Returns the tokens of a budget that are not spent, wherever they are.
    ///
    /// Running attempts count with the most that they can cost. No instance can compute this, since
    /// none knows of all attempts.
    pub(crate) fn remaining_budget(&self, account: usize) -> u64 {
        let now = self.now;
        let own = self.attempts.iter().filter(|a| a.account == account);
        let spent = |a: &Attempt| {
            if a.ends_at() > now {
                a.max_cost
            } else {
                a.tokens_served(now)
            }
        };
        let spent: u64 = own.map(spent).sum();
        self.budget_total(account).saturating_sub(spent)
    }

    pub(crate) fn finish_request(&mut self, cx: usize, state: RequestState) {
        self.contexts[cx].phase = Phase::Ended;
        let request = self.contexts[cx].request;
        if self.requests[request].state == RequestState::InProgress || state == RequestState::Served
        {
            self.requests[request].state = state;
        }
    }

    pub(crate) fn on_attempt_end(&mut self, cx: usize) {
        if self.contexts[cx].phase != Phase::Running {
            return;
        }
        self.contexts[cx].phase = Phase::Settling;
        self.contexts[cx].phase_started_at = self.now;
        self.send_settlement(cx, 0);
    }

    /// Sends a settlement to the holder of the hold and, from the second round on, also to the home
    /// and the standbys of the account.
    pub(crate) fn send_settlement(&mut self, cx: usize, round: usize) {
        if self.contexts[cx].phase != Phase::Settling {
            return;
        }
        let Some((holder, hold)) = self.contexts[cx].hold.clone() else {
            return;
        };
        let request = &self.requests[self.contexts[cx].request];
        let tokens = self.contexts[cx]
            .attempt
            .map_or(0, |a| self.attempts[a].tokens_served(self.now));
        let settlement = Settlement {
            holder: holder.clone(),
            hold,
            request_id: request.id.clone(),
            tokens,
            billed: tokens > 0,
            body_hash: 1,
            attempt: self.contexts[cx].attempt_ref.clone(),
            at_ms: self.now,
        };
        let entry = self.contexts[cx].entry;
        let mut targets: Vec<usize> = self
            .nodes
            .iter()
            .position(|n| n.id == holder)
            .into_iter()
            .collect();
        if round >= 1 {
            targets.extend(self.home_order(entry, request.account));
        }
        for node in targets {
            if let Some(latency_ms) = self.latency(entry, node) {
                let settlement = settlement.clone();
                self.schedule(
                    self.now + latency_ms,
                    SimEvent::Settle {
                        node,
                        cx,
                        settlement,
                    },
                );
            }
        }
        let round = round + 1;
        self.schedule(
            self.now + PEER_TIMEOUT_MS,
            SimEvent::SettleRound { cx, round },
        );
    }

    pub(crate) fn on_settle(&mut self, node: usize, cx: usize, settlement: Settlement) {
        let account = self.account_name(self.requests[self.contexts[cx].request].account);
        let reply_to = Some(self.expect_reply(node, PendingReply::Settle { cx }));
        let shard = self.nodes[node].manager.shard_of(&account);
        let event = Event::Settle {
            reply_to,
            account,
            settlement,
            unconfirmed: Vec::new(),
        };
        self.step_shard(node, shard, event);
    }

    pub(crate) fn on_settled(&mut self, cx: usize) {
        let request = self.contexts[cx].request;
        self.log(|| format!("r{request}, context {cx} settled"));
        if self.contexts[cx].phase == Phase::Settling {
            self.stats
                .settle_ms
                .push(self.now - self.contexts[cx].phase_started_at);
            let was_started = self.contexts[cx].attempt.is_some();
            self.finish_request(
                cx,
                if was_started {
                    RequestState::Served
                } else {
                    RequestState::Lost
                },
            );
        }
    }
}
