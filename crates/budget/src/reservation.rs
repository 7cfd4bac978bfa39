//! Reservations: which ones get tokens, wait for them, or are refused.

use smallvec::smallvec;

use crate::local_account::{Hold, LocalAccount, ReservationKind, WaitingReservation};
use crate::msg::{Action, ReserveReply};
use crate::shard::{PlatformCall, Shard};

/// Time after which to retry for tokens that are reserved or that other holders have, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Time after which to retry while the platform is unavailable, in milliseconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 5_000;

/// Number of consecutive failed calls after which the platform counts as unavailable.
const OUTAGE_FAILURES: u32 = 3;

/// What to do for a waiting reservation.
enum Decision {
    /// Keep waiting.
    Wait,
    /// Read the record first.
    ReadRecord,
    /// Recall this many tokens from other holders.
    Recall(u64),
    /// Open a step of the joint grant with at least this many tokens.
    OpenStep(u64),
    /// Refuse the reservation.
    Refuse(ReserveReply),
}

impl Shard {
    /// Serves the waiting reservations of all active accounts as far as possible.
    pub(crate) fn serve_waiting(&mut self, now: u64, out: &mut Vec<Action>) {
        let waiting = |(n, l): (&String, &LocalAccount)| (!l.waiting.is_empty()).then(|| n.clone());
        let accounts = self
            .active_accounts
            .iter()
            .filter_map(|n| self.local_accounts.get_key_value(n));
        let names: Vec<String> = accounts.filter_map(waiting).collect();
        for name in names {
            self.reserve_from_available(&name, out);
            self.decide_remaining(now, &name, out);
        }
    }

    /// Grants, in order of arrival, the reservations that the tokens available here cover.
    fn reserve_from_available(&mut self, name: &str, out: &mut Vec<Action>) {
        let last = self.record().and_then(|r| r.last_segment.as_ref());
        if self.consecutive_failures == 0 && !self.archived_bills.covers(last) {
            // Wait until the recent segments are loaded: they may have a bill of the request, which
            // must not run again then.
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
            let reply_to = waiting.reply_to;
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
            out.push(Action::ReserveReply { reply_to, reply });
        }
        self.next_hold = next_hold;
    }

