//! Who gets tokens, who waits, and who is refused with which reason.

use smallvec::smallvec;

use crate::local_account::{Hold, LocalAccount, ReservationKind, WaitingReservation};
use crate::msg::{Action, ReserveReply};
use crate::shard::{PlatformCall, Shard};

/// When to come back for tokens that others hold or have reserved, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// When to come back while the platform is out, in milliseconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 5_000;

/// Failed calls in a row after which the platform counts as out.
const OUTAGE_FAILURES: u32 = 3;

/// What to do for one waiting entry.
enum Decision {
    Wait,
    Read,
    Recall(u64),
    Step(u64),
    Refuse(ReserveReply),
}

impl Shard {
    pub(crate) fn serve_waiting(&mut self, now: u64, out: &mut Vec<Action>) {
        let waits = |(n, l): (&String, &LocalAccount)| (!l.waiting.is_empty()).then(|| n.clone());
        let hot = self
            .active_accounts
            .iter()
            .filter_map(|n| self.local_accounts.get_key_value(n));
        let names: Vec<String> = hot.filter_map(waits).collect();
        for name in names {
            self.reserve_from_available(&name, out);
            self.decide_remaining(now, &name, out);
        }
    }

    /// Serves everyone whose request fits into what is held here.
    fn reserve_from_available(&mut self, name: &str, out: &mut Vec<Action>) {
        let last = self.record().and_then(|r| r.last_segment.as_ref());
        if self.consecutive_failures == 0 && !self.archived_bills.covers(last) {
            // Loaded in a moment: a request that was billed must not run again.
            return;
        }
        self.answer_billed(name, out);
        let mut available = self.available(name);
        let me = self.me.clone();
        let mut next_hold = self.next_hold;
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        for waiting in std::mem::take(&mut local.waiting) {
            if waiting.tokens > available {
                local.waiting.push_back(waiting);
                continue;
            }
            let ask = waiting.reply_to;
            let tokens = waiting.tokens;
            let reply = match open_or_extend_hold(local, waiting, next_hold) {
                Some(hold) => {
                    available -= tokens;
                    next_hold = next_hold.max(hold + 1);
                    let holder = me.clone();
                    ReserveReply::Held { holder, hold }
                }
                None => ReserveReply::Voided,
            };
            out.push(Action::ReserveReply {
                reply_to: ask,
                reply,
            });
        }
        self.next_hold = next_hold;
    }

    /// Answers those whose request was billed at another home.
    fn answer_billed(&mut self, name: &str, out: &mut Vec<Action>) {
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        for waiting in std::mem::take(&mut local.waiting) {
            let reply = match &waiting.kind {
                ReservationKind::NewHold {
                    request_id: request,
                    body_hash: body,
                    ..
                } => self.billed_reply(name, request, *body),
                ReservationKind::ExtendHold { .. } => None,
            };
            let local = self
                .local_accounts
                .get_mut(name)
                .expect("listed by the caller");
            match reply {
                Some(reply) => out.push(Action::ReserveReply {
                    reply_to: waiting.reply_to,
                    reply,
                }),
                None => local.waiting.push_back(waiting),
            }
        }
    }

    fn decide_remaining(&mut self, now: u64, name: &str, out: &mut Vec<Action>) {
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        for mut waiting in std::mem::take(&mut local.waiting) {
            match self.decide(now, name, &waiting) {
                Decision::Wait => {}
                Decision::Read => self.read_requested = true,
                Decision::Recall(lack) => {
                    waiting.recall_sent = true;
                    self.send_recalls(name, lack, out);
                }
                Decision::Step(lack) => self.request_step(now, name, lack, out),
                Decision::Refuse(reply) => {
                    let ask = waiting.reply_to;
                    out.push(Action::ReserveReply {
                        reply_to: ask,
                        reply,
                    });
                    continue;
                }
            }
            let local = self
                .local_accounts
                .get_mut(name)
                .expect("listed by the caller");
            local.waiting.push_back(waiting);
        }
    }

