//! Joint grants: large grants of which a crash strands only a small part.
//!
//! A holder may spend only the opened part of a joint grant. It opens the grant in small steps, and
//! each step must be approved by a witness, another instance of the same zone. If the holder
//! becomes unresponsive, the witness stops approving steps and returns the unopened part to the
//! record; if the witness becomes unresponsive, the holder returns it. Both do so by
//! compare-and-swap on the record, so only one of them takes effect. A crash strands only the last
//! step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::msg::Action;
use crate::record::{parse_joint_key, Account, ShardRecord};
use crate::shard::{Role, Shard, Witness};

/// Time for which a step covers the demand, in milliseconds.
const STEP_DEMAND_MS: f64 = 1_500.0;
/// Time after which the holder takes grants without a witness that has not replied to a step, in
/// milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 200;
/// Number of steps' worth of tokens that a holder in a zone with a witness keeps in its own grant: room
/// for steps that are opened ahead and for tokens that holds reserved and requests did not spend.
const MAX_UNWITNESSED_STEPS: f64 = 4.0;
/// The holder keeps at least the whole budget divided by this: returning less is not worth a write.
const UNWITNESSED_DIVISOR: u64 = 100;
/// Number of closed joint grants whose keys a witness remembers, to refuse late steps.
const MAX_CLOSED_GRANTS: usize = 4_096;

/// The joint grant of one account at its holder.
#[derive(Clone, Debug, Serialize)]
pub struct LocalJointGrant {
    /// Key in the record.
    pub key: String,
    /// Tokens opened, cumulative.
    pub opened: u64,
    /// Step that the witness was asked for: the time of the request, in milliseconds, and the
    /// tokens opened after the step.
    #[serde(rename = "asked")]
    pub pending_step: Option<(u64, u64)>,
    /// Whether the witness knows of the grant, and so closes it if this holder becomes
    /// unresponsive.
    pub is_watched: bool,
    /// Set once no more steps may be opened because the grant is being closed.
    pub closing: bool,
}

/// Another holder's recall whose reply waits for a step to be opened.
#[derive(Clone, Debug)]
pub struct DeferredRecall {
    /// Id of the reply.
    pub reply_to: u64,
    /// Holder that asks for the tokens.
    pub to: String,
    /// Tokens asked for.
    pub tokens: u64,
    /// When the recall is answered with what is available, in milliseconds.
    pub deadline: u64,
}

/// State of an instance in its role as a witness.
#[derive(Debug, Default)]
pub(crate) struct WitnessState {
    /// Tokens opened of each joint grant, by key.
    opened: BTreeMap<String, u64>,
    /// Keys of joint grants whose steps are no longer approved.
    closed: BTreeSet<String>,
    /// The closed keys, oldest first.
    closed_order: VecDeque<String>,
    /// Holders that became unresponsive.
    pub(crate) unresponsive: BTreeSet<String>,
}

impl WitnessState {
    /// Approves a step unless the grant is closed; returns the tokens opened in total.
    pub(crate) fn approve_step(&mut self, key: &str, up_to: u64) -> u64 {
        let opened = self.opened.entry(key.to_string()).or_default();
        if !self.closed.contains(key) {
            *opened = up_to.max(*opened);
        }
        *opened
    }

    /// Stops approving steps of a grant and returns the tokens opened.
    ///
    /// This must happen before the unopened part goes back to the record.
    fn close(&mut self, key: &str) -> u64 {
        if self.closed.insert(key.to_string()) {
            self.closed_order.push_back(key.to_string());
        }
        if self.closed_order.len() > MAX_CLOSED_GRANTS {
            if let Some(old) = self.closed_order.pop_front() {
                self.closed.remove(&old);
                self.opened.remove(&old);
            }
        }
        self.opened.get(key).copied().unwrap_or(0)
    }

