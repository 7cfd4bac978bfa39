//! The end of holds: settled by entries, voided, cancelled at upstreams, or posted from copies.

use crate::local_account::{Hold, PendingSettlement, ReservationKind};
use crate::msg::{Action, AttemptRef, Durability, Settlement, UnconfirmedUsage, Warning};
use crate::shard::{close_hold, push_settle_reply, Shard, CANCEL_RETRY_MS, COPY_RETRY_MS};

impl Shard {
    /// Frees a reservation whose reply reached its entry too late or not at all.
    ///
    /// Without this the tokens would stay reserved, because nobody would settle the hold.
    pub(crate) fn void(&mut self, now: u64, account: &str, request_id: &str, entry: &str) {
        let me = self.me.clone();
        let local = self.local_accounts.entry(account.to_string()).or_default();
        local.add_voided(entry, request_id);
        local.waiting.retain(|w| match &w.kind {
            ReservationKind::NewHold {
                request_id: r,
                entry: e,
                ..
            } => r != request_id || e != entry,
            ReservationKind::ExtendHold { .. } => true,
        });
        let Some(hold) = local.hold_by_request.get(request_id).copied() else {
            return;
        };
        let is_only_entry = |h: &Hold| h.entries.len() == 1 && h.entries[0] == entry;
        if local.holds.get(&hold).is_some_and(is_only_entry) {
            let settlement = Settlement {
                holder: me,
                hold,
                request_id: request_id.to_string(),
                tokens: 0,
                billed: false,
                body_hash: 0,
                attempt: AttemptRef::default(),
                at_ms: 0,
            };
            self.settle(now, None, account, settlement, &[], &mut Vec::new());
        }
    }

    /// Settles a hold of this or another holder, once.
    pub(crate) fn settle(
        &mut self,
        now: u64,
        reply_to: Option<u64>,
        account: &str,
        mut settlement: Settlement,
        unconfirmed: &[UnconfirmedUsage],
        out: &mut Vec<Action>,
    ) {
        if self.is_recorded(account, &settlement) {
            push_settle_reply(reply_to, Durability::Recorded, out);
            return;
        }
        self.active_accounts.insert(account.to_string());
        let copy_at = now
            + if self.consecutive_failures > 0 {
                0
            } else {
                self.params.copy_delay_ms
            };
        let local = self.local_accounts.entry(account.to_string()).or_default();
        let same = |p: &&mut PendingSettlement| {
            p.settlement.holder == settlement.holder && p.settlement.hold == settlement.hold
        };
        if let Some(pending) = local.pending.iter_mut().find(same) {
            pending.reply_to.extend(reply_to);
            return;
        }
        if settlement.holder == self.me {
            let Some(hold) = local.holds.remove(&settlement.hold) else {
                // This holder does not know the hold: it was settled before, and the settlement is
                // already forgotten.
                push_settle_reply(reply_to, Durability::Recorded, out);
                return;
            };
            if settlement.tokens > hold.tokens {
                let account = account.to_string();
                let tokens = settlement.tokens - hold.tokens;
                out.push(Action::Warn(Warning::ExcessUsage { account, tokens }));
                settlement.tokens = hold.tokens;
            }
            self.next_hold = close_hold(now, local, hold, &settlement, unconfirmed, self.next_hold);
        }
        local.pending.push(PendingSettlement {
            settlement,
            reply_to: reply_to.into_iter().collect(),
            copy_at,
            copy_attempts: 0,
        });
    }

    /// Returns whether the record shows a hold as settled.
    pub(crate) fn is_recorded(&self, account: &str, settlement: &Settlement) -> bool {
        let record = self.record();
        record.is_some_and(|r| r.is_settled(account, &settlement.holder, settlement.hold))
    }

    /// Removes an entry from a hold and tells it whether other entries remain.
    ///
    /// The last entry is not removed: it has to cancel the request and settle the hold.
    pub(crate) fn detach(
        &mut self,
        reply_to: u64,
        account: &str,
        hold: u64,
        entry: &str,
        out: &mut Vec<Action>,
    ) {
        let local = self.local_accounts.get_mut(account);
        let found = local.and_then(|l| l.holds.get_mut(&hold));
        let others_remain = found.is_some_and(|h| {
            let index = h.entries.iter().position(|e| e == entry);
            let others_remain = h.entries.len() > 1;
            if let (Some(index), true) = (index, others_remain) {
                h.entries.remove(index);
            }
            others_remain
        });
        out.push(Action::DetachReply {
            reply_to,
            others_remain,
        });
    }

