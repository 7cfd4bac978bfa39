//! One shard at one instance: holds, settlements and the record they go to.
//!
//! The machine has at most one platform call open. It never repeats a write blindly: after an
//! unknown outcome it reads, and finds its own write again by the number it carries.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::archived_bills::ArchivedBills;
use crate::joint_grant::WitnessState;
use crate::local_account::{
    FinishedRequest, Hold, LocalAccount, ReservationKind, WaitingReservation,
};
use crate::msg::{
    Action, AttemptRef, Durability, Event, OperatorCommand, OperatorReply, RecordSnapshot,
    ReserveReply, ReserveRequest, Settlement, UnconfirmedUsage,
};
pub use crate::params::{Params, Role};
use crate::record::{Account, BillSegment, ShardRecord};
use crate::write_limiter::WriteLimiter;

/// First wait after a failed platform call, in milliseconds.
const BACKOFF_BASE_MS: u64 = 100;
/// Longest wait after failed platform calls, in milliseconds.
const BACKOFF_MAX_MS: u64 = 5_000;
/// How long a copy of another holder's settlement is kept before it is posted from here.
const COPY_POST_DELAY_MS: u64 = 3_000;
/// Pause between two attempts to learn what an orphaned request spent, in milliseconds.
pub(crate) const CANCEL_RETRY_MS: u64 = 5_000;
/// Pause between two requests for a copy of a settlement, in milliseconds.
pub(crate) const COPY_RETRY_MS: u64 = 500;
/// How long a call for tokens waits for a step of a joint grant, in milliseconds.
pub(crate) const RECALL_STEP_WAIT_MS: u64 = 300;
/// How long an account that was used is looked at, in milliseconds.
const ACTIVE_MS: u64 = 5_000;

/// The platform call that is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCall {
    /// None.
    Idle,
    /// A read.
    Read {
        /// When it began.
        started_at: u64,
    },
    /// A write of the record.
    Write {
        /// When it began.
        started_at: u64,
    },
    /// A write of a segment.
    Segment,
}

/// A write whose effect on `giving` is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedWrite {
    pub(crate) number: u64,
    pub(crate) base_revision: i64,
    pub(crate) returning: BTreeMap<String, u64>,
    pub(crate) record: ShardRecord,
}

/// One shard at one instance.
pub struct Shard {
    /// This incarnation.
    pub(crate) me: String,
    pub(crate) params: Params,
    pub(crate) role: Role,
    /// The other holders that seem to live.
    pub(crate) peers: Vec<String>,
    /// The instance that gives its word for steps of new joint grants.
    pub(crate) witness: Option<String>,
    /// What this instance knows as a witness for others.
    pub(crate) witness_state: WitnessState,
    /// The record as last read or written, with the time at which that call began.
    pub(crate) snapshot: Option<(RecordSnapshot, u64)>,
    pub(crate) open_call: PlatformCall,
    pub(crate) unresolved_writes: Vec<UnresolvedWrite>,
    pub(crate) local_accounts: BTreeMap<String, LocalAccount>,
    /// Accounts that something may have to be done for.
    pub(crate) active_accounts: BTreeSet<String>,
    /// Whether a standby's own grants are to be looked at.
    pub(crate) standby_check_due: bool,
    pub(crate) next_hold: u64,
    pub(crate) next_write: u64,
    pub(crate) consecutive_failures: u32,
    pub(crate) retry_at: u64,
    pub(crate) read_requested: bool,
    pub(crate) copies: Vec<(u64, String, Settlement)>,
    pub(crate) written_segment: Option<(String, BillSegment)>,
    pub(crate) archived_bills: ArchivedBills,
    pub(crate) departed: Vec<String>,
    pub(crate) next_standby_check: u64,
    /// A revision on which a write would have overspent, and when that was found: a read since
    /// then tells whether the revision was stale.
    pub(crate) overspend_base: Option<(i64, u64)>,
}

