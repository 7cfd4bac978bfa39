//! Requests that go through another instance, because the paths from this one to upstreams are lost.

use std::collections::HashMap;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use clock::Clock;
use dial::ConnectError;
use place::{Choice, Outcome, Pool, Spec};
use smallvec::SmallVec;
use tokio::sync::watch;
use transit::{Capacity, Criteria, Denial, Distance, Mode, Paths, Peer, Peers, Report};
use xxhash_rust::xxh3::xxh3_64;

use crate::event::Event;
use crate::fleet::Member;
use crate::log::Log;
use crate::roster::Roster;

mod client;
mod header;
mod monitor;
mod server;
mod wait;

pub(crate) use client::{Connection, Header, SendOutcome, MAX_ASKED};
pub(crate) use monitor::spawn as spawn_monitor;
pub(crate) use server::{handle, ForwardedBody};

/// Handle to the state of paths and of the instances that forward requests; clones share it.
#[derive(Clone)]
pub(crate) struct Transit(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    pool: Arc<Mutex<Pool>>,
    paths: Mutex<Paths>,
    peers: Mutex<Peers>,
    /// The instances that forward requests, by the address at which they are known to others.
    members: Mutex<HashMap<SocketAddr, Arc<Member>>>,
    /// The addresses of all listed instances by the hashes of their names; none for this one.
    addrs: Mutex<HashMap<u64, Option<SocketAddr>>>,
    capacity: Mutex<Capacity>,
    /// Changes when the mode of any service does.
    mode_changes: watch::Sender<u64>,
    /// Changes when another instance may be asked to forward requests that it could not be asked for before,
    /// or is no longer worth waiting for.
    peer_changes: watch::Sender<u64>,
}

/// Returns the hash by which instances refer to a service.
fn service_hash(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

/// Returns the criteria of a request that no instance was asked to forward yet.
fn unasked<'a>(service: &str, regions: &'a [String]) -> Criteria<'a> {
    Criteria {
        service: service_hash(service),
        regions,
        asked: &[],
        random: 0,
    }
}

impl Transit {
    pub(crate) fn new(clock: Clock, log: Arc<Log>, pool: Arc<Mutex<Pool>>) -> Transit {
        Transit(Arc::new(Inner {
            clock,
            log,
            pool,
            paths: Mutex::default(),
            peers: Mutex::default(),
            members: Mutex::default(),
            addrs: Mutex::default(),
            capacity: Mutex::default(),
            mode_changes: watch::channel(0).0,
            peer_changes: watch::channel(0).0,
        }))
    }

