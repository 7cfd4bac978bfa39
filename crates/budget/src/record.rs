//! Records of the shards, as they are stored on the platform.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::msg::{AttemptRef, GrantedTokens, Settlement};
use crate::range_set::RangeSet;

/// Number of retired holders that a record remembers, so that late settlements of their holds are
/// not posted again.
const MAX_TOMBSTONES: usize = 256;

/// Record of one shard: a group of accounts that are written as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Accounts by customer name.
    pub accounts: BTreeMap<String, Account>,
    /// Number of each writer's last write, by which a writer recognises its own writes.
    #[serde(default)]
    pub writers: BTreeMap<String, u64>,
    /// Retired holders, oldest first.
    #[serde(default)]
    pub tombstones: VecDeque<String>,
    /// Name of the newest segment, which has the bills before those in the record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_segment: Option<String>,
}

/// Bills that were moved out of the record. The segments of a shard form a linked list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillSegment {
    /// Name of the segment before this one.
    pub prev: Option<String>,
    /// Bills by customer name.
    pub bills: BTreeMap<String, Vec<Bill>>,
}

/// Budget of one customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Tokens of the top-ups by their ids.
    pub topups: BTreeMap<String, u64>,
    /// Tokens that each holder was granted and has settled.
    #[serde(rename = "lines")]
    pub ledger: BTreeMap<String, LedgerEntry>,
    /// Tokens transferred between holders, cumulative, by `from>to`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub transfers: BTreeMap<String, u64>,
    /// Joint grants, by `holder+witness+number+account`; `number` is that of the write that created
    /// the grant.
    #[serde(rename = "joints", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub joint_grants: BTreeMap<String, JointGrant>,
    /// Tokens settled by retired holders.
    #[serde(rename = "folded", default)]
    pub retired_settled: u64,
    /// Latest bills; older ones are in segments.
    #[serde(default)]
    pub bills: Vec<Bill>,
    /// Releases of stranded tokens by operators.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
}

/// A grant that its holder opens in steps, each of which a witness approves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JointGrant {
    /// Tokens granted.
    pub granted: u64,
    /// Tokens opened, as of the holder's last write.
    pub opened: u64,
}

/// Returns the holder and the witness in the key of a joint grant.
pub fn parse_joint_key(key: &str) -> Option<(&str, &str)> {
    let mut parts = key.split('+');
    Some((parts.next()?, parts.next()?))
}

/// Tokens granted to and spent by one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Tokens granted less tokens returned; negative if the holder returned tokens that it had
    /// received from other holders.
    pub granted: i64,
    /// Tokens spent, billed or not.
    pub settled: u64,
    /// Part of `settled` that upstreams served and that is not billed.
    #[serde(default)]
    pub written_off: u64,
    /// Numbers of the holds that are settled.
    #[serde(rename = "posted", default)]
    pub settled_holds: RangeSet,
    /// Tokens that operators took back because the holder was gone.
    #[serde(default)]
    pub released: u64,
}

/// Bill of a request. A request id is billed once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Tokens billed.
    pub tokens: u64,
    /// Holder that the tokens are charged to.
    pub holder: String,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Attempt that ran the request.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Time of the settlement, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Release of stranded tokens by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Id of the release.
    pub id: String,
    /// Holder that is gone.
    pub holder: String,
    /// Tokens released.
    pub tokens: u64,
    /// Reason given by the operator.
    pub reason: String,
    /// Who released the tokens.
    #[serde(rename = "who")]
    pub operator: String,
}

/// Result of posting a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostOutcome {
    /// The hold is settled now: its tokens are billed, or written off if they were not to be
    /// billed.
    Posted,
    /// Nothing changed: the hold was settled before.
    AlreadySettled,
    /// The tokens are written off: the request was billed for another hold.
    DuplicateRequest,
}

impl Account {
    /// Returns the sum of the top-ups.
    pub fn total(&self) -> u64 {
        self.topups
            .values()
            .fold(0, |sum, t| sum.saturating_add(*t))
    }

    /// Returns the tokens that are granted to holders or were spent by retired ones.
    pub fn committed(&self) -> u64 {
        let net = |l: &LedgerEntry| i128::from(l.granted) - i128::from(l.released);
        let granted: i128 = self.ledger.values().map(net).sum();
        let joint: i128 = self
            .joint_grants
            .values()
            .map(|j| i128::from(j.granted))
            .sum();
        (i128::from(self.retired_settled) + granted + joint).max(0) as u64
    }

    /// Returns the tokens granted to a holder.
    pub fn granted_to(&self, holder: &str) -> GrantedTokens {
        GrantedTokens {
            own: self.ledger.get(holder).map_or(0, |l| l.granted),
            joint: self.joint_grant_of(holder).map_or(0, |(_, j)| j.granted),
        }
    }

