//! Tokens that move between holders, or back to the record.

use crate::joint_grant::DeferredRecall;
use crate::msg::Action;
use crate::shard::{Role, Shard, RECALL_STEP_WAIT_MS};

impl Shard {
    /// Takes another holder's call for tokens; opens a step first where that is needed.
    pub(crate) fn on_recall(
        &mut self,
        now: u64,
        ask: u64,
        account: &str,
        to: String,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let lack = tokens.saturating_sub(self.available(account));
        if lack == 0 || self.joint_remaining(now, account) == 0 {
            self.answer_recall(ask, account, &to, tokens, out);
            return;
        }
        let until = now + RECALL_STEP_WAIT_MS;
        let local = self.local_accounts.entry(account.to_string()).or_default();
        local.deferred_recalls.push(DeferredRecall {
            reply_to: ask,
            to,
            tokens,
            deadline: until,
        });
        self.request_step(now, account, lack, out);
    }

    /// Answers calls that waited for a step, all of them or those whose time is over.
    pub(crate) fn answer_deferred_recalls(
        &mut self,
        now: u64,
        account: &str,
        all: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(local) = self.local_accounts.get_mut(account) else {
            return;
        };
        let (due, later) = std::mem::take(&mut local.deferred_recalls)
            .into_iter()
            .partition(|c| all || c.deadline <= now);
        local.deferred_recalls = later;
        for call in due {
            self.answer_recall(call.reply_to, account, &call.to, call.tokens, out);
        }
    }

    /// Hands unspent tokens to a holder that lacks them: debited here before it is told.
    pub(crate) fn answer_recall(
        &mut self,
        ask: u64,
        account: &str,
        to: &str,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let available = self.available(account);
        let waiting = self
            .local_accounts
            .get(account)
            .is_some_and(|l| !l.waiting.is_empty());
        let give = match (waiting, self.role) {
            (true, _) => 0,
            (false, Role::None) => available,
            (false, _) => available.min(tokens.saturating_mul(2)),
        };
        let local = self.local_accounts.entry(account.to_string()).or_default();
        let sent = local.sent.entry(to.to_string()).or_default();
        *sent += give;
        out.push(Action::RecallReply {
            reply_to: ask,
            total_sent: *sent,
        });
    }

    pub(crate) fn on_recall_reply(&mut self, account: &str, from: String, sent: Option<u64>) {
        let folded = self.record().is_some_and(|r| r.tombstones.contains(&from));
        let local = self.local_accounts.entry(account.to_string()).or_default();
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
    pub(crate) fn return_unspent(&mut self) {
        if self.role != Role::None || self.consecutive_failures > 0 {
            return;
        }
        let names: Vec<String> = self.local_accounts.keys().cloned().collect();
        self.active_accounts.extend(names.iter().cloned());
        for name in names {
            let available = self.available(&name);
            let local = self.local_accounts.get_mut(&name).expect("listed above");
            if local.waiting.is_empty() {
                local.returning += available;
            }
        }
    }
}
