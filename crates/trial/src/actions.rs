//! Actions that the state machines ask for: platform calls and messages between instances.

use budget::{Action, Event, Settlement, ShardAction};
use rand::Rng;

use crate::node::NodeState;
use crate::sim_event::{PendingReply, PlatformCall, SimEvent};
use crate::simulation::{Simulation, PEER_TIMEOUT_MS, PLATFORM_TIMEOUT_MS};

impl Simulation {
    /// Returns the time that a message takes between two nodes, in milliseconds; `None` if they
    /// cannot reach each other.
    pub(crate) fn latency(&self, from: usize, to: usize) -> Option<u64> {
        let (a, b) = (self.nodes[from].zone, self.nodes[to].zone);
        let ms = if a == b {
            0
        } else {
            self.trace.zone_latency_ms
        };
        self.zones_connected(a, b).then_some(ms)
    }

    pub(crate) fn on_recall(&mut self, node: usize, from: usize, account: usize, tokens: u64) {
        let name = self.account_name(account);
        let to = self.nodes[from].id.clone();
        let reply_to = self.expect_reply(node, PendingReply::Recall { from, account });
        let shard = self.nodes[node].manager.shard_of(&name);
        let event = Event::Recall {
            reply_to,
            account: name,
            to,
            tokens,
        };
        self.step_shard(node, shard, event);
    }

