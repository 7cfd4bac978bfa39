//! All shards of one instance, with the pacer that they share.

use std::collections::BTreeMap;

use crate::home::{Home, Params, Role};
use crate::msg::{Action, Event};
use crate::pacer::Pacer;
use crate::place::{self, Candidate};

/// An action with the shard that it belongs to.
#[derive(Clone, Debug)]
pub struct Output {
    /// The shard.
    pub shard: u32,
    /// The action.
    pub action: Action,
}

/// All shards of one instance.
pub struct Bank {
    me: String,
    params: Params,
    shards: u32,
    writes_per_sec: u64,
    homes: BTreeMap<u32, Home>,
    pacer: Pacer,
    members: Vec<Candidate>,
    leaving: bool,
}

impl Bank {
    /// Opens a bank that knows of no other instance.
    pub fn open(now: u64, me: &str, shards: u32, writes_per_sec: u64, params: Params) -> Bank {
        Bank {
            me: me.to_string(),
            params,
            shards,
            writes_per_sec,
            homes: BTreeMap::new(),
            pacer: Pacer::open(now, writes_per_sec, 1),
            members: Vec::new(),
            leaving: false,
        }
    }

    /// Sets the living instances of the region, this one among them.
    pub fn set_members(&mut self, members: Vec<Candidate>) {
        if self.members == members {
            return;
        }
        self.pacer.resize(self.writes_per_sec, members.len());
        self.members = members;
        for shard in 0..self.shards {
            self.place(shard);
        }
    }

    /// Hands everything back, for a planned stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        for shard in 0..self.shards {
            self.place(shard);
        }
    }

    fn role(&self, shard: u32) -> Role {
        if self.leaving {
            return Role::None;
        }
        let order = place::home_and_standbys(shard, &self.members);
        match order.iter().position(|c| c.id == self.me) {
            Some(0) => Role::Home,
            Some(_) => Role::Standby,
            None => Role::None,
        }
    }

    fn place(&mut self, shard: u32) {
        let role = self.role(shard);
        if role == Role::None && !self.homes.contains_key(&shard) {
            return;
        }
        let peers = self.members.iter().map(|c| c.id.clone()).collect();
        self.home(shard).place(role, peers);
    }

    fn home(&mut self, shard: u32) -> &mut Home {
        let (me, params) = (&self.me, self.params);
        let open = || Home::open(me, params);
        self.homes.entry(shard).or_insert_with(open)
    }

    /// Returns the shard of an account.
    pub fn shard(&self, account: &str) -> u32 {
        place::shard(account, self.shards)
    }

    /// Takes one event of one shard.
    pub fn step(&mut self, now: u64, shard: u32, event: Event) -> Vec<Output> {
        if !self.homes.contains_key(&shard) {
            self.home(shard);
            self.place(shard);
        }
        let mut actions = Vec::new();
        let home = self.homes.get_mut(&shard).expect("opened above");
        home.step(now, event, &mut self.pacer, &mut actions);
        let output = |action| Output { shard, action };
        actions.into_iter().map(output).collect()
    }

    /// Tells every shard the same.
    pub fn step_all(&mut self, now: u64, event: &Event) -> Vec<Output> {
        let shards: Vec<u32> = self.homes.keys().copied().collect();
        let step = |s| self.step(now, s, event.clone());
        shards.into_iter().flat_map(step).collect()
    }

    /// Folds up the lines of holders that are known to be gone.
    pub fn set_gone(&mut self, gone: &[String]) {
        for home in self.homes.values_mut() {
            home.gone = gone.to_vec();
        }
    }

    /// Returns the shards that are open here.
    pub fn homes(&self) -> &BTreeMap<u32, Home> {
        &self.homes
    }

    /// Returns whether something waits for time or for the platform.
    pub fn is_busy(&self) -> bool {
        self.homes.values().any(Home::is_busy)
    }

    /// Returns whether nothing is left to settle or hand back.
    pub fn is_clear(&self) -> bool {
        self.homes.values().all(Home::is_clear)
    }
}