    fn paths(&self) -> MutexGuard<'_, Paths> {
        self.0.paths.lock().expect("lock not poisoned")
    }

    fn peers(&self) -> MutexGuard<'_, Peers> {
        self.0.peers.lock().expect("lock not poisoned")
    }

    fn capacity(&self) -> MutexGuard<'_, Capacity> {
        self.0.capacity.lock().expect("lock not poisoned")
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.0.pool.lock().expect("lock not poisoned")
    }

    /// Replaces the listed instances.
    pub(crate) fn set_instances(&self, own: &Member, roster: &Roster) {
        let pool = self.pool();
        let own_region = pool.region_of(&own.zone);
        let to_peer = |m: &Arc<Member>| {
            let region = pool.region_of(&m.zone);
            let distance = if m.zone == own.zone {
                Distance::Zone
            } else if region.is_some() && region == own_region {
                Distance::Region
            } else {
                Distance::Far
            };
            Peer {
                addr: m.addr,
                distance,
                region: region.map(str::to_string),
            }
        };
        let forwarding = roster.peers().iter().filter(|m| m.transit_addr.is_some());
        let peers = forwarding.clone().map(to_peer).collect();
        drop(pool);
        self.peers().set_peers(peers);
        let members = forwarding.map(|m| (m.addr, Arc::clone(m))).collect();
        *self.0.members.lock().expect("lock not poisoned") = members;
        let own_id = &own.id;
        let addrs = roster
            .name_hashes()
            .map(|(hash, m)| (hash, (m.id != *own_id).then_some(m.addr)));
        *self.0.addrs.lock().expect("lock not poisoned") = addrs.collect();
        self.notify_peer_change();
    }

    /// Returns the other instances that own slots of the chosen upstream while it is brittle.
    fn slot_owners(&self, choice: &Choice) -> Vec<SocketAddr> {
        let addrs = self.0.addrs.lock().expect("lock not poisoned");
        let hashes: Vec<u64> = addrs.keys().copied().collect();
        let owners = self.pool().slot_owners(choice, &hashes);
        owners.iter().filter_map(|hash| addrs[hash]).collect()
    }

    fn member(&self, addr: SocketAddr) -> Option<Arc<Member>> {
        let members = self.0.members.lock().expect("lock not poisoned");
        members.get(&addr).cloned()
    }

    /// Returns how requests reach the upstreams of a service.
    pub(crate) fn mode(&self, service: &str) -> Mode {
        self.paths().mode(service)
    }

    /// Returns whether a direct attempt on the lost path to a service at least fails at once.
    pub(crate) fn fails_fast(&self, service: &str) -> bool {
        self.paths().fails_fast(service)
    }

    /// Returns the names of the services whose requests can't all go directly.
    pub(crate) fn lost_services(&self) -> Vec<String> {
        self.paths().lost_services().map(str::to_string).collect()
    }

    /// Returns the number of requests that other instances forward for this one, and the number that
    /// this one forwards for others.
    pub(crate) fn in_flight(&self) -> (usize, usize) {
        (self.peers().in_flight(), self.capacity().in_flight())
    }

    /// Returns what the other instances should know of this one.
    pub(crate) fn report(&self, accepting: bool) -> Report {
        let available = if accepting {
            self.capacity().available()
        } else {
            0
        };
        let lost = self.paths().lost_services().map(service_hash).collect();
        Report {
            available,
            lost_services: lost,
        }
    }

    /// Records what another instance reports about itself.
    pub(crate) fn record_report(&self, from: SocketAddr, report: Report) {
        let changed = self.peers().record_report(from, report);
        if changed {
            self.notify_peer_change();
        }
    }

    /// Records that an established connection to the upstream of a direct attempt broke before its
    /// response.
    pub(crate) fn record_broken(&self, choice: &Choice) {
        let (upstream, listed) = self.failed_upstream(choice);
        self.paths()
            .record_broken(&choice.spec.service, upstream, listed);
    }

    /// Records that an established connection to an incarnation of an upstream broke before its
    /// response.
    pub(crate) fn record_incarnation_broken(&self, service: &str, incarnation: &str) {
        let listed = self.pool().listed_count(service);
        let upstream = xxh3_64(incarnation.as_bytes());
        self.paths().record_broken(service, upstream, listed);
    }

    /// Records that a connection to an upstream of a service was established.
    pub(crate) fn record_connected(&self, service: &str) {
        self.paths().record_connected(service);
    }

    /// Records that no connection to the upstream of a choice could be established.
    pub(crate) fn record_choice_unconnected(&self, choice: &Choice, error: &ConnectError) {
        let (upstream, listed) = self.failed_upstream(choice);
        self.record_unconnected(&choice.spec.service, upstream, listed, error);
    }

    fn failed_upstream(&self, choice: &Choice) -> (u64, usize) {
        let pool = self.pool();
        let listed = pool.listed_count(&choice.spec.service);
        (pool.incarnation_hash(choice), listed)
    }

    /// Records that no connection to an incarnation of an upstream could be established.
    pub(crate) fn record_incarnation_unconnected(
        &self,
        service: &str,
        incarnation: &str,
        error: &ConnectError,
    ) {
        let listed = self.pool().listed_count(service);
        self.record_unconnected(service, xxh3_64(incarnation.as_bytes()), listed, error);
    }

    fn record_unconnected(
        &self,
        service: &str,
        upstream: u64,
        listed: usize,
        error: &ConnectError,
    ) {
        let now = self.0.clock.now();
        let timed_out = *error == ConnectError::TimedOut;
        let changed = self
            .paths()
            .record_unconnected(now, service, upstream, listed, timed_out);
        if changed {
            self.apply_mode_change(service);
        }
    }

    /// Logs a changed mode, and applies it to the requests in flight and to the pool.
    fn apply_mode_change(&self, service: &str) {
        let (mode, failed) = {
            let paths = self.paths();
            (paths.mode(service), paths.failed_upstreams(service))
        };
        let event = match mode {
            Mode::Direct => Event::PathsRestored,
            Mode::OpenConnections | Mode::Transit => Event::PathsLost,
        };
        self.pool().lift_ejections(&failed);
        let detail = format_args!("service={service} mode={mode:?} failed={}", failed.len());
        self.0.log.event(event, detail);
        self.0.mode_changes.send_modify(|n| *n += 1);
    }

    /// Returns up to `count` upstreams that accept requests, other than an incarnation.
    pub(crate) fn other_upstreams(&self, incarnation: &str, count: usize) -> Vec<Spec> {
        let now = self.0.clock.now();
        self.pool()
            .other_upstreams(now, incarnation, count, rand::random())
    }

    /// Starts a direct request of a service.
    pub(crate) fn begin_direct(&self, service: &str) -> DirectRequest {
        let now = self.0.clock.now();
        DirectRequest {
            transit: self.clone(),
            service: service.to_string(),
            received_at: self.paths().begin(now, service),
        }
    }

    /// Chooses an instance to forward a request, other than those that were asked already, and starts
    /// a request there.
    pub(crate) fn begin_forwarded(
        &self,
        service: &str,
        regions: &[String],
        asked: &[SocketAddr],
    ) -> Option<ForwardedRequest> {
        let now = self.0.clock.now();
        let criteria = Criteria {
            service: service_hash(service),
            regions,
            asked,
            random: rand::random(),
        };
        let addr = self.peers().choose(now, &criteria)?;
        let request = ForwardedRequest {
            transit: self.clone(),
            service: criteria.service,
            addr,
            began_at: now,
        };
        Some(request)
    }

    /// Returns whether an instance that could forward a request is only at capacity.
    pub(crate) fn is_any_full(&self, service: &str, regions: &[String]) -> bool {
        let criteria = unasked(service, regions);
        self.peers().is_any_full(self.0.clock.now(), &criteria)
    }

    /// Returns whether another instance reaches a service, as far as known.
    pub(crate) fn is_any_reaching(&self, service: &str, regions: &[String]) -> bool {
        let criteria = unasked(service, regions);
        self.peers().is_any_reaching(self.0.clock.now(), &criteria)
    }

    /// Starts a request at an instance that owns slots of the chosen upstream, other than those that were
    /// asked already.
    fn begin_at_owner(
        &self,
        choice: &Choice,
        regions: &[String],
        asked: &[SocketAddr],
    ) -> Option<ForwardedRequest> {
        let now = self.0.clock.now();
        let criteria = Criteria {
            service: service_hash(&choice.spec.service),
            regions,
            asked,
            random: 0,
        };
        let owners = self.slot_owners(choice);
        let addr = self.peers().choose_first(now, &criteria, &owners)?;
        Some(ForwardedRequest {
            transit: self.clone(),
            service: criteria.service,
            addr,
            began_at: now,
        })
    }

    /// Waits until the requests of a service no longer go directly.
    pub(crate) async fn wait_until_lost(&self, service: &str) {
        let mut changes = self.0.mode_changes.subscribe();
        loop {
            if self.mode(service) != Mode::Direct {
                return;
            }
            // The sender is owned by this handle.
            let _ = changes.changed().await;
        }
    }
}

