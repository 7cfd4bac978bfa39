//! Synchronisation of a shard with its record: what is read, written and adopted.

use std::collections::BTreeMap;

use crate::grant::SizingInput;
use crate::local_account::LocalAccount;
use crate::msg::{Action, Durability, OperatorCommand, RecordSnapshot, Warning};
use crate::record::{Account, BillSegment, ShardRecord};
use crate::shard::{stored_operator_reply, PlatformCall, Role, Shard, UnresolvedWrite};
use crate::write_limiter::WriteLimiter;

/// Number of bills in a record above which the older half moves to a segment, because each write of
/// the record contains all of them.
const MAX_RECORD_BILLS: usize = 128;
/// The same while the write limiter has no writes to spare.
const MAX_RECORD_BILLS_BUSY: usize = 512;
/// Number of times that a write is repeated at once after a conflict. The next one waits for the write
/// limiter.
const MAX_CONFLICT_RETRIES: u32 = 4;
/// Time after its last use at which an empty account is forgotten, in milliseconds.
const IDLE_ACCOUNT_MS: u64 = 300_000;

impl Shard {
    /// Serves the waiting reservations, then starts the next platform call, if one is due and none
    /// is open.
    pub(crate) fn advance(&mut self, now: u64, limiter: &mut WriteLimiter, out: &mut Vec<Action>) {
        self.serve_waiting(now, out);
        if self.open_call != PlatformCall::Idle || now < self.retry_at {
            return;
        }
        if self.read_requested || (self.snapshot.is_none() && self.needs_write(now)) {
            self.read_requested = false;
            self.open_call = PlatformCall::Read { started_at: now };
            out.push(Action::ReadRecord);
        } else if let Some(name) = self.missing_segment() {
            self.open_call = PlatformCall::Segment;
            out.push(Action::ReadSegment { name });
        } else if self.snapshot.is_some() && self.must_archive(now, limiter) {
            self.write_segment(limiter, now, out);
        } else if self.snapshot.is_some() && self.needs_write(now) && limiter.try_acquire(now) {
            self.write_record(now, out);
        }
    }

    /// Returns the segment to load before reservations are granted or holds are settled.
    ///
    /// Without the recent bills a request could be run or billed a second time.
    fn missing_segment(&mut self) -> Option<String> {
        let needs = |l: &LocalAccount| !l.pending.is_empty() || !l.waiting.is_empty();
        if !self.active_local_accounts().any(|(_, l)| needs(l)) {
            return None;
        }
        let (snapshot, _) = self.snapshot.as_ref()?;
        self.archived_bills
            .next_missing(snapshot.record.last_segment.as_ref())
    }

    /// Handles the end of a segment read; `None` if it failed.
    pub(crate) fn on_segment_read(&mut self, now: u64, segment: Option<BillSegment>) {
        match segment {
            Some(segment) => {
                self.open_call = PlatformCall::Idle;
                self.consecutive_failures = 0;
                self.archived_bills.add_loaded(segment);
            }
            None => self.on_call_failed(now),
        }
    }

    /// Returns whether there is anything to write to the record.
    fn needs_write(&mut self, now: u64) -> bool {
        self.standby_check_due = self.standby_check_due && self.standby_needs_grant(now);
        let has_changes = |(name, l): (&String, &LocalAccount)| {
            let local = !l.pending.is_empty() || !l.commands.is_empty() || l.returning > 0;
            let tokens = self.tokens_to_grant(now, name) > 0 || self.has_unrecorded_transfers(name);
            local || tokens || self.must_close_joint(name)
        };
        let own = self.written_segment.is_some() || self.active_local_accounts().any(has_changes);
        own || self.standby_check_due || self.has_joints_to_close()
    }

    fn active_local_accounts(&self) -> impl Iterator<Item = (&String, &LocalAccount)> {
        let names = self.active_accounts.iter();
        names.filter_map(|n| self.local_accounts.get_key_value(n))
    }