    /// Sends the replies that wait for a settlement, now that a copy of it is stored.
    pub(crate) fn on_copy_stored(&mut self, account: &str, hold: u64, out: &mut Vec<Action>) {
        let Some(local) = self.local_accounts.get_mut(account) else {
            return;
        };
        for pending in local
            .pending
            .iter_mut()
            .filter(|p| p.settlement.hold == hold)
        {
            for reply_to in pending.reply_to.drain(..) {
                push_settle_reply(Some(reply_to), Durability::Copied, out);
            }
        }
    }

    /// Handles an instance that no longer responds: its joint grants are to be closed if this
    /// instance is their witness, and requests that it alone served are orphaned.
    ///
    /// The holds of orphaned requests are not freed, because the instance may merely be paused and
    /// may still send a request to an upstream later.
    pub(crate) fn on_instance_unresponsive(&mut self, now: u64, instance: &str) {
        if self.witness_state.watches(instance) {
            self.witness_state.unresponsive.insert(instance.to_string());
            self.read_requested = true;
        }
        let cancel_at = now + self.params.orphan_grace_ms;
        for local in self.local_accounts.values_mut() {
            for hold in local.holds.values_mut() {
                let before = hold.entries.len();
                hold.entries.retain(|e| e != instance);
                if before > 0 && hold.entries.is_empty() {
                    hold.cancel_at = Some(cancel_at);
                }
            }
        }
    }

    /// Settles a hold by the usage that an upstream reported for its attempt.
    pub(crate) fn on_usage_reported(
        &mut self,
        now: u64,
        account: &str,
        hold: u64,
        tokens: u64,
        at_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let local = self.local_accounts.get(account);
        let Some(found) = local.and_then(|l| l.holds.get(&hold)) else {
            return;
        };
        let settlement = Settlement {
            holder: self.me.clone(),
            hold,
            request_id: found.request_id.clone(),
            tokens: tokens.saturating_sub(found.settled),
            billed: !found.unconfirmed && tokens > 0,
            body_hash: found.body_hash,
            attempt: found.attempt.clone(),
            at_ms,
        };
        self.settle(now, None, account, settlement, &[], out);
    }

    /// Posts copies of settlements that their holders did not get into the record in time.
    ///
    /// The record is read first, because usually the holder was faster and no write is needed.
    pub(crate) fn post_due_copies(&mut self, now: u64) {
        let read_at = self.snapshot.as_ref().map_or(0, |(_, at)| *at);
        self.read_requested |= self
            .copies
            .iter()
            .any(|(at, ..)| *at <= now && *at > read_at);
        let (due, later) = std::mem::take(&mut self.copies)
            .into_iter()
            .partition(|(at, ..)| *at <= read_at);
        self.copies = later;
        for (_, account, settlement) in due {
            self.settle(now, None, &account, settlement, &[], &mut Vec::new());
        }
    }

    /// Sends copies of this holder's settlements that have waited too long for the record.
    pub(crate) fn send_due_copies(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.local_accounts {
            for pending in &mut local.pending {
                let needs_copy =
                    !pending.reply_to.is_empty() && pending.settlement.holder == self.me;
                if needs_copy && pending.copy_at <= now {
                    // In a zone that is cut off for long, thousands of settlements are pending.
                    // Sending all copies again at a fixed interval would overload the instances of
                    // the zone.
                    pending.copy_at = now + (COPY_RETRY_MS << pending.copy_attempts.min(7));
                    pending.copy_attempts += 1;
                    out.push(Action::SendCopy {
                        account: account.clone(),
                        settlement: pending.settlement.clone(),
                    });
                }
            }
        }
    }

    /// Cancels the attempts of orphaned requests, and those with unconfirmed usage, when it is
    /// time.
    pub(crate) fn cancel_due_attempts(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.local_accounts {
            for (number, hold) in &mut local.holds {
                if hold.cancel_at.is_some_and(|at| at <= now) {
                    hold.cancel_at = Some(now + CANCEL_RETRY_MS);
                    out.push(Action::CancelAttempt {
                        account: account.clone(),
                        hold: *number,
                        attempt: hold.attempt.clone(),
                    });
                }
            }
        }
    }
}