/// A direct request in flight.
pub(crate) struct DirectRequest {
    transit: Transit,
    service: String,
    received_at: Arc<AtomicU64>,
}

impl DirectRequest {
    /// Records that bytes were received.
    pub(crate) fn record_received(&self) {
        let now = self.transit.0.clock.now();
        self.received_at.store(now, Ordering::Relaxed);
    }

    /// Records that its response has begun.
    pub(crate) fn record_response(&self) {
        let now = self.transit.0.clock.now();
        self.transit.paths().record_response(now, &self.service);
    }
}

impl Drop for DirectRequest {
    fn drop(&mut self) {
        self.transit.paths().end(&self.service);
    }
}

/// A request in flight that another instance forwards.
pub(crate) struct ForwardedRequest {
    transit: Transit,
    service: u64,
    pub(crate) addr: SocketAddr,
    began_at: u64,
}

impl ForwardedRequest {
    /// Records that the other instance has sent something.
    pub(crate) fn record_received(&self) {
        let now = self.transit.0.clock.now();
        self.transit.peers().record_response(now, self.addr);
    }

    /// Returns whether the other instance has sent anything since the request began, for any request.
    pub(crate) fn is_responsive(&self) -> bool {
        let peers = self.transit.peers();
        peers.has_responded_since(self.addr, self.began_at)
    }

