//! State machine of one shard at one instance: its holds, its settlements and its record.
//!
//! At most one platform call is open at a time. A write with an unknown outcome is never simply
//! repeated: the record is read first, and the number of this instance's last write in it tells
//! whether the write took effect.

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
pub use crate::params::{Params, Role, Witness};
use crate::record::{Account, BillSegment, ShardRecord};
use crate::write_limiter::WriteLimiter;

/// Base of the exponential backoff after failed platform calls, in milliseconds.
const BACKOFF_BASE_MS: u64 = 100;
/// Upper bound of the backoff, in milliseconds.
const BACKOFF_MAX_MS: u64 = 5_000;
/// Time after which an instance posts its copy of another holder's settlement, in milliseconds.
const COPY_POST_DELAY_MS: u64 = 3_000;
/// Interval at which cancelling an attempt is retried until its usage is known, in milliseconds.
pub(crate) const CANCEL_RETRY_MS: u64 = 5_000;
/// First interval at which sending a copy of a settlement is retried, in milliseconds.
pub(crate) const COPY_RETRY_MS: u64 = 500;
/// Time for which a recall waits for a step of a joint grant, in milliseconds.
pub(crate) const RECALL_STEP_WAIT_MS: u64 = 300;
/// Time for which an account stays active after its last use, in milliseconds.
const ACTIVE_MS: u64 = 5_000;

/// The open platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlatformCall {
    /// No call is open.
    Idle,
    /// A read of the record.
    Read {
        /// When it began, in milliseconds.
        started_at: u64,
    },
    /// A write of the record.
    Write {
        /// When it began, in milliseconds.
        started_at: u64,
    },
    /// A read or write of a segment.
    Segment,
}

/// A write of which it is not known yet whether it took effect.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedWrite {
    /// Number of the write.
    pub(crate) number: u64,
    /// Revision that it replaces.
    pub(crate) base_revision: i64,
    /// Tokens that it returns to the record, by account.
    pub(crate) returning: BTreeMap<String, u64>,
    /// Record that it writes.
    pub(crate) record: ShardRecord,
}

/// State of one shard at one instance.
pub struct Shard {
    /// Incarnation of this instance.
    pub(crate) me: String,
    pub(crate) params: Params,
    pub(crate) role: Role,
    /// Live instances of the region, including this one.
    pub(crate) peers: Vec<String>,
    /// Witness of new joint grants.
    pub(crate) witness: Witness,
    /// State of this instance as a witness of other holders.
    pub(crate) witness_state: WitnessState,
    /// Record as last read or written, and the time at which that call began.
    pub(crate) snapshot: Option<(RecordSnapshot, u64)>,
    pub(crate) open_call: PlatformCall,
    /// Writes that may have taken effect or may still do so.
    pub(crate) unresolved_writes: Vec<UnresolvedWrite>,
    pub(crate) local_accounts: BTreeMap<String, LocalAccount>,
    /// Accounts for which there may be something to do.
    pub(crate) active_accounts: BTreeSet<String>,
    /// Whether to check if this standby needs more grants.
    pub(crate) standby_check_due: bool,
    /// Number of the next hold.
    pub(crate) next_hold: u64,
    /// Number of the next write.
    pub(crate) next_write: u64,
    /// Failed platform calls since the last successful one.
    pub(crate) consecutive_failures: u32,
    /// Write conflicts since the last write that took effect.
    pub(crate) consecutive_conflicts: u32,
    /// Earliest time of the next platform call, in milliseconds.
    pub(crate) retry_at: u64,
    /// Whether the record is to be read again.
    pub(crate) read_requested: bool,
    /// Copies of other holders' settlements, each with the time at which it is to be posted and its
    /// account.
    pub(crate) copies: Vec<(u64, String, Settlement)>,
    /// Segment that was or is being written and that the record does not name yet.
    pub(crate) written_segment: Option<(String, BillSegment)>,
    /// Recent bills that were moved out of the record.
    pub(crate) archived_bills: ArchivedBills,
    /// Holders to retire.
    pub(crate) departed: Vec<String>,
    /// When a standby reads the record again, in milliseconds.
    pub(crate) next_standby_check: u64,
    /// Revision on which a write would have recorded an overspend, and when that was found. A read
    /// that began later tells whether the revision was stale.
    pub(crate) overspend_base: Option<(i64, u64)>,
}