    /// Returns whether any transfer of an account is not in the record yet.
    ///
    /// If the sender left before its transfers were recorded, the record would show the tokens as
    /// its own, and so as stranded.
    pub(crate) fn has_unrecorded_transfers(&self, name: &str) -> bool {
        let local = &self.local_accounts[name];
        let stored = self.stored_account(name);
        let recorded = |pair: String| stored.and_then(|a| a.transfers.get(&pair)).copied();
        let me = &self.me;
        let sent = local.sent.iter().map(|(to, t)| (format!("{me}>{to}"), *t));
        let received = local
            .received
            .iter()
            .map(|(from, t)| (format!("{from}>{me}"), *t));
        sent.chain(received)
            .any(|(pair, t)| t > recorded(pair).unwrap_or(0))
    }

    /// Returns the tokens to be granted to this holder for the reservations that wait here.
    fn tokens_to_grant(&self, now: u64, name: &str) -> u64 {
        let need = self.grantable(now, name);
        let need = need.saturating_sub(self.joint_remaining(now, name));
        if need == 0 {
            return 0;
        }
        let Some(account) = self.stored_account(name) else {
            return 0;
        };
        let local = &self.local_accounts[name];
        let weight = local.waiting.iter().map(|w| w.weight).max().unwrap_or(100);
        let size = self.params.sizing.size(SizingInput {
            need,
            free: account.free(),
            total: account.total(),
            granted: self.granted(name),
            weight,
            rate: local.demand_rate(now),
        });
        if self.lacks_witness(now, name) {
            // All of a grant without a witness is stranded by a crash, so take little more than is
            // needed.
            let room = self.max_unwitnessed(now, name);
            let room = room.saturating_sub(self.available(name));
            return size
                .min(room.max(need.saturating_mul(2)))
                .min(account.free());
        }
        size
    }

    /// Returns the tokens to be added to this holder's grant as a standby.
    fn standby_grant(&self, now: u64, name: &str, account: &Account) -> u64 {
        if self.role != Role::Standby || self.params.standby_pct == 0 {
            return 0;
        }
        if self.lacks_witness(now, name) {
            // A standby can wait for its witness, and a crash would strand all of a grant that is not
            // joint.
            return 0;
        }
        let pct = u128::from(self.params.standby_pct);
        let target = (u128::from(account.free()) * pct / 100) as u64;
        let has = self.available(name) + self.joint_remaining(now, name);
        if has < target / 2 {
            target - has
        } else {
            0
        }
    }

    fn standby_needs_grant(&self, now: u64) -> bool {
        let Some(record) = self.record() else {
            return false;
        };
        let needs_grant = |(name, a): (&String, &Account)| self.standby_grant(now, name, a) > 0;
        record.accounts.iter().any(needs_grant)
    }

    fn must_archive(&self, now: u64, limiter: &mut WriteLimiter) -> bool {
        let max_bills = if limiter.has_spare(now) {
            MAX_RECORD_BILLS
        } else {
            MAX_RECORD_BILLS_BUSY
        };
        let is_full = |r: &ShardRecord| r.bill_count() > max_bills;
        self.role == Role::Home
            && self.written_segment.is_none()
            && self.record().is_some_and(is_full)
    }

    fn write_segment(&mut self, limiter: &mut WriteLimiter, now: u64, out: &mut Vec<Action>) {
        if !limiter.try_acquire(now) {
            return;
        }
        let segment = self
            .record()
            .expect("checked by must_archive")
            .next_segment();
        let name = format!("{}.{}", self.me, self.next_write);
        self.next_write += 1;
        self.written_segment = Some((name.clone(), segment.clone()));
        self.open_call = PlatformCall::Segment;
        out.push(Action::WriteSegment { name, segment });
    }

    fn write_record(&mut self, now: u64, out: &mut Vec<Action>) {
        let (snapshot, _) = self.snapshot.as_ref().expect("checked by advance");
        let base_revision = snapshot.revision;
        let mut record = snapshot.record.clone();
        let number = self.next_write;
        self.next_write += 1;
        let mut returning = BTreeMap::new();
        self.stop_steps();
        for (name, local) in self.active_local_accounts() {
            self.write_account(now, number, name, &mut record);
            if local.returning > 0 {
                returning.insert(name.clone(), local.returning);
            }
        }
        self.write_standby(now, number, &mut record);
        self.write_housekeeping(&mut record);
        self.close_joints_of_unresponsive(&mut record);
        record.writers.insert(self.me.clone(), number);
        if !record.accounts.values().all(Account::is_covered) {
            self.recheck_base(now, base_revision);
            return;
        }
        self.unresolved_writes.push(UnresolvedWrite {
            number,
            base_revision,
            returning,
            record: record.clone(),
        });
        self.open_call = PlatformCall::Write { started_at: now };
        out.push(Action::WriteRecord {
            base_revision,
            record,
        });
    }

