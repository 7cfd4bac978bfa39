//! All shards of one instance, with the pacer that they share.

use std::collections::{BTreeMap, BTreeSet};

use crate::grant::GrantSizing;
use crate::msg::{Action, Event};
use crate::placement::{self, Candidate};
use crate::record::ShardRecord;
use crate::shard::{Params, Role, Shard};
use crate::write_limiter::WriteLimiter;

/// Absence after which a holder without unspent tokens is folded up, in milliseconds: longer than
/// any request, and than any entry tries to post its bill.
const RETIRE_AFTER_MS: u64 = 3_600_000;

/// An action with the shard that it belongs to.
#[derive(Clone, Debug)]
pub struct ShardAction {
    /// The shard.
    pub shard: u32,
    /// The action.
    pub action: Action,
}

/// All shards of one instance.
pub struct ShardManager {
    me: String,
    params: Params,
    shard_count: u32,
    writes_per_sec: u64,
    shards: BTreeMap<u32, Shard>,
    write_limiter: WriteLimiter,
    members: Vec<Candidate>,
    leaving: bool,
    /// Holders that nobody shows as present, and since when.
    absent_since: BTreeMap<String, u64>,
}

impl ShardManager {
    /// Opens a bank that knows of no other instance.
    pub fn new(
        now: u64,
        me: &str,
        shards: u32,
        writes_per_sec: u64,
        params: Params,
    ) -> ShardManager {
        ShardManager {
            me: me.to_string(),
            params,
            shard_count: shards,
            writes_per_sec,
            shards: BTreeMap::new(),
            write_limiter: WriteLimiter::new(now, writes_per_sec, 1.0),
            members: Vec::new(),
            leaving: false,
            absent_since: BTreeMap::new(),
        }
    }

    /// Sets the living instances of the region, this one among them.
    pub fn set_members(&mut self, members: Vec<Candidate>) {
        if self.members == members {
            return;
        }
        self.members = members;
        let mut homes = 0;
        for shard in 0..self.shard_count {
            self.update_role(shard);
            homes += u32::from(self.role(shard) == Role::Home);
        }
        // Homes write most, so the fleet's share is split by the shards at home.
        let part = match self.params.sizing {
            GrantSizing::Split { parts } => 1.0 / parts as f64,
            _ => f64::from(homes) / f64::from(self.shard_count),
        };
        self.write_limiter.set_share(self.writes_per_sec, part);
    }

    /// Hands everything back, for a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        for shard in 0..self.shard_count {
            self.update_role(shard);
        }
    }

    fn role(&self, shard: u32) -> Role {
        if self.leaving {
            return Role::None;
        }
        let order = placement::home_and_standbys(shard, &self.members);
        match order.iter().position(|c| c.id == self.me) {
            Some(0) => Role::Home,
            Some(_) => Role::Standby,
            None => Role::None,
        }
    }

    /// Returns the instance of the own zone that gives its word for steps of joint grants.
    fn witness(&self, shard: u32) -> Option<String> {
        let zone = self
            .members
            .iter()
            .find(|c| c.id == self.me)
            .map(|c| &c.zone)?;
        let ranked = placement::rank_candidates(shard, &self.members);
        let other = |c: &&&Candidate| c.zone == *zone && c.id != self.me;
        ranked.iter().find(other).map(|c| c.id.clone())
    }

    fn update_role(&mut self, shard: u32) {
        let role = self.role(shard);
        if role == Role::None && !self.shards.contains_key(&shard) {
            return;
        }
        let peers = self.members.iter().map(|c| c.id.clone()).collect();
        let witness = self.witness(shard);
        self.shard_mut(shard).set_role(role, peers, witness);
    }

    fn shard_mut(&mut self, shard: u32) -> &mut Shard {
        let (me, params) = (&self.me, self.params);
        let open = || Shard::new(me, params);
        self.shards.entry(shard).or_insert_with(open)
    }

    /// Returns the shard of an account.
    pub fn shard_of(&self, account: &str) -> u32 {
        placement::shard_of(account, self.shard_count)
    }

    /// Takes one event of one shard.
    pub fn step(&mut self, now: u64, shard: u32, event: Event) -> Vec<ShardAction> {
        if !self.shards.contains_key(&shard) {
            self.shard_mut(shard);
            self.update_role(shard);
        }
        let mut actions = Vec::new();
        let home = self.shards.get_mut(&shard).expect("opened above");
        home.step(now, event, &mut self.write_limiter, &mut actions);
        let output = |action| ShardAction { shard, action };
        actions.into_iter().map(output).collect()
    }

    /// Tells every shard the same.
    pub fn step_all(&mut self, now: u64, event: &Event) -> Vec<ShardAction> {
        let shards: Vec<u32> = self.shards.keys().copied().collect();
        let step = |s| self.step(now, s, event.clone());
        shards.into_iter().flat_map(step).collect()
    }

    /// Folds up the lines of holders that are gone: at once those that have left as planned, the
    /// others after a long absence.
    ///
    /// A holder that was killed may have spent tokens of a transfer that no record shows, and a
    /// bill for them may still be on its way from an entry. Folded too early, its line looks
    /// settled, and the bill is taken for a repetition and lost.
    pub fn set_presence(&mut self, now: u64, present: &[String], left: &[String]) {
        let records = self.shards.values().filter_map(Shard::record);
        let holders: BTreeSet<String> = records.flat_map(ShardRecord::holders).collect();
        self.absent_since.retain(|h, _| holders.contains(h));
        for holder in holders {
            if present.contains(&holder) || holder == self.me {
                self.absent_since.remove(&holder);
            } else {
                self.absent_since.entry(holder).or_insert(now);
            }
        }
        let long = |(_, since): &(&String, &u64)| now >= *since + RETIRE_AFTER_MS;
        let long_gone = self
            .absent_since
            .iter()
            .filter(long)
            .map(|(h, _)| h.clone());
        let gone: Vec<String> = left.iter().cloned().chain(long_gone).collect();
        for home in self.shards.values_mut() {
            home.departed.clone_from(&gone);
        }
    }

    /// Returns the shards that are open here.
    pub fn shards(&self) -> &BTreeMap<u32, Shard> {
        &self.shards
    }

    /// Returns whether something waits for time or for the platform.
    pub fn is_busy(&self) -> bool {
        self.shards.values().any(Shard::is_busy)
    }

    /// Returns whether nothing is left to settle or hand back.
    pub fn is_drained(&self) -> bool {
        self.shards.values().all(Shard::is_drained)
    }
}
