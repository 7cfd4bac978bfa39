//! Joint grants: large ones that a crash does not strand.
//!
//! A holder opens a joint grant in small steps, and each step needs the word of a witness, another
//! instance of its zone. When the holder falls silent, the witness stops giving its word and hands
//! the unopened rest back to the record; when the witness falls silent, the holder does. Either
//! act is one compare-and-swap, so only one of them counts. What a crash strands is the last step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::msg::Action;
use crate::record::{parse_joint_key, Account, ShardRecord};
use crate::shard::{Role, Shard};

/// A step covers this much of the demand, in milliseconds.
const STEP_DEMAND_MS: f64 = 1_500.0;
/// A witness that does not answer for this long is done without, in milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 200;
/// Of its own, a holder with a witness keeps so many steps: what is opened ahead, and what requests give back.
const MAX_UNWITNESSED_STEPS: f64 = 4.0;
/// Or this part of the whole budget, where that is more: less is not worth a write.
const UNWITNESSED_DIVISOR: u64 = 100;
/// Closed joint grants whose keys are remembered, so that no late step opens them again.
const MAX_CLOSED_GRANTS: usize = 4_096;

/// The joint grant of one account at its holder.
#[derive(Clone, Debug, Serialize)]
pub struct LocalJointGrant {
    /// Its key in the record.
    pub key: String,
    /// Tokens opened, cumulative.
    pub opened: u64,
    /// When the witness was asked for a step, in milliseconds, and up to where.
    #[serde(rename = "asked")]
    pub pending_step: Option<(u64, u64)>,
    /// Whether the witness knows of it, and so hands it back when this holder falls silent.
    pub is_watched: bool,
    /// Set when no step is opened any more.
    pub closing: bool,
}

/// A call for tokens that waits for a step.
#[derive(Clone, Debug)]
pub struct DeferredRecall {
    /// Names the reply.
    pub reply_to: u64,
    /// The holder that asks.
    pub to: String,
    /// Tokens.
    pub tokens: u64,
    /// When it is answered with what there is, in milliseconds.
    pub deadline: u64,
}

/// What an instance knows as a witness.
#[derive(Debug, Default)]
pub(crate) struct WitnessState {
    /// Tokens opened of each joint grant, by its key.
    opened: BTreeMap<String, u64>,
    /// Joint grants that get no step any more.
    closed: BTreeSet<String>,
    closed_order: VecDeque<String>,
    /// Holders that fell silent.
    pub(crate) unresponsive: BTreeSet<String>,
}

impl WitnessState {
    /// Gives its word for a step; returns all that is opened.
    pub(crate) fn approve_step(&mut self, key: &str, upto: u64) -> u64 {
        let opened = self.opened.entry(key.to_string()).or_default();
        if !self.closed.contains(key) {
            *opened = upto.max(*opened);
        }
        *opened
    }

    /// Stops giving its word, before anything is handed back.
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

    /// Returns whether it is witness to any joint grant of a holder.
    pub(crate) fn watches(&self, holder: &str) -> bool {
        let of = |k: &String| parse_joint_key(k).is_some_and(|(h, _)| h == holder);
        self.opened.keys().any(of)
    }
}

impl Shard {
    /// Returns the tokens that the account's joint grant has left to open, while that works.
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

    /// Returns tokens that the joint grant has opened here, as long as the record shows it.
    pub(crate) fn joint_opened(&self, name: &str) -> u64 {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        let shown = joint.filter(|j| {
            self.stored_account(name)
                .is_some_and(|a| a.joint_grants.contains_key(&j.key))
        });
        shown.map_or(0, |j| j.opened)
    }

    /// Returns whether grants of an account go to a joint grant.
    pub(crate) fn uses_joint_grant(&self, now: u64, name: &str) -> bool {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        let usable = joint.is_none_or(|j| !j.closing && !witness_timed_out(now, j));
        self.params.joint_grants && self.witness.is_some() && usable
    }

    /// Asks the witness for a step that covers a lack.
    pub(crate) fn request_step(&mut self, now: u64, name: &str, lack: u64, out: &mut Vec<Action>) {
        let left = self.joint_remaining(now, name);
        let Some(local) = self.local_accounts.get_mut(name) else {
            return;
        };
        let step = (local.demand_rate(now) * STEP_DEMAND_MS / 1000.0) as u64;
        let Some(joint) = local.joint.as_mut().filter(|j| j.pending_step.is_none()) else {
            return;
        };
        let Some((_, witness)) = parse_joint_key(&joint.key).filter(|_| left > 0) else {
            return;
        };
        let upto = joint.opened + lack.max(step).min(left);
        joint.pending_step = Some((now, upto));
        out.push(Action::OpenStep {
            account: name.to_string(),
            witness: witness.to_string(),
            key: joint.key.clone(),
            up_to: upto,
        });
    }

    /// Takes the witness' answer; none when it did not come.
    pub(crate) fn on_step_reply(&mut self, name: &str, key: &str, opened: Option<u64>) {
        let local = self.local_accounts.get_mut(name);
        let joint = local.and_then(|l| l.joint.as_mut());
        let Some(joint) = joint.filter(|j| j.key == key && !j.closing) else {
            // It is being handed back: a step that comes now must not be spent.
            return;
        };
        let Some((_, upto)) = joint.pending_step.take() else {
            return;
        };
        match opened {
            Some(opened) if opened >= upto => {
                joint.opened = joint.opened.max(opened);
                joint.is_watched = true;
            }
            // The witness has closed it, or does not answer: another one is needed.
            Some(_) | None => joint.closing = true,
        }
    }