    /// Returns whether this instance is the witness of any joint grant of a holder.
    pub(crate) fn watches(&self, holder: &str) -> bool {
        let is_of_holder = |k: &String| parse_joint_key(k).is_some_and(|(h, _)| h == holder);
        self.opened.keys().any(is_of_holder)
    }
}

impl Shard {
    /// Returns the unopened tokens of the account's joint grant; 0 while no step can be opened.
    pub(crate) fn joint_remaining(&self, now: u64, name: &str) -> u64 {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        let Some(joint) = joint.filter(|j| !j.closing && !witness_timed_out(now, j)) else {
            return 0;
        };
        let stored = self
            .stored_account(name)
            .and_then(|a| a.joint_grants.get(&joint.key));
        stored.map_or(0, |s| s.granted.saturating_sub(joint.opened))
    }

    /// Returns the tokens opened of the account's joint grant; 0 unless the record shows the grant.
    pub(crate) fn joint_opened(&self, name: &str) -> u64 {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        let on_record = joint.filter(|j| {
            self.stored_account(name)
                .is_some_and(|a| a.joint_grants.contains_key(&j.key))
        });
        on_record.map_or(0, |j| j.opened)
    }

    /// Returns whether new grants of an account are added to a joint grant.
    pub(crate) fn uses_joint_grant(&self, now: u64, name: &str) -> bool {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        let usable = joint.is_none_or(|j| !j.closing && !witness_timed_out(now, j));
        self.params.joint_grants && matches!(self.witness, Witness::Live(_)) && usable
    }

    /// Returns whether new grants of an account have to do without a witness that is late or absent,
    /// but may be back soon.
    pub(crate) fn lacks_witness(&self, now: u64, name: &str) -> bool {
        let expected = self.params.joint_grants && self.witness != Witness::None;
        expected && !self.uses_joint_grant(now, name)
    }

    /// Asks the witness for a step that covers a shortfall, unless one is pending already.
    pub(crate) fn request_step(
        &mut self,
        now: u64,
        name: &str,
        shortfall: u64,
        out: &mut Vec<Action>,
    ) {
        let remaining = self.joint_remaining(now, name);
        let Some(local) = self.local_accounts.get_mut(name) else {
            return;
        };
        let step = (local.demand_rate(now) * STEP_DEMAND_MS / 1000.0) as u64;
        let Some(joint) = local.joint.as_mut().filter(|j| j.pending_step.is_none()) else {
            return;
        };
        let Some((_, witness)) = parse_joint_key(&joint.key).filter(|_| remaining > 0) else {
            return;
        };
        let up_to = joint.opened + shortfall.max(step).min(remaining);
        joint.pending_step = Some((now, up_to));
        out.push(Action::OpenStep {
            account: name.to_string(),
            witness: witness.to_string(),
            key: joint.key.clone(),
            up_to,
        });
    }

    /// Handles the witness's reply to a step; `total_opened` is `None` if it did not reply.
    pub(crate) fn on_step_reply(&mut self, name: &str, key: &str, total_opened: Option<u64>) {
        let local = self.local_accounts.get_mut(name);
        let joint = local.and_then(|l| l.joint.as_mut());
        let Some(joint) = joint.filter(|j| j.key == key && !j.closing) else {
            // The unopened part is going back to the record, so this step must not be spent.
            return;
        };
        let Some((_, up_to)) = joint.pending_step.take() else {
            return;
        };
        match total_opened {
            Some(opened) if opened >= up_to => {
                joint.opened = joint.opened.max(opened);
                joint.is_watched = true;
            }
            // The witness closed the grant or did not reply: a grant with another witness is
            // needed.
            Some(_) | None => joint.closing = true,
        }
    }

