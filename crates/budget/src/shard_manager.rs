//! The shards of one instance and the write limiter that they share.

use std::collections::{BTreeMap, BTreeSet};

use crate::grant::GrantSizing;
use crate::msg::{Action, Event};
use crate::placement::{self, Candidate};
use crate::record::ShardRecord;
use crate::shard::{Params, Role, Shard, Witness};
use crate::write_limiter::WriteLimiter;

/// Absence after which a holder without unspent tokens is retired, in milliseconds: longer than any
/// request runs, and longer than any entry keeps retrying a settlement.
const RETIRE_AFTER_MS: u64 = 3_600_000;

/// An action and the shard that it belongs to.
#[derive(Clone, Debug)]
pub struct ShardAction {
    /// Number of the shard.
    pub shard: u32,
    /// Action to carry out.
    pub action: Action,
}

/// The shards of one instance.
pub struct ShardManager {
    /// Incarnation of this instance.
    me: String,
    params: Params,
    shard_count: u32,
    /// Writes per second that the whole fleet may make.
    writes_per_sec: u64,
    shards: BTreeMap<u32, Shard>,
    write_limiter: WriteLimiter,
    /// The live instances of the region, including this one.
    members: Vec<Candidate>,
    /// Those that were live lately.
    absent: Vec<Candidate>,
    leaving: bool,
    /// Holders that are not present, with the time at which that was noticed.
    absent_since: BTreeMap<String, u64>,
}

impl ShardManager {
    /// Creates a manager that knows of no other instance.
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
            absent: Vec::new(),
            leaving: false,
            absent_since: BTreeMap::new(),
        }
    }

    /// Sets the live instances of the region, including this one, and those that were live lately.
    pub fn set_members(&mut self, members: Vec<Candidate>, absent: Vec<Candidate>) {
        if self.members == members && self.absent == absent {
            return;
        }
        self.members = members;
        self.absent = absent;
        let mut homes = 0;
        for shard in 0..self.shard_count {
            self.update_role(shard);
            homes += u32::from(self.role(shard) == Role::Home);
        }
        // Homes make most of the writes, so the fleet's rate is split by the number of shards that
        // each instance is home to.
        let share = match self.params.sizing {
            GrantSizing::Split { parts } => 1.0 / parts as f64,
            _ => f64::from(homes) / f64::from(self.shard_count),
        };
        self.write_limiter.set_share(self.writes_per_sec, share);
    }

    /// Starts a planned stop: gives up all roles, so that unspent tokens go back to the records.
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

    /// Returns the instance of this zone that is the witness of new joint grants.
    fn witness(&self, shard: u32) -> Witness {
        let Some(own) = self.members.iter().find(|c| c.id == self.me) else {
            return Witness::None;
        };
        let other = |c: &&Candidate| c.zone == own.zone && c.id != self.me;
        let mut ranked = placement::rank_candidates(shard, &self.members).into_iter();
        match ranked.find(other) {
            Some(live) => Witness::Live(live.id.clone()),
            None if self.absent.iter().any(|c| other(&c)) => Witness::Absent,
            None => Witness::None,
        }
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
        let new = || Shard::new(me, params);
        self.shards.entry(shard).or_insert_with(new)
    }

    /// Returns the number of an account's shard.
    pub fn shard_of(&self, account: &str) -> u32 {
        placement::shard_of(account, self.shard_count)
    }

    /// Handles an event of one shard and returns the resulting actions.
    pub fn step(&mut self, now: u64, shard: u32, event: Event) -> Vec<ShardAction> {
        if !self.shards.contains_key(&shard) {
            self.shard_mut(shard);
            self.update_role(shard);
        }
        let mut actions = Vec::new();
        let state = self.shards.get_mut(&shard).expect("created above");
        state.step(now, event, &mut self.write_limiter, &mut actions);
        let with_shard = |action| ShardAction { shard, action };
        actions.into_iter().map(with_shard).collect()
    }

    /// Handles an event in every shard and returns the resulting actions.
    pub fn step_all(&mut self, now: u64, event: &Event) -> Vec<ShardAction> {
        let shards: Vec<u32> = self.shards.keys().copied().collect();
        let step = |s| self.step(now, s, event.clone());
        shards.into_iter().flat_map(step).collect()
    }

    /// Sets which holders are to be retired: those in `left`, which made a planned stop, at once,
    /// and those that are missing in `present` after `RETIRE_AFTER_MS`.
    ///
    /// A holder that was killed may have spent tokens that it received in a transfer that no record
    /// shows. Its balance on record is then zero although an entry may still be sending the
    /// settlement. If the holder were retired too early, that settlement would be taken for a
    /// duplicate and dropped.
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
        let is_expired = |(_, since): &(&String, &u64)| now >= *since + RETIRE_AFTER_MS;
        let expired = self
            .absent_since
            .iter()
            .filter(is_expired)
            .map(|(h, _)| h.clone());
        let departed: Vec<String> = left.iter().cloned().chain(expired).collect();
        for shard in self.shards.values_mut() {
            shard.departed.clone_from(&departed);
        }
    }

    /// Returns the shards that this instance has state for.
    pub fn shards(&self) -> &BTreeMap<u32, Shard> {
        &self.shards
    }

    /// Returns whether any shard is waiting for time to pass or for the platform.
    pub fn is_busy(&self) -> bool {
        self.shards.values().any(Shard::is_busy)
    }

    /// Returns whether nothing is left to settle or to return to the records.
    pub fn is_drained(&self) -> bool {
        self.shards.values().all(Shard::is_drained)
    }

    /// Describes what is left to settle or to return to the records, for the log.
    pub fn describe_undrained(&self) -> String {
        let shards = self.shards.iter().filter(|(_, s)| !s.is_drained());
        let lines = shards.map(|(n, s)| format!("shard {n}: {}", s.describe_undrained()));
        lines.collect::<Vec<_>>().join("; ")
    }
}