impl Shard {
    /// Opens a home that knows nothing yet.
    pub fn new(me: &str, params: Params) -> Shard {
        Shard {
            me: me.to_string(),
            params,
            role: Role::None,
            peers: Vec::new(),
            witness: None,
            witness_state: WitnessState::default(),
            snapshot: None,
            open_call: PlatformCall::Idle,
            unresolved_writes: Vec::new(),
            local_accounts: BTreeMap::new(),
            active_accounts: BTreeSet::new(),
            standby_check_due: false,
            next_hold: 1,
            next_write: 1,
            consecutive_failures: 0,
            retry_at: 0,
            read_requested: false,
            copies: Vec::new(),
            written_segment: None,
            archived_bills: ArchivedBills::default(),
            departed: Vec::new(),
            next_standby_check: 0,
            overspend_base: None,
        }
    }

    /// Sets what this instance is to the shard, and which other holders seem to live.
    pub fn set_role(&mut self, role: Role, peers: Vec<String>, witness: Option<String>) {
        self.role = role;
        self.witness_state
            .unresponsive
            .retain(|h| !peers.contains(h));
        self.peers = peers;
        self.witness = witness;
        self.standby_check_due = true;
        self.active_accounts
            .extend(self.local_accounts.keys().cloned());
    }

    /// Returns what this instance is to the shard.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the record as last known.
    pub fn record(&self) -> Option<&ShardRecord> {
        self.snapshot.as_ref().map(|(s, _)| &s.record)
    }

    /// Returns the accounts with something here.
    pub fn local_accounts(&self) -> &BTreeMap<String, LocalAccount> {
        &self.local_accounts
    }

