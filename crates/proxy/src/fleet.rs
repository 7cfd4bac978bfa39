//! Membership of the fleet: each instance registers itself under a key in the store, which a lease
//! keeps alive, and follows the keys of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use clock::{boot_ms, Clock};
use kv::{KeyValue, Precondition, Put, Store, StoreError, Txn, TxnResult};
use place::{Pool, SlackPart};
use relay::Candidate;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::event::Event;
use crate::follower::{Follower, FollowerDeps, Update};
use crate::log::Log;
use crate::peers::PeerAddresses;
use crate::replication::Topic;
use crate::roster::{HomeScope, Homes, Roster};
use crate::transit::Transit;

/// Prefix of the keys of instances; a key continues with the availability zone and the name.
const PREFIX: &str = "oriolehitch/instances/";
/// Minimum time to live of a lease, in milliseconds. A lease must outlive an outage of the store
/// and a partition of its holder, since that is when the other instances need the list most. In
/// return, a crashed instance stays listed for that time, and the others send it messages in vain.
const MIN_LEASE_TTL_MS: u64 = 30_000;
/// Interval between renewals of a lease: three of them fit into the shortest outage that it must
/// outlive.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Maximum duration of a watch of the list, in milliseconds. A change that is learned late only
/// means that a message is sent to an instance that is gone, or that this instance uses a wrong
/// share of a limit that is divided among all instances.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// Instances whose starts are at most this far apart have started together, in seconds: machines
/// come back one after the other.
const SAME_START_SECS: u64 = 15;
/// In a mass start, at most one in this many instances has started earlier.
const MASS_START_DIVISOR: usize = 4;
/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The entry of an instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The incarnation of the instance.
    pub(crate) id: String,
    /// The address on which it listens for other instances.
    pub(crate) addr: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: String,
    /// Bandwidth of its link, in megabits per second; `None` if it is not limited.
    #[serde(default)]
    pub(crate) link_mbps: Option<u32>,
    /// The address at which it forwards requests of other instances; `None` if it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) transit_addr: Option<SocketAddr>,
    /// Its capacity to hold customers' tokens; `None` if it does not list it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) capacity: Option<u32>,
}

/// Handle to the membership of the fleet; clones share it.
#[derive(Clone)]
pub(crate) struct Fleet(Arc<Inner>);

struct Inner {
    own: Member,
    name: String,
    key: String,
    lease_ttl_ms: u64,
    /// The other instances that the settings name, used until the list is known.
    seeds: Vec<Arc<Member>>,
    store: Arc<dyn Store>,
    follower_deps: FollowerDeps,
    log: Arc<Log>,
    pool: Arc<Mutex<Pool>>,
    transit: Transit,
    clock: Clock,
    members: Mutex<BTreeMap<String, Arc<Member>>>,
    /// Derived from `members` each time that these change.
    roster: RwLock<Arc<Roster>>,
    /// Changes with the roster.
    roster_changes: watch::Sender<()>,
    /// Whether most instances have started together with this one, or later.
    mass_start: AtomicBool,
    /// Whether the whole list was received since the start.
    list_complete: AtomicBool,
    /// The lease of the last registration; 0 before the first one.
    lease: Mutex<i64>,
    /// When the lease expires unless it is renewed, by a clock that counts suspensions of the machine, in milliseconds; 0
    /// without a lease.
    lease_until: watch::Sender<u64>,
}

/// Returns when an incarnation started, in seconds since the Unix epoch, as encoded in its name.
fn start_secs(incarnation: &str) -> Option<u64> {
    let start = incarnation.rsplit('.').next()?.get(..8)?;
    u64::from_str_radix(start, 16).ok()
}

/// Returns the prefix of the keys of the instances of an availability zone.
fn zone_prefix(zone: &str) -> String {
    format!("{PREFIX}{zone}/")
}