    /// Records that the other instance did not forward the request.
    pub(crate) fn record_denial(&self, denial: Denial) {
        let now = self.transit.0.clock.now();
        self.transit
            .peers()
            .record_denial(now, self.addr, self.service, denial);
        if denial != Denial::Full {
            self.transit.notify_peer_change();
        }
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        let changed = self.transit.peers().end(self.addr);
        if changed {
            self.transit.notify_peer_change();
        }
    }
}

/// How a request in flight reaches its upstream.
pub(crate) enum Way {
    Direct(DirectRequest),
    Forwarded(ForwardedRequest),
}

impl Way {
    /// Records that something was received.
    pub(crate) fn record_received(&self) {
        match self {
            Way::Direct(request) => request.record_received(),
            Way::Forwarded(request) => request.record_received(),
        }
    }
}

/// Waits for the loss of the path that a request in flight uses.
pub(crate) struct PathWatch {
    /// None if the request does not go directly.
    direct: Option<(Transit, Choice)>,
    changes: watch::Receiver<u64>,
    retryable: bool,
    /// Whether the path is lost and the request goes on.
    lost: bool,
}

/// The path to the upstream of a request in flight is lost.
pub(crate) struct PathLost;

impl PathWatch {
    /// Creates a watch of a request; one that is not retryable goes on when its path is lost.
    pub(crate) fn new(
        transit: &Transit,
        way: Option<&Way>,
        choice: &Choice,
        retryable: bool,
    ) -> PathWatch {
        let is_direct = matches!(way, Some(Way::Direct(_)));
        // A direct attempt that begins on a lost path is the last resort: that the path is lost is no
        // news, and ends nothing.
        let lost = is_direct && transit.mode(&choice.spec.service) == Mode::Transit;
        PathWatch {
            direct: (is_direct && !lost).then(|| (transit.clone(), choice.clone())),
            changes: transit.0.mode_changes.subscribe(),
            retryable,
            lost,
        }
    }

    /// Returns the outcome of an attempt that takes too long: that says nothing about its upstream if the
    /// path to it was lost.
    pub(crate) fn timeout_outcome(&self) -> Outcome {
        if self.lost {
            Outcome::Abandoned
        } else {
            Outcome::Unresponsive
        }
    }

    /// Waits for a future that depends on the path.
    pub(crate) async fn run<T>(&mut self, future: impl Future<Output = T>) -> Result<T, PathLost> {
        tokio::select! {
            biased;
            result = future => Ok(result),
            () = self.lost() => Err(PathLost),
        }
    }

    /// Waits until the path is lost, if the request can then be sent again; otherwise forever.
    async fn lost(&mut self) {
        let Some((transit, choice)) = &self.direct else {
            return pending().await;
        };
        while transit.mode(&choice.spec.service) != Mode::Transit {
            // The sender is owned by the handle.
            let _ = self.changes.changed().await;
        }
        if self.retryable {
            return;
        }
        transit.pool().mark_undelivered(choice);
        self.direct = None;
        self.lost = true;
        pending().await
    }
}

/// The instances that were asked to forward a request.
pub(crate) type Asked = SmallVec<[SocketAddr; 4]>;
