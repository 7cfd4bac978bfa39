//! Which instance forwards a request.
//!
//! When part of a large fleet loses its paths, nobody can ask all others who still has them. Each
//! instance says in the load reports that it sends anyway how many requests it would forward, and
//! which services it does not reach; in a large fleet these reach a part of the instances. An instance
//! that has said nothing is asked by chance, and says no at once if it can't forward the request.
//! Of two random candidates the one with more capacity is chosen, since all instances choose at the
//! same time; the nearest ones come first, since traffic between availability zones costs.

use std::collections::HashMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

/// Time for which an instance that could not be connected or did not respond is left out, in
/// milliseconds.
const UNREACHABLE_MS: u64 = 1_500;
/// The same if it has sent a report since: it was busy rather than gone, in milliseconds. A report says
/// nothing about connections to it, so these are not tried with each request.
const UNREACHABLE_REPORTED_MS: u64 = 300;
/// Time for which an instance without capacity is left out unless it reports some, in milliseconds:
/// requests end within it.
const FULL_MS: u64 = 200;
/// Time for which an instance that does not reach a service is not asked for it again unless it
/// reports that it does, in milliseconds.
const NO_PATH_MS: u64 = 1_000;
/// Time for which an instance that is stopping is left out, in milliseconds: by then it is gone, or
/// another incarnation is listed.
const STOPPING_MS: u64 = 10_000;

/// How far away an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It is in the same availability zone.
    Zone,
    /// It is in another zone of the same region.
    Region,
    /// It is in another region, or in an unknown one.
    Far,
}

impl Distance {
    /// Number of distances.
    const COUNT: usize = 3;
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The address by which it is known.
    pub addr: SocketAddr,
    /// Its distance.
    pub distance: Distance,
    /// Its region; none if unknown.
    pub region: Option<String>,
}

/// What an instance reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// How many more requests of others it would forward.
    pub available: usize,
    /// Hashes of the services whose upstreams it does not reach.
    pub lost_services: SmallVec<[u64; 2]>,
}

/// Why an instance did not forward a request. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It could not be connected, or did not respond.
    Unreachable,
    /// It forwards no more requests now.
    Full,
    /// It does not reach the upstreams of the service.
    NoPath,
    /// It is stopping, or another incarnation.
    Stopping,
}

/// What a request requires of the instance that forwards it.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Hash of the service.
    pub service: u64,
    /// Regions whose instances may see the request; empty if all may.
    pub regions: &'a [String],
    /// Instances that were asked already.
    pub asked: &'a [SocketAddr],
    /// A uniformly distributed random number.
    pub random: u64,
}

#[derive(Debug)]
struct PeerState {
    peer: Peer,
    report: Option<Report>,
    /// Number of requests that it forwards for this instance.
    in_flight: usize,
    /// Number of those that began after its last report.
    unreported: usize,
    left_out_until: u64,
    /// When it could last not be reached, in milliseconds; none if it has sent a report since.
    unreachable_at: Option<u64>,
    /// Until when it counts as at capacity, in milliseconds: it has said so, or was too busy to answer.
    full_until: u64,
    /// Services that it does not reach by its own responses, with the times until which this counts.
    no_path: SmallVec<[(u64, u64); 2]>,
    /// When a response was last received from it, in milliseconds.
    responded_at: Option<u64>,
}

impl PeerState {
    fn new(peer: Peer) -> PeerState {
        PeerState {
            peer,
            report: None,
            in_flight: 0,
            unreported: 0,
            left_out_until: 0,
            unreachable_at: None,
            full_until: 0,
            no_path: SmallVec::new(),
            responded_at: None,
        }
    }

    /// Returns whether it does not reach a service, as far as known.
    fn has_no_path(&self, now: u64, service: u64) -> bool {
        let reported = self.report.as_ref();
        let denied = self.no_path.iter();
        reported.is_some_and(|r| r.lost_services.contains(&service))
            || denied
                .copied()
                .any(|(denied, until)| denied == service && now < until)
    }

    /// Returns whether it may be asked to forward a request.
    fn is_eligible(&self, now: u64, criteria: &Criteria<'_>) -> bool {
        let full = self.is_reported_full();
        self.is_allowed(criteria)
            && !full
            && now >= self.left_out_until
            && !criteria.asked.contains(&self.peer.addr)
    }

    /// Returns from when on it may be asked to forward requests for a service, in milliseconds; none if its last
    /// report rules that out.
    fn eligible_at(&self, service: u64) -> Option<u64> {
        let lost = |r: &Report| r.lost_services.contains(&service);
        if self.is_reported_full() || self.report.as_ref().is_some_and(lost) {
            return None;
        }
        let denied = self.no_path.iter().filter(|(s, _)| *s == service);
        let until = denied.map(|(_, until)| *until).max();
        Some(self.left_out_until.max(until.unwrap_or_default()))
    }