impl Fleet {
    pub(crate) fn new(
        name: &str,
        own: Member,
        seeds: &[SocketAddr],
        min_lease_ms: u64,
        store: Arc<dyn Store>,
        follower_deps: FollowerDeps,
        log: Arc<Log>,
        pool: Arc<Mutex<Pool>>,
        transit: Transit,
        clock: Clock,
    ) -> Fleet {
        let own_addr = own.addr;
        let seed = |addr: &SocketAddr| {
            Arc::new(Member {
                id: addr.to_string(),
                addr: *addr,
                zone: String::new(),
                link_mbps: None,
                transit_addr: None,
                capacity: None,
            })
        };
        let seeds = seeds.iter().filter(|a| **a != own_addr).map(seed);
        let key = format!("{}{name}", zone_prefix(&own.zone));
        let roster = Roster::new(&BTreeMap::new(), &key, &own);
        let fleet = Fleet(Arc::new(Inner {
            roster: RwLock::new(Arc::new(roster)),
            roster_changes: watch::channel(()).0,
            seeds: seeds.collect(),
            own,
            name: name.to_string(),
            key,
            lease_ttl_ms: MIN_LEASE_TTL_MS.max(min_lease_ms),
            store,
            follower_deps,
            log,
            pool,
            transit,
            clock,
            members: Mutex::default(),
            mass_start: AtomicBool::new(false),
            list_complete: AtomicBool::new(false),
            lease: Mutex::new(0),
            lease_until: watch::channel(0).0,
        }));
        fleet.update_peer_addresses();
        fleet
    }

    /// Passes the addresses of the other instances to the clients.
    fn update_peer_addresses(&self) {
        let roster = self.roster();
        let listed = roster.peers().iter();
        let listed = listed.map(|m| (m.addr, Some(Arc::clone(m))));
        let mut addresses: PeerAddresses = listed.collect();
        if addresses.is_empty() {
            addresses.extend(self.0.seeds.iter().map(|m| (m.addr, None)));
        }
        let peer_clients = &self.0.follower_deps.peer_clients;
        peer_clients.set_addresses(addresses);
    }

    /// Returns whether an address belongs to another instance, as far as known.
    pub(crate) fn is_peer(&self, addr: SocketAddr) -> bool {
        self.0.follower_deps.peer_clients.is_peer(addr)
    }

    /// Returns the incarnation of this instance.
    pub(crate) fn incarnation(&self) -> &str {
        &self.0.own.id
    }