    /// Opens the next step before the last one is used up, and tells witnesses of new grants.
    pub(crate) fn open_steps_ahead(&mut self, now: u64, out: &mut Vec<Action>) {
        let due = |n: &&String| {
            let Some(local) = self.local_accounts.get(*n) else {
                return false;
            };
            let unwatched = local.joint.as_ref().is_some_and(|j| !j.is_watched);
            unwatched
                || self.available(n) < (local.demand_rate(now) * STEP_DEMAND_MS / 2000.0) as u64
        };
        let names: Vec<String> = self.active_accounts.iter().filter(due).cloned().collect();
        for name in names {
            self.request_step(now, &name, 0, out);
        }
    }

    /// Returns whether the account's joint grant is to be handed back by this holder.
    pub(crate) fn must_close_joint(&self, name: &str) -> bool {
        let joint = self.local_accounts.get(name).and_then(|l| l.joint.as_ref());
        joint.is_some_and(|j| {
            let witness = parse_joint_key(&j.key).map(|(_, w)| w);
            let alone = !self.peers.iter().any(|p| Some(p.as_str()) == witness);
            j.closing || self.role == Role::None || alone
        })
    }

    /// Hands back what was granted to this holder alone, once it has a witness.
    ///
    /// A partner that is late on a busy machine counts as silent for a while, and grants are taken without it
    /// meanwhile: up to a quarter of a budget, which a crash much later would strand whole.
    pub(crate) fn return_unwitnessed(&mut self, now: u64) {
        if self.consecutive_failures > 0 {
            return;
        }
        let names: Vec<String> = self.active_accounts.iter().cloned().collect();
        for name in names {
            let lone = self.unwitnessed_excess(now, &name);
            let Some(local) = self.local_accounts.get_mut(&name) else {
                continue;
            };
            if lone > 0 && local.waiting.is_empty() && local.returning == 0 {
                local.returning = lone;
            }
        }
    }

    /// Returns the tokens that were granted to this holder alone, beyond what a holder with a witness keeps of its own; 0 while it has
    /// none.
    pub(crate) fn unwitnessed_excess(&self, now: u64, name: &str) -> u64 {
        if !self.uses_joint_grant(now, name) {
            return 0;
        }
        let Some(local) = self.local_accounts.get(name) else {
            return 0;
        };
        let own = self.granted(name).min(self.available(name));
        let total = self.stored_account(name).map_or(0, Account::total);
        let steps =
            (local.demand_rate(now) * STEP_DEMAND_MS / 1000.0 * MAX_UNWITNESSED_STEPS) as u64;
        own.saturating_sub(steps.max(total / UNWITNESSED_DIVISOR))
    }

    /// Takes no further step of joint grants that the next write ends.
    ///
    /// A step that came while the write is on its way would be handed back and spent as well.
    pub(crate) fn stop_steps(&mut self) {
        let ends = |n: &String| self.must_close_joint(n);
        let names: Vec<String> = self
            .active_accounts
            .iter()
            .filter(|n| ends(n))
            .cloned()
            .collect();
        for name in names {
            let local = self.local_accounts.get_mut(&name).expect("listed above");
            local.joint.as_mut().expect("must_close found it").closing = true;
        }
    }

    /// Returns the joint grants that this witness is to hand back for silent holders.
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

    /// Returns whether joint grants of silent holders are to be handed back.
    pub(crate) fn has_joints_to_close(&self) -> bool {
        !self.witness_state.unresponsive.is_empty()
            && self
                .record()
                .is_some_and(|r| !self.joints_to_close(r).is_empty())
    }

    /// Hands joint grants of silent holders back; their steps end first.
    pub(crate) fn close_joints_of_unresponsive(&mut self, record: &mut ShardRecord) {
        for (name, key) in self.joints_to_close(record) {
            let opened = self.witness_state.close(&key);
            let account = record.accounts.get_mut(&name).expect("listed from it");
            account.close_joint_grant(&key, opened);
        }
    }

    /// Writes this holder's joint grant: what is opened, what is added, or its end.
    pub(crate) fn write_joint(&self, name: &str, number: u64, adds: u64, account: &mut Account) {
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
        if adds == 0 {
            return;
        }
        let key = own.or_else(|| {
            let witness = self.witness.as_ref()?;
            // The account is part of it: one write makes joint grants for many accounts.
            Some(format!("{}+{witness}+{number}+{name}", self.me))
        });
        let key = key.expect("checked by grants_jointly");
        account.joint_grants.entry(key).or_default().granted += adds;
    }

    /// Forgets silent holders whose joint grants are all handed back.
    pub(crate) fn forget_unresponsive(&mut self) {
        let Some(record) = self.snapshot.as_ref().map(|(s, _)| &s.record) else {
            return;
        };
        let keys = record.accounts.values().flat_map(|a| a.joint_grants.keys());
        let pairs: Vec<_> = keys.filter_map(|k| parse_joint_key(k)).collect();
        let me = self.me.as_str();
        let silent = &mut self.witness_state.unresponsive;
        silent.retain(|h| pairs.iter().any(|(holder, w)| h == holder && *w == me));
    }

    /// Takes over which joint grant the record shows for each account.
    pub(crate) fn adopt_joints(&mut self) {
        let Some((stored, _)) = &self.snapshot else {
            return;
        };
        let accounts = &stored.record.accounts;
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
            let shown = |j: &LocalJointGrant| {
                accounts
                    .get(name)
                    .is_some_and(|a| a.joint_grants.contains_key(&j.key))
            };
            // Closed by the witness: what was opened is part of the line's grant now.
            local.joint = local.joint.take().filter(shown);
        }
    }
}

fn witness_timed_out(now: u64, joint: &LocalJointGrant) -> bool {
    joint
        .pending_step
        .is_some_and(|(at, _)| now > at + WITNESS_TIMEOUT_MS)
}
