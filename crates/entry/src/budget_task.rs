//! The task that owns the state of all budgets of this instance.
//!
//! Other tasks send it commands through a [`BudgetHandle`] and wait for the replies.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use budget::msg::Warning;
use budget::shard::Params;
use budget::{Action, Durability, Event, OperatorReply, ReserveReply, ShardAction, ShardManager};
use kv::SwapResult;
use serde_json::{json, Value};
use tokio::sync::oneshot;
use tokio::task::JoinError;
use tokio::time::{timeout_at, Instant};

use crate::budget_handle::{BudgetHandle, Command, CommandReceiver};
use crate::budget_io::{
    cancel_attempt, read_record, recall_tokens, request_step, segment_key, send_copy, write_record,
};
use crate::clock::{wall_ms, Clock};
use crate::event;
use crate::messages::StoreCopyMsg;
use crate::panic_log;
use crate::shared_state::SharedState;

/// Tick interval while reservations, settlements, commands or platform calls are pending.
const TICK_BUSY: Duration = Duration::from_millis(5);
/// Tick interval while nothing is pending.
const TICK_IDLE: Duration = Duration::from_millis(250);
/// Exit code after a failed invariant: the same as after a panic of the main thread.
const EXIT_INVARIANT_FAILED: i32 = 101;

/// Spawns the task.
pub fn spawn(commands: CommandReceiver, shared: &Arc<SharedState>) {
    let settings = &shared.settings;
    let params = Params {
        orphan_grace_ms: settings.orphan_grace_ms(),
        ..Params::default()
    };
    let clock = shared.clock;
    let shards = ShardManager::new(
        clock.now(),
        &shared.own_id,
        settings.shards(),
        settings.writes_per_sec(),
        params,
    );
    let task = BudgetTask {
        shards,
        clock,
        shared: Arc::downgrade(shared),
        handle: shared.budgets.clone(),
        last_reply_id: 1,
        reserve_replies: BTreeMap::new(),
        detach_replies: BTreeMap::new(),
        settle_replies: BTreeMap::new(),
        token_replies: BTreeMap::new(),
        operator_replies: BTreeMap::new(),
    };
    let own_id = shared.own_id.clone();
    tokio::spawn(async move {
        let result = tokio::spawn(task.run(commands)).await;
        if let Err(Ok(panic)) = result.map_err(JoinError::try_into_panic) {
            // The budget state in memory can't be trusted any more. The grants stay charged in the
            // stored record. Without this task, the instance would look ready but refuse all
            // requests.
            event::Event::InvariantFailed.log(&own_id, panic_log::message(&*panic));
            std::process::exit(EXIT_INVARIANT_FAILED);
        }
    });
}

struct BudgetTask {
    shards: ShardManager,
    clock: Clock,
    shared: Weak<SharedState>,
    handle: BudgetHandle,
    last_reply_id: u64,
    /// Senders of the pending replies, by reply id.
    reserve_replies: BTreeMap<u64, oneshot::Sender<ReserveReply>>,
    detach_replies: BTreeMap<u64, oneshot::Sender<bool>>,
    settle_replies: BTreeMap<u64, oneshot::Sender<Durability>>,
    token_replies: BTreeMap<u64, oneshot::Sender<u64>>,
    operator_replies: BTreeMap<u64, oneshot::Sender<OperatorReply>>,
}

impl BudgetTask {
    async fn run(mut self, mut commands: CommandReceiver) {
        let mut ticked_at = Instant::now();
        loop {
            let interval = if self.shards.is_busy() {
                TICK_BUSY
            } else {
                TICK_IDLE
            };
            // Commands may arrive more often than ticks are due.
            let tick_at = ticked_at + interval;
            let command = if Instant::now() < tick_at {
                timeout_at(tick_at, commands.0.recv()).await.ok()
            } else {
                None
            };
            let now = self.clock.now();
            let actions = match command {
                None => {
                    ticked_at = Instant::now();
                    self.shards.step_all(now, &Event::Tick)
                }
                Some(Some(command)) => self.handle(now, command),
                Some(None) => return,
            };
            let Some(shared) = self.shared.upgrade() else {
                return;
            };
            for shard_action in actions {
                self.perform(&shared, shard_action);
            }
        }
    }

    fn next_reply_id(&mut self) -> u64 {
        self.last_reply_id += 1;
        self.last_reply_id
    }