    pub(crate) fn on_recall_reply(
        &mut self,
        node: usize,
        from: usize,
        account: usize,
        total_sent: Option<u64>,
        recall_id: u64,
    ) {
        // Only the first of the reply and the timeout counts.
        if self.open_recalls.remove(&recall_id).is_none() {
            return;
        }
        let name = self.account_name(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let event = Event::RecallReply {
            account: name,
            from: self.nodes[from].id.clone(),
            total_sent,
        };
        self.step_shard(node, shard, event);
    }

    pub(crate) fn on_store_copy(
        &mut self,
        node: usize,
        from: usize,
        account: usize,
        settlement: Settlement,
    ) {
        let name = self.account_name(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let hold = settlement.hold;
        let account = name.clone();
        self.step_shard(
            node,
            shard,
            Event::StoreCopy {
                account,
                settlement,
            },
        );
        if let Some(latency_ms) = self.latency(node, from) {
            let event = Event::CopyStored {
                account: name,
                hold,
            };
            let node = from;
            self.schedule(
                self.now + latency_ms,
                SimEvent::ShardEvent { node, shard, event },
            );
        }
    }

    pub(crate) fn account_index(name: &str) -> usize {
        name[1..]
            .parse()
            .expect("account names are a letter and a number")
    }

    pub(crate) fn run_action(&mut self, node: usize, action: ShardAction) {
        let shard = action.shard;
        match action.action {
            Action::ReadRecord => self.call_platform(node, shard, PlatformCall::ReadRecord),
            Action::WriteRecord {
                base_revision,
                record,
            } => self.call_platform(
                node,
                shard,
                PlatformCall::WriteRecord {
                    base_revision,
                    record,
                },
            ),
            Action::ReadSegment { name } => {
                let name = format!("{shard}/{name}");
                self.call_platform(node, shard, PlatformCall::ReadSegment { name });
            }
            Action::WriteSegment { name, segment } => {
                let name = format!("{shard}/{name}");
                self.call_platform(node, shard, PlatformCall::WriteSegment { name, segment });
            }
            Action::ReserveReply { reply_to, reply } => {
                if let Some(PendingReply::Reserve { cx, home_index }) =
                    self.nodes[node].pending_replies.remove(&reply_to)
                {
                    if let Some(latency_ms) = self.latency(node, self.contexts[cx].entry) {
                        self.schedule(
                            self.now + latency_ms,
                            SimEvent::ReserveReply {
                                cx,
                                home_index,
                                reply,
                            },
                        );
                    }
                }
            }
            Action::SettleReply { reply_to, .. } => {
                if let Some(PendingReply::Settle { cx }) =
                    self.nodes[node].pending_replies.remove(&reply_to)
                {
                    if let Some(latency_ms) = self.latency(node, self.contexts[cx].entry) {
                        self.schedule(self.now + latency_ms, SimEvent::Settled { cx });
                    }
                }
            }
            Action::RecallReply {
                reply_to,
                total_sent,
            } => {
                if let Some(PendingReply::Recall { from, account }) =
                    self.nodes[node].pending_replies.remove(&reply_to)
                {
                    self.send_recall_reply(node, from, account, total_sent);
                }
            }
            Action::OperatorReply { reply_to, .. } => {
                self.nodes[node].pending_replies.remove(&reply_to);
            }
            Action::Recall {
                account,
                from,
                tokens,
            } => self.send_recall(node, &account, &from, tokens),
            Action::OpenStep {
                account,
                witness,
                key,
                up_to,
            } => self.send_open_step(node, shard, account, &witness, key, up_to),
            Action::StepReply {
                reply_to,
                total_opened,
            } => {
                if let Some(PendingReply::OpenStep { from, account, key }) =
                    self.nodes[node].pending_replies.remove(&reply_to)
                {
                    if let Some(latency_ms) = self.latency(node, from) {
                        let event = Event::StepReply {
                            account: self.account_name(account),
                            key,
                            total_opened: Some(total_opened),
                        };
                        let node = from;
                        self.schedule(
                            self.now + latency_ms,
                            SimEvent::ShardEvent { node, shard, event },
                        );
                    }
                }
            }
            Action::SendCopy {
                account,
                settlement,
            } => {
                let zone = self.nodes[node].zone;
                let other = (0..self.nodes.len())
                    .find(|n| self.nodes[*n].zone != zone && self.appears_live(node, *n));
                let to = other.and_then(|to| Some((to, self.latency(node, to)?)));
                if let Some((to, latency_ms)) = to {
                    let event = SimEvent::StoreCopy {
                        node: to,
                        from: node,
                        account: Self::account_index(&account),
                        settlement,
                    };
                    self.schedule(self.now + latency_ms, event);
                }
            }
            Action::CancelAttempt {
                account,
                hold,
                attempt,
            } => {
                let tokens = self.cancel_attempt(&attempt.id);
                let event = Event::UsageReported {
                    account,
                    hold,
                    tokens,
                    at_ms: self.now,
                };
                self.schedule(self.now + 2, SimEvent::ShardEvent { node, shard, event });
            }
            Action::DetachReply { .. } | Action::Warn(_) => {}
        }
    }

    pub(crate) fn cancel_attempt(&mut self, id: &str) -> u64 {
        self.log(|| format!("{id} cancelled"));
        let Some(index) = self.attempts_by_id.get(id) else {
            self.cancelled_before_start.insert(id.to_string());
            return 0;
        };
        let attempt = &mut self.attempts[*index];
        attempt.cancelled_at.get_or_insert(self.now);
        attempt.tokens_served(self.now)
    }

    /// Sends the reply to a recall.
    ///
    /// The reply is matched with the oldest open recall between the two nodes, whatever its account.
    /// The number of tokens is cumulative, so a lost reply does no harm.
    pub(crate) fn send_recall_reply(
        &mut self,
        node: usize,
        to: usize,
        account: usize,
        total_sent: u64,
    ) {
        let open = self
            .open_recalls
            .iter()
            .find(|(_, pair)| **pair == node * 1_000 + to);
        let Some(recall_id) = open.map(|(id, _)| *id) else {
            return;
        };
        if let Some(latency_ms) = self.latency(node, to) {
            let event = SimEvent::RecallReply {
                node: to,
                from: node,
                account,
                total_sent: Some(total_sent),
                recall_id,
            };
            self.schedule(self.now + latency_ms, event);
        }
    }

    pub(crate) fn send_open_step(
        &mut self,
        node: usize,
        shard: u32,
        account: String,
        witness: &str,
        key: String,
        up_to: u64,
    ) {
        let to = self.nodes.iter().position(|n| n.id == witness);
        let to = to.expect("witness is a known node");
        if let Some(latency_ms) = self.latency(node, to) {
            let event = SimEvent::OpenStep {
                node: to,
                from: node,
                account: Self::account_index(&account),
                key: key.clone(),
                up_to,
            };
            self.schedule(self.now + latency_ms, event);
        }
        // No answer is expected, so the request times out. Should a leaving witness answer
        // nevertheless, the timeout has no effect unless the next step is pending by then.
        if self.nodes[to].state != NodeState::Up || self.latency(node, to).is_none() {
            let event = Event::StepReply {
                account,
                key,
                total_opened: None,
            };
            self.schedule(
                self.now + PEER_TIMEOUT_MS,
                SimEvent::ShardEvent { node, shard, event },
            );
        }
    }

    pub(crate) fn on_open_step(
        &mut self,
        node: usize,
        from: usize,
        account: usize,
        key: String,
        up_to: u64,
    ) {
        let name = self.account_name(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let reply = PendingReply::OpenStep {
            from,
            account,
            key: key.clone(),
        };
        let reply_to = self.expect_reply(node, reply);
        self.step_shard(
            node,
            shard,
            Event::OpenStep {
                reply_to,
                key,
                up_to,
            },
        );
    }

    pub(crate) fn send_recall(&mut self, node: usize, account: &str, from: &str, tokens: u64) {
        let account = Self::account_index(account);
        let donor = self.nodes.iter().position(|n| n.id == from);
        let donor = donor.expect("donor is a known node");
        self.last_recall_id += 1;
        let recall_id = self.last_recall_id;
        self.open_recalls.insert(recall_id, donor * 1_000 + node);
        if let Some(latency_ms) = self.latency(node, donor) {
            let event = SimEvent::Recall {
                node: donor,
                from: node,
                account,
                tokens,
            };
            self.schedule(self.now + latency_ms, event);
        }
        let timeout = SimEvent::RecallReply {
            node,
            from: donor,
            account,
            total_sent: None,
            recall_id,
        };
        self.schedule(self.now + PEER_TIMEOUT_MS, timeout);
    }

    /// Sends a platform call, which may be refused, take effect late, or lose its reply.
    pub(crate) fn call_platform(&mut self, node: usize, shard: u32, call: PlatformCall) {
        let faults = self.platform.faults;
        if faults.down || self.platform_unreachable[self.nodes[node].zone] {
            let event = match call {
                PlatformCall::ReadRecord => Event::ReadFailed,
                PlatformCall::WriteRecord { .. } => Event::WriteRefused,
                PlatformCall::WriteSegment { .. } => Event::SegmentWritten(false),
                PlatformCall::ReadSegment { .. } => Event::SegmentRead(None),
            };
            self.schedule(self.now + 50, SimEvent::ShardEvent { node, shard, event });
            return;
        }
        let delay_ms = 1 + self.trace.zone_latency_ms + faults.delay_ms;
        let reply_lost = self.rng.random_range(0..100) < faults.reply_loss_pct;
        let answered = !reply_lost && delay_ms < PLATFORM_TIMEOUT_MS;
        if !answered {
            let event = match call {
                PlatformCall::ReadRecord => Event::ReadFailed,
                PlatformCall::WriteRecord { .. } => Event::WriteOutcomeUnknown,
                PlatformCall::WriteSegment { .. } => Event::SegmentWritten(false),
                PlatformCall::ReadSegment { .. } => Event::SegmentRead(None),
            };
            let at = self.now + PLATFORM_TIMEOUT_MS;
            self.schedule(at, SimEvent::ShardEvent { node, shard, event });
        }
        let event = SimEvent::ExecuteCall {
            node,
            shard,
            call,
            answered,
        };
        self.schedule(self.now + delay_ms, event);
    }

    pub(crate) fn execute_call(
        &mut self,
        node: usize,
        shard: u32,
        call: PlatformCall,
        answered: bool,
    ) {
        let event = match call {
            PlatformCall::ReadRecord => Event::RecordRead(self.platform.read(shard)),
            PlatformCall::WriteRecord {
                base_revision,
                record,
            } => match self.platform.write(shard, base_revision, record) {
                Ok(revision) => Event::WriteCommitted { revision },
                Err(snapshot) => Event::WriteConflict(snapshot),
            },
            PlatformCall::ReadSegment { name } => {
                Event::SegmentRead(self.platform.read_segment(&name))
            }
            PlatformCall::WriteSegment { name, segment } => {
                self.platform.write_segment(name, segment);
                Event::SegmentWritten(true)
            }
        };
        if answered {
            let at = self.now + 1 + self.trace.zone_latency_ms;
            self.schedule(at, SimEvent::ShardEvent { node, shard, event });
        }
    }
}
