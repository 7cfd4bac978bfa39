//! Runs the decisions on budgets: one task owns them, others send it events and wait for replies.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use budget::msg::Warning;
use budget::shard::Params;
use budget::{Action, Durability, Event, OperatorReply, ReserveReply, ShardAction, ShardManager};
use kv::SwapResult;
use serde_json::{json, Value};
use tokio::sync::oneshot;

use crate::bank::{Cmd, Handle, Inbox};
use crate::bank_io::{ask_witness, copy, probe, read, recall, segment_key, write};
use crate::clock::{wall_ms, Clock};
use crate::event;
use crate::msg::KeepMsg;
use crate::shared::Shared;

/// Ticks while something waits for time or for the platform.
const TICK_BUSY: Duration = Duration::from_millis(5);
/// Ticks otherwise.
const TICK_IDLE: Duration = Duration::from_millis(250);
/// The exit code after a failed invariant, as after a panic of the whole program.
const EXIT_BROKEN: i32 = 101;

/// Spawns the task.
pub fn spawn(inbox: Inbox, shared: &Arc<Shared>) {
    let settings = &shared.settings;
    let params = Params {
        orphan_grace_ms: settings.orphan_grace_ms(),
        ..Params::default()
    };
    let clock = shared.clock;
    let bank = ShardManager::new(
        clock.now(),
        &shared.me,
        settings.shards(),
        settings.writes_per_sec(),
        params,
    );
    let task = Task {
        bank,
        clock,
        shared: Arc::downgrade(shared),
        handle: shared.bank.clone(),
        next_ask: 1,
        reserves: BTreeMap::new(),
        drop_outs: BTreeMap::new(),
        settles: BTreeMap::new(),
        recalls: BTreeMap::new(),
        acts: BTreeMap::new(),
    };
    let me = shared.me.clone();
    tokio::spawn(async move {
        let ended = tokio::spawn(task.run(inbox)).await;
        if ended.is_err_and(|e| e.is_panic()) {
            // Whatever it believes about money is wrong. Its grants stay charged in the record;
            // going on without it would leave an instance that looks ready and serves nobody.
            event::Event::Broken.log(&me, "the log above says which one");
            std::process::exit(EXIT_BROKEN);
        }
    });
}

struct Task {
    bank: ShardManager,
    clock: Clock,
    shared: Weak<Shared>,
    handle: Handle,
    next_ask: u64,
    reserves: BTreeMap<u64, oneshot::Sender<ReserveReply>>,
    drop_outs: BTreeMap<u64, oneshot::Sender<bool>>,
    settles: BTreeMap<u64, oneshot::Sender<Durability>>,
    recalls: BTreeMap<u64, oneshot::Sender<u64>>,
    acts: BTreeMap<u64, oneshot::Sender<OperatorReply>>,
}

impl Task {
    async fn run(mut self, mut inbox: Inbox) {
        loop {
            let wait = if self.bank.is_busy() {
                TICK_BUSY
            } else {
                TICK_IDLE
            };
            let cmd = tokio::time::timeout(wait, inbox.0.recv()).await;
            let now = self.clock.now();
            let outputs = match cmd {
                Err(_) => self.bank.step_all(now, &Event::Tick),
                Ok(Some(cmd)) => self.take(now, cmd),
                Ok(None) => return,
            };
            let Some(shared) = self.shared.upgrade() else {
                return;
            };
            for output in outputs {
                self.act(&shared, output);
            }
        }
    }

    fn ask(&mut self) -> u64 {
        self.next_ask += 1;
        self.next_ask
    }