    /// Returns the joint grant of a holder.
    pub fn joint_grant_of(&self, holder: &str) -> Option<(&String, &JointGrant)> {
        let is_of_holder = |k: &str| parse_joint_key(k).is_some_and(|(h, _)| h == holder);
        self.joint_grants.iter().find(|(k, _)| is_of_holder(k))
    }

    /// Closes a joint grant: the opened tokens are added to the holder's own grant, and the rest is
    /// free again.
    pub fn close_joint_grant(&mut self, key: &str, opened: u64) {
        let Some(joint) = self.joint_grants.remove(key) else {
            return;
        };
        let opened = opened.max(joint.opened).min(joint.granted);
        if let Some((holder, _)) = parse_joint_key(key) {
            self.ledger.entry(holder.to_string()).or_default().granted += opened as i64;
        }
    }

    /// Returns the unopened tokens of a holder's joint grant.
    pub fn unopened(&self, holder: &str) -> u64 {
        self.joint_grant_of(holder)
            .map_or(0, |(_, j)| j.granted - j.opened.min(j.granted))
    }

    /// Returns the tokens that can still be granted.
    pub fn free(&self) -> u64 {
        self.total().saturating_sub(self.committed())
    }

    /// Returns the tokens settled by all holders.
    pub fn settled(&self) -> u64 {
        self.retired_settled + self.ledger.values().map(|l| l.settled).sum::<u64>()
    }

    /// Returns the tokens that a holder received from and sent to other holders.
    pub fn transferred(&self, holder: &str) -> (u64, u64) {
        let mut received = 0;
        let mut sent = 0;
        for (pair, tokens) in &self.transfers {
            match pair.split_once('>') {
                Some((from, _)) if from == holder => sent += tokens,
                Some((_, to)) if to == holder => received += tokens,
                _ => {}
            }
        }
        (received, sent)
    }

    /// Returns the tokens that a holder has and has not spent, as far as the record shows.
    pub fn unspent(&self, holder: &str) -> u64 {
        self.balance(holder).max(0) as u64
    }

    fn balance(&self, holder: &str) -> i128 {
        let (received, sent) = self.transferred(holder);
        let (granted, spent) = self.ledger.get(holder).map_or((0, 0), |l| {
            (l.granted, i128::from(l.settled) + i128::from(l.released))
        });
        let opened = self.joint_grant_of(holder).map_or(0, |(_, j)| j.opened);
        i128::from(granted) + i128::from(received) + i128::from(opened) - i128::from(sent) - spent
    }

    /// Removes the ledger entry of a holder that has no unspent tokens.
    ///
    /// Its transfers are added to, or subtracted from, the grants of the other holders, so that the
    /// sums stay the same. The other holders drop their own counts of these transfers when they see
    /// the holder's tombstone.
    fn retire_holder(&mut self, holder: &str) {
        let pairs: Vec<(String, u64)> = self
            .transfers
            .iter()
            .filter(|(pair, _)| pair.split('>').any(|h| h == holder))
            .map(|(pair, tokens)| (pair.clone(), *tokens))
            .collect();
        for (pair, tokens) in pairs {
            self.transfers.remove(&pair);
            let tokens = tokens as i64;
            match pair.split_once('>') {
                Some((from, to)) if from == holder => {
                    self.ledger.entry(to.to_string()).or_default().granted += tokens;
                }
                Some((from, _)) => {
                    self.ledger.entry(from.to_string()).or_default().granted -= tokens;
                }
                None => {}
            }
        }
        if let Some(entry) = self.ledger.remove(holder) {
            self.retired_settled += entry.settled;
        }
    }

    /// Returns the bill of a request, unless it was moved to a segment.
    pub fn bill(&self, request_id: &str) -> Option<&Bill> {
        self.bills.iter().rev().find(|b| b.request_id == request_id)
    }

    /// Adds a top-up; returns false if it was added before.
    ///
    /// # Errors
    ///
    /// Returns the tokens of the earlier top-up if the id was used with another number of tokens.
    pub fn top_up(&mut self, id: &str, tokens: u64) -> Result<bool, u64> {
        match self.topups.get(id) {
            Some(old) if *old == tokens => Ok(false),
            Some(old) => Err(*old),
            None => {
                self.topups.insert(id.to_string(), tokens);
                Ok(true)
            }
        }
    }

    /// Takes back the unspent tokens of a holder that is gone; returns their number.
    ///
    /// A release with a known id changes nothing and returns the tokens of the first one.
    pub fn release(&mut self, id: &str, holder: &str, reason: &str, operator: &str) -> u64 {
        if let Some(old) = self.releases.iter().find(|r| r.id == id) {
            return old.tokens;
        }
        if let Some(key) = self.joint_grant_of(holder).map(|(k, _)| k.clone()) {
            self.close_joint_grant(&key, 0);
        }
        let tokens = self.unspent(holder);
        if let Some(entry) = self.ledger.get_mut(holder) {
            entry.released += tokens;
        }
        self.releases.push(Release {
            id: id.to_string(),
            holder: holder.to_string(),
            tokens,
            reason: reason.to_string(),
            operator: operator.to_string(),
        });
        tokens
    }

