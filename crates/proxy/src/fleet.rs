//! The instances: each has a key in the store that a lease keeps, and lists the others' keys.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use clock::Clock;
use kv::{Commit, Expect, Failure, Found, Put, Store, Txn};
use place::Pool;
use relay::Candidate;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::event::Event;
use crate::follower::{FollowContext, Follower, Update};
use crate::log::Log;
use crate::replication::Topic;
use crate::roster::{HomeScope, Homes, Roster};

/// Keys of instances, by availability zone and name.
const PREFIX: &str = "oriolehitch/instances/";
/// A lease outlives an outage of the store and a partition of its holder: the others need the list
/// most just then. An instance that crashed is listed that much longer, which costs a message.
const MIN_LEASE_TTL_MS: u64 = 30_000;
/// How often a lease is renewed: three times within the shortest outage that it must outlive.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Longest wait of one watch of the list, in milliseconds: what it brings late costs a message to an
/// instance that is gone, or a share of what is bounded for all.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// Instances that start within so many seconds have started together: machines come back one after the other.
const SAME_START_SECS: u64 = 15;
/// All but one in so many are most of them.
const MASS_START_DIVISOR: usize = 4;
/// Pause before a failed registration is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An instance as it lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Its incarnation.
    pub(crate) id: String,
    /// Where it listens for other instances.
    pub(crate) addr: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: String,
    /// Bandwidth of its link, in megabits a second; none where it is not bounded.
    #[serde(default)]
    pub(crate) link_mbps: Option<u32>,
}

/// A handle on the list of instances.
#[derive(Clone)]
pub(crate) struct Fleet(Arc<Inner>);

struct Inner {
    own: Member,
    name: String,
    key: String,
    lease_ttl_ms: u64,
    seeds: Vec<Arc<Member>>,
    store: Arc<dyn Store>,
    feed: FollowContext,
    log: Arc<Log>,
    pool: Arc<Mutex<Pool>>,
    clock: Clock,
    members: Mutex<BTreeMap<String, Arc<Member>>>,
    /// What follows from the members.
    roster: RwLock<Arc<Roster>>,
    /// Whether most instances have started with this one, or after it.
    mass_start: AtomicBool,
    lease: Mutex<i64>,
}

/// Returns the seconds since the Unix epoch at which an incarnation started, as its name tells.
fn started_at(incarnation: &str) -> Option<u64> {
    let start = incarnation.rsplit('.').next()?.get(..8)?;
    u64::from_str_radix(start, 16).ok()
}

/// Returns the prefix of the keys of the instances of an availability zone.
fn zone_prefix(zone: &str) -> String {
    format!("{PREFIX}{zone}/")
}

impl Fleet {
    pub(crate) fn open(
        name: &str,
        me: Member,
        seeds: &[SocketAddr],
        lease_least_ms: u64,
        store: Arc<dyn Store>,
        feed: FollowContext,
        log: Arc<Log>,
        pool: Arc<Mutex<Pool>>,
        clock: Clock,
    ) -> Fleet {
        let own = me.addr;
        let seed = |addr: &SocketAddr| {
            Arc::new(Member {
                id: addr.to_string(),
                addr: *addr,
                zone: String::new(),
                link_mbps: None,
            })
        };
        let seeds = seeds.iter().filter(|a| **a != own).map(seed);
        let key = format!("{}{name}", zone_prefix(&me.zone));
        let roster = Roster::new(&BTreeMap::new(), &key, &me);
        Fleet(Arc::new(Inner {
            roster: RwLock::new(Arc::new(roster)),
            seeds: seeds.collect(),
            own: me,
            name: name.to_string(),
            key,
            lease_ttl_ms: MIN_LEASE_TTL_MS.max(lease_least_ms),
            store,
            feed,
            log,
            pool,
            clock,
            members: Mutex::default(),
            mass_start: AtomicBool::new(false),
            lease: Mutex::new(0),
        }))
    }

    /// Returns this incarnation.
    pub(crate) fn incarnation(&self) -> &str {
        &self.0.own.id
    }