    fn obstacles(&self) -> Obstacles {
        let lost_services = self.report.as_ref().map(|r| r.lost_services.clone());
        Obstacles {
            is_full: self.is_reported_full(),
            lost_services: lost_services.unwrap_or_default(),
            denied_services: self.no_path.len(),
            left_out_until: self.left_out_until,
        }
    }

    /// Returns whether it may see the request.
    fn is_allowed(&self, criteria: &Criteria<'_>) -> bool {
        let region = self.peer.region.as_ref();
        criteria.regions.is_empty() || region.is_some_and(|r| criteria.regions.contains(r))
    }

    /// Returns whether it has no capacity left by its last report.
    fn is_reported_full(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|r| r.available <= self.unreported)
    }

    /// Returns whether it reaches the service and would forward the request if it had capacity.
    fn is_only_full(&self, now: u64, criteria: &Criteria<'_>) -> bool {
        let denied = now < self.full_until;
        let otherwise_left_out = now < self.left_out_until && self.left_out_until > self.full_until;
        (denied || self.is_reported_full())
            && !otherwise_left_out
            && self.is_allowed(criteria)
            && !self.has_no_path(now, criteria.service)
    }

    /// Returns how many more requests it is expected to forward.
    fn available(&self) -> usize {
        let available = |r: &Report| r.available.saturating_sub(self.unreported);
        self.report.as_ref().map_or(1, available)
    }
}

/// What keeps an instance from being asked to forward requests.
struct Obstacles {
    is_full: bool,
    lost_services: SmallVec<[u64; 2]>,
    /// Number of services that it does not reach by its own responses.
    denied_services: usize,
    left_out_until: u64,
}

impl Obstacles {
    /// Returns whether a request that waits may gain by this change: the instance may be asked when it could not be
    /// before, or is no longer worth waiting for.
    fn is_worth_a_try_after(&self, before: &Obstacles) -> bool {
        let is_opened = before.is_full
            || self.denied_services < before.denied_services
            || self.left_out_until < before.left_out_until;
        (is_opened && !self.is_full) || self.lost_services != before.lost_services
    }
}

/// The instances at one distance that may be asked to forward a request.
#[derive(Debug, Default)]
struct Candidates {
    /// Indices of those that have reported capacity, and of those that have reported nothing.
    known: SmallVec<[usize; 32]>,
    unknown: SmallVec<[usize; 32]>,
    /// Number of instances at that distance that do not reach the service.
    without_path: usize,
}

/// The other instances.
#[derive(Debug, Default)]
pub struct Peers {
    /// Ordered by distance.
    peers: Vec<PeerState>,
    by_addr: HashMap<SocketAddr, usize>,
}