    /// Requests another read in place of a write that would record an overspend.
    ///
    /// On a stale record this is no fault: the top-up or grant that covers the write is missing
    /// there, and the write would fail anyway.
    ///
    /// # Panics
    ///
    /// Panics if the record is the current one. In that case something was spent that was never
    /// granted, and stopping this instance strands its grants at worst.
    fn recheck_base(&mut self, now: u64, base_revision: i64) {
        let read_at = self.snapshot.as_ref().map_or(0, |(_, at)| *at);
        if let Some((revision, found_at)) = self.overspend_base {
            assert!(
                revision != base_revision || read_at < found_at,
                "{}: overspend on the current record, revision {base_revision}",
                self.me
            );
        }
        if self
            .overspend_base
            .is_none_or(|(revision, _)| revision != base_revision)
        {
            self.overspend_base = Some((base_revision, now));
        }
        self.read_requested = true;
    }

    /// Applies everything that this instance has to change in an account.
    fn write_account(&self, now: u64, number: u64, name: &str, record: &mut ShardRecord) {
        let local = &self.local_accounts[name];
        let new_tokens = self.tokens_to_grant(now, name);
        for pending in &local.pending {
            let in_segment = self
                .archived_bills
                .bill(name, &pending.settlement.request_id)
                .is_some();
            record.post(name, &pending.settlement, in_segment);
        }
        if local.sent.is_empty()
            && local.received.is_empty()
            && local.commands.is_empty()
            && local.joint.is_none()
            && new_tokens + local.returning == 0
        {
            return;
        }
        let account = record.accounts.entry(name.to_string()).or_default();
        for (to, tokens) in &local.sent {
            raise_transfer(account, format!("{}>{to}", self.me), *tokens);
        }
        for (from, tokens) in &local.received {
            raise_transfer(account, format!("{from}>{}", self.me), *tokens);
        }
        for (_, command) in &local.commands {
            apply_command(account, command);
        }
        let is_joint = self.uses_joint_grant(now, name);
        let (joint, own) = if is_joint {
            (new_tokens, 0)
        } else {
            (0, new_tokens)
        };
        self.write_joint(name, number, joint, account);
        if own + local.returning > 0 {
            let entry = account.ledger.entry(self.me.clone()).or_default();
            entry.granted += own as i64 - local.returning as i64;
        }
    }

    /// Adds to this holder's grants in all accounts as a standby.
    fn write_standby(&self, now: u64, number: u64, record: &mut ShardRecord) {
        if self.role != Role::Standby {
            return;
        }
        for (name, account) in &mut record.accounts {
            let added = self.standby_grant(now, name, account).min(account.free());
            if added > 0 && self.uses_joint_grant(now, name) {
                self.write_joint(name, number, added, account);
            } else if added > 0 {
                account.ledger.entry(self.me.clone()).or_default().granted += added as i64;
            }
        }
    }

    /// Removes archived bills and retired holders from the record.
    fn write_housekeeping(&self, record: &mut ShardRecord) {
        if let Some((name, segment)) = &self.written_segment {
            record.apply_segment(name, segment);
        }
        for holder in &self.departed {
            record.retire_holder(holder);
        }
    }

    /// Handles a record that was read.
    pub(crate) fn on_read(
        &mut self,
        now: u64,
        snapshot: Option<RecordSnapshot>,
        out: &mut Vec<Action>,
    ) {
        let started_at = match self.open_call {
            PlatformCall::Read { started_at } => started_at,
            _ => now,
        };
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        self.adopt(or_empty(snapshot), started_at, out);
    }

    /// Handles a write that took effect.
    pub(crate) fn on_write_committed(&mut self, revision: i64, out: &mut Vec<Action>) {
        let Some(write) = self.unresolved_writes.last() else {
            return;
        };
        let record = write.record.clone();
        self.consecutive_conflicts = 0;
        self.end_write(RecordSnapshot { revision, record }, out);
    }

