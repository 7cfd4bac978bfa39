//! The account records in the platform's service, grouped into shards.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::msg::{AttemptRef, Settlement};
use crate::range_set::RangeSet;

/// Folded holders whose names are remembered, so that a late bill of theirs isn't posted again.
const MAX_TOMBSTONES: usize = 256;

/// One shard: some accounts, written as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Accounts by customer.
    pub accounts: BTreeMap<String, Account>,
    /// The number of the last write of each writer, by which it knows its own writes again.
    #[serde(default)]
    pub writers: BTreeMap<String, u64>,
    /// Holders whose settled lines were folded up.
    #[serde(default)]
    pub tombstones: VecDeque<String>,
    /// The value that holds the bills before the ones here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_segment: Option<String>,
}

/// Older bills, moved out of the record; each names the one before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillSegment {
    /// The segment before this one.
    pub prev: Option<String>,
    /// Bills by customer.
    pub bills: BTreeMap<String, Vec<Bill>>,
}

/// One customer's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Top-ups by their ids.
    pub topups: BTreeMap<String, u64>,
    /// What each holder was granted and has settled.
    #[serde(rename = "lines")]
    pub ledger: BTreeMap<String, LedgerEntry>,
    /// Tokens handed from holder to holder, cumulative, by `from>to`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub transfers: BTreeMap<String, u64>,
    /// Grants that holders open step by step, by `holder+witness+number+account`.
    #[serde(rename = "joints", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub joint_grants: BTreeMap<String, JointGrant>,
    /// Tokens settled by holders whose lines were folded up.
    #[serde(rename = "folded", default)]
    pub retired_settled: u64,
    /// The latest bills; older ones are in segments.
    #[serde(default)]
    pub bills: Vec<Bill>,
    /// Stranded tokens that operators released.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
}

/// A grant that a holder opens step by step, with a witness' word for each step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JointGrant {
    /// Tokens granted.
    pub granted: u64,
    /// Tokens opened, as far as the record knows.
    pub opened: u64,
}

/// Returns the holder and the witness of a joint grant's key.
pub fn parse_joint_key(key: &str) -> Option<(&str, &str)> {
    let mut parts = key.split('+');
    Some((parts.next()?, parts.next()?))
}

/// What one holder, an incarnation of an instance, may spend and has spent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Tokens granted, less tokens handed back; negative when it handed back received ones.
    pub granted: i64,
    /// Tokens spent, billed or not.
    pub settled: u64,
    /// Of these, tokens that upstreams served and no bill names.
    #[serde(default)]
    pub written_off: u64,
    /// Numbers of the holds that are settled.
    #[serde(rename = "posted", default)]
    pub settled_holds: RangeSet,
    /// Tokens an operator took back from a vanished holder.
    #[serde(default)]
    pub released: u64,
}

/// One bill: one request id, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request's id.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Tokens.
    pub tokens: u64,
    /// The holder that paid.
    pub holder: String,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Where it ran.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Stranded tokens released by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The act's id.
    pub id: String,
    /// The holder that vanished.
    pub holder: String,
    /// Tokens.
    pub tokens: u64,
    /// Why.
    pub reason: String,
    /// Who.
    #[serde(rename = "who")]
    pub operator: String,
}

/// What posting did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostOutcome {
    /// A bill, or a write-off where none was due.
    Posted,
    /// Nothing: this hold was settled before.
    AlreadySettled,
    /// A write-off: another hold's bill names the same request.
    DuplicateRequest,
}

impl Account {
    /// Returns the sum of the top-ups.
    pub fn total(&self) -> u64 {
        self.topups
            .values()
            .fold(0, |sum, t| sum.saturating_add(*t))
    }

    /// Returns the tokens that are granted to holders or spent for good.
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

    /// Returns the joint grant of a holder.
    pub fn joint_grant_of(&self, holder: &str) -> Option<(&String, &JointGrant)> {
        let of = |k: &str| parse_joint_key(k).is_some_and(|(h, _)| h == holder);
        self.joint_grants.iter().find(|(k, _)| of(k))
    }

    /// Ends a joint grant: what was opened becomes the holder's own, the rest is free.
    pub fn close_joint_grant(&mut self, key: &str, opened: u64) {
        let Some(joint) = self.joint_grants.remove(key) else {
            return;
        };
        let opened = opened.max(joint.opened).min(joint.granted);
        if let Some((holder, _)) = parse_joint_key(key) {
            self.ledger.entry(holder.to_string()).or_default().granted += opened as i64;
        }
    }

    /// Returns what is unopened of a holder's joint grant.
    pub fn unopened(&self, holder: &str) -> u64 {
        self.joint_grant_of(holder)
            .map_or(0, |(_, j)| j.granted - j.opened.min(j.granted))
    }

    /// Returns the tokens that may still be granted.
    pub fn free(&self) -> u64 {
        self.total().saturating_sub(self.committed())
    }

    /// Returns the tokens spent.
    pub fn settled(&self) -> u64 {
        self.retired_settled + self.ledger.values().map(|l| l.settled).sum::<u64>()
    }

    /// Returns tokens received from and handed to other holders.
    pub fn transferred(&self, holder: &str) -> (u64, u64) {
        let mut got = 0;
        let mut sent = 0;
        for (pair, tokens) in &self.transfers {
            match pair.split_once('>') {
                Some((from, _)) if from == holder => sent += tokens,
                Some((_, to)) if to == holder => got += tokens,
                _ => {}
            }
        }
        (got, sent)
    }

