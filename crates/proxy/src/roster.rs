//! The listed instances and what follows from the list, worked out once for each list instead of at each request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use escrow::HOME_CANDIDATES;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Member;

/// Instances that keep what is known of something: one of them may be lost with all that it was told.
const RECORD_OWNERS: usize = 2;

/// The instances that hold a customer's tokens, the one to ask first at first.
pub(crate) type Homes = SmallVec<[Arc<Member>; HOME_CANDIDATES]>;

/// Which instances a customer's homes are chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum HomeScope {
    /// All.
    Fleet,
    /// Those of the own availability zone.
    Zone,
}

/// A listed instance.
#[derive(Debug)]
struct ListedInstance {
    /// The hash of its key, which it keeps over restarts.
    key_hash: u64,
    member: Arc<Member>,
}

/// The instances of one list.
#[derive(Debug)]
pub(crate) struct Roster {
    /// In the order of their keys.
    instances: Vec<ListedInstance>,
    /// Without this instance; those of the own zone first, in the order of their keys from the own one on.
    peers: Vec<Arc<Member>>,
    /// How many of the others are in the own zone.
    zone_peer_count: usize,
    zone_peer_addrs: HashSet<SocketAddr>,
    zone: String,
    own_incarnation: String,
    home_cache: Mutex<HashMap<(HomeScope, String), Homes>>,
}

impl Roster {
    /// Returns the roster of a list, by keys, as one instance sees it, itself listed under `own_key` or not.
    pub(crate) fn new(
        members: &BTreeMap<String, Arc<Member>>,
        own_key: &str,
        me: &Member,
    ) -> Roster {
        let listed = members.iter().map(|(key, member)| ListedInstance {
            key_hash: xxh3_64(key.as_bytes()),
            member: Arc::clone(member),
        });
        // Each instance begins behind itself, so that not all turn to the same ones first.
        let before = members.range(..own_key.to_string());
        let behind = members.range(own_key.to_string()..).chain(before);
        let others = behind.map(|(_, m)| m).filter(|m| m.id != me.id);
        let (near, far): (Vec<_>, Vec<_>) = others.cloned().partition(|m| m.zone == me.zone);
        Roster {
            instances: listed.collect(),
            zone_peer_count: near.len(),
            zone_peer_addrs: near.iter().map(|m| m.addr).collect(),
            peers: near.into_iter().chain(far).collect(),
            zone: me.zone.clone(),
            own_incarnation: me.id.clone(),
            home_cache: Mutex::default(),
        }
    }

    /// Returns the other instances, those of the own zone first, in the order of their keys from the own one on.
    pub(crate) fn peers(&self) -> &[Arc<Member>] {
        &self.peers
    }

    /// Returns the other instances of the own zone.
    pub(crate) fn zone_peers(&self) -> &[Arc<Member>] {
        &self.peers[..self.zone_peer_count]
    }

    /// Returns whether an address is that of an instance in the own zone.
    pub(crate) fn is_same_zone(&self, addr: SocketAddr) -> bool {
        self.zone_peer_addrs.contains(&addr)
    }

    /// Returns how many instances there are, this one among them.
    pub(crate) fn len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the incarnations that are listed.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &str> {
        self.instances.iter().map(|l| l.member.id.as_str())
    }

    /// Returns the hashed keys of the listed instances.
    pub(crate) fn key_hashes(&self) -> Vec<u64> {
        self.instances.iter().map(|l| l.key_hash).collect()
    }

    /// Returns the instances that hold a customer's tokens.
    pub(crate) fn homes(&self, customer: &str, area: HomeScope) -> Homes {
        let mut known = self.home_cache.lock().expect("no panic inside");
        let key = (area, customer.to_string());
        let homes = known.entry(key).or_insert_with(|| {
            let in_area =
                |l: &&ListedInstance| area == HomeScope::Fleet || l.member.zone == self.zone;
            let instances = self.instances.iter().filter(in_area);
            let homes = escrow::home_candidates(customer, instances, |l| l.key_hash);
            homes.iter().map(|l| Arc::clone(&l.member)).collect()
        });
        homes.clone()
    }

    /// Returns whether this instance is the first of some homes, or the list does not name any.
    pub(crate) fn is_primary_home(&self, homes: &Homes) -> bool {
        homes.first().is_none_or(|m| m.id == self.own_incarnation)
    }

    /// Returns the instances that keep what is known of something, the one that decides about it first.
    pub(crate) fn owners(&self, what: u64) -> SmallVec<[Arc<Member>; RECORD_OWNERS]> {
        let keepers =
            escrow::rendezvous_select::<_, RECORD_OWNERS>(what, &self.instances, |l| l.key_hash);
        keepers.iter().map(|l| Arc::clone(&l.member)).collect()
    }
}