    /// Handles a write that failed because the record had changed.
    ///
    /// The write is repeated at once, on the record that the conflict returned. If it waited for the
    /// write limiter instead, that record would be outdated again, and a holder that writes seldom
    /// would conflict with one that writes often for as long as that goes on.
    pub(crate) fn on_write_conflict(
        &mut self,
        snapshot: Option<RecordSnapshot>,
        limiter: &mut WriteLimiter,
        out: &mut Vec<Action>,
    ) {
        self.consecutive_conflicts += 1;
        let count = self.consecutive_conflicts;
        if count % (MAX_CONFLICT_RETRIES + 1) != 0 {
            limiter.refund();
        }
        if count > MAX_CONFLICT_RETRIES && count.is_power_of_two() {
            out.push(Action::Warn(Warning::WriteConflicts { count }));
        }
        self.end_write(or_empty(snapshot), out);
    }

    fn end_write(&mut self, snapshot: RecordSnapshot, out: &mut Vec<Action>) {
        let started_at = match self.open_call {
            PlatformCall::Write { started_at } => started_at,
            _ => 0,
        };
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        self.adopt(snapshot, started_at, out);
    }

    /// Replaces the known record and updates the local state to it.
    ///
    /// `started_at` is when the platform call that returned the record began.
    fn adopt(&mut self, snapshot: RecordSnapshot, started_at: u64, out: &mut Vec<Action>) {
        if let Some((old, _)) = &self.snapshot {
            if snapshot.revision < old.revision {
                // A store whose revision goes back cannot be trusted: it could grant the same
                // tokens again.
                return;
            }
        }
        self.resolve_writes(&snapshot);
        self.resolve_segment(&snapshot.record);
        self.report_grant_changes(&snapshot.record, out);
        self.snapshot = Some((snapshot, started_at));
        self.standby_check_due = true;
        self.drop_retired();
        self.forget_unresponsive();
        self.adopt_joints();
        self.adopt_transfers();
        self.drop_recorded(out);
        self.answer_operators(out);
        self.drop_idle_accounts();
    }

    /// Reports the accounts in which a new record shows other grants of this holder.
    fn report_grant_changes(&self, record: &ShardRecord, out: &mut Vec<Action>) {
        for (name, account) in &record.accounts {
            let before = self.stored_account(name).map(|a| a.granted_to(&self.me));
            let before = before.unwrap_or_default();
            let after = account.granted_to(&self.me);
            if before != after {
                out.push(Action::Warn(Warning::GrantChanged {
                    account: name.clone(),
                    before,
                    after,
                }));
            }
        }
    }

    /// Forgets the written segment if the record names it now or can no longer name it.
    fn resolve_segment(&mut self, record: &ShardRecord) {
        let Some((name, segment)) = self.written_segment.take() else {
            return;
        };
        if record.last_segment.as_ref() == Some(&name) {
            self.archived_bills.add_written(&name, &segment);
        } else if segment.prev == record.last_segment {
            self.written_segment = Some((name, segment));
        }
    }

    /// Resolves the writes that took effect or can no longer do so.
    fn resolve_writes(&mut self, snapshot: &RecordSnapshot) {
        let last_write = snapshot.record.writers.get(&self.me).copied().unwrap_or(0);
        for write in std::mem::take(&mut self.unresolved_writes) {
            if write.number == last_write {
                for (name, tokens) in &write.returning {
                    let local = self
                        .local_accounts
                        .get_mut(name)
                        .expect("kept while returning tokens");
                    local.returning -= tokens;
                }
            } else if write.base_revision == snapshot.revision {
                // It may still be in flight and can take effect until the revision changes.
                self.unresolved_writes.push(write);
            }
        }
    }

    /// Drops transfers with retired holders: this holder's grant on record includes them now.
    fn drop_retired(&mut self) {
        let Some((snapshot, _)) = &self.snapshot else {
            return;
        };
        let tombstones = &snapshot.record.tombstones;
        for local in self.local_accounts.values_mut() {
            local.received.retain(|h, _| !tombstones.contains(h));
            local.sent.retain(|h, _| !tombstones.contains(h));
        }
    }

