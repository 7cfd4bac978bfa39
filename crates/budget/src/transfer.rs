//! Transfers of tokens between holders and their return to the record.

use crate::joint_grant::DeferredRecall;
use crate::msg::Action;
use crate::shard::{Role, Shard, RECALL_STEP_WAIT_MS};

impl Shard {
    /// Answers another holder's recall, if necessary after a step of the joint grant was opened.
    pub(crate) fn on_recall(
        &mut self,
        now: u64,
        reply_to: u64,
        account: &str,
        to: String,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let shortfall = tokens.saturating_sub(self.available(account));
        if shortfall == 0 || self.joint_remaining(now, account) == 0 {
            self.answer_recall(reply_to, account, &to, tokens, out);
            return;
        }
        let deadline = now + RECALL_STEP_WAIT_MS;
        let local = self.local_accounts.entry(account.to_string()).or_default();
        local.deferred_recalls.push(DeferredRecall {
            reply_to,
            to,
            tokens,
            deadline,
        });
        self.request_step(now, account, shortfall, out);
    }

    /// Answers the recalls that waited for a step: all of them, or those past their deadline.
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
            .partition(|r| all || r.deadline <= now);
        local.deferred_recalls = later;
        for recall in due {
            self.answer_recall(recall.reply_to, account, &recall.to, recall.tokens, out);
        }
    }

    /// Transfers unspent tokens to a holder that is short of them.
    ///
    /// The tokens are debited here before the reply is sent.
    pub(crate) fn answer_recall(
        &mut self,
        reply_to: u64,
        account: &str,
        to: &str,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let available = self.available(account);
        let has_waiting = self
            .local_accounts
            .get(account)
            .is_some_and(|l| !l.waiting.is_empty());
        let transferred = match (has_waiting, self.role) {
            (true, _) => 0,
            (false, Role::None) => available,
            (false, _) => available.min(tokens.saturating_mul(2)),
        };
        let local = self.local_accounts.entry(account.to_string()).or_default();
        let sent = local.sent.entry(to.to_string()).or_default();
        *sent += transferred;
        out.push(Action::RecallReply {
            reply_to,
            total_sent: *sent,
        });
    }

    /// Handles the reply to a recall; `total_sent` is `None` if the holder did not reply.
    pub(crate) fn on_recall_reply(&mut self, account: &str, from: String, total_sent: Option<u64>) {
        let is_retired = self.record().is_some_and(|r| r.tombstones.contains(&from));
        let local = self.local_accounts.entry(account.to_string()).or_default();
        local.open_recalls = local.open_recalls.saturating_sub(1);
        if is_retired {
            // This holder's grant on record includes its transfers: they must not count twice.
            return;
        }
        if let Some(total) = total_sent.filter(|s| *s > 0) {
            let received = local.received.entry(from).or_default();
            *received = total.max(*received);
        }
    }

    /// Returns all unspent tokens to the record if this instance has no role in the shard.
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