    /// Requests the next step before the last one is used up, and the first step of new grants, by
    /// which their witnesses learn of them.
    pub(crate) fn open_steps_ahead(&mut self, now: u64, out: &mut Vec<Action>) {
        let needs_step = |n: &&String| {
            let Some(local) = self.local_accounts.get(*n) else {
                return false;
            };
            let unwatched = local.joint.as_ref().is_some_and(|j| !j.is_watched);
            unwatched
                || self.available(n) < (local.demand_rate(now) * STEP_DEMAND_MS / 2000.0) as u64
        };
        let names: Vec<String> = self
            .active_accounts
            .iter()
            .filter(needs_step)
            .cloned()
            .collect();
        for name in names {
            self.request_step(now, &name, 0, out);
        }
    }

    /// Returns whether this holder has to close the account's joint grant.
    pub(crate) fn must_close_joint(&self, name: &str) -> bool {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        joint.is_some_and(|j| {
            let witness = parse_joint_key(&j.key).map(|(_, w)| w);
            let witness_gone = !self.peers.iter().any(|p| Some(p.as_str()) == witness);
            j.closing || self.role == Role::None || witness_gone
        })
    }

    /// Once this holder has a witness, returns tokens that were granted to it alone to the record.
    ///
    /// A witness that is late on a busy machine counts as unresponsive for a while, and grants are
    /// taken without it in the meantime: up to a quarter of a budget. Without this, a crash much
    /// later would strand all of it.
    pub(crate) fn return_unwitnessed(&mut self, now: u64) {
        if self.consecutive_failures > 0 {
            return;
        }
        let names: Vec<String> = self.active_accounts.iter().cloned().collect();
        for name in names {
            let excess = self.unwitnessed_excess(now, &name);
            let Some(local) = self.local_accounts.get_mut(&name) else {
                continue;
            };
            if excess > 0 && local.waiting.is_empty() && local.returning == 0 {
                local.returning = excess;
            }
        }
    }

    /// Returns the tokens granted to this holder alone in excess of what a holder with a witness
    /// keeps in its own grant; 0 while it has no witness.
    pub(crate) fn unwitnessed_excess(&self, now: u64, name: &str) -> u64 {
        if !self.uses_joint_grant(now, name) {
            return 0;
        }
        let own = self.granted(name).min(self.available(name));
        own.saturating_sub(self.max_unwitnessed(now, name))
    }

    /// Returns the number of tokens that a holder keeps in its own grant, or takes into it, in a zone
    /// with a witness.
    pub(crate) fn max_unwitnessed(&self, now: u64, name: &str) -> u64 {
        let rate = self
            .local_accounts
            .get(name)
            .map_or(0.0, |l| l.demand_rate(now));
        let steps = (rate * STEP_DEMAND_MS / 1000.0 * MAX_UNWITNESSED_STEPS) as u64;
        let total = self.stored_account(name).map_or(0, Account::total);
        steps.max(total / UNWITNESSED_DIVISOR)
    }

    /// Accepts no more steps of the joint grants that the next write closes.
    ///
    /// A step that arrived while that write is in flight would be both returned and spent.
    pub(crate) fn stop_steps(&mut self) {
        let closes = |n: &String| self.must_close_joint(n);
        let names: Vec<String> = self
            .active_accounts
            .iter()
            .filter(|n| closes(n))
            .cloned()
            .collect();
        for name in names {
            let local = self.local_accounts.get_mut(&name).expect("listed above");
            local
                .joint
                .as_mut()
                .expect("must_close_joint found it")
                .closing = true;
        }
    }

    /// Returns account and key of the joint grants that this witness has to close because their
    /// holders are unresponsive.
    fn joints_to_close(&self, record: &ShardRecord) -> Vec<(String, String)> {
        let mut keys = Vec::new();
        for (name, account) in &record.accounts {
            for key in account.joint_grants.keys() {
                let Some((holder, witness)) = parse_joint_key(key) else {
                    continue;
                };
                if witness == self.me && self.witness_state.unresponsive.contains(holder) {
                    keys.push((name.clone(), key.clone()));
                }
            }
        }
        keys
    }