impl Peers {
    /// Replaces the listed instances; what is known of those that stay is kept.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut known: HashMap<SocketAddr, PeerState> = std::mem::take(&mut self.peers)
            .into_iter()
            .map(|p| (p.peer.addr, p))
            .collect();
        let state = |peer: Peer| match known.remove(&peer.addr) {
            Some(state) => PeerState { peer, ..state },
            None => PeerState::new(peer),
        };
        self.peers = peers.into_iter().map(state).collect();
        self.peers.sort_by_key(|p| p.peer.distance);
        let addrs = self.peers.iter().enumerate().map(|(i, p)| (p.peer.addr, i));
        self.by_addr = addrs.collect();
    }

    fn get_mut(&mut self, addr: SocketAddr) -> Option<&mut PeerState> {
        let i = *self.by_addr.get(&addr)?;
        self.peers.get_mut(i)
    }

    /// Records what an instance reports about itself. Returns whether requests that wait should try again: it may be
    /// asked to forward some that it could not be asked for before, or reaches other services.
    pub fn record_report(&mut self, addr: SocketAddr, report: Report) -> bool {
        if let Some(state) = self.get_mut(addr) {
            let before = state.obstacles();
            if report.available > 0 {
                state
                    .no_path
                    .retain(|(s, _)| report.lost_services.contains(s));
            }
            let unreachable_at = state.unreachable_at.take();
            // One that is stopping is left out for longer and stays so.
            let only = |at: &u64| state.left_out_until <= at + UNREACHABLE_MS;
            if let Some(at) = unreachable_at.filter(only) {
                let lifted = at + UNREACHABLE_REPORTED_MS;
                state.left_out_until = state.left_out_until.min(lifted);
                state.full_until = state.full_until.max(lifted);
            }
            state.report = Some(report);
            state.unreported = 0;
            return state.obstacles().is_worth_a_try_after(&before);
        }
        false
    }

    /// Chooses an instance and counts one more request there; none if no instance is expected to
    /// forward the request.
    pub fn choose(&mut self, now: u64, criteria: &Criteria<'_>) -> Option<SocketAddr> {
        let mut by_distance: [Candidates; Distance::COUNT] = Default::default();
        for (i, state) in self.peers.iter().enumerate() {
            let candidates = &mut by_distance[state.peer.distance as usize];
            if state.has_no_path(now, criteria.service) {
                candidates.without_path += 1;
            } else if state.is_eligible(now, criteria) {
                let known = state.report.is_some();
                let list = if known {
                    &mut candidates.known
                } else {
                    &mut candidates.unknown
                };
                list.push(i);
            }
        }
        // Where most of the known ones have lost their paths, the others may have, too.
        let (likely, unlikely): (Vec<&Candidates>, Vec<&Candidates>) = by_distance
            .iter()
            .partition(|c| c.without_path <= c.known.len());
        let known = by_distance.iter().map(|c| &c.known);
        let unknown = likely.iter().chain(&unlikely).map(|c| &c.unknown);
        let candidates = known.chain(unknown).find(|c| !c.is_empty())?;
        let len = candidates.len() as u64;
        let a = candidates[(criteria.random % len) as usize];
        let b = candidates[(criteria.random.rotate_right(32) % len) as usize];
        let chosen = if self.peers[b].available() > self.peers[a].available() {
            b
        } else {
            a
        };
        let state = &mut self.peers[chosen];
        state.in_flight += 1;
        state.unreported += 1;
        Some(state.peer.addr)
    }

    /// Returns whether an instance that reaches the service is only at capacity, so that it can be
    /// asked again soon. Those that were asked already count as well.
    pub fn is_any_full(&self, now: u64, criteria: &Criteria<'_>) -> bool {
        self.peers.iter().any(|p| p.is_only_full(now, criteria))
    }

    /// Returns from when on an instance may be asked to forward a request, in milliseconds; none if that takes a
    /// report of an instance, or the end of a request. Those that were asked already count as well.
    pub fn next_eligible_at(&self, criteria: &Criteria<'_>) -> Option<u64> {
        let allowed = self.peers.iter().filter(|p| p.is_allowed(criteria));
        let times = allowed.filter_map(|p| p.eligible_at(criteria.service));
        times.min()
    }

    /// Returns whether an instance that is not left out reaches the service, as far as known: if none
    /// does, the upstreams have probably failed rather than the paths of all instances.
    pub fn is_any_reaching(&self, now: u64, criteria: &Criteria<'_>) -> bool {
        self.peers.iter().any(|p| {
            let left_out = now < p.left_out_until && !p.is_only_full(now, criteria);
            p.is_allowed(criteria) && !left_out && !p.has_no_path(now, criteria.service)
        })
    }

    /// Chooses the first of some instances that may be asked to forward a request, and counts one more
    /// request there.
    pub fn choose_first(
        &mut self,
        now: u64,
        criteria: &Criteria<'_>,
        addrs: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let states = addrs.iter().filter_map(|addr| self.by_addr.get(addr));
        let mut eligible = states.copied().filter(|i| {
            let state = &self.peers[*i];
            state.is_eligible(now, criteria) && !state.has_no_path(now, criteria.service)
        });
        let chosen = eligible.next()?;
        let state = &mut self.peers[chosen];
        state.in_flight += 1;
        state.unreported += 1;
        Some(state.peer.addr)
    }

    /// Records the end of a request that an instance has forwarded or denied. Returns whether the instance was at
    /// capacity by its last report, and no longer is.
    pub fn end(&mut self, addr: SocketAddr) -> bool {
        let Some(state) = self.get_mut(addr) else {
            return false;
        };
        let was_full = state.is_reported_full();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.unreported = state.unreported.min(state.in_flight);
        was_full && !state.is_reported_full()
    }

    /// Records that an instance has responded.
    pub fn record_response(&mut self, now: u64, addr: SocketAddr) {
        if let Some(state) = self.get_mut(addr) {
            state.responded_at = Some(now);
        }
    }

    /// Returns whether an instance has responded since a time.
    pub fn has_responded_since(&self, addr: SocketAddr, since: u64) -> bool {
        let state = self.by_addr.get(&addr).map(|i| &self.peers[*i]);
        state.is_some_and(|s| s.responded_at.is_some_and(|at| at >= since))
    }

    /// Records that an instance did not forward a request for a service.
    pub fn record_denial(&mut self, now: u64, addr: SocketAddr, service: u64, denial: Denial) {
        let Some(state) = self.get_mut(addr) else {
            return;
        };
        let leave_out_ms = match denial {
            Denial::Unreachable => {
                state.unreachable_at = Some(now);
                UNREACHABLE_MS
            }
            Denial::Full => {
                state.full_until = now + FULL_MS;
                FULL_MS
            }
            Denial::Stopping => {
                state.unreachable_at = None;
                STOPPING_MS
            }
            Denial::NoPath => {
                state.no_path.retain(|(s, _)| *s != service);
                state.no_path.push((service, now + NO_PATH_MS));
                0
            }
        };
        state.left_out_until = state.left_out_until.max(now + leave_out_ms);
    }

    /// Returns the number of requests that other instances forward for this one.
    pub fn in_flight(&self) -> usize {
        self.peers.iter().map(|p| p.in_flight).sum()
    }
}