    /// Returns the instance's name, which it keeps over restarts.
    pub(crate) fn name(&self) -> &str {
        &self.0.name
    }

    /// Returns the own availability zone.
    pub(crate) fn zone(&self) -> &str {
        &self.0.own.zone
    }

    /// Returns the instances by the newest list.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        Arc::clone(&self.0.roster.read().expect("no panic inside"))
    }

    /// Returns the other instances, those of the own zone first; those that the settings name while the
    /// list is not known.
    pub(crate) fn peers(&self) -> Vec<Arc<Member>> {
        let roster = self.roster();
        if roster.peers().is_empty() {
            return self.0.seeds.clone();
        }
        roster.peers().to_vec()
    }

    /// Returns the instances to draw a customer's tokens from; none where this one holds them itself.
    pub(crate) fn preceding_homes(&self, customer: &str, area: HomeScope) -> Homes {
        let mut homes = self.roster().homes(customer, area);
        let own = homes.iter().position(|m| m.id == self.0.own.id);
        homes.truncate(own.unwrap_or(homes.len()));
        homes
    }

    /// Returns the other instances that hold a customer's tokens when this one can't take any.
    pub(crate) fn other_homes(&self, customer: &str, area: HomeScope) -> Homes {
        let mut homes = self.roster().homes(customer, area);
        homes.retain(|m| m.id != self.0.own.id);
        homes
    }

    /// Returns whether this instance holds a customer's tokens for others, or the others are not known.
    pub(crate) fn is_home(&self, customer: &str, area: HomeScope) -> bool {
        let roster = self.roster();
        roster.is_primary_home(&roster.homes(customer, area))
    }

    /// Returns the living incarnations, the own one among them.
    pub(crate) fn live_incarnations(&self) -> BTreeSet<String> {
        let roster = self.roster();
        let mut live: BTreeSet<String> = roster.incarnations().map(str::to_string).collect();
        live.insert(self.0.own.id.clone());
        live
    }

    /// Returns how many instances share what is bounded for all of them.
    pub(crate) fn instance_count(&self) -> usize {
        self.roster().len()
    }

    /// Registers, keeps the lease, and follows the list.
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
            let feed = fleet.0.feed.clone();
            let near = Some(zone_prefix(fleet.zone()));
            let mut follow = Follower::open(
                store,
                feed,
                Topic::Instances,
                PREFIX,
                near,
                WATCH_TIMEOUT_MS,
            );
            loop {
                fleet.apply(follow.next().await);
            }
        });
    }

    /// Writes the own key with a new lease.
    async fn register(&self) -> Result<i64, Failure> {
        let store = &self.0.store;
        let lease = store.grant_lease(self.0.lease_ttl_ms).await?;
        let value = serde_json::to_vec(&self.0.own).expect("a member that JSON can hold");
        // A write that loses tells what is there: most starts find no key of their own.
        let mut revision = 0;
        loop {
            let txn = Txn {
                expect: vec![Expect {
                    key: self.0.key.clone(),
                    revision,
                }],
                put: vec![Put {
                    key: self.0.key.clone(),
                    value: value.clone(),
                    lease,
                }],
                delete: Vec::new(),
            };
            match store.commit(txn).await? {
                Commit::Done(_) => break,
                Commit::Lost(items) => {
                    let there = items.iter().find(|f| f.key == self.0.key);
                    let there = there.map_or(0, |f| f.revision);
                    // An earlier incarnation's write came late, or its key has ended, if not the first time.
                    if revision > 0 {
                        sleep(REGISTER_RETRY_DELAY).await;
                    }
                    revision = there;
                }
                Commit::LeaseEnded => return Err(Failure::Refused("lease ended".to_string())),
            }
        }
        *self.0.lease.lock().expect("no panic inside") = lease;
        Ok(lease)
    }

    /// Renews the lease until it has ended; each renewal also tells whether the store answers.
    async fn keep_lease_alive(&self, lease: i64) {
        let FollowContext {
            store_health: reach,
            relay,
            ..
        } = &self.0.feed;
        // A call that hangs must not hold up the next one: it ends long after the store is back.
        let mut asked = JoinSet::new();
        loop {
            let turn =
                reach.wait_until_probe_due(LEASE_RENEWAL_INTERVAL, relay.others_probe_store());
            tokio::pin!(turn);
            loop {
                tokio::select! {
                    () = &mut turn => break,
                    Some(ended) = asked.join_next() => {
                        // Without an answer the lease goes on, or has ended: the next call tells.
                        if let Ok(Ok(false)) = ended {
                            return;
                        }
                    }
                }
            }
            let store = Arc::clone(&self.0.store);
            asked.spawn(async move { store.renew_lease(lease).await });
        }
    }

    fn apply(&self, update: Update) {
        let parse = |f: &Found| {
            let member = serde_json::from_slice::<Member>(&f.value).ok();
            member.map(Arc::new)
        };
        let mut members = self.0.members.lock().expect("no panic inside");
        let before = members.len();
        match update {
            Update::Snapshot(items, _) => {
                let rows = items
                    .iter()
                    .filter_map(|f| Some((f.key.clone(), parse(f)?)));
                *members = rows.collect();
            }
            Update::Changes(changes, _) | Update::Partial(changes) => {
                for change in changes {
                    match change.now.as_ref().and_then(parse) {
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
        *self.0.roster.write().expect("no panic inside") = Arc::clone(&roster);
        self.publish_instances(&members, &roster);
        self.update_mass_start(&members);
        drop(members);
        if before != after {
            let detail = format_args!("before={before} now={after}");
            self.0.log.event(Event::MembershipChanged, detail);
        }
    }

    /// Returns whether most instances have started with this one, or after it: the first time, or after a loss of all.
    pub(crate) fn is_mass_start(&self) -> bool {
        self.0.mass_start.load(Ordering::Relaxed)
    }

    /// Takes which instances have started with this one, or after it.
    fn update_mass_start(&self, members: &BTreeMap<String, Arc<Member>>) {
        let Some(own) = started_at(&self.0.own.id) else {
            return;
        };
        let earlier =
            |m: &&Arc<Member>| started_at(&m.id).is_some_and(|at| at + SAME_START_SECS < own);
        let earlier = members.values().filter(earlier).count();
        let most = earlier * MASS_START_DIVISOR <= members.len();
        self.0.mass_start.store(most, Ordering::Relaxed);
    }

    /// Takes which instances of the own zone may read the store for it, and which of all may send to cold upstreams.
    fn publish_instances(&self, members: &BTreeMap<String, Arc<Member>>, roster: &Roster) {
        let near = zone_prefix(&self.0.own.zone);
        let zone = members.iter().filter(|(_, m)| m.zone == self.0.own.zone);
        let zone = zone.map(|(key, m)| Candidate {
            name: key.strip_prefix(&near).unwrap_or(key),
            link_mbps: m.link_mbps,
        });
        let zone: Vec<Candidate<'_>> = zone.collect();
        let me = Candidate {
            name: &self.0.name,
            link_mbps: self.0.own.link_mbps,
        };
        let neighbours = roster.zone_peers().iter().map(|m| m.addr);
        self.0.feed.relay.set_zone(&me, &zone, neighbours.collect());
        let mut pool = self.0.pool.lock().expect("no panic inside");
        let now = self.0.clock.now();
        pool.set_instances(now, xxh3_64(self.0.key.as_bytes()), &roster.key_hashes());
    }

    /// Ends the lease, and with it the own key.
    pub(crate) async fn deregister(&self) {
        let lease = *self.0.lease.lock().expect("no panic inside");
        if lease == 0 {
            return;
        }
        if let Err(failure) = self.0.store.end_lease(lease).await {
            // It ends by itself later.
            let detail = format_args!("what=lease why={failure:?}");
            self.0.log.event(Event::StoreWriteFailed, detail);
        }
    }
}
