//! The listed instances and what follows from the list, worked out once for each list instead of at each request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use escrow::HOME_CANDIDATES;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Member;

/// Instances that keep what is known of something: one of them may be lost with all that it was told.
const KEEPERS: usize = 2;

/// The instances that hold a customer's tokens, the one to ask first at first.
pub(crate) type Homes = SmallVec<[Arc<Member>; HOME_CANDIDATES]>;

/// Which instances a customer's homes are chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Area {
    /// All.
    Fleet,
    /// Those of the own availability zone.
    Zone,
}

/// A listed instance.
#[derive(Debug)]
struct Listed {
    /// The hash of its key, which it keeps over restarts.
    hash: u64,
    member: Arc<Member>,
}

/// The instances of one list.
#[derive(Debug)]
pub(crate) struct Roster {
    /// In the order of their keys.
    listed: Vec<Listed>,
    /// Without this instance; those of the own zone first, in the order of their keys from the own one on.
    others: Vec<Arc<Member>>,
    /// How many of the others are in the own zone.
    neighbours: usize,
    near: HashSet<SocketAddr>,
    zone: String,
    me: String,
    homes: Mutex<HashMap<(Area, String), Homes>>,
}

impl Roster {
    /// Returns the roster of a list, by keys, as one instance sees it, itself listed under `own_key` or not.
    pub(crate) fn new(
        members: &BTreeMap<String, Arc<Member>>,
        own_key: &str,
        me: &Member,
    ) -> Roster {
        let listed = members.iter().map(|(key, member)| Listed {
            hash: xxh3_64(key.as_bytes()),
            member: Arc::clone(member),
        });
        // Each instance begins behind itself, so that not all turn to the same ones first.
        let before = members.range(..own_key.to_string());
        let behind = members.range(own_key.to_string()..).chain(before);
        let others = behind.map(|(_, m)| m).filter(|m| m.id != me.id);
        let (near, far): (Vec<_>, Vec<_>) = others.cloned().partition(|m| m.zone == me.zone);
        Roster {
            listed: listed.collect(),
            neighbours: near.len(),
            near: near.iter().map(|m| m.addr).collect(),
            others: near.into_iter().chain(far).collect(),
            zone: me.zone.clone(),
            me: me.id.clone(),
            homes: Mutex::default(),
        }
    }

    /// Returns the other instances, those of the own zone first, in the order of their keys from the own one on.
    pub(crate) fn others(&self) -> &[Arc<Member>] {
        &self.others
    }

    /// Returns the other instances of the own zone.
    pub(crate) fn neighbours(&self) -> &[Arc<Member>] {
        &self.others[..self.neighbours]
    }

    /// Returns whether an address is that of an instance in the own zone.
    pub(crate) fn is_near(&self, addr: SocketAddr) -> bool {
        self.near.contains(&addr)
    }

    /// Returns how many instances there are, this one among them.
    pub(crate) fn len(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the incarnations that are listed.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &str> {
        self.listed.iter().map(|l| l.member.id.as_str())
    }

    /// Returns the hashed keys of the listed instances.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.listed.iter().map(|l| l.hash).collect()
    }

    /// Returns the instances that hold a customer's tokens.
    pub(crate) fn homes(&self, customer: &str, area: Area) -> Homes {
        let mut known = self.homes.lock().expect("no panic inside");
        let key = (area, customer.to_string());
        let homes = known.entry(key).or_insert_with(|| {
            let in_area = |l: &&Listed| area == Area::Fleet || l.member.zone == self.zone;
            let instances = self.listed.iter().filter(in_area);
            let homes = escrow::home_candidates(customer, instances, |l| l.hash);
            homes.iter().map(|l| Arc::clone(&l.member)).collect()
        });
        homes.clone()
    }

    /// Returns whether this instance is the first of some homes, or the list does not name any.
    pub(crate) fn is_first(&self, homes: &Homes) -> bool {
        homes.first().is_none_or(|m| m.id == self.me)
    }

    /// Returns the instances that keep what is known of something, the one that decides about it first.
    pub(crate) fn keepers(&self, what: u64) -> SmallVec<[Arc<Member>; KEEPERS]> {
        let keepers = escrow::rendezvous_select::<_, KEEPERS>(what, &self.listed, |l| l.hash);
        keepers.iter().map(|l| Arc::clone(&l.member)).collect()
    }
}