    fn take(&mut self, now: u64, cmd: Cmd) -> Vec<ShardAction> {
        let ask = self.ask();
        match cmd {
            Cmd::Reserve(req, wait_ms, tx) => {
                self.reserves.insert(ask, tx);
                let account = req.account.clone();
                let deadline = now + wait_ms;
                self.step(
                    now,
                    &account,
                    Event::Reserve {
                        reply_to: ask,
                        request: req,
                        deadline,
                    },
                )
            }
            Cmd::Extend(m, tx) => {
                self.reserves.insert(ask, tx);
                let account = m.account.clone();
                let event = Event::Extend {
                    reply_to: ask,
                    account: m.account,
                    hold: m.hold,
                    attempt: m.at,
                    tokens: m.tokens,
                    deadline: now + m.wait_ms,
                };
                self.step(now, &account, event)
            }
            Cmd::Void(m) => {
                let account = m.account.clone();
                let event = Event::Void {
                    account: m.account,
                    request_id: m.request,
                    entry: m.entry,
                };
                self.step(now, &account, event)
            }
            Cmd::DropOut(m, tx) => {
                self.drop_outs.insert(ask, tx);
                let account = m.account.clone();
                let event = Event::Detach {
                    reply_to: ask,
                    account: m.account,
                    hold: m.hold,
                    entry: m.entry,
                };
                self.step(now, &account, event)
            }
            Cmd::Settle(m, tx) => {
                self.settles.insert(ask, tx);
                let account = m.account.clone();
                let event = Event::Settle {
                    reply_to: Some(ask),
                    account: m.account,
                    settlement: m.post,
                    unconfirmed: m.doubts,
                };
                self.step(now, &account, event)
            }
            Cmd::Keep(KeepMsg { account, post }) => {
                let name = account.clone();
                self.step(
                    now,
                    &name,
                    Event::StoreCopy {
                        account,
                        settlement: post,
                    },
                )
            }
            Cmd::Recall(m, tx) => {
                self.recalls.insert(ask, tx);
                let account = m.account.clone();
                let event = Event::Recall {
                    reply_to: ask,
                    account: m.account,
                    to: m.to,
                    tokens: m.tokens,
                };
                self.step(now, &account, event)
            }
            Cmd::Open(m, tx) => {
                // Answered like a recall: by a number of tokens.
                self.recalls.insert(ask, tx);
                let (key, upto) = (m.key, m.upto);
                self.step(
                    now,
                    &m.account,
                    Event::OpenStep {
                        reply_to: ask,
                        key,
                        up_to: upto,
                    },
                )
            }
            Cmd::Act(account, act, tx) => {
                self.acts.insert(ask, tx);
                let name = account.clone();
                self.step(
                    now,
                    &name,
                    Event::Operator {
                        reply_to: ask,
                        account,
                        command: act,
                    },
                )
            }
            Cmd::Event(shard, event) => self.bank.step(now, shard, event),
            Cmd::Members(members) => {
                self.bank.set_members(members);
                Vec::new()
            }
            Cmd::Silent(entries) => {
                let gone = |entry| Event::InstanceUnresponsive { instance: entry };
                let events: Vec<Event> = entries.into_iter().map(gone).collect();
                let all = events.iter().flat_map(|e| self.bank.step_all(now, e));
                all.collect()
            }
            Cmd::Presence(present, left) => {
                self.bank.set_presence(now, &present, &left);
                Vec::new()
            }
            Cmd::Leave => {
                self.bank.leave();
                self.bank.step_all(now, &Event::Tick)
            }
            Cmd::IsClear(tx) => {
                let _ = tx.send(self.bank.is_drained());
                Vec::new()
            }
            Cmd::Dump(tx) => {
                let _ = tx.send(self.dump());
                Vec::new()
            }
        }
    }

    fn step(&mut self, now: u64, account: &str, event: Event) -> Vec<ShardAction> {
        let shard = self.bank.shard_of(account);
        self.bank.step(now, shard, event)
    }