    /// Returns whether this witness has to close joint grants of unresponsive holders.
    pub(crate) fn has_joints_to_close(&self) -> bool {
        !self.witness_state.unresponsive.is_empty()
            && self
                .record()
                .is_some_and(|r| !self.joints_to_close(r).is_empty())
    }

    /// Closes the joint grants of unresponsive holders in a record to be written.
    ///
    /// This witness stops approving their steps first.
    pub(crate) fn close_joints_of_unresponsive(&mut self, record: &mut ShardRecord) {
        for (name, key) in self.joints_to_close(record) {
            let opened = self.witness_state.close(&key);
            let account = record.accounts.get_mut(&name).expect("listed from it");
            account.close_joint_grant(&key, opened);
        }
    }

    /// Updates this holder's joint grant in an account to be written: closes it, or raises the
    /// opened tokens and adds `added` tokens.
    ///
    /// `number` is the number of the write.
    pub(crate) fn write_joint(&self, name: &str, number: u64, added: u64, account: &mut Account) {
        let own = account.joint_grant_of(&self.me).map(|(k, _)| k.clone());
        let local = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        if let (Some(key), Some(local)) = (&own, local) {
            if self.must_close_joint(name) {
                account.close_joint_grant(key, local.opened);
                return;
            }
            let joint = account.joint_grants.get_mut(key).expect("found above");
            joint.opened = joint.opened.max(local.opened);
        }
        if added == 0 {
            return;
        }
        let key = own.or_else(|| {
            let Witness::Live(witness) = &self.witness else {
                return None;
            };
            // The key contains the account because one write can create joint grants of several
            // accounts, whose steps must not be mixed up.
            Some(format!("{}+{witness}+{number}+{name}", self.me))
        });
        let key = key.expect("checked by uses_joint_grant");
        account.joint_grants.entry(key).or_default().granted += added;
    }

    /// Forgets unresponsive holders whose joint grants are all closed.
    pub(crate) fn forget_unresponsive(&mut self) {
        let Some(record) = self.snapshot.as_ref().map(|(s, _)| &s.record) else {
            return;
        };
        let keys = record.accounts.values().flat_map(|a| a.joint_grants.keys());
        let pairs: Vec<_> = keys.filter_map(|k| parse_joint_key(k)).collect();
        let me = self.me.as_str();
        let unresponsive = &mut self.witness_state.unresponsive;
        unresponsive.retain(|h| pairs.iter().any(|(holder, w)| h == holder && *w == me));
    }

    /// Updates the joint grants of this holder to what the record shows.
    pub(crate) fn adopt_joints(&mut self) {
        let Some((snapshot, _)) = &self.snapshot else {
            return;
        };
        let accounts = &snapshot.record.accounts;
        for (name, account) in accounts {
            let Some((key, joint)) = account.joint_grant_of(&self.me) else {
                continue;
            };
            let local = self.local_accounts.entry(name.clone()).or_default();
            if local.joint.as_ref().is_none_or(|j| j.key != *key) {
                self.active_accounts.insert(name.clone());
                local.joint = Some(LocalJointGrant {
                    key: key.clone(),
                    opened: joint.opened,
                    pending_step: None,
                    is_watched: false,
                    closing: false,
                });
            }
        }
        for (name, local) in &mut self.local_accounts {
            let on_record = |j: &LocalJointGrant| {
                accounts
                    .get(name)
                    .is_some_and(|a| a.joint_grants.contains_key(&j.key))
            };
            // A grant that is gone was closed, by the witness for instance: its opened tokens are
            // part of the ledger entry's grant now.
            local.joint = local.joint.take().filter(on_record);
        }
    }
}

fn witness_timed_out(now: u64, joint: &LocalJointGrant) -> bool {
    joint
        .pending_step
        .is_some_and(|(at, _)| now > at + WITNESS_TIMEOUT_MS)
}