    /// Returns what a holder holds unspent, as far as the record knows.
    pub fn unspent(&self, holder: &str) -> u64 {
        self.balance(holder).max(0) as u64
    }

    fn balance(&self, holder: &str) -> i128 {
        let (got, sent) = self.transferred(holder);
        let (granted, spent) = self.ledger.get(holder).map_or((0, 0), |l| {
            (l.granted, i128::from(l.settled) + i128::from(l.released))
        });
        let opened = self.joint_grant_of(holder).map_or(0, |(_, j)| j.opened);
        i128::from(granted) + i128::from(got) + i128::from(opened) - i128::from(sent) - spent
    }

    /// Closes the line of a holder that has nothing unspent.
    ///
    /// Its transfers become grants of the other side, so that the sum stays as it was. The other
    /// side drops its own count of them when it sees the holder's tombstone.
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
        if let Some(line) = self.ledger.remove(holder) {
            self.retired_settled += line.settled;
        }
    }

    /// Returns the bill of a request, unless it is among the older ones.
    pub fn bill(&self, request: &str) -> Option<&Bill> {
        self.bills.iter().rev().find(|b| b.request_id == request)
    }

    /// Adds a top-up; returns whether its id was new.
    ///
    /// # Errors
    ///
    /// Returns the tokens of the earlier act when the id was used with another number.
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

    /// Takes back what a vanished holder left unspent; returns the tokens.
    pub fn release(&mut self, id: &str, holder: &str, reason: &str, who: &str) -> u64 {
        if let Some(old) = self.releases.iter().find(|r| r.id == id) {
            return old.tokens;
        }
        if let Some(key) = self.joint_grant_of(holder).map(|(k, _)| k.clone()) {
            self.close_joint_grant(&key, 0);
        }
        let tokens = self.unspent(holder);
        if let Some(line) = self.ledger.get_mut(holder) {
            line.released += tokens;
        }
        self.releases.push(Release {
            id: id.to_string(),
            holder: holder.to_string(),
            tokens,
            reason: reason.to_string(),
            operator: who.to_string(),
        });
        tokens
    }

    /// Returns whether no more was granted or spent than was paid for.
    ///
    /// An operator's release can make it so, and says so before it is done.
    pub fn is_covered(&self) -> bool {
        let total = self.total();
        let covered = self.committed() <= total && self.settled() <= total;
        covered || !self.releases.is_empty()
    }
}

impl ShardRecord {
    /// Settles a hold, once; makes its bill unless the request has one, here or among the older
    /// bills that the caller knows.
    pub fn post(&mut self, account: &str, post: &Settlement, has_older: bool) -> PostOutcome {
        if self.tombstones.contains(&post.holder) {
            return PostOutcome::AlreadySettled;
        }
        let account = self.accounts.entry(account.to_string()).or_default();
        let duplicate = has_older || account.bill(&post.request_id).is_some();
        let line = account.ledger.entry(post.holder.clone()).or_default();
        if !line.settled_holds.insert(post.hold) {
            return PostOutcome::AlreadySettled;
        }
        line.settled += post.tokens;
        if post.billed && !duplicate {
            account.bills.push(Bill {
                request_id: post.request_id.clone(),
                tokens: post.tokens,
                holder: post.holder.clone(),
                body_hash: post.body_hash,
                attempt: post.attempt.clone(),
                at_ms: post.at_ms,
            });
            return PostOutcome::Posted;
        }
        line.written_off += post.tokens;
        if post.billed {
            PostOutcome::DuplicateRequest
        } else {
            PostOutcome::Posted
        }
    }

    /// Returns whether a hold is settled.
    pub fn is_settled(&self, account: &str, holder: &str, hold: u64) -> bool {
        let line = self
            .accounts
            .get(account)
            .and_then(|a| a.ledger.get(holder));
        match line {
            Some(line) => line.settled_holds.contains(hold),
            None => self.tombstones.iter().any(|t| t == holder),
        }
    }

    /// Folds up the lines of a holder that is gone and has nothing unspent anywhere.
    ///
    /// A line is kept while it strands tokens or was released: these must stay visible.
    pub fn retire_holder(&mut self, holder: &str) -> bool {
        let released = |a: &Account| a.ledger.get(holder).is_some_and(|l| l.released > 0);
        let joint = |a: &Account| a.joint_grant_of(holder).is_some();
        let done = |a: &Account| a.balance(holder) == 0 && !released(a) && !joint(a);
        if !self.accounts.values().all(done) {
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

    /// Returns the number of bills in this record.
    pub fn bill_count(&self) -> usize {
        self.accounts.values().map(|a| a.bills.len()).sum()
    }

    /// Copies the older half of the bills into a segment.
    pub fn next_segment(&self) -> BillSegment {
        let half = |a: &Account| a.bills[..a.bills.len().div_ceil(2)].to_vec();
        let bills = self.accounts.iter().map(|(n, a)| (n.clone(), half(a)));
        BillSegment {
            prev: self.last_segment.clone(),
            bills: bills.filter(|(_, b)| !b.is_empty()).collect(),
        }
    }

    /// Drops the bills that a stored segment holds; returns false if another one came first.
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

    /// Returns every holder with a line.
    pub fn holders(&self) -> Vec<String> {
        let lines = self.accounts.values().flat_map(|a| a.ledger.keys());
        let mut holders: Vec<String> = lines.chain(self.writers.keys()).cloned().collect();
        holders.sort();
        holders.dedup();
        holders
    }
}
