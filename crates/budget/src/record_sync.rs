//! How a home gets its part into the record: what it reads, writes and adopts.

use std::collections::BTreeMap;

use crate::grant::SizingInput;
use crate::local_account::LocalAccount;
use crate::msg::{Action, Durability, OperatorCommand, RecordSnapshot};
use crate::record::{Account, BillSegment, ShardRecord};
use crate::shard::{stored_operator_reply, PlatformCall, Role, Shard, UnresolvedWrite};
use crate::write_limiter::WriteLimiter;

/// Bills in a record above which the older half moves to a segment: each commit writes them all.
const MAX_RECORD_BILLS: usize = 128;
/// The same, while the platform has no writes to spare.
const MAX_RECORD_BILLS_BUSY: usize = 512;
/// Read again when a write waits for the pacer no longer than this, in milliseconds.
const IDLE_ACCOUNT_MS: u64 = 300_000;

impl Shard {
    /// Serves who waits, then starts the platform call that is due.
    pub(crate) fn advance(&mut self, now: u64, pacer: &mut WriteLimiter, out: &mut Vec<Action>) {
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
        } else if self.snapshot.is_some() && self.must_archive(now, pacer) {
            self.write_segment(pacer, now, out);
        } else if self.snapshot.is_some() && self.needs_write(now) && pacer.try_acquire(now) {
            self.write_record(now, out);
        }
    }

    /// Returns the segment of older bills to load before more is held or settled.
    fn missing_segment(&mut self) -> Option<String> {
        let needs = |l: &LocalAccount| !l.pending.is_empty() || !l.waiting.is_empty();
        if !self.active_local_accounts().any(|(_, l)| needs(l)) {
            return None;
        }
        let (stored, _) = self.snapshot.as_ref()?;
        self.archived_bills
            .next_missing(stored.record.last_segment.as_ref())
    }

    /// Takes a segment of older bills.
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

    /// Returns whether the record lacks something that only a write can bring.
    fn needs_write(&mut self, now: u64) -> bool {
        self.standby_check_due = self.standby_check_due && self.standby_needs_grant(now);
        let any = |(name, l): (&String, &LocalAccount)| {
            let local = !l.pending.is_empty() || !l.commands.is_empty() || l.returning > 0;
            let lacks = self.tokens_to_grant(now, name) > 0 || self.has_unrecorded_transfers(name);
            local || lacks || self.must_close_joint(name)
        };
        let own = self.written_segment.is_some() || self.active_local_accounts().any(any);
        own || self.standby_check_due || self.has_joints_to_close()
    }

    fn active_local_accounts(&self) -> impl Iterator<Item = (&String, &LocalAccount)> {
        let hot = self.active_accounts.iter();
        hot.filter_map(|n| self.local_accounts.get_key_value(n))
    }

    /// Returns whether a transfer is not in the record yet.
    ///
    /// A giver that leaves before would show the tokens as its own, and so as stranded.
    pub(crate) fn has_unrecorded_transfers(&self, name: &str) -> bool {
        let local = &self.local_accounts[name];
        let stored = self.stored_account(name);
        let shown = |pair: String| stored.and_then(|a| a.transfers.get(&pair)).copied();
        let me = &self.me;
        let sent = local.sent.iter().map(|(to, t)| (format!("{me}>{to}"), *t));
        let got = local
            .received
            .iter()
            .map(|(from, t)| (format!("{from}>{me}"), *t));
        sent.chain(got)
            .any(|(pair, t)| t > shown(pair).unwrap_or(0))
    }

    /// Returns the tokens to take for an account: for who waits here, or as a standby.
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
        if self.params.joint_grants && self.witness.is_some() && !self.uses_joint_grant(now, name) {
            // The witness does not answer: as little as possible without it.
            return size.min(need.saturating_mul(2)).min(account.free());
        }
        size
    }

    /// Returns what a standby should add to its own grant of an account.
    fn standby_grant(&self, now: u64, name: &str, account: &Account) -> u64 {
        if self.role != Role::Standby || self.params.standby_pct == 0 {
            return 0;
        }
        let can_be_joint = self.params.joint_grants && self.witness.is_some();
        if can_be_joint && !self.uses_joint_grant(now, name) {
            // Its joint grant is being handed back: a standby can wait for the next one, and a
            // grant of its own would strand whole.
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
        let lacks = |(name, a): (&String, &Account)| self.standby_grant(now, name, a) > 0;
        record.accounts.iter().any(lacks)
    }

    fn must_archive(&self, now: u64, pacer: &mut WriteLimiter) -> bool {
        let most = if pacer.has_spare(now) {
            MAX_RECORD_BILLS
        } else {
            MAX_RECORD_BILLS_BUSY
        };
        let full = |r: &ShardRecord| r.bill_count() > most;
        self.role == Role::Home && self.written_segment.is_none() && self.record().is_some_and(full)
    }

    fn write_segment(&mut self, pacer: &mut WriteLimiter, now: u64, out: &mut Vec<Action>) {
        if !pacer.try_acquire(now) {
            return;
        }
        let segment = self.record().expect("checked by must_roll").next_segment();
        let name = format!("{}.{}", self.me, self.next_write);
        self.next_write += 1;
        self.written_segment = Some((name.clone(), segment.clone()));
        self.open_call = PlatformCall::Segment;
        out.push(Action::WriteSegment { name, segment });
    }

    fn write_record(&mut self, now: u64, out: &mut Vec<Action>) {
        let (stored, _) = self.snapshot.as_ref().expect("checked by pump");
        let base = stored.revision;
        let mut record = stored.record.clone();
        let number = self.next_write;
        self.next_write += 1;
        let mut giving = BTreeMap::new();
        self.stop_steps();
        for (name, local) in self.active_local_accounts() {
            self.write_account(now, number, name, &mut record);
            if local.returning > 0 {
                giving.insert(name.clone(), local.returning);
            }
        }
        self.write_standby(now, number, &mut record);
        self.write_housekeeping(&mut record);
        self.close_joints_of_unresponsive(&mut record);
        record.writers.insert(self.me.clone(), number);
        if !record.accounts.values().all(Account::is_covered) {
            self.recheck_base(now, base);
            return;
        }
        self.unresolved_writes.push(UnresolvedWrite {
            number,
            base_revision: base,
            returning: giving,
            record: record.clone(),
        });
        self.open_call = PlatformCall::Write { started_at: now };
        out.push(Action::WriteRecord {
            base_revision: base,
            record,
        });
    }

    /// Reads again before a write that would put an overspend in force.
    ///
    /// On a stale record such a write comes about by itself, and would lose anyway: the top-up or
    /// grant that covers it is missing there.
    ///
    /// # Panics
    ///
    /// Panics when the record is the current one: something was spent that nobody granted, and
    /// stopping this instance strands a grant at worst.
    fn recheck_base(&mut self, now: u64, base: i64) {
        let read_at = self.snapshot.as_ref().map_or(0, |(_, since)| *since);
        if let Some((revision, doubted_at)) = self.overspend_base {
            assert!(
                revision != base || read_at < doubted_at,
                "{}: overspend on the current record, revision {base}",
                self.me
            );
        }
        if self
            .overspend_base
            .is_none_or(|(revision, _)| revision != base)
        {
            self.overspend_base = Some((base, now));
        }
        self.read_requested = true;
    }

    fn write_account(&self, now: u64, number: u64, name: &str, record: &mut ShardRecord) {
        let local = &self.local_accounts[name];
        let wanted = self.tokens_to_grant(now, name);
        for pending in &local.pending {
            let has_older = self
                .archived_bills
                .bill(name, &pending.settlement.request_id)
                .is_some();
            record.post(name, &pending.settlement, has_older);
        }
        if local.sent.is_empty()
            && local.received.is_empty()
            && local.commands.is_empty()
            && local.joint.is_none()
            && wanted + local.returning == 0
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
        for (_, act) in &local.commands {
            apply_command(account, act);
        }
        let jointly = self.uses_joint_grant(now, name);
        let (joint, own) = if jointly { (wanted, 0) } else { (0, wanted) };
        self.write_joint(name, number, joint, account);
        if own + local.returning > 0 {
            let line = account.ledger.entry(self.me.clone()).or_default();
            line.granted += own as i64 - local.returning as i64;
        }
    }

    fn write_standby(&self, now: u64, number: u64, record: &mut ShardRecord) {
        if self.role != Role::Standby {
            return;
        }
        for (name, account) in &mut record.accounts {
            let adds = self.standby_grant(now, name, account).min(account.free());
            if adds > 0 && self.uses_joint_grant(now, name) {
                self.write_joint(name, number, adds, account);
            } else if adds > 0 {
                account.ledger.entry(self.me.clone()).or_default().granted += adds as i64;
            }
        }
    }

    fn write_housekeeping(&self, record: &mut ShardRecord) {
        if let Some((name, segment)) = &self.written_segment {
            record.apply_segment(name, segment);
        }
        for holder in &self.departed {
            record.retire_holder(holder);
        }
    }

    /// Takes over what a read found.
    pub(crate) fn on_read(
        &mut self,
        now: u64,
        stored: Option<RecordSnapshot>,
        out: &mut Vec<Action>,
    ) {
        let since = match self.open_call {
            PlatformCall::Read { started_at: since } => since,
            _ => now,
        };
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        self.adopt(or_empty(stored), since, out);
    }

    /// Takes over this home's own write.
    pub(crate) fn on_write_committed(&mut self, revision: i64, out: &mut Vec<Action>) {
        let Some(proposal) = self.unresolved_writes.last() else {
            return;
        };
        let record = proposal.record.clone();
        self.end_write(RecordSnapshot { revision, record }, out);
    }

    /// Takes over the write that came first.
    pub(crate) fn on_write_conflict(
        &mut self,
        stored: Option<RecordSnapshot>,
        out: &mut Vec<Action>,
    ) {
        self.end_write(or_empty(stored), out);
    }

    fn end_write(&mut self, stored: RecordSnapshot, out: &mut Vec<Action>) {
        let since = match self.open_call {
            PlatformCall::Write { started_at: since } => since,
            _ => 0,
        };
        self.open_call = PlatformCall::Idle;
        self.consecutive_failures = 0;
        self.retry_at = 0;
        self.adopt(stored, since, out);
    }

    /// Makes a record the known one, and finds out which of this home's writes it holds.
    fn adopt(&mut self, stored: RecordSnapshot, since: u64, out: &mut Vec<Action>) {
        if let Some((old, _)) = &self.snapshot {
            if stored.revision < old.revision {
                // A store that went back can't be believed: what it granted may be granted twice.
                return;
            }
        }
        self.resolve_writes(&stored);
        self.resolve_segment(&stored.record);
        self.snapshot = Some((stored, since));
        self.standby_check_due = true;
        self.drop_retired();
        self.forget_unresponsive();
        self.adopt_joints();
        self.adopt_transfers();
        self.drop_recorded(out);
        self.answer_operators(out);
        self.drop_idle_accounts();
    }

    /// Drops a segment that the record names now, or can't name any more.
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

    /// Ends the doubt about writes that have landed or can land no more.
    fn resolve_writes(&mut self, stored: &RecordSnapshot) {
        let landed = stored.record.writers.get(&self.me).copied().unwrap_or(0);
        for proposal in std::mem::take(&mut self.unresolved_writes) {
            if proposal.number == landed {
                for (name, tokens) in &proposal.returning {
                    let local = self
                        .local_accounts
                        .get_mut(name)
                        .expect("kept while giving");
                    local.returning -= tokens;
                }
            } else if proposal.base_revision == stored.revision {
                // Still on its way, perhaps: it can land until the revision moves.
                self.unresolved_writes.push(proposal);
            }
        }
    }

    /// Drops transfers with holders that were folded up: they are grants of this holder now.
    fn drop_retired(&mut self) {
        let Some((stored, _)) = &self.snapshot else {
            return;
        };
        let tombstones = &stored.record.tombstones;
        for local in self.local_accounts.values_mut() {
            local.received.retain(|h, _| !tombstones.contains(h));
            local.sent.retain(|h, _| !tombstones.contains(h));
        }
    }

    fn adopt_transfers(&mut self) {
        let Some((stored, _)) = &self.snapshot else {
            return;
        };
        for (name, account) in &stored.record.accounts {
            if account.ledger.contains_key(&self.me) {
                // A standby's grant came without a request; a stop must find and return it too.
                self.local_accounts.entry(name.clone()).or_default();
            }
            for (pair, tokens) in &account.transfers {
                let Some((from, to)) = pair.split_once('>') else {
                    continue;
                };
                if to == self.me {
                    let local = self.local_accounts.entry(name.clone()).or_default();
                    let got = local.received.entry(from.to_string()).or_default();
                    *got = (*got).max(*tokens);
                }
            }
        }
    }

    /// Drops settlements and holds that the record shows as settled.
    fn drop_recorded(&mut self, out: &mut Vec<Action>) {
        let Some((stored, _)) = &self.snapshot else {
            return;
        };
        let record = &stored.record;
        for (name, local) in &mut self.local_accounts {
            local.pending.retain_mut(|p| {
                let posted = record.is_settled(name, &p.settlement.holder, p.settlement.hold);
                if posted {
                    let how = Durability::Recorded;
                    out.extend(p.reply_to.drain(..).map(|ask| Action::SettleReply {
                        reply_to: ask,
                        durability: how,
                    }));
                }
                !posted
            });
            let me = &self.me;
            local.holds.retain(|n, _| !record.is_settled(name, me, *n));
            let held = &local.holds;
            local.hold_by_request.retain(|_, n| held.contains_key(n));
        }
        self.copies
            .retain(|(_, a, p)| !record.is_settled(a, &p.holder, p.hold));
    }

    fn answer_operators(&mut self, out: &mut Vec<Action>) {
        let Some((stored, _)) = &self.snapshot else {
            return;
        };
        for (name, local) in &mut self.local_accounts {
            let Some(account) = stored.record.accounts.get(name) else {
                continue;
            };
            local.commands.retain(|(ask, act)| {
                let reply = stored_operator_reply(account, act);
                let answered = reply.is_some();
                out.extend(reply.map(|reply| Action::OperatorReply {
                    reply_to: *ask,
                    reply,
                }));
                !answered
            });
        }
    }

    /// Forgets accounts that have had nothing here for a while.
    fn drop_idle_accounts(&mut self) {
        let Some((stored, since)) = &self.snapshot else {
            return;
        };
        let holds = |n: &String| {
            let account = stored.record.accounts.get(n);
            account.is_some_and(|a| a.ledger.contains_key(&self.me))
        };
        self.local_accounts.retain(|n, l| {
            let empty = l.is_idle()
                && l.joint.is_none()
                && l.commands.is_empty()
                && l.sent.is_empty()
                && l.received.is_empty();
            !(empty && l.returning == 0 && l.last_used_at + IDLE_ACCOUNT_MS < *since && !holds(n))
        });
    }
}

fn or_empty(stored: Option<RecordSnapshot>) -> RecordSnapshot {
    stored.unwrap_or(RecordSnapshot {
        revision: 0,
        record: ShardRecord::default(),
    })
}

/// Only the larger word counts, so that giver and receiver may both report a transfer.
fn raise_transfer(account: &mut Account, pair: String, tokens: u64) {
    if tokens > 0 {
        let line = account.transfers.entry(pair).or_default();
        *line = (*line).max(tokens);
    }
}

fn apply_command(account: &mut Account, act: &OperatorCommand) {
    match act {
        OperatorCommand::TopUp { id, tokens } => {
            // A reused id is answered by `act_reply` from the record, which keeps the first act.
            let _ = account.top_up(id, *tokens);
        }
        OperatorCommand::Release {
            id,
            holder,
            reason,
            operator: who,
        } => {
            account.release(id, holder, reason, who);
        }
    }
}