    fn handle(&mut self, now: u64, command: Command) -> Vec<ShardAction> {
        let reply_to = self.next_reply_id();
        match command {
            Command::Reserve(req, wait_ms, tx) => {
                self.reserve_replies.insert(reply_to, tx);
                let account = req.account.clone();
                let deadline = now + wait_ms;
                self.step(
                    now,
                    &account,
                    Event::Reserve {
                        reply_to,
                        request: req,
                        deadline,
                    },
                )
            }
            Command::Extend(m, tx) => {
                self.reserve_replies.insert(reply_to, tx);
                let account = m.account.clone();
                let event = Event::Extend {
                    reply_to,
                    account: m.account,
                    hold: m.hold,
                    attempt: m.attempt,
                    tokens: m.tokens,
                    deadline: now + m.wait_ms,
                };
                self.step(now, &account, event)
            }
            Command::Void(m) => {
                let account = m.account.clone();
                let event = Event::Void {
                    account: m.account,
                    request_id: m.request_id,
                    entry: m.entry,
                };
                self.step(now, &account, event)
            }
            Command::Detach(m, tx) => {
                self.detach_replies.insert(reply_to, tx);
                let account = m.account.clone();
                let event = Event::Detach {
                    reply_to,
                    account: m.account,
                    hold: m.hold,
                    entry: m.entry,
                };
                self.step(now, &account, event)
            }
            Command::Settle(m, tx) => {
                self.settle_replies.insert(reply_to, tx);
                let account = m.account.clone();
                let event = Event::Settle {
                    reply_to: Some(reply_to),
                    account: m.account,
                    settlement: m.settlement,
                    unconfirmed: m.unconfirmed,
                };
                self.step(now, &account, event)
            }
            Command::StoreCopy(StoreCopyMsg {
                account,
                settlement,
            }) => {
                let name = account.clone();
                self.step(
                    now,
                    &name,
                    Event::StoreCopy {
                        account,
                        settlement,
                    },
                )
            }
            Command::Recall(m, tx) => {
                self.token_replies.insert(reply_to, tx);
                let account = m.account.clone();
                let event = Event::Recall {
                    reply_to,
                    account: m.account,
                    to: m.to,
                    tokens: m.tokens,
                };
                self.step(now, &account, event)
            }
            Command::OpenStep(m, tx) => {
                // Like a recall, it is answered with a number of tokens.
                self.token_replies.insert(reply_to, tx);
                let (key, up_to) = (m.key, m.up_to);
                self.step(
                    now,
                    &m.account,
                    Event::OpenStep {
                        reply_to,
                        key,
                        up_to,
                    },
                )
            }
            Command::Operator(account, command, tx) => {
                self.operator_replies.insert(reply_to, tx);
                let name = account.clone();
                self.step(
                    now,
                    &name,
                    Event::Operator {
                        reply_to,
                        account,
                        command,
                    },
                )
            }
            Command::Event(shard, event) => self.shards.step(now, shard, event),
            Command::SetMembers { live, absent } => {
                self.shards.set_members(live, absent);
                Vec::new()
            }
            Command::ReportUnresponsive(instances) => {
                let unresponsive = |instance| Event::InstanceUnresponsive { instance };
                let events: Vec<Event> = instances.into_iter().map(unresponsive).collect();
                let actions = events.iter().flat_map(|e| self.shards.step_all(now, e));
                actions.collect()
            }
            Command::SetPresence(present, left) => {
                self.shards.set_presence(now, &present, &left);
                Vec::new()
            }
            Command::ReturnAll => {
                self.shards.leave();
                self.shards.step_all(now, &Event::Tick)
            }
            Command::IsDrained(tx) => {
                let _ = tx.send(self.shards.is_drained());
                Vec::new()
            }
            Command::DescribeUndrained(tx) => {
                let _ = tx.send(self.shards.describe_undrained());
                Vec::new()
            }
            Command::Dump(tx) => {
                let _ = tx.send(self.dump());
                Vec::new()
            }
        }
    }

    fn step(&mut self, now: u64, account: &str, event: Event) -> Vec<ShardAction> {
        let shard = self.shards.shard_of(account);
        self.shards.step(now, shard, event)
    }