    /// Returns whether the top-ups cover all that is granted and spent.
    ///
    /// An account with releases counts as covered. The budget is exceeded if a holder spends tokens
    /// after they were released, as the help of the release command warns.
    pub fn is_covered(&self) -> bool {
        let total = self.total();
        let covered = self.committed() <= total && self.settled() <= total;
        covered || !self.releases.is_empty()
    }
}

impl ShardRecord {
    /// Posts the settlement of a hold, unless the hold is settled already.
    ///
    /// The request is not billed a second time if it has a bill in the record or, as `in_segment`
    /// says, in a segment.
    pub fn post(
        &mut self,
        account: &str,
        settlement: &Settlement,
        in_segment: bool,
    ) -> PostOutcome {
        if self.tombstones.contains(&settlement.holder) {
            return PostOutcome::AlreadySettled;
        }
        let account = self.accounts.entry(account.to_string()).or_default();
        let duplicate = in_segment || account.bill(&settlement.request_id).is_some();
        let entry = account.ledger.entry(settlement.holder.clone()).or_default();
        if !entry.settled_holds.insert(settlement.hold) {
            return PostOutcome::AlreadySettled;
        }
        entry.settled += settlement.tokens;
        if settlement.billed && !duplicate {
            account.bills.push(Bill {
                request_id: settlement.request_id.clone(),
                tokens: settlement.tokens,
                holder: settlement.holder.clone(),
                body_hash: settlement.body_hash,
                attempt: settlement.attempt.clone(),
                at_ms: settlement.at_ms,
            });
            return PostOutcome::Posted;
        }
        entry.written_off += settlement.tokens;
        if settlement.billed {
            PostOutcome::DuplicateRequest
        } else {
            PostOutcome::Posted
        }
    }

    /// Returns whether a hold is settled; all holds of a retired holder are.
    pub fn is_settled(&self, account: &str, holder: &str, hold: u64) -> bool {
        let entry = self
            .accounts
            .get(account)
            .and_then(|a| a.ledger.get(holder));
        match entry {
            Some(entry) => entry.settled_holds.contains(hold),
            None => self.tombstones.iter().any(|t| t == holder),
        }
    }

    /// Removes the ledger entries of a holder that is gone, if it has no unspent tokens in any
    /// account.
    ///
    /// Returns false and changes nothing if tokens of the holder are stranded or were released:
    /// these ledger entries must stay visible.
    pub fn retire_holder(&mut self, holder: &str) -> bool {
        let released = |a: &Account| a.ledger.get(holder).is_some_and(|l| l.released > 0);
        let joint = |a: &Account| a.joint_grant_of(holder).is_some();
        let can_retire = |a: &Account| a.balance(holder) == 0 && !released(a) && !joint(a);
        if !self.accounts.values().all(can_retire) {
            return false;
        }
        for account in self.accounts.values_mut() {
            account.retire_holder(holder);
        }
        self.writers.remove(holder);
        self.tombstones.push_back(holder.to_string());
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
        true
    }

    /// Returns the number of bills in the record.
    pub fn bill_count(&self) -> usize {
        self.accounts.values().map(|a| a.bills.len()).sum()
    }

    /// Returns a segment with the older half of each account's bills.
    pub fn next_segment(&self) -> BillSegment {
        let older_half = |a: &Account| a.bills[..a.bills.len().div_ceil(2)].to_vec();
        let bills = self
            .accounts
            .iter()
            .map(|(n, a)| (n.clone(), older_half(a)));
        BillSegment {
            prev: self.last_segment.clone(),
            bills: bills.filter(|(_, b)| !b.is_empty()).collect(),
        }
    }

    /// Removes the bills that are in a stored segment and makes it the newest one.
    ///
    /// Returns false and changes nothing if another segment was added in the meantime.
    pub fn apply_segment(&mut self, name: &str, segment: &BillSegment) -> bool {
        if self.last_segment != segment.prev {
            return false;
        }
        for (account, bills) in &segment.bills {
            if let Some(account) = self.accounts.get_mut(account) {
                account.bills.retain(|b| !bills.contains(b));
            }
        }
        self.last_segment = Some(name.to_string());
        true
    }

    /// Returns all holders that have a ledger entry or wrote the record.
    pub fn holders(&self) -> Vec<String> {
        let ledgers = self.accounts.values().flat_map(|a| a.ledger.keys());
        let mut holders: Vec<String> = ledgers.chain(self.writers.keys()).cloned().collect();
        holders.sort();
        holders.dedup();
        holders
    }
}