    /// Returns whether the last platform call failed.
    pub fn is_cut_off(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether something waits for time or for the platform.
    pub fn is_busy(&self) -> bool {
        let busy = |l: &LocalAccount| {
            !l.pending.is_empty() || !l.waiting.is_empty() || !l.commands.is_empty()
        };
        self.open_call != PlatformCall::Idle || self.local_accounts.values().any(busy)
    }

    /// Returns whether nothing is left to settle or hand back.
    pub fn is_drained(&self) -> bool {
        let clear = |(name, l): (&String, &LocalAccount)| {
            let quiet =
                l.is_idle() && l.commands.is_empty() && l.open_recalls == 0 && l.joint.is_none();
            let empty = l.returning == 0 && self.available(name) == 0;
            quiet && empty && !self.has_unrecorded_transfers(name)
        };
        self.open_call == PlatformCall::Idle
            && self.copies.is_empty()
            && self.local_accounts.iter().all(clear)
    }

    /// Returns what this holder may still promise of an account.
    ///
    /// # Panics
    ///
    /// Panics when more was promised than is held, unless an operator took tokens back from this
    /// living holder: that act is allowed to, and is refused new work instead.
    pub fn available(&self, account: &str) -> u64 {
        let none = LocalAccount::default();
        let local = self.local_accounts.get(account).unwrap_or(&none);
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let line = stored.and_then(|a| a.ledger.get(&self.me));
        let (granted, settled, released) =
            line.map_or((0, 0, 0), |l| (l.granted, l.settled, l.released));
        let got: u64 = local.received.values().sum();
        let sent: u64 = local.sent.values().sum();
        let opened = self.joint_opened(account);
        let has: i128 = i128::from(granted) + i128::from(got) + i128::from(opened);
        let owes = [
            settled,
            released,
            sent,
            local.returning,
            local.reserved(),
            local.unrecorded(&self.me),
        ];
        let left = has - owes.iter().map(|t| i128::from(*t)).sum::<i128>();
        assert!(
            left >= 0 || released > 0,
            "{account} at {}: has {has}, owes {owes:?}",
            self.me
        );
        left.max(0) as u64
    }

    /// Takes one event and appends what follows from it.
    pub fn step(
        &mut self,
        now: u64,
        event: Event,
        pacer: &mut WriteLimiter,
        out: &mut Vec<Action>,
    ) {
        if let Some(account) = event.account() {
            self.active_accounts.insert(account.to_string());
        }
        match event {
            Event::Reserve {
                reply_to: ask,
                request: req,
                deadline,
            } => self.reserve(now, ask, req, deadline, out),
            Event::Extend {
                reply_to: ask,
                account,
                hold,
                attempt: at,
                tokens,
                deadline,
            } => self.extend(now, ask, &account, hold, at, tokens, deadline, out),
            Event::Void {
                account,
                request_id: request,
                entry,
            } => self.void(now, &account, &request, &entry),
            Event::Settle {
                reply_to: ask,
                account,
                settlement: post,
                unconfirmed: doubts,
            } => self.settle(now, ask, &account, post, &doubts, out),
            Event::Detach {
                reply_to: ask,
                account,
                hold,
                entry,
            } => self.detach(ask, &account, hold, &entry, out),
            Event::StoreCopy {
                account,
                settlement: post,
            } => self.copies.push((now + COPY_POST_DELAY_MS, account, post)),
            Event::Recall {
                reply_to: ask,
                account,
                to,
                tokens,
            } => self.on_recall(now, ask, &account, to, tokens, out),
            Event::OpenStep {
                reply_to: ask,
                key,
                up_to: upto,
            } => {
                let opened = self.witness_state.approve_step(&key, upto);
                out.push(Action::StepReply {
                    reply_to: ask,
                    total_opened: opened,
                });
            }
            Event::StepReply {
                account,
                key,
                total_opened: opened,
            } => {
                self.on_step_reply(&account, &key, opened);
                self.answer_deferred_recalls(now, &account, true, out);
            }
            Event::RecallReply {
                account,
                from,
                total_sent: sent,
            } => self.on_recall_reply(&account, from, sent),
            Event::Operator {
                reply_to: ask,
                account,
                command: act,
            } => {
                let local = self.local_accounts.entry(account).or_default();
                local.commands.push((ask, act));
            }
            Event::RecordRead(stored) => self.on_read(now, stored, out),
            Event::ReadFailed | Event::WriteRefused => self.on_call_failed(now),
            Event::WriteCommitted { revision } => self.on_write_committed(revision, out),
            Event::WriteConflict(stored) => self.on_write_conflict(stored, out),
            Event::WriteOutcomeUnknown => {
                self.on_call_failed(now);
                self.read_requested = true;
            }
            Event::SegmentWritten(done) => self.on_segment_written(now, done),
            Event::CopyStored { account, hold } => self.on_copy_stored(&account, hold, out),
            Event::InstanceUnresponsive { instance: entry } => {
                self.on_instance_unresponsive(now, &entry)
            }
            Event::UsageReported {
                account,
                hold,
                tokens,
                at_ms,
            } => self.on_usage_reported(now, &account, hold, tokens, at_ms, out),
            Event::SegmentRead(segment) => self.on_segment_read(now, segment),
            Event::Tick => self.tick(now, out),
        }
        self.advance(now, pacer, out);
        self.prune_active(now);
    }

    /// Forgets the accounts that nothing has to be done for.
    ///
    /// Without this every event would cost time by the number of budgets in the shard.
    pub(crate) fn prune_active(&mut self, now: u64) {
        let hot = std::mem::take(&mut self.active_accounts);
        let busy = |n: &String| {
            let Some(l) = self.local_accounts.get(n) else {
                return false;
            };
            let unwatched = l.joint.as_ref().is_some_and(|j| !j.is_watched);
            let waits = !l.is_idle()
                || !l.commands.is_empty()
                || !l.deferred_recalls.is_empty()
                || l.returning > 0;
            let recent = now < l.last_used_at + ACTIVE_MS;
            let lone = self.unwitnessed_excess(now, n) > 0;
            let unwritten = self.must_close_joint(n) || self.has_unrecorded_transfers(n);
            unwatched || waits || recent || lone || unwritten
        };
        self.active_accounts = hot.into_iter().filter(busy).collect();
    }

    pub(crate) fn reserve(
        &mut self,
        now: u64,
        ask: u64,
        req: ReserveRequest,
        deadline: u64,
        out: &mut Vec<Action>,
    ) {
        let me = self.me.clone();
        let account = req.account;
        let local = self.local_accounts.entry(account.clone()).or_default();
        if let Some(reply) = reply_if_known(&me, local, &req.request_id, req.body_hash, &req.entry)
        {
            out.push(Action::ReserveReply {
                reply_to: ask,
                reply,
            });
            return;
        }
        let local = self.local_accounts.get_mut(&account).expect("made above");
        local.add_demand(now, req.tokens);
        local.waiting.push_back(WaitingReservation {
            reply_to: ask,
            kind: ReservationKind::NewHold {
                request_id: req.request_id,
                body_hash: req.body_hash,
                entry: req.entry,
            },
            attempt: req.attempt,
            tokens: req.tokens,
            weight: req.weight,
            requested_at: now,
            deadline,
            recall_sent: false,
        });
    }

    pub(crate) fn extend(
        &mut self,
        now: u64,
        ask: u64,
        account: &str,
        hold: u64,
        at: AttemptRef,
        tokens: u64,
        deadline: u64,
        out: &mut Vec<Action>,
    ) {
        let local = self.local_accounts.entry(account.to_string()).or_default();
        if !local.holds.contains_key(&hold) {
            let reply = ReserveReply::Voided;
            out.push(Action::ReserveReply {
                reply_to: ask,
                reply,
            });
            return;
        }
        local.waiting.push_back(WaitingReservation {
            reply_to: ask,
            kind: ReservationKind::ExtendHold { hold },
            attempt: at,
            tokens,
            weight: 100,
            requested_at: now,
            deadline,
            recall_sent: false,
        });
    }

    pub(crate) fn on_call_failed(&mut self, now: u64) {
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures += 1;
        let wait = (BACKOFF_BASE_MS << self.consecutive_failures.min(6)).min(BACKOFF_MAX_MS);
        self.retry_at = now + wait / 2 + self.jitter(wait / 2);
    }

    /// Spreads retries, so that the instances don't all come back at once after an outage.
    pub(crate) fn jitter(&self, most: u64) -> u64 {
        let seed = format!(
            "{}/{}/{}",
            self.me, self.next_write, self.consecutive_failures
        );
        xxh3_64(seed.as_bytes()) % most.max(1)
    }

    pub(crate) fn on_segment_written(&mut self, now: u64, done: bool) {
        if done {
            self.open_call = PlatformCall::Idle;
            self.consecutive_failures = 0;
        } else {
            self.written_segment = None;
            self.on_call_failed(now);
        }
    }

    pub(crate) fn tick(&mut self, now: u64, out: &mut Vec<Action>) {
        self.post_due_copies(now);
        self.open_steps_ahead(now, out);
        let called =
            |(n, l): (&String, &LocalAccount)| (!l.deferred_recalls.is_empty()).then(|| n.clone());
        let hot = self
            .active_accounts
            .iter()
            .filter_map(|n| self.local_accounts.get_key_value(n));
        let called: Vec<String> = hot.filter_map(called).collect();
        for name in called {
            self.answer_deferred_recalls(now, &name, false, out);
        }
        self.send_due_copies(now, out);
        self.cancel_due_attempts(now, out);
        self.return_unspent();
        self.return_unwitnessed(now);
        let look = self.role == Role::Standby && self.params.standby_pct > 0;
        if look && now >= self.next_standby_check {
            self.next_standby_check = now + self.params.standby_check_ms;
            self.read_requested = true;
        }
    }

    /// Returns the answer for a request that the record, or an older bill, shows as billed.
    pub(crate) fn billed_reply(
        &self,
        account: &str,
        request: &str,
        body: u64,
    ) -> Option<ReserveReply> {
        let bill = self.stored_account(account).and_then(|a| a.bill(request));
        let bill = bill.or_else(|| self.archived_bills.bill(account, request))?;
        if bill.body_hash != body {
            return Some(ReserveReply::IdReused);
        }
        Some(ReserveReply::Exists {
            holder: bill.holder.clone(),
            hold: 0,
            attempt: bill.attempt.clone(),
            billed: Some(bill.tokens),
        })
    }

    /// Returns what the record grants to this holder.
    pub(crate) fn granted(&self, account: &str) -> u64 {
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let line = stored.and_then(|a| a.ledger.get(&self.me));
        line.map_or(0, |l| l.granted.max(0) as u64)
    }

    /// Returns the account as the record shows it.
    pub(crate) fn stored_account(&self, account: &str) -> Option<&Account> {
        self.record().and_then(|r| r.accounts.get(account))
    }
}

/// Returns the answer for a request that is known, or refused for good.
fn reply_if_known(
    me: &str,
    local: &mut LocalAccount,
    request: &str,
    body: u64,
    entry: &str,
) -> Option<ReserveReply> {
    if local.is_voided(entry, request) {
        return Some(ReserveReply::Voided);
    }
    if let Some(hold) = local.hold_by_request.get(request).copied() {
        let held = local.holds.get_mut(&hold).expect("indexed by request");
        if held.body_hash != body {
            return Some(ReserveReply::IdReused);
        }
        held.cancel_at = None;
        held.entries.push(entry.to_string());
        return Some(ReserveReply::Exists {
            holder: me.to_string(),
            hold,
            attempt: held.attempt.clone(),
            billed: None,
        });
    }
    let done = local.finished.get(request)?;
    Some(done.reply(me, body))
}

/// Moves a hold to the finished requests; what is in doubt stays held under new numbers.
pub(crate) fn close_hold(
    now: u64,
    local: &mut LocalAccount,
    held: Hold,
    post: &Settlement,
    doubts: &[UnconfirmedUsage],
    mut next_hold: u64,
) -> u64 {
    let mut rest = held.tokens - post.tokens;
    if local.hold_by_request.get(&held.request_id) == Some(&post.hold) {
        local.hold_by_request.remove(&held.request_id);
    }
    if post.billed {
        let done = FinishedRequest {
            hold: post.hold,
            body_hash: held.body_hash,
            attempt: held.attempt.clone(),
            tokens: post.tokens,
            expires_at: 0,
        };
        local.add_finished(now, held.request_id.clone(), done);
    }
    for doubt in doubts {
        let tokens = doubt.tokens.min(rest);
        rest -= tokens;
        let kept = Hold {
            request_id: held.request_id.clone(),
            body_hash: held.body_hash,
            attempt: doubt.attempt.clone(),
            tokens,
            settled: doubt.settled,
            unconfirmed: true,
            cancel_at: Some(now),
            entries: Default::default(),
        };
        local.holds.insert(next_hold, kept);
        next_hold += 1;
    }
    next_hold
}

pub(crate) fn push_settle_reply(ask: Option<u64>, how: Durability, out: &mut Vec<Action>) {
    out.extend(ask.map(|ask| Action::SettleReply {
        reply_to: ask,
        durability: how,
    }));
}

/// Returns the answer to an act as the record shows it.
pub(crate) fn stored_operator_reply(
    account: &Account,
    act: &OperatorCommand,
) -> Option<OperatorReply> {
    match act {
        OperatorCommand::TopUp { id, tokens } => match account.topups.get(id) {
            Some(old) if old == tokens => Some(OperatorReply::Done(*tokens)),
            Some(old) => Some(OperatorReply::IdReused(*old)),
            None => None,
        },
        OperatorCommand::Release { id, .. } => {
            let found = account.releases.iter().find(|r| r.id == *id);
            found.map(|r| OperatorReply::Done(r.tokens))
        }
    }
}