    /// Performs an action. I/O runs in a separate task, which sends its result back as an event.
    fn perform(&mut self, shared: &Arc<SharedState>, shard_action: ShardAction) {
        let shard = shard_action.shard;
        let state = Arc::clone(shared);
        let handle = self.handle.clone();
        match shard_action.action {
            Action::ReadRecord => {
                tokio::spawn(async move {
                    let event = read_record(&state, shard).await;
                    handle.send(Command::Event(shard, event));
                });
            }
            Action::WriteRecord {
                base_revision,
                record,
            } => {
                tokio::spawn(async move {
                    let event = write_record(&state, shard, base_revision, &record).await;
                    handle.send(Command::Event(shard, event));
                });
            }
            Action::WriteSegment { name, segment } => {
                tokio::spawn(async move {
                    let value = serde_json::to_vec(&segment).expect("a segment serializes");
                    let key = segment_key(shard, &name);
                    let swapped = state.kv.compare_and_swap(&key, 0, &value, 0).await;
                    let written = matches!(swapped, Ok(SwapResult::Done(_)));
                    handle.send(Command::Event(shard, Event::SegmentWritten(written)));
                });
            }
            Action::ReadSegment { name } => {
                tokio::spawn(async move {
                    let found = state.kv.get(&segment_key(shard, &name)).await;
                    let found = found.ok().flatten();
                    let segment = found.and_then(|f| serde_json::from_slice(&f.value).ok());
                    handle.send(Command::Event(shard, Event::SegmentRead(segment)));
                });
            }
            Action::ReserveReply { reply_to, reply } => {
                send_reply(&mut self.reserve_replies, reply_to, reply)
            }
            Action::SettleReply {
                reply_to,
                durability,
            } => send_reply(&mut self.settle_replies, reply_to, durability),
            Action::OperatorReply { reply_to, reply } => {
                send_reply(&mut self.operator_replies, reply_to, reply)
            }
            Action::RecallReply {
                reply_to,
                total_sent,
            } => send_reply(&mut self.token_replies, reply_to, total_sent),
            Action::Recall {
                account,
                from,
                tokens,
            } => {
                tokio::spawn(async move {
                    let total_sent = recall_tokens(&state, &account, &from, tokens).await;
                    let event = Event::RecallReply {
                        account,
                        from,
                        total_sent,
                    };
                    handle.send(Command::Event(shard, event));
                });
            }
            Action::StepReply {
                reply_to,
                total_opened,
            } => send_reply(&mut self.token_replies, reply_to, total_opened),
            Action::OpenStep {
                account,
                witness,
                key,
                up_to,
            } => {
                tokio::spawn(async move {
                    let total_opened = request_step(&state, &account, &witness, &key, up_to).await;
                    let event = Event::StepReply {
                        account,
                        key,
                        total_opened,
                    };
                    handle.send(Command::Event(shard, event));
                });
            }
            Action::SendCopy {
                account,
                settlement,
            } => {
                tokio::spawn(async move {
                    let hold = settlement.hold;
                    if send_copy(&state, &account, settlement).await {
                        handle.send(Command::Event(shard, Event::CopyStored { account, hold }));
                    }
                });
            }
            Action::DetachReply {
                reply_to,
                others_remain,
            } => send_reply(&mut self.detach_replies, reply_to, others_remain),
            Action::CancelAttempt {
                account,
                hold,
                attempt,
            } => {
                tokio::spawn(async move {
                    match cancel_attempt(&state, &attempt).await {
                        Some(tokens) => {
                            let detail =
                                format!("{} at {}: {tokens}", attempt.id, attempt.upstream);
                            state.log(event::Event::OrphanBilled, detail);
                            let at_ms = wall_ms();
                            let event = Event::UsageReported {
                                account,
                                hold,
                                tokens,
                                at_ms,
                            };
                            handle.send(Command::Event(shard, event));
                        }
                        None => {
                            let detail = format!("{} at {}", attempt.id, attempt.upstream);
                            state.log(event::Event::OrphanUnresolved, detail);
                        }
                    }
                });
            }
            Action::Warn(Warning::ExcessUsage { account, tokens }) => {
                shared.log(
                    event::Event::TokensExceeded,
                    format!("{account}: {tokens} tokens"),
                );
            }
            Action::Warn(Warning::WriteConflicts { count }) => {
                let detail = format!("shard {shard}: {count} conflicts in a row");
                shared.log(event::Event::WriteConflicts, detail);
            }
            Action::Warn(Warning::GrantChanged {
                account,
                before,
                after,
            }) => {
                let detail = format!(
                    "{account}: own {} -> {} tokens, joint {} -> {}",
                    before.own, after.own, before.joint, after.joint
                );
                shared.log(event::Event::GrantChanged, detail);
            }
            Action::Warn(Warning::DuplicateBill {
                account,
                request_id,
            }) => {
                shared.log(
                    event::Event::DuplicateBill,
                    format!("{account}: {request_id}"),
                );
            }
        }
    }

    fn dump(&self) -> Value {
        let mut rows = BTreeMap::new();
        for (number, shard) in self.shards.shards() {
            let accounts: BTreeMap<_, _> = shard
                .local_accounts()
                .iter()
                .map(|(name, l)| {
                    let row = json!({
                        "available": shard.available(name),
                        "held": l.holds,
                        "pending": l.pending.len(),
                        "waiting": l.waiting.len(),
                        "sent": l.sent,
                        "got": l.received,
                        "giving": l.returning,
                        "joint": l.joint,
                    });
                    (name, row)
                })
                .collect();
            let row = json!({
                "role": format!("{:?}", shard.role()),
                "cut_off": shard.last_call_failed(),
                "accounts": accounts,
            });
            rows.insert(number.to_string(), row);
        }
        json!(rows)
    }
}

fn send_reply<T>(pending: &mut BTreeMap<u64, oneshot::Sender<T>>, reply_to: u64, reply: T) {
    if let Some(tx) = pending.remove(&reply_to) {
        // Fails if the task that awaits the reply was cancelled. A peer that called this instance has its
        // own timeout for that case.
        let _ = tx.send(reply);
    }
}
