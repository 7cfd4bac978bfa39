//! What the decisions ask for: calls of the platform and messages between instances.

use budget::{Action, Event, Settlement, ShardAction};
use rand::Rng;

use crate::item::{Ask, Call, Item};
use crate::node::NodeState;
use crate::simulation::{Simulation, CALL_TIMEOUT, RPC_TIMEOUT};

impl Simulation {
    pub(crate) fn hop(&self, from: usize, to: usize) -> Option<u64> {
        let (a, b) = (self.nodes[from].zone, self.nodes[to].zone);
        let ms = if a == b {
            0
        } else {
            self.trace.zone_latency_ms
        };
        self.linked(a, b).then_some(ms)
    }

    pub(crate) fn recall(&mut self, node: usize, from: usize, account: usize, tokens: u64) {
        let name = self.account(account);
        let to = self.nodes[from].id.clone();
        let ask = self.ask(node, Ask::Recall { from, account });
        let shard = self.nodes[node].manager.shard_of(&name);
        let event = Event::Recall {
            reply_to: ask,
            account: name,
            to,
            tokens,
        };
        self.step(node, shard, event);
    }

    pub(crate) fn recalled(
        &mut self,
        node: usize,
        from: usize,
        account: usize,
        sent: Option<u64>,
        ask: u64,
    ) {
        // The first of answer and time-out counts.
        if self.recall_asks.remove(&ask).is_none() {
            return;
        }
        let name = self.account(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let event = Event::RecallReply {
            account: name,
            from: self.nodes[from].id.clone(),
            total_sent: sent,
        };
        self.step(node, shard, event);
    }

    pub(crate) fn keep(&mut self, node: usize, from: usize, account: usize, post: Settlement) {
        let name = self.account(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let hold = post.hold;
        let account = name.clone();
        self.step(
            node,
            shard,
            Event::StoreCopy {
                account,
                settlement: post,
            },
        );
        if let Some(hop) = self.hop(node, from) {
            let event = Event::CopyStored {
                account: name,
                hold,
            };
            let node = from;
            self.put(self.now + hop, Item::Bank { node, shard, event });
        }
    }

    pub(crate) fn account_index(name: &str) -> usize {
        name[1..].parse().expect("accounts are numbered")
    }

    pub(crate) fn act(&mut self, node: usize, output: ShardAction) {
        let shard = output.shard;
        match output.action {
            Action::ReadRecord => self.call(node, shard, Call::Read),
            Action::WriteRecord {
                base_revision: base,
                record,
            } => self.call(node, shard, Call::Write { base, record }),
            Action::ReadSegment { name } => {
                let name = format!("{shard}/{name}");
                self.call(node, shard, Call::ReadSegment { name });
            }
            Action::WriteSegment { name, segment } => {
                let name = format!("{shard}/{name}");
                self.call(node, shard, Call::Segment { name, segment });
            }
            Action::ReserveReply {
                reply_to: ask,
                reply,
            } => {
                if let Some(Ask::Reserve { job, tries }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, self.jobs[job].entry) {
                        self.put(self.now + hop, Item::Reply { job, tries, reply });
                    }
                }
            }
            Action::SettleReply { reply_to: ask, .. } => {
                if let Some(Ask::Settle { job }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, self.jobs[job].entry) {
                        self.put(self.now + hop, Item::Settled { job });
                    }
                }
            }
            Action::RecallReply {
                reply_to: ask,
                total_sent: sent,
            } => {
                if let Some(Ask::Recall { from, account }) = self.nodes[node].asks.remove(&ask) {
                    self.hand(node, from, account, sent);
                }
            }
            Action::OperatorReply { reply_to: ask, .. } => {
                self.nodes[node].asks.remove(&ask);
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
                up_to: upto,
            } => self.send_open(node, shard, account, &witness, key, upto),
            Action::StepReply {
                reply_to: ask,
                total_opened: opened,
            } => {
                if let Some(Ask::Open { from, account, key }) = self.nodes[node].asks.remove(&ask) {
                    if let Some(hop) = self.hop(node, from) {
                        let event = Event::StepReply {
                            account: self.account(account),
                            key,
                            total_opened: Some(opened),
                        };
                        let node = from;
                        self.put(self.now + hop, Item::Bank { node, shard, event });
                    }
                }
            }
            Action::SendCopy {
                account,
                settlement: post,
            } => {
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
            Action::CancelAttempt {
                account,
                hold,
                attempt: at,
            } => {
                let tokens = self.cancel(&at.id);
                let event = Event::UsageReported {
                    account,
                    hold,
                    tokens,
                    at_ms: self.now,
                };
                self.put(self.now + 2, Item::Bank { node, shard, event });
            }
            Action::DetachReply { .. } | Action::Warn(_) => {}
        }
    }

    pub(crate) fn cancel(&mut self, run: &str) -> u64 {
        self.note(|| format!("{run} cancelled"));
        let Some(run) = self.run_names.get(run) else {
            self.tombstones.insert(run.to_string());
            return 0;
        };
        let run = &mut self.attempts[*run];
        run.cancelled_at.get_or_insert(self.now);
        run.tokens_served(self.now)
    }

    /// Answers go by the recall's cumulative counter, so a lost one harms nothing.
    pub(crate) fn hand(&mut self, node: usize, to: usize, account: usize, sent: u64) {
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

    pub(crate) fn send_open(
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
        if self.nodes[to].state != NodeState::Up || self.hop(node, to).is_none() {
            let event = Event::StepReply {
                account,
                key,
                total_opened: None,
            };
            self.put(self.now + RPC_TIMEOUT, Item::Bank { node, shard, event });
        }
    }

    pub(crate) fn open_step(
        &mut self,
        node: usize,
        from: usize,
        account: usize,
        key: String,
        upto: u64,
    ) {
        let name = self.account(account);
        let shard = self.nodes[node].manager.shard_of(&name);
        let ask = Ask::Open {
            from,
            account,
            key: key.clone(),
        };
        let ask = self.ask(node, ask);
        self.step(
            node,
            shard,
            Event::OpenStep {
                reply_to: ask,
                key,
                up_to: upto,
            },
        );
    }

    pub(crate) fn send_recall(&mut self, node: usize, account: &str, from: &str, tokens: u64) {
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
    pub(crate) fn call(&mut self, node: usize, shard: u32, call: Call) {
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
        let takes = 1 + self.trace.zone_latency_ms + faults.delay_ms;
        let lost = self.rng.random_range(0..100) < faults.reply_loss_pct;
        let answered = !lost && takes < CALL_TIMEOUT;
        if !answered {
            let event = match call {
                Call::Read => Event::ReadFailed,
                Call::Write { .. } => Event::WriteOutcomeUnknown,
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

    pub(crate) fn exec(&mut self, node: usize, shard: u32, call: Call, answered: bool) {
        let event = match call {
            Call::Read => Event::RecordRead(self.platform.read(shard)),
            Call::Write { base, record } => match self.platform.write(shard, base, record) {
                Ok(revision) => Event::WriteCommitted { revision },
                Err(stored) => Event::WriteConflict(stored),
            },
            Call::ReadSegment { name } => Event::SegmentRead(self.platform.read_segment(&name)),
            Call::Segment { name, segment } => {
                self.platform.write_segment(name, segment);
                Event::SegmentWritten(true)
            }
        };
        if answered {
            let at = self.now + 1 + self.trace.zone_latency_ms;
            self.put(at, Item::Bank { node, shard, event });
        }
    }
}
