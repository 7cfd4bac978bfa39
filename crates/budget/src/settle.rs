//! How holds end: settled by entries, given up, proved by upstreams, or posted from copies.

use crate::local_account::{Hold, PendingSettlement, ReservationKind};
use crate::msg::{Action, AttemptRef, Durability, Settlement, UnconfirmedUsage, Warning};
use crate::shard::{close_hold, push_settle_reply, Shard, CANCEL_RETRY_MS, COPY_RETRY_MS};

impl Shard {
    /// Frees a reservation whose answer reached its entry too late, or never.
    ///
    /// Without this the tokens would stay reserved with nobody to settle them.
    pub(crate) fn void(&mut self, now: u64, account: &str, request: &str, entry: &str) {
        let me = self.me.clone();
        let local = self.local_accounts.entry(account.to_string()).or_default();
        local.add_voided(entry, request);
        local.waiting.retain(|w| match &w.kind {
            ReservationKind::NewHold {
                request_id: r,
                entry: e,
                ..
            } => r != request || e != entry,
            ReservationKind::ExtendHold { .. } => true,
        });
        let Some(hold) = local.hold_by_request.get(request).copied() else {
            return;
        };
        let only = |h: &Hold| h.entries.len() == 1 && h.entries[0] == entry;
        if local.holds.get(&hold).is_some_and(only) {
            let post = Settlement {
                holder: me,
                hold,
                request_id: request.to_string(),
                tokens: 0,
                billed: false,
                body_hash: 0,
                attempt: AttemptRef::default(),
                at_ms: 0,
            };
            self.settle(now, None, account, post, &[], &mut Vec::new());
        }
    }

    pub(crate) fn settle(
        &mut self,
        now: u64,
        ask: Option<u64>,
        account: &str,
        mut post: Settlement,
        doubts: &[UnconfirmedUsage],
        out: &mut Vec<Action>,
    ) {
        if self.is_recorded(account, &post) {
            push_settle_reply(ask, Durability::Recorded, out);
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
            p.settlement.holder == post.holder && p.settlement.hold == post.hold
        };
        if let Some(pending) = local.pending.iter_mut().find(same) {
            pending.reply_to.extend(ask);
            return;
        }
        if post.holder == self.me {
            let Some(held) = local.holds.remove(&post.hold) else {
                // An unknown number of this holder: an earlier settlement is already forgotten.
                push_settle_reply(ask, Durability::Recorded, out);
                return;
            };
            if post.tokens > held.tokens {
                let account = account.to_string();
                let tokens = post.tokens - held.tokens;
                out.push(Action::Warn(Warning::ExcessUsage { account, tokens }));
                post.tokens = held.tokens;
            }
            self.next_hold = close_hold(now, local, held, &post, doubts, self.next_hold);
        }
        local.pending.push(PendingSettlement {
            settlement: post,
            reply_to: ask.into_iter().collect(),
            copy_at,
            copy_attempts: 0,
        });
    }

    pub(crate) fn is_recorded(&self, account: &str, post: &Settlement) -> bool {
        let record = self.record();
        record.is_some_and(|r| r.is_settled(account, &post.holder, post.hold))
    }

    /// Takes an entry off a request; the last one must cancel and settle it instead.
    pub(crate) fn detach(
        &mut self,
        ask: u64,
        account: &str,
        hold: u64,
        entry: &str,
        out: &mut Vec<Action>,
    ) {
        let local = self.local_accounts.get_mut(account);
        let held = local.and_then(|l| l.holds.get_mut(&hold));
        let others = held.is_some_and(|h| {
            let at = h.entries.iter().position(|e| e == entry);
            let others = h.entries.len() > 1;
            if let (Some(at), true) = (at, others) {
                h.entries.remove(at);
            }
            others
        });
        out.push(Action::DetachReply {
            reply_to: ask,
            others_remain: others,
        });
    }

    pub(crate) fn on_copy_stored(&mut self, account: &str, hold: u64, out: &mut Vec<Action>) {
        let Some(local) = self.local_accounts.get_mut(account) else {
            return;
        };
        for pending in local
            .pending
            .iter_mut()
            .filter(|p| p.settlement.hold == hold)
        {
            for ask in pending.reply_to.drain(..) {
                push_settle_reply(Some(ask), Durability::Copied, out);
            }
        }
    }

    /// Starts the wait for the callers of an entry that is gone.
    ///
    /// The reservation is not freed: the entry may be paused, and dispatch later.
    pub(crate) fn on_instance_unresponsive(&mut self, now: u64, entry: &str) {
        if self.witness_state.watches(entry) {
            self.witness_state.unresponsive.insert(entry.to_string());
            self.read_requested = true;
        }
        let probe_at = now + self.params.orphan_grace_ms;
        for local in self.local_accounts.values_mut() {
            for held in local.holds.values_mut() {
                let before = held.entries.len();
                held.entries.retain(|e| e != entry);
                if before > 0 && held.entries.is_empty() {
                    held.cancel_at = Some(probe_at);
                }
            }
        }
    }

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
        let Some(held) = local.and_then(|l| l.holds.get(&hold)) else {
            return;
        };
        let post = Settlement {
            holder: self.me.clone(),
            hold,
            request_id: held.request_id.clone(),
            tokens: tokens.saturating_sub(held.settled),
            billed: !held.unconfirmed && tokens > 0,
            body_hash: held.body_hash,
            attempt: held.attempt.clone(),
            at_ms,
        };
        self.settle(now, None, account, post, &[], out);
    }

    /// Posts copies whose holder did not get them into the record in time.
    ///
    /// The record is read first: mostly the holder was faster, and no write is needed.
    pub(crate) fn post_due_copies(&mut self, now: u64) {
        let read_at = self.snapshot.as_ref().map_or(0, |(_, since)| *since);
        self.read_requested |= self
            .copies
            .iter()
            .any(|(at, ..)| *at <= now && *at > read_at);
        let (due, later) = std::mem::take(&mut self.copies)
            .into_iter()
            .partition(|(at, ..)| *at <= read_at);
        self.copies = later;
        for (_, account, post) in due {
            self.settle(now, None, &account, post, &[], &mut Vec::new());
        }
    }

    pub(crate) fn send_due_copies(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.local_accounts {
            for pending in &mut local.pending {
                let waits = !pending.reply_to.is_empty() && pending.settlement.holder == self.me;
                if waits && pending.copy_at <= now {
                    // In a zone that is cut off for long, thousands of bills wait: asking for all of
                    // them again and again would drown the instances of the zone.
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

    pub(crate) fn cancel_due_attempts(&mut self, now: u64, out: &mut Vec<Action>) {
        for (account, local) in &mut self.local_accounts {
            for (hold, held) in &mut local.holds {
                if held.cancel_at.is_some_and(|at| at <= now) {
                    held.cancel_at = Some(now + CANCEL_RETRY_MS);
                    out.push(Action::CancelAttempt {
                        account: account.clone(),
                        hold: *hold,
                        attempt: held.attempt.clone(),
                    });
                }
            }
        }
    }
}