    /// Takes over transfers to this holder that the record shows.
    fn adopt_transfers(&mut self) {
        let Some((snapshot, _)) = &self.snapshot else {
            return;
        };
        for (name, account) in &snapshot.record.accounts {
            if account.ledger.contains_key(&self.me) {
                // A standby has grants in accounts without requests. A planned stop must find these
                // accounts to return the tokens.
                self.local_accounts.entry(name.clone()).or_default();
            }
            for (pair, tokens) in &account.transfers {
                let Some((from, to)) = pair.split_once('>') else {
                    continue;
                };
                if to == self.me {
                    let local = self.local_accounts.entry(name.clone()).or_default();
                    let received = local.received.entry(from.to_string()).or_default();
                    *received = (*received).max(*tokens);
                }
            }
        }
    }

    /// Drops settlements, copies and holds that the record shows as settled.
    fn drop_recorded(&mut self, out: &mut Vec<Action>) {
        let Some((snapshot, _)) = &self.snapshot else {
            return;
        };
        let record = &snapshot.record;
        for (name, local) in &mut self.local_accounts {
            local.pending.retain_mut(|p| {
                let settled = record.is_settled(name, &p.settlement.holder, p.settlement.hold);
                if settled {
                    let durability = Durability::Recorded;
                    out.extend(p.reply_to.drain(..).map(|reply_to| Action::SettleReply {
                        reply_to,
                        durability,
                    }));
                }
                !settled
            });
            let me = &self.me;
            local.holds.retain(|n, _| !record.is_settled(name, me, *n));
            let holds = &local.holds;
            local.hold_by_request.retain(|_, n| holds.contains_key(n));
        }
        self.copies
            .retain(|(_, a, s)| !record.is_settled(a, &s.holder, s.hold));
    }

    /// Answers the operator commands that the record shows.
    fn answer_operators(&mut self, out: &mut Vec<Action>) {
        let Some((snapshot, _)) = &self.snapshot else {
            return;
        };
        for (name, local) in &mut self.local_accounts {
            let Some(account) = snapshot.record.accounts.get(name) else {
                continue;
            };
            local.commands.retain(|(reply_to, command)| {
                let reply = stored_operator_reply(account, command);
                let answered = reply.is_some();
                out.extend(reply.map(|reply| Action::OperatorReply {
                    reply_to: *reply_to,
                    reply,
                }));
                !answered
            });
        }
    }

    /// Forgets empty accounts that were not used for a while and have no ledger entry of this
    /// holder.
    fn drop_idle_accounts(&mut self) {
        let Some((snapshot, started_at)) = &self.snapshot else {
            return;
        };
        let has_entry = |n: &String| {
            let account = snapshot.record.accounts.get(n);
            account.is_some_and(|a| a.ledger.contains_key(&self.me))
        };
        self.local_accounts.retain(|n, l| {
            let empty = l.is_idle()
                && l.joint.is_none()
                && l.commands.is_empty()
                && l.sent.is_empty()
                && l.received.is_empty();
            !(empty
                && l.returning == 0
                && l.last_used_at + IDLE_ACCOUNT_MS < *started_at
                && !has_entry(n))
        });
    }
}

/// Returns a snapshot, or that of an empty record if there is none yet.
fn or_empty(snapshot: Option<RecordSnapshot>) -> RecordSnapshot {
    snapshot.unwrap_or(RecordSnapshot {
        revision: 0,
        record: ShardRecord::default(),
    })
}

/// Raises a transfer to a cumulative number of tokens; sender and receiver may both report it.
fn raise_transfer(account: &mut Account, pair: String, tokens: u64) {
    if tokens > 0 {
        let recorded = account.transfers.entry(pair).or_default();
        *recorded = (*recorded).max(tokens);
    }
}

fn apply_command(account: &mut Account, command: &OperatorCommand) {
    match command {
        OperatorCommand::TopUp { id, tokens } => {
            // `stored_operator_reply` reports a reused id: the record keeps the first top-up.
            let _ = account.top_up(id, *tokens);
        }
        OperatorCommand::Release {
            id,
            holder,
            reason,
            operator,
        } => {
            account.release(id, holder, reason, operator);
        }
    }
}
