//! Tokens that move between holders, or back to the record.

use crate::joint_grant::DeferredRecall;
use crate::msg::Action;
use crate::shard::{Role, Shard, CALL_MS};

impl Shard {
    /// Takes another holder's call for tokens; opens a step first where that is needed.
    pub(crate) fn call(
        &mut self,
        now: u64,
        ask: u64,
        account: &str,
        to: String,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let lack = tokens.saturating_sub(self.available(account));
        if lack == 0 || self.joint_left(now, account) == 0 {
            self.hand_over(ask, account, &to, tokens, out);
            return;
        }
        let until = now + CALL_MS;
        let local = self.locals.entry(account.to_string()).or_default();
        local.deferred_recalls.push(DeferredRecall {
            reply_to: ask,
            to,
            tokens,
            deadline: until,
        });
        self.ask_step(now, account, lack, out);
    }

    /// Answers calls that waited for a step, all of them or those whose time is over.
    pub(crate) fn answer_calls(
        &mut self,
        now: u64,
        account: &str,
        all: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(local) = self.locals.get_mut(account) else {
            return;
        };
        let (due, later) = std::mem::take(&mut local.deferred_recalls)
            .into_iter()
            .partition(|c| all || c.deadline <= now);
        local.deferred_recalls = later;
        for call in due {
            self.hand_over(call.reply_to, account, &call.to, call.tokens, out);
        }
    }

    /// Hands unspent tokens to a holder that lacks them: debited here before it is told.
    pub(crate) fn hand_over(
        &mut self,
        ask: u64,
        account: &str,
        to: &str,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let available = self.available(account);
        let waiting = self
            .locals
            .get(account)
            .is_some_and(|l| !l.waiting.is_empty());
        let give = match (waiting, self.role) {
            (true, _) => 0,
            (false, Role::None) => available,
            (false, _) => available.min(tokens.saturating_mul(2)),
        };
        let local = self.locals.entry(account.to_string()).or_default();
        let sent = local.sent.entry(to.to_string()).or_default();
        *sent += give;
        out.push(Action::RecallReply {
            reply_to: ask,
            total_sent: *sent,
        });
    }

    pub(crate) fn recalled(&mut self, account: &str, from: String, sent: Option<u64>) {
        let folded = self.record().is_some_and(|r| r.tombstones.contains(&from));
        let local = self.locals.entry(account.to_string()).or_default();
        local.open_recalls = local.open_recalls.saturating_sub(1);
        if folded {
            // What it handed over is a grant by now: counting it again would double it.
            return;
        }
        if let Some(sent) = sent.filter(|s| *s > 0) {
            let got = local.received.entry(from).or_default();
            *got = sent.max(*got);
        }
    }

    /// Hands unspent tokens back to the record when this instance is nothing to the shard.
    pub(crate) fn give_back(&mut self) {
        if self.role != Role::None || self.failures > 0 {
            return;
        }
        let names: Vec<String> = self.locals.keys().cloned().collect();
        self.hot.extend(names.iter().cloned());
        for name in names {
            let available = self.available(&name);
            let local = self.locals.get_mut(&name).expect("listed above");
            if local.waiting.is_empty() {
                local.returning += available;
            }
        }
    }
}