    /// Returns the address on which this instance listens for others.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.own.addr
    }

    /// Returns the name of this instance, which it keeps across restarts.
    pub(crate) fn name(&self) -> &str {
        &self.0.name
    }

    /// Returns the availability zone of this instance.
    pub(crate) fn zone(&self) -> &str {
        &self.0.own.zone
    }

    /// Returns the roster derived from the latest list.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        Arc::clone(&self.0.roster.read().expect("lock not poisoned"))
    }

    /// Returns a receiver that is notified when the roster has changed.
    pub(crate) fn roster_changes(&self) -> watch::Receiver<()> {
        self.0.roster_changes.subscribe()
    }

    /// Returns the other instances, those of the same zone first. While no other instance is
    /// listed, these are the ones that the settings name.
    pub(crate) fn peers(&self) -> Vec<Arc<Member>> {
        let roster = self.roster();
        if roster.peers().is_empty() {
            return self.0.seeds.clone();
        }
        roster.peers().to_vec()
    }

    /// Returns the homes of a customer that rank before this instance, to draw tokens from; none if
    /// this instance ranks first.
    pub(crate) fn preceding_homes(&self, customer: &str, scope: HomeScope) -> Homes {
        let mut homes = self.roster().homes(customer, scope);
        let own = homes.iter().position(|m| m.id == self.0.own.id);
        homes.truncate(own.unwrap_or(homes.len()));
        homes
    }

    /// Returns the homes of a customer other than this instance, for when it can't take tokens
    /// itself.
    pub(crate) fn other_homes(&self, customer: &str, scope: HomeScope) -> Homes {
        let mut homes = self.roster().homes(customer, scope);
        homes.retain(|m| m.id != self.0.own.id);
        homes
    }

    /// Returns whether this instance is the first home of a customer, or no instance is listed.
    pub(crate) fn is_home(&self, customer: &str, scope: HomeScope) -> bool {
        let roster = self.roster();
        roster.is_primary_home(&roster.homes(customer, scope))
    }

    /// Returns the listed incarnations, including the one of this instance.
    pub(crate) fn live_incarnations(&self) -> BTreeSet<String> {
        let roster = self.roster();
        let mut live: BTreeSet<String> = roster.incarnations().map(str::to_string).collect();
        live.insert(self.0.own.id.clone());
        live
    }

    /// Returns the number of instances, among which limits of the whole fleet are divided.
    pub(crate) fn instance_count(&self) -> usize {
        self.roster().len()
    }

    /// Returns a receiver that changes when the lease is granted or renewed.
    pub(crate) fn lease_renewals(&self) -> watch::Receiver<u64> {
        self.0.lease_until.subscribe()
    }

    /// Returns the part of this instance in the slack of the retry budgets; none while it does not know the whole list,
    /// or is not in it: others don't leave it a part then.
    pub(crate) fn slack_part(&self) -> Option<SlackPart> {
        let roster = self.roster();
        let has_part = self.0.list_complete.load(Ordering::Relaxed) && roster.is_own_listed();
        let remaining_ms = self.0.lease_until.borrow().saturating_sub(boot_ms());
        has_part.then(|| SlackPart {
            sharers: roster.len(),
            until: self.0.clock.now() + remaining_ms,
        })
    }

    /// Starts the tasks that keep this instance registered and follow the list.
    pub(crate) fn spawn(&self) {
        let fleet = self.clone();
        tokio::spawn(async move {
            loop {
                match fleet.register().await {
                    Ok(lease) => fleet.keep_lease_alive(lease).await,
                    Err(_) => sleep(REGISTER_RETRY_DELAY).await,
                }
            }
        });
        let fleet = self.clone();
        tokio::spawn(async move {
            let store = Arc::clone(&fleet.0.store);
            let follower_deps = fleet.0.follower_deps.clone();
            let priority_prefix = Some(zone_prefix(fleet.zone()));
            let mut follower = Follower::new(
                store,
                follower_deps,
                Topic::Instances,
                PREFIX,
                priority_prefix,
                WATCH_TIMEOUT_MS,
            );
            loop {
                fleet.apply(follower.next().await);
            }
        });
    }

    /// Writes the key of this instance with a new lease.
    async fn register(&self) -> Result<i64, StoreError> {
        let store = &self.0.store;
        let sent_at = boot_ms();
        let lease = store.grant_lease(self.0.lease_ttl_ms).await?;
        let value = serde_json::to_vec(&self.0.own).expect("a member can be serialized");
        // Most starts find no key under their name, so the first attempt expects none. A
        // transaction that conflicts returns the existing key.
        let mut revision = 0;
        loop {
            let txn = Txn {
                preconditions: vec![Precondition {
                    key: self.0.key.clone(),
                    revision,
                }],
                puts: vec![Put {
                    key: self.0.key.clone(),
                    value: value.clone(),
                    lease,
                }],
                deletes: Vec::new(),
            };
            match store.commit(txn).await? {
                TxnResult::Done(_) => break,
                TxnResult::Conflict(items) => {
                    let found = items.iter().find(|item| item.key == self.0.key);
                    let found = found.map_or(0, |f| f.revision);
                    // After the first attempt this means that a write of an earlier incarnation
                    // arrived late, or that its key expired.
                    if revision > 0 {
                        sleep(REGISTER_RETRY_DELAY).await;
                    }
                    revision = found;
                }
                TxnResult::LeaseEnded => {
                    return Err(StoreError::Refused("the lease has expired".to_string()))
                }
            }
        }
        *self.0.lease.lock().expect("lock not poisoned") = lease;
        self.record_lease(sent_at);
        Ok(lease)
    }

    /// Records that the lease was granted or renewed by a call that was sent at a time. It lasts from then at least: the
    /// store received the call later.
    fn record_lease(&self, sent_at: u64) {
        let until = sent_at + self.0.lease_ttl_ms;
        self.0
            .lease_until
            .send_modify(|current| *current = (*current).max(until));
    }

    /// Renews the lease until it has expired. Each renewal is also a probe of the store.
    async fn keep_lease_alive(&self, lease: i64) {
        let FollowerDeps {
            store_health,
            relay,
            ..
        } = &self.0.follower_deps;
        // A call that hangs must not delay the next one: it may end long after the store is
        // available again.
        let mut renewals = JoinSet::new();
        loop {
            let probe_due = store_health
                .wait_until_probe_due(LEASE_RENEWAL_INTERVAL, relay.others_probe_store());
            tokio::pin!(probe_due);
            loop {
                tokio::select! {
                    () = &mut probe_due => break,
                    Some(renewed) = renewals.join_next() => {
                        // If a call fails, the next one shows whether the lease has expired.
                        match renewed {
                            Ok((sent_at, Ok(true))) => self.record_lease(sent_at),
                            Ok((_, Ok(false))) => {
                                self.0.lease_until.send_replace(0);
                                return;
                            }
                            Ok((_, Err(_))) | Err(_) => {}
                        }
                    }
                }
            }
            let store = Arc::clone(&self.0.store);
            let sent_at = boot_ms();
            renewals.spawn(async move { (sent_at, store.renew_lease(lease).await) });
        }
    }

    /// Applies an update of the list.
    fn apply(&self, update: Update) {
        let parse = |item: &KeyValue| {
            let member = serde_json::from_slice::<Member>(&item.value).ok();
            member.map(Arc::new)
        };
        let mut members = self.0.members.lock().expect("lock not poisoned");
        let before = members.len();
        match update {
            Update::Snapshot(items, _) => {
                let parsed = items
                    .iter()
                    .filter_map(|item| Some((item.key.clone(), parse(item)?)));
                *members = parsed.collect();
                self.0.list_complete.store(true, Ordering::Relaxed);
            }
            Update::Changes(changes, _) | Update::Partial(changes) => {
                for change in changes {
                    match change.current.as_ref().and_then(parse) {
                        Some(member) => members.insert(change.key, member),
                        None => members.remove(&change.key),
                    };
                }
            }
            Update::Unavailable => return,
        }
        let after = members.len();
        let roster = Roster::new(&members, &self.0.key, &self.0.own);
        let roster = Arc::new(roster);
        *self.0.roster.write().expect("lock not poisoned") = Arc::clone(&roster);
        self.0.roster_changes.send_replace(());
        self.update_peer_addresses();
        self.publish_instances(&members, &roster);
        self.update_mass_start(&members);
        drop(members);
        if before != after {
            let detail = format_args!("before={before} now={after}");
            self.0.log.event(Event::MembershipChanged, detail);
        }
    }

    /// Returns whether most instances have started together with this one, or later: at the first
    /// start of the fleet, or after a failure of all instances.
    pub(crate) fn is_mass_start(&self) -> bool {
        self.0.mass_start.load(Ordering::Relaxed)
    }

    /// Updates whether most instances have started together with this one, or later.
    fn update_mass_start(&self, members: &BTreeMap<String, Arc<Member>>) {
        let Some(own_start) = start_secs(&self.0.own.id) else {
            return;
        };
        let earlier =
            |m: &&Arc<Member>| start_secs(&m.id).is_some_and(|at| at + SAME_START_SECS < own_start);
        let earlier = members.values().filter(earlier).count();
        let mass_start = earlier * MASS_START_DIVISOR <= members.len();
        self.0.mass_start.store(mass_start, Ordering::Relaxed);
    }

    /// Passes the list to the components that select instances from it: those that read the store
    /// for their zone, those that forward requests, and those that may send to throttled upstreams.
    fn publish_instances(&self, members: &BTreeMap<String, Arc<Member>>, roster: &Roster) {
        let prefix = zone_prefix(&self.0.own.zone);
        let zone = members.iter().filter(|(_, m)| m.zone == self.0.own.zone);
        let zone = zone.map(|(key, m)| Candidate {
            name: key.strip_prefix(&prefix).unwrap_or(key),
            link_mbps: m.link_mbps,
        });
        let zone: Vec<Candidate<'_>> = zone.collect();
        let own = Candidate {
            name: &self.0.name,
            link_mbps: self.0.own.link_mbps,
        };
        let zone_peers = roster.zone_peers().iter().map(|m| m.addr);
        self.0
            .follower_deps
            .relay
            .set_zone(&own, &zone, zone_peers.collect());
        self.0.transit.set_instances(&self.0.own, roster);
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let now = self.0.clock.now();
        pool.set_instances(now, xxh3_64(self.0.key.as_bytes()), &roster.key_hashes());
    }

    /// Ends the lease, which deletes the key of this instance.
    pub(crate) async fn deregister(&self) {
        let lease = *self.0.lease.lock().expect("lock not poisoned");
        if lease == 0 {
            return;
        }
        if let Err(error) = self.0.store.revoke_lease(lease).await {
            // The lease expires by itself later.
            let detail = format_args!("what=lease why={error:?}");
            self.0.log.event(Event::StoreWriteFailed, detail);
        }
    }
}