impl Shard {
    /// Creates the state of a shard whose record is not known yet.
    pub fn new(me: &str, params: Params) -> Shard {
        Shard {
            me: me.to_string(),
            params,
            role: Role::None,
            peers: Vec::new(),
            witness: Witness::None,
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
            consecutive_conflicts: 0,
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

    /// Sets the role of this instance, the live instances of the region, and the witness of new
    /// joint grants.
    pub fn set_role(&mut self, role: Role, peers: Vec<String>, witness: Witness) {
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

    /// Returns the role of this instance in the shard.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the witness of new joint grants.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> Option<&ShardRecord> {
        self.snapshot.as_ref().map(|(s, _)| &s.record)
    }

    /// Returns the accounts that this instance has state for.
    pub fn local_accounts(&self) -> &BTreeMap<String, LocalAccount> {
        &self.local_accounts
    }

    /// Returns whether the last platform call failed.
    pub fn last_call_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether anything waits for time to pass or for the platform.
    pub fn is_busy(&self) -> bool {
        let is_busy = |l: &LocalAccount| {
            !l.pending.is_empty() || !l.waiting.is_empty() || !l.commands.is_empty()
        };
        self.open_call != PlatformCall::Idle || self.local_accounts.values().any(is_busy)
    }

    /// Returns whether nothing is left to settle or to return to the record.
    pub fn is_drained(&self) -> bool {
        self.open_call == PlatformCall::Idle
            && self.copies.is_empty()
            && self.undrained_accounts().next().is_none()
    }

    fn undrained_accounts(&self) -> impl Iterator<Item = (&String, &LocalAccount)> {
        let is_drained = |name: &String, l: &LocalAccount| {
            let is_idle =
                l.is_idle() && l.commands.is_empty() && l.open_recalls == 0 && l.joint.is_none();
            let is_empty = l.returning == 0 && self.available(name) == 0;
            is_idle && is_empty && !self.has_unrecorded_transfers(name)
        };
        let accounts = self.local_accounts.iter();
        accounts.filter(move |(name, l)| !is_drained(name, l))
    }

    /// Describes what is left to settle or to return to the record, for the log.
    pub fn describe_undrained(&self) -> String {
        let mut text = format!(
            "call {:?}, failures {}, copies {}",
            self.open_call,
            self.consecutive_failures,
            self.copies.len()
        );
        for (name, l) in self.undrained_accounts() {
            text += &format!(
                "; {name}: available {}, returning {}, holds {}, pending {}, waiting {}, recalls {}, \
                 joint {}, unrecorded transfers {}",
                self.available(name),
                l.returning,
                l.holds.len(),
                l.pending.len(),
                l.waiting.len(),
                l.open_recalls,
                l.joint.is_some(),
                self.has_unrecorded_transfers(name)
            );
        }
        text
    }

    /// Returns the tokens of an account that this holder can still reserve, transfer or return.
    ///
    /// # Panics
    ///
    /// Panics if more tokens are committed than this holder has. The exception is an operator's
    /// release of tokens of this holder while it was live: none are available then, so new
    /// reservations are refused.
    pub fn available(&self, account: &str) -> u64 {
        let none = LocalAccount::default();
        let local = self.local_accounts.get(account).unwrap_or(&none);
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let entry = stored.and_then(|a| a.ledger.get(&self.me));
        let (granted, settled, released) =
            entry.map_or((0, 0, 0), |l| (l.granted, l.settled, l.released));
        let received: u64 = local.received.values().sum();
        let sent: u64 = local.sent.values().sum();
        let opened = self.joint_opened(account);
        let held: i128 = i128::from(granted) + i128::from(received) + i128::from(opened);
        let committed = [
            settled,
            released,
            sent,
            local.returning,
            local.reserved(),
            local.unrecorded(&self.me),
        ];
        let available = held - committed.iter().map(|t| i128::from(*t)).sum::<i128>();
        assert!(
            available >= 0 || released > 0,
            "{account} at {}: committed tokens {committed:?} (settled, released, sent, returning, \
             reserved, unrecorded) exceed the {held} held",
            self.me
        );
        available.max(0) as u64
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(
        &mut self,
        now: u64,
        event: Event,
        limiter: &mut WriteLimiter,
        out: &mut Vec<Action>,
    ) {
        if let Some(account) = event.account() {
            self.active_accounts.insert(account.to_string());
        }
        match event {
            Event::Reserve {
                reply_to,
                request,
                deadline,
            } => self.reserve(now, reply_to, request, deadline, out),
            Event::Extend {
                reply_to,
                account,
                hold,
                attempt,
                tokens,
                deadline,
            } => self.extend(
                now, reply_to, &account, hold, attempt, tokens, deadline, out,
            ),
            Event::Void {
                account,
                request_id,
                entry,
            } => self.void(now, &account, &request_id, &entry),
            Event::Settle {
                reply_to,
                account,
                settlement,
                unconfirmed,
            } => self.settle(now, reply_to, &account, settlement, &unconfirmed, out),
            Event::Detach {
                reply_to,
                account,
                hold,
                entry,
            } => self.detach(reply_to, &account, hold, &entry, out),
            Event::StoreCopy {
                account,
                settlement,
            } => self
                .copies
                .push((now + COPY_POST_DELAY_MS, account, settlement)),
            Event::Recall {
                reply_to,
                account,
                to,
                tokens,
            } => self.on_recall(now, reply_to, &account, to, tokens, out),
            Event::OpenStep {
                reply_to,
                key,
                up_to,
            } => {
                let total_opened = self.witness_state.approve_step(&key, up_to);
                out.push(Action::StepReply {
                    reply_to,
                    total_opened,
                });
            }
            Event::StepReply {
                account,
                key,
                total_opened,
            } => {
                self.on_step_reply(&account, &key, total_opened);
                self.answer_deferred_recalls(now, &account, true, out);
            }
            Event::RecallReply {
                account,
                from,
                total_sent,
            } => self.on_recall_reply(&account, from, total_sent),
            Event::Operator {
                reply_to,
                account,
                command,
            } => {
                let local = self.local_accounts.entry(account).or_default();
                local.commands.push((reply_to, command));
            }
            Event::RecordRead(snapshot) => self.on_read(now, snapshot, out),
            Event::WriteRefused => self.on_call_failed(now),
            Event::WriteCommitted { revision } => self.on_write_committed(revision, out),
            Event::WriteConflict(snapshot) => self.on_write_conflict(snapshot, limiter, out),
            Event::ReadFailed | Event::WriteOutcomeUnknown => {
                self.on_call_failed(now);
                self.read_requested = true;
            }
            Event::SegmentWritten(written) => self.on_segment_written(now, written),
            Event::CopyStored { account, hold } => self.on_copy_stored(&account, hold, out),
            Event::InstanceUnresponsive { instance } => {
                self.on_instance_unresponsive(now, &instance)
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
        self.advance(now, limiter, out);
        self.prune_active(now);
    }

    /// Removes the accounts for which there is nothing to do from the active ones.
    ///
    /// Without this each event would take time in proportion to the number of accounts in the
    /// shard.
    pub(crate) fn prune_active(&mut self, now: u64) {
        let active = std::mem::take(&mut self.active_accounts);
        let stays_active = |n: &String| {
            let Some(l) = self.local_accounts.get(n) else {
                return false;
            };
            let unwatched = l.joint.as_ref().is_some_and(|j| !j.is_watched);
            let has_work = !l.is_idle()
                || !l.commands.is_empty()
                || !l.deferred_recalls.is_empty()
                || l.returning > 0;
            let recent = now < l.last_used_at + ACTIVE_MS;
            let has_excess = self.unwitnessed_excess(now, n) > 0;
            let unwritten = self.must_close_joint(n) || self.has_unrecorded_transfers(n);
            unwatched || has_work || recent || has_excess || unwritten
        };
        self.active_accounts = active.into_iter().filter(stays_active).collect();
    }

    /// Answers a reservation if its request is known already, or else lets it wait for tokens.
    pub(crate) fn reserve(
        &mut self,
        now: u64,
        reply_to: u64,
        request: ReserveRequest,
        deadline: u64,
        out: &mut Vec<Action>,
    ) {
        let me = self.me.clone();
        let account = request.account;
        let local = self.local_accounts.entry(account.clone()).or_default();
        if let Some(reply) = reply_if_known(
            &me,
            local,
            &request.request_id,
            request.body_hash,
            &request.entry,
        ) {
            out.push(Action::ReserveReply { reply_to, reply });
            return;
        }
        let local = self
            .local_accounts
            .get_mut(&account)
            .expect("created above");
        local.add_demand(now, request.tokens);
        local.waiting.push_back(WaitingReservation {
            reply_to,
            kind: ReservationKind::NewHold {
                request_id: request.request_id,
                body_hash: request.body_hash,
                entry: request.entry,
            },
            attempt: request.attempt,
            tokens: request.tokens,
            weight: request.weight,
            requested_at: now,
            deadline,
            recall_sent: false,
        });
    }

    /// Lets the extension of a hold wait for tokens.
    pub(crate) fn extend(
        &mut self,
        now: u64,
        reply_to: u64,
        account: &str,
        hold: u64,
        attempt: AttemptRef,
        tokens: u64,
        deadline: u64,
        out: &mut Vec<Action>,
    ) {
        let local = self.local_accounts.entry(account.to_string()).or_default();
        if !local.holds.contains_key(&hold) {
            let reply = ReserveReply::Voided;
            out.push(Action::ReserveReply { reply_to, reply });
            return;
        }
        local.waiting.push_back(WaitingReservation {
            reply_to,
            kind: ReservationKind::ExtendHold { hold },
            attempt,
            tokens,
            weight: 100,
            requested_at: now,
            deadline,
            recall_sent: false,
        });
    }

    /// Handles a failed platform call: the next one waits for an exponential backoff with jitter.
    pub(crate) fn on_call_failed(&mut self, now: u64) {
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures += 1;
        let wait = (BACKOFF_BASE_MS << self.consecutive_failures.min(6)).min(BACKOFF_MAX_MS);
        self.retry_at = now + wait / 2 + self.jitter(wait / 2);
    }

    /// Returns a delay below `max`, which keeps the instances from all retrying at the same time
    /// after an outage.
    pub(crate) fn jitter(&self, max: u64) -> u64 {
        let seed = format!(
            "{}/{}/{}",
            self.me, self.next_write, self.consecutive_failures
        );
        xxh3_64(seed.as_bytes()) % max.max(1)
    }

    /// Handles the end of a segment write.
    pub(crate) fn on_segment_written(&mut self, now: u64, written: bool) {
        if written {
            self.open_call = PlatformCall::Idle;
            self.consecutive_failures = 0;
        } else {
            self.written_segment = None;
            self.on_call_failed(now);
        }
    }

    /// Does what is due at this time.
    pub(crate) fn tick(&mut self, now: u64, out: &mut Vec<Action>) {
        self.post_due_copies(now);
        self.open_steps_ahead(now, out);
        let deferred =
            |(n, l): (&String, &LocalAccount)| (!l.deferred_recalls.is_empty()).then(|| n.clone());
        let accounts = self
            .active_accounts
            .iter()
            .filter_map(|n| self.local_accounts.get_key_value(n));
        let names: Vec<String> = accounts.filter_map(deferred).collect();
        for name in names {
            self.answer_deferred_recalls(now, &name, false, out);
        }
        self.send_due_copies(now, out);
        self.cancel_due_attempts(now, out);
        self.return_unspent();
        self.return_unwitnessed(now);
        let is_standby = self.role == Role::Standby && self.params.standby_pct > 0;
        if is_standby && now >= self.next_standby_check {
            self.next_standby_check = now + self.params.standby_check_ms;
            self.read_requested = true;
        }
    }

    /// Returns the reply to a request that has a bill, in the record or in a segment.
    pub(crate) fn billed_reply(
        &self,
        account: &str,
        request_id: &str,
        body_hash: u64,
    ) -> Option<ReserveReply> {
        let bill = self
            .stored_account(account)
            .and_then(|a| a.bill(request_id));
        let bill = bill.or_else(|| self.archived_bills.bill(account, request_id))?;
        if bill.body_hash != body_hash {
            return Some(ReserveReply::IdReused);
        }
        Some(ReserveReply::Exists {
            holder: bill.holder.clone(),
            hold: 0,
            attempt: bill.attempt.clone(),
            billed: Some(bill.tokens),
        })
    }

    /// Returns the tokens granted to this holder on record, without joint grants.
    pub(crate) fn granted(&self, account: &str) -> u64 {
        let stored = self.record().and_then(|r| r.accounts.get(account));
        let entry = stored.and_then(|a| a.ledger.get(&self.me));
        entry.map_or(0, |l| l.granted.max(0) as u64)
    }

    /// Returns an account as the record shows it.
    pub(crate) fn stored_account(&self, account: &str) -> Option<&Account> {
        self.record().and_then(|r| r.accounts.get(account))
    }
}

/// Returns the reply to a request that is voided, running or finished here, and adds the entry to
/// its hold if it is running.
fn reply_if_known(
    me: &str,
    local: &mut LocalAccount,
    request_id: &str,
    body_hash: u64,
    entry: &str,
) -> Option<ReserveReply> {
    if local.is_voided(entry, request_id) {
        return Some(ReserveReply::Voided);
    }
    if let Some(number) = local.hold_by_request.get(request_id).copied() {
        let hold = local.holds.get_mut(&number).expect("indexed by request");
        if hold.body_hash != body_hash {
            return Some(ReserveReply::IdReused);
        }
        hold.cancel_at = None;
        hold.entries.push(entry.to_string());
        return Some(ReserveReply::Exists {
            holder: me.to_string(),
            hold: number,
            attempt: hold.attempt.clone(),
            billed: None,
        });
    }
    let finished = local.finished.get(request_id)?;
    Some(finished.reply(me, body_hash))
}

/// Ends a hold that was settled: remembers its request if it is billed, and opens new holds for
/// unconfirmed usage.
///
/// Returns the number of the next hold.
pub(crate) fn close_hold(
    now: u64,
    local: &mut LocalAccount,
    hold: Hold,
    settlement: &Settlement,
    unconfirmed: &[UnconfirmedUsage],
    mut next_hold: u64,
) -> u64 {
    let mut rest = hold.tokens - settlement.tokens;
    if local.hold_by_request.get(&hold.request_id) == Some(&settlement.hold) {
        local.hold_by_request.remove(&hold.request_id);
    }
    if settlement.billed {
        let finished = FinishedRequest {
            hold: settlement.hold,
            body_hash: hold.body_hash,
            attempt: hold.attempt.clone(),
            tokens: settlement.tokens,
            expires_at: 0,
        };
        local.add_finished(now, hold.request_id.clone(), finished);
    }
    for usage in unconfirmed {
        let tokens = usage.tokens.min(rest);
        rest -= tokens;
        let new = Hold {
            request_id: hold.request_id.clone(),
            body_hash: hold.body_hash,
            attempt: usage.attempt.clone(),
            tokens,
            settled: usage.settled,
            unconfirmed: true,
            cancel_at: Some(now),
            entries: Default::default(),
        };
        local.holds.insert(next_hold, new);
        next_hold += 1;
    }
    next_hold
}

/// Answers a settlement if a reply is wanted.
pub(crate) fn push_settle_reply(
    reply_to: Option<u64>,
    durability: Durability,
    out: &mut Vec<Action>,
) {
    out.extend(reply_to.map(|reply_to| Action::SettleReply {
        reply_to,
        durability,
    }));
}

/// Returns the reply to an operator's command, once the record shows its id.
pub(crate) fn stored_operator_reply(
    account: &Account,
    command: &OperatorCommand,
) -> Option<OperatorReply> {
    match command {
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