    /// Carries out one action; what takes time goes on beside and comes back as an event.
    fn act(&mut self, shared: &Arc<Shared>, output: ShardAction) {
        let shard = output.shard;
        let cx = Arc::clone(shared);
        let handle = self.handle.clone();
        match output.action {
            Action::ReadRecord => {
                tokio::spawn(async move {
                    let event = read(&cx, shard).await;
                    handle.send(Cmd::Event(shard, event));
                });
            }
            Action::WriteRecord {
                base_revision: base,
                record,
            } => {
                tokio::spawn(async move {
                    let event = write(&cx, shard, base, &record).await;
                    handle.send(Cmd::Event(shard, event));
                });
            }
            Action::WriteSegment { name, segment } => {
                tokio::spawn(async move {
                    let text = serde_json::to_vec(&segment).expect("a segment is JSON");
                    let key = segment_key(shard, &name);
                    let swapped = cx.kv.compare_and_swap(&key, 0, &text, 0).await;
                    let done = matches!(swapped, Ok(SwapResult::Done(_)));
                    handle.send(Cmd::Event(shard, Event::SegmentWritten(done)));
                });
            }
            Action::ReadSegment { name } => {
                tokio::spawn(async move {
                    let found = cx.kv.get(&segment_key(shard, &name)).await;
                    let found = found.ok().flatten();
                    let segment = found.and_then(|f| serde_json::from_slice(&f.value).ok());
                    handle.send(Cmd::Event(shard, Event::SegmentRead(segment)));
                });
            }
            Action::ReserveReply {
                reply_to: ask,
                reply,
            } => reply_to(&mut self.reserves, ask, reply),
            Action::SettleReply {
                reply_to: ask,
                durability: how,
            } => reply_to(&mut self.settles, ask, how),
            Action::OperatorReply {
                reply_to: ask,
                reply,
            } => reply_to(&mut self.acts, ask, reply),
            Action::RecallReply {
                reply_to: ask,
                total_sent: sent,
            } => reply_to(&mut self.recalls, ask, sent),
            Action::Recall {
                account,
                from,
                tokens,
            } => {
                tokio::spawn(async move {
                    let sent = recall(&cx, &account, &from, tokens).await;
                    let event = Event::RecallReply {
                        account,
                        from,
                        total_sent: sent,
                    };
                    handle.send(Cmd::Event(shard, event));
                });
            }
            Action::StepReply {
                reply_to: ask,
                total_opened: opened,
            } => reply_to(&mut self.recalls, ask, opened),
            Action::OpenStep {
                account,
                witness,
                key,
                up_to: upto,
            } => {
                tokio::spawn(async move {
                    let opened = ask_witness(&cx, &account, &witness, &key, upto).await;
                    let event = Event::StepReply {
                        account,
                        key,
                        total_opened: opened,
                    };
                    handle.send(Cmd::Event(shard, event));
                });
            }
            Action::SendCopy {
                account,
                settlement: post,
            } => {
                tokio::spawn(async move {
                    let hold = post.hold;
                    if copy(&cx, &account, post).await {
                        handle.send(Cmd::Event(shard, Event::CopyStored { account, hold }));
                    }
                });
            }
            Action::DetachReply {
                reply_to: ask,
                others_remain: others,
            } => reply_to(&mut self.drop_outs, ask, others),
            Action::CancelAttempt {
                account,
                hold,
                attempt: at,
            } => {
                tokio::spawn(async move {
                    match probe(&cx, &at).await {
                        Some(tokens) => {
                            let detail = format!("{} at {}: {tokens}", at.id, at.upstream);
                            cx.log(event::Event::OrphanBilled, detail);
                            let at_ms = wall_ms();
                            let event = Event::UsageReported {
                                account,
                                hold,
                                tokens,
                                at_ms,
                            };
                            handle.send(Cmd::Event(shard, event));
                        }
                        None => {
                            let detail = format!("{} at {}", at.id, at.upstream);
                            cx.log(event::Event::OrphanHeld, detail);
                        }
                    }
                });
            }
            Action::Warn(Warning::ExcessUsage { account, tokens }) => {
                shared.log(event::Event::Excess, format!("{account}: {tokens} tokens"));
            }
            Action::Warn(Warning::DuplicateBill {
                account,
                request_id: request,
            }) => {
                shared.log(event::Event::BillDuplicate, format!("{account}: {request}"));
            }
        }
    }

    fn dump(&self) -> Value {
        let mut shards = BTreeMap::new();
        for (shard, home) in self.bank.shards() {
            let locals: BTreeMap<_, _> = home
                .local_accounts()
                .iter()
                .map(|(name, l)| {
                    let row = json!({
                        "available": home.available(name),
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
                "role": format!("{:?}", home.role()),
                "cut_off": home.is_cut_off(),
                "accounts": locals,
            });
            shards.insert(shard.to_string(), row);
        }
        json!(shards)
    }
}

fn reply_to<T>(waiting: &mut BTreeMap<u64, oneshot::Sender<T>>, ask: u64, reply: T) {
    if let Some(tx) = waiting.remove(&ask) {
        // An asker that left is told by its own time-out what to do.
        let _ = tx.send(reply);
    }
}
