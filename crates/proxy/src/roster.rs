//! The listed instances and what is derived from the list, computed once per list instead of once
//! per request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use engine::Owners;
use escrow::HOME_CANDIDATES;
use origin::CANDIDATES;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Member;

/// Number of instances that own a record: one of them may be lost with everything that it has
/// received.
const RECORD_OWNERS: usize = 2;

/// Capacity of an instance that does not list one: it is of an earlier version, or its settings name
/// no limits.
const UNKNOWN_CAPACITY: u32 = 1;

/// The instances that hold a customer's tokens, in the order in which to ask them.
pub(crate) type Homes = SmallVec<[Arc<Member>; HOME_CANDIDATES]>;

/// The instances from which a customer's homes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum HomeScope {
    /// All instances.
    Fleet,
    /// The instances of the own availability zone.
    Zone,
}

/// A listed instance.
#[derive(Debug)]
struct ListedInstance {
    /// The hash of its key, which it keeps across restarts.
    key_hash: u64,
    member: Arc<Member>,
}

/// The instances of one list, as one instance sees them.
#[derive(Debug)]
pub(crate) struct Roster {
    /// All listed instances, ordered by key.
    instances: Vec<ListedInstance>,
    /// The instances other than this one: those of the same zone first, each group ordered by key,
    /// starting after the own key and wrapping around.
    peers: Vec<Arc<Member>>,
    /// Number of peers in the same zone.
    zone_peer_count: usize,
    zone_peer_addrs: HashSet<SocketAddr>,
    zone: String,
    own_incarnation: String,
    home_cache: Mutex<HashMap<(HomeScope, String), Homes>>,
    /// Owners of engines' accounts, by the hash of the engine's incarnation.
    account_owner_cache: Mutex<HashMap<u64, Owners<Arc<Member>>>>,
}

impl Roster {
    /// Returns the roster of a list of members by key, as seen by the instance `own`, which may be
    /// listed under `own_key` or not.
    pub(crate) fn new(
        members: &BTreeMap<String, Arc<Member>>,
        own_key: &str,
        own: &Member,
    ) -> Roster {
        let listed = members.iter().map(|(key, member)| ListedInstance {
            key_hash: xxh3_64(key.as_bytes()),
            member: Arc::clone(member),
        });
        // Each instance starts after its own key, so that not all contact the same peers first.
        let before = members.range(..own_key.to_string());
        let rotated = members.range(own_key.to_string()..).chain(before);
        let peers = rotated.map(|(_, m)| m).filter(|m| m.id != own.id);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            peers.cloned().partition(|m| m.zone == own.zone);
        Roster {
            instances: listed.collect(),
            zone_peer_count: same_zone.len(),
            zone_peer_addrs: same_zone.iter().map(|m| m.addr).collect(),
            peers: same_zone.into_iter().chain(other_zones).collect(),
            zone: own.zone.clone(),
            own_incarnation: own.id.clone(),
            home_cache: Mutex::default(),
            account_owner_cache: Mutex::default(),
        }
    }

    /// Returns the other instances: those of the same zone first, each group ordered by key,
    /// starting after the own key and wrapping around.
    pub(crate) fn peers(&self) -> &[Arc<Member>] {
        &self.peers
    }

    /// Returns the other instances of the same zone.
    pub(crate) fn zone_peers(&self) -> &[Arc<Member>] {
        &self.peers[..self.zone_peer_count]
    }

    /// Returns whether an address belongs to another instance of the same zone.
    pub(crate) fn is_same_zone(&self, addr: SocketAddr) -> bool {
        self.zone_peer_addrs.contains(&addr)
    }

    /// Returns the number of instances, including this one.
    pub(crate) fn len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns whether this incarnation is listed.
    pub(crate) fn is_own_listed(&self) -> bool {
        self.incarnations().any(|id| id == self.own_incarnation)
    }

    /// Returns the listed incarnations.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &str> {
        self.instances.iter().map(|l| l.member.id.as_str())
    }

    /// Returns the listed instances with the hashes of their keys.
    pub(crate) fn name_hashes(&self) -> impl Iterator<Item = (u64, &Arc<Member>)> {
        self.instances.iter().map(|l| (l.key_hash, &l.member))
    }

    /// Returns the hashes of the keys of the listed instances.
    pub(crate) fn key_hashes(&self) -> Vec<u64> {
        self.instances.iter().map(|l| l.key_hash).collect()
    }

    /// Returns the instances that hold a customer's tokens, in the order in which to ask them.
    pub(crate) fn homes(&self, customer: &str, scope: HomeScope) -> Homes {
        let mut cache = self.home_cache.lock().expect("lock not poisoned");
        let key = (scope, customer.to_string());
        let homes = cache.entry(key).or_insert_with(|| {
            let in_scope =
                |l: &&ListedInstance| scope == HomeScope::Fleet || l.member.zone == self.zone;
            let instances = self.instances.iter().filter(in_scope);
            let homes = escrow::home_candidates(
                customer,
                instances,
                |l| l.key_hash,
                |l| l.member.capacity.unwrap_or(UNKNOWN_CAPACITY),
            );
            homes.iter().map(|l| Arc::clone(&l.member)).collect()
        });
        homes.clone()
    }

    /// Returns the instances that keep the account of an engine in a zone, in the order in which to ask
    /// them.
    pub(crate) fn account_owners(&self, engine: u64, zone: &str) -> Owners<Arc<Member>> {
        let cache = &self.account_owner_cache;
        let mut cache = cache.lock().expect("lock not poisoned");
        let owners = cache.entry(engine).or_insert_with(|| {
            let candidate = |l: &&ListedInstance| engine::Candidate {
                name_hash: l.key_hash,
                same_zone: l.member.zone == zone,
                link_mbps: l.member.link_mbps,
            };
            let owners = engine::owners(engine, &self.instances, candidate);
            owners.iter().map(|l| Arc::clone(&l.member)).collect()
        });
        owners.clone()
    }

    /// Returns whether this instance is the first of the given homes, or there are none.
    pub(crate) fn is_primary_home(&self, homes: &Homes) -> bool {
        homes.first().is_none_or(|m| m.id == self.own_incarnation)
    }

    /// Returns the instances that may hold the record of a stream with a placement key, those that should
    /// first.
    pub(crate) fn origin_candidates(&self, key: u64) -> SmallVec<[Arc<Member>; CANDIDATES]> {
        let ranked =
            escrow::rendezvous_select::<_, CANDIDATES>(key, &self.instances, |l| l.key_hash);
        let ordered = origin::order_candidates(ranked, |l| &l.member.zone);
        ordered.iter().map(|l| Arc::clone(&l.member)).collect()
    }

    /// Returns the instances that own the record with a placement key; the first one decides on it.
    pub(crate) fn owners(&self, key: u64) -> SmallVec<[Arc<Member>; RECORD_OWNERS]> {
        let owners =
            escrow::rendezvous_select::<_, RECORD_OWNERS>(key, &self.instances, |l| l.key_hash);
        owners.iter().map(|l| Arc::clone(&l.member)).collect()
    }
}