    /// Answers the reservations whose requests were billed through another instance.
    fn answer_billed(&mut self, name: &str, out: &mut Vec<Action>) {
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        for waiting in std::mem::take(&mut local.waiting) {
            let reply = match &waiting.kind {
                ReservationKind::NewHold {
                    request_id,
                    body_hash,
                    ..
                } => self.billed_reply(name, request_id, *body_hash),
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

    /// Decides on the reservations that the available tokens do not cover.
    fn decide_remaining(&mut self, now: u64, name: &str, out: &mut Vec<Action>) {
        let local = self
            .local_accounts
            .get_mut(name)
            .expect("listed by the caller");
        for mut waiting in std::mem::take(&mut local.waiting) {
            match self.decide(now, name, &waiting) {
                Decision::Wait => {}
                Decision::ReadRecord => self.read_requested = true,
                Decision::Recall(shortfall) => {
                    waiting.recall_sent = true;
                    self.send_recalls(name, shortfall, out);
                }
                Decision::OpenStep(shortfall) => self.request_step(now, name, shortfall, out),
                Decision::Refuse(reply) => {
                    let reply_to = waiting.reply_to;
                    out.push(Action::ReserveReply { reply_to, reply });
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
        let shortfall = waiting.tokens.saturating_sub(available);
        let unopened = self.joint_remaining(now, name);
        if shortfall <= unopened {
            return Decision::OpenStep(shortfall);
        }
        let shortfall = shortfall - unopened;
        if (1..OUTAGE_FAILURES).contains(&self.consecutive_failures) {
            return Decision::Wait;
        }
        let free = self.stored_account(name).map_or(0, |a| a.free());
        if self.consecutive_failures == 0 {
            if self.snapshot.is_none() {
                return Decision::ReadRecord;
            }
            if free >= shortfall && self.can_grant(name, shortfall) {
                return Decision::Wait;
            }
            if !self.is_snapshot_since(waiting.requested_at) {
                return Decision::ReadRecord;
            }
            let left = self.remaining(name);
            if waiting.tokens > left {
                return Decision::Refuse(ReserveReply::Exhausted { left });
            }
        }
        let open_recalls = self.local_accounts.get(name).map_or(0, |l| l.open_recalls);
        let is_writing = matches!(self.open_call, PlatformCall::Write { .. });
        match (waiting.recall_sent, open_recalls) {
            (false, _) if self.params.recall && !self.donors(name).is_empty() => {
                let grantable = if self.consecutive_failures == 0 {
                    free
                } else {
                    0
                };
                Decision::Recall(shortfall.saturating_sub(grantable))
            }
            (true, 1..) => Decision::Wait,
            _ if is_writing && self.consecutive_failures == 0 => Decision::Wait,
            _ => refuse,
        }
    }

    /// Returns whether the sizing policy allows a grant that covers a shortfall.
    fn can_grant(&self, name: &str, shortfall: u64) -> bool {
        let Some(account) = self.stored_account(name) else {
            return false;
        };
        let input = crate::grant::SizingInput {
            need: shortfall,
            free: account.free(),
            total: account.total(),
            granted: self.granted(name),
            weight: 100,
            rate: 0.0,
        };
        shortfall == 0 || self.params.sizing.size(input) > 0
    }

    /// Returns whether the known record comes from a call that began at or after a time.
    fn is_snapshot_since(&self, time: u64) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|(_, started_at)| *started_at >= time)
    }

    /// Returns the tokens of an account that are not spent, as far as known here.
    fn remaining(&self, name: &str) -> u64 {
        let unrecorded = self
            .local_accounts
            .get(name)
            .map_or(0, |l| l.unrecorded(&self.me));
        let stored = self.stored_account(name);
        let left = stored.map_or(0, |a| a.total().saturating_sub(a.settled()));
        left.saturating_sub(unrecorded)
    }

    /// Returns the tokens that must be granted to serve the waiting reservations.
    ///
    /// Reservations that the budget cannot cover are left out.
    pub(crate) fn grantable(&self, now: u64, name: &str) -> u64 {
        let Some(account) = self.stored_account(name) else {
            return 0;
        };
        let free = account.free() + self.joint_remaining(now, name);
        let available = self.available(name);
        let mut sum = 0;
        for waiting in &self.local_accounts[name].waiting {
            let shortfall = (sum + waiting.tokens).saturating_sub(available);
            if shortfall <= free {
                sum += waiting.tokens;
            }
        }
        sum.saturating_sub(available)
    }

    /// Recalls tokens from all holders that may have unspent ones.
    fn send_recalls(&mut self, name: &str, shortfall: u64, out: &mut Vec<Action>) {
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
                tokens: shortfall,
            });
        }
    }

    /// Returns the live holders that have unspent tokens on record.
    fn donors(&self, name: &str) -> Vec<String> {
        let Some(account) = self.stored_account(name) else {
            return Vec::new();
        };
        let peers = self.peers.iter().filter(|p| **p != self.me);
        let has_tokens = |p: &&String| account.unspent(p) + account.unopened(p) > 0;
        peers.filter(has_tokens).cloned().collect()
    }
}

/// Opens or extends a hold and returns its number; `None` if the hold to extend has ended.
fn open_or_extend_hold(
    local: &mut LocalAccount,
    waiting: WaitingReservation,
    next_hold: u64,
) -> Option<u64> {
    match waiting.kind {
        ReservationKind::NewHold {
            request_id,
            body_hash,
            entry,
        } => {
            local.hold_by_request.insert(request_id.clone(), next_hold);
            let new = Hold {
                request_id,
                body_hash,
                entries: smallvec![entry],
                attempt: waiting.attempt,
                tokens: waiting.tokens,
                settled: 0,
                unconfirmed: false,
                cancel_at: None,
            };
            local.holds.insert(next_hold, new);
            Some(next_hold)
        }
        ReservationKind::ExtendHold { hold } => {
            let extended = local.holds.get_mut(&hold)?;
            extended.tokens += waiting.tokens;
            extended.attempt = waiting.attempt;
            Some(hold)
        }
    }
}