    fn decide(&self, now: u64, name: &str, waiting: &WaitingReservation) -> Decision {
        let retry_ms = if self.consecutive_failures > 0 {
            OUTAGE_RETRY_AFTER_MS
        } else {
            RETRY_AFTER_MS
        };
        let refuse = Decision::Refuse(ReserveReply::OutOfReach { retry_ms });
        if now >= waiting.deadline {
            return refuse;
        }
        let available = self.available(name);
        let lack = waiting.tokens.saturating_sub(available);
        let left = self.joint_remaining(now, name);
        if lack <= left {
            return Decision::Step(lack);
        }
        let lack = lack - left;
        if (1..OUTAGE_FAILURES).contains(&self.consecutive_failures) {
            return Decision::Wait;
        }
        let free = self.stored_account(name).map_or(0, |a| a.free());
        if self.consecutive_failures == 0 {
            if self.snapshot.is_none() {
                return Decision::Read;
            }
            if free >= lack && self.can_grant(name, lack) {
                return Decision::Wait;
            }
            if !self.is_snapshot_since(waiting.requested_at) {
                return Decision::Read;
            }
            let left = self.remaining(name);
            if waiting.tokens > left {
                return Decision::Refuse(ReserveReply::Exhausted { left });
            }
        }
        let open = self.local_accounts.get(name).map_or(0, |l| l.open_recalls);
        let write_open = matches!(self.open_call, PlatformCall::Write { .. });
        match (waiting.recall_sent, open) {
            (false, _) if self.params.recall && !self.donors(name).is_empty() => {
                let granted = if self.consecutive_failures == 0 {
                    free
                } else {
                    0
                };
                Decision::Recall(lack.saturating_sub(granted))
            }
            (true, 1..) => Decision::Wait,
            _ if write_open && self.consecutive_failures == 0 => Decision::Wait,
            _ => refuse,
        }
    }

    fn can_grant(&self, name: &str, lack: u64) -> bool {
        let Some(account) = self.stored_account(name) else {
            return false;
        };
        let basis = crate::grant::SizingInput {
            need: lack,
            free: account.free(),
            total: account.total(),
            granted: self.granted(name),
            weight: 100,
            rate: 0.0,
        };
        lack == 0 || self.params.sizing.size(basis) > 0
    }

    /// Returns whether the record was read or written after a time.
    fn is_snapshot_since(&self, asked_at: u64) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|(_, since)| *since >= asked_at)
    }

    /// Returns the tokens of an account that nobody has spent.
    fn remaining(&self, name: &str) -> u64 {
        let unposted = self
            .local_accounts
            .get(name)
            .map_or(0, |l| l.unrecorded(&self.me));
        let stored = self.stored_account(name);
        let left = stored.map_or(0, |a| a.total().saturating_sub(a.settled()));
        left.saturating_sub(unposted)
    }

    /// Returns the largest sum of waiting requests that a grant can serve.
    pub(crate) fn grantable(&self, now: u64, name: &str) -> u64 {
        let Some(account) = self.stored_account(name) else {
            return 0;
        };
        let free = account.free() + self.joint_remaining(now, name);
        let available = self.available(name);
        let mut sum = 0;
        for waiting in &self.local_accounts[name].waiting {
            let lack = (sum + waiting.tokens).saturating_sub(available);
            if lack <= free {
                sum += waiting.tokens;
            }
        }
        sum.saturating_sub(available)
    }

    fn send_recalls(&mut self, name: &str, lack: u64, out: &mut Vec<Action>) {
        let donors = self.donors(name);
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        local.open_recalls += donors.len() as u32;
        for from in donors {
            out.push(Action::Recall {
                account: name.to_string(),
                from,
                tokens: lack,
            });
        }
    }

    /// Returns the living holders that may hold unspent tokens.
    fn donors(&self, name: &str) -> Vec<String> {
        let Some(account) = self.stored_account(name) else {
            return Vec::new();
        };
        let peers = self.peers.iter().filter(|p| **p != self.me);
        let has = |p: &&String| account.unspent(p) + account.unopened(p) > 0;
        peers.filter(has).cloned().collect()
    }
}

/// Opens or widens a hold; none when the hold to widen is gone.
fn open_or_extend_hold(
    local: &mut LocalAccount,
    waiting: WaitingReservation,
    next_hold: u64,
) -> Option<u64> {
    match waiting.kind {
        ReservationKind::NewHold {
            request_id: request,
            body_hash: body,
            entry,
        } => {
            local.hold_by_request.insert(request.clone(), next_hold);
            let held = Hold {
                request_id: request,
                body_hash: body,
                entries: smallvec![entry],
                attempt: waiting.attempt,
                tokens: waiting.tokens,
                settled: 0,
                unconfirmed: false,
                cancel_at: None,
            };
            local.holds.insert(next_hold, held);
            Some(next_hold)
        }
        ReservationKind::ExtendHold { hold } => {
            let held = local.holds.get_mut(&hold)?;
            held.tokens += waiting.tokens;
            held.attempt = waiting.attempt;
            Some(hold)
        }
    }
}
