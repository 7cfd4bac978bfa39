//! The upstreams of all services, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use engine::{InstanceLoad, Load};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use self::memory::Presumption;
use crate::announcements::Announcements;
use crate::choice::{Choice, ChooseError, Criteria};
use crate::cold_start::ColdStart;
use crate::cost::{
    estimate, is_full, is_last_of_version, is_usable, prefix_affinity, presumed_cached, Candidate,
};
use crate::latency::{mean_context, LatencyEstimate, Sample};
use crate::reused_addresses::ReusedAddresses;
use crate::senders::Senders;
use crate::upstream::{AttemptId, Outcome, Spec, Upstream, UpstreamKey};

mod addresses;
mod inquiry;
mod memory;
mod path;
mod throttle;

pub use inquiry::{shared_segment_sizes, shared_segments, InquiredEngine, Inquiry, KnownEngine};

/// If less than this percentage of a service's upstreams is usable, their health is ignored: when most of
/// them seem unhealthy, the fault is elsewhere.
const MIN_USABLE_PCT: usize = 50;
/// Additional cost of an upstream whose address another one uses, in milliseconds; it counts only while
/// most upstreams of the service are in that state.
const REUSED_ADDRESS_MS: f64 = 2_000.0;
/// Minimum time after which a refused request may be retried, in milliseconds.
const MIN_RETRY_MS: u64 = 300;

/// Maximum pause of an upstream, in milliseconds: one that announces a year by mistake would otherwise be
/// lost until it ends. After this time it gets requests again, and may announce another pause.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// How a list entry changed the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The upstream was not known.
    New,
    /// A known upstream started again under its name: nothing known of its earlier incarnation holds any
    /// more.
    Restarted {
        /// The incarnation that ended.
        ended: String,
    },
    /// A known upstream is now leaving.
    Leaving,
    /// No such change.
    Unchanged,
}

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct Pool {
    upstreams: Vec<Option<Upstream>>,
    /// Unused indices, of upstreams that were removed.
    free: Vec<UpstreamKey>,
    by_id: HashMap<String, UpstreamKey>,
    /// Upstreams by the hash of their incarnation.
    by_hash: HashMap<u64, UpstreamKey>,
    /// The upstreams at which each other instance had requests, by its last report.
    peer_upstreams: HashMap<u64, SmallVec<[UpstreamKey; 4]>>,
    /// Hash of this instance's name.
    own_name_hash: u64,
    /// Latency estimates by service.
    latencies: HashMap<String, LatencyEstimate>,
    /// Averages of what requests hold of engines' memory, by service.
    memory_uses: HashMap<String, memory::MemoryUse>,
    /// Number of attempts so far.
    attempts: u64,
    announcements: Announcements,
    addresses: ReusedAddresses,
    evacuated_zones: BTreeSet<String>,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// Cold-start settings by service.
    cold_starts: HashMap<String, ColdStart>,
    senders: Senders,
    /// Services whose upstreams are brittle, with the time of the last response that said so.
    brittle: HashMap<String, u64>,
    /// The upstreams that were removed since they were last taken.
    gone: Vec<GoneUpstream>,
}

/// An upstream that is no longer listed and has no requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GoneUpstream {
    /// Hash of its incarnation.
    pub incarnation_hash: u64,
    /// When it was last known to be alive, in milliseconds; `u64::MAX` if it was leaving.
    pub heard_at: u64,
}

impl Pool {
    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Sets the cold-start settings of each service.
    pub fn set_cold_starts(&mut self, cold_starts: HashMap<String, ColdStart>) {
        self.cold_starts = cold_starts;
    }

    /// Sets the listed instances by the hashes of their names; `own_name_hash` is that of this instance.
    pub fn set_instances(&mut self, now: u64, own_name_hash: u64, name_hashes: &[u64]) {
        self.own_name_hash = own_name_hash;
        // Instances that are gone report nothing more, and their last reports expire soon.
        self.peer_upstreams.clear();
        self.senders.set_instances(now, own_name_hash, name_hashes);
        let senders = &self.senders;
        self.addresses.update_ranks(|u| senders.count_ahead(u));
        self.update_throttles(now);
    }

    /// Sets whether a zone is evacuated.
    pub fn set_evacuated(&mut self, now: u64, zone: &str, evacuated: bool) {
        if evacuated {
            self.evacuated_zones.insert(zone.to_string());
        } else {
            self.evacuated_zones.remove(zone);
        }
        let of_zone = |u: &&mut Upstream| u.spec.zone == zone;
        for up in self.upstreams.iter_mut().flatten().filter(of_zone) {
            if up.evacuated && !evacuated {
                let cold_start = self.cold_starts.get(&up.spec.service).copied();
                up.return_to_service(now, cold_start.unwrap_or_default());
                throttle::update(up, now, &self.senders);
            }
            up.evacuated = evacuated;
        }
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated_zones
    }

    fn cold_start(&self, service: &str) -> ColdStart {
        self.cold_starts.get(service).copied().unwrap_or_default()
    }

    /// Adds or updates an upstream from its list entry.
    pub fn upsert(&mut self, now: u64, spec: Spec) -> EntryChange {
        if spec.leaving {
            self.announcements.mark_leaving(&spec.incarnation());
        }
        let Some(key) = self.by_id.get(&spec.id).copied() else {
            self.add(now, spec);
            return EntryChange::New;
        };
        let up = self.get_mut(key);
        if spec.is_older_than(&up.spec) {
            return EntryChange::Unchanged;
        }
        if spec.is_other_incarnation(&up.spec) {
            let ended = up.spec.incarnation();
            up.delisted = true;
            self.remove_idle(key);
            let key = self.add(now, spec);
            self.get_mut(key).restarted = true;
            return EntryChange::Restarted { ended };
        }
        up.record_heard(now);
        let newly_leaving = spec.leaving && !up.leaving;
        let previous = up.incarnation_hash();
        up.update_spec(spec);
        let hash = up.incarnation_hash();
        self.by_hash.remove(&previous);
        self.by_hash.insert(hash, key);
        self.apply_entry(now, key);
        if newly_leaving {
            EntryChange::Leaving
        } else {
            EntryChange::Unchanged
        }
    }

    /// Applies what an upstream's list entry says about its zone and for how long it is cold.
    fn apply_entry(&mut self, now: u64, key: UpstreamKey) {
        let cold_start = self.cold_start(&self.get(key).spec.service);
        let evacuated = self.evacuated_zones.contains(&self.get(key).spec.zone);
        let up = self.get_mut(key);
        up.evacuated = evacuated;
        up.update_cold_until(now, cold_start);
        self.update_throttle(now, key);
    }

    fn add(&mut self, now: u64, spec: Spec) -> UpstreamKey {
        let id = spec.id.clone();
        let key = self.free.pop().unwrap_or_else(|| {
            self.upstreams.push(None);
            UpstreamKey(self.upstreams.len() as u32 - 1)
        });
        let mut up = Upstream::new(spec);
        up.record_heard(now);
        let incarnation = up.spec.incarnation();
        up.leaving |= self.announcements.is_leaving(&incarnation);
        up.paused_until = self.announcements.paused_until(&incarnation);
        up.set_versioned_limit(now, self.announcements.versioned_limit(&incarnation));
        self.by_hash.insert(up.incarnation_hash(), key);
        self.upstreams[key.0 as usize] = Some(up);
        self.by_id.insert(id, key);
        self.apply_entry(now, key);
        key
    }

    /// Records that an upstream's list entry was removed; returns its incarnation if it was listed.
    pub fn delist(&mut self, id: &str) -> Option<String> {
        let key = self.by_id.get(id).copied()?;
        let up = self.get_mut(key);
        let was_listed = !up.delisted;
        up.delisted = true;
        let incarnation = up.spec.incarnation();
        self.remove_idle(key);
        was_listed.then_some(incarnation)
    }

    /// Records that an incarnation of an upstream is leaving, by any source; returns whether this is new
    /// for an upstream of the pool.
    pub fn mark_leaving(&mut self, incarnation: &str) -> bool {
        self.announcements.mark_leaving(incarnation);
        let Some(key) = self.by_incarnation(incarnation) else {
            return false;
        };
        let up = self.get_mut(key);
        let newly_leaving = !up.leaving;
        up.leaving = true;
        newly_leaving
    }

    /// Returns the listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().flatten().filter(|u| !u.delisted)
    }

    /// Records that an upstream accepts no requests for some milliseconds; returns whether that extends an
    /// earlier pause. An earlier pause is never shortened.
    pub fn pause(&mut self, now: u64, key: UpstreamKey, ms: u64) -> bool {
        let until = now + ms.min(MAX_PAUSE_MS);
        let up = self.get_mut(key);
        let extended = until > up.paused_until;
        up.paused_until = up.paused_until.max(until);
        let incarnation = up.spec.incarnation();
        self.announcements.pause(&incarnation, until);
        extended
    }

    /// Returns the software version of the upstream of a choice; none if it is not known for sure, because
    /// its list entry has changed since, or another incarnation has taken over its name.
    pub fn software_version(&self, choice: &Choice) -> Option<&str> {
        let is_current = self.by_id.get(&choice.spec.id) == Some(&choice.key);
        let listed = &self.get(choice.key).spec;
        let same = is_current && listed.version == choice.spec.version;
        same.then_some(listed.version.as_str())
    }

    /// Returns the services of the listed upstreams with their software versions, each once.
    pub fn versions(&self) -> BTreeSet<(String, String)> {
        let versions = self.listed().map(|u| (&u.spec.service, &u.spec.version));
        let versions: BTreeSet<_> = versions.collect();
        let versions = versions.into_iter();
        versions.map(|(s, v)| (s.clone(), v.clone())).collect()
    }

    /// Returns the incarnation of an upstream, by its newest list entry.
    pub fn incarnation(&self, key: UpstreamKey) -> String {
        self.get(key).spec.incarnation()
    }

    /// Returns whether the request of a choice may still be sent to the chosen upstream.
    pub fn may_send(&self, now: u64, choice: &Choice) -> bool {
        let up = self.get(choice.key);
        let may_send = up.may_send(now, choice.attempt, self.cold_start(&up.spec.service));
        may_send && !self.addresses.is_reused_since(up, choice.attempt)
    }

    /// Returns whether an upstream is listed and not known to be leaving.
    pub fn is_active(&self, key: UpstreamKey) -> bool {
        let up = self.get(key);
        !up.delisted && !up.leaving
    }

    /// Returns the incarnations of upstreams that are leaving, by any source.
    pub fn leaving_incarnations(&self) -> BTreeSet<String> {
        let leaving = self.upstreams.iter().flatten().filter(|u| u.leaving);
        leaving.map(|u| u.spec.incarnation()).collect()
    }

    fn by_incarnation(&self, incarnation: &str) -> Option<UpstreamKey> {
        let hash = xxh3_64(incarnation.as_bytes());
        self.by_hash.get(&hash).copied()
    }

    fn get(&self, key: UpstreamKey) -> &Upstream {
        let up = self.upstreams[key.0 as usize].as_ref();
        up.expect("an upstream is kept while it has requests in flight")
    }

    fn get_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        let up = self.upstreams[key.0 as usize].as_mut();
        up.expect("an upstream is kept while it has requests in flight")
    }

    /// Removes an upstream if it is delisted and has no requests in flight.
    fn remove_idle(&mut self, key: UpstreamKey) {
        let up = self.get(key);
        if up.delisted && up.engine.inflight() == 0 {
            let (id, hash) = (up.spec.id.clone(), up.incarnation_hash());
            let heard_at = up.heard_at();
            self.gone.push(GoneUpstream {
                incarnation_hash: hash,
                heard_at,
            });
            // A later incarnation may have taken over the name.
            if self.by_id.get(&id) == Some(&key) {
                self.by_id.remove(&id);
            }
            // The hash too, if the list entries do not tell incarnations apart.
            if self.by_hash.get(&hash) == Some(&key) {
                self.by_hash.remove(&hash);
            }
            self.upstreams[key.0 as usize] = None;
            self.free.push(key);
        }
    }

    /// Returns the upstreams that were removed since the last call.
    pub fn take_gone(&mut self) -> Vec<GoneUpstream> {
        std::mem::take(&mut self.gone)
    }

    /// Records that an upstream with requests in flight was alive at a time, in milliseconds.
    pub fn record_heard(&mut self, key: UpstreamKey, at: u64) {
        self.get_mut(key).record_heard(at);
    }

    /// Records that an incarnation of an upstream has responded to something other than an attempt of this instance.
    pub fn record_alive(&mut self, now: u64, incarnation_hash: u64) {
        if let Some(key) = self.by_hash.get(&incarnation_hash).copied() {
            self.get_mut(key).record_heard(now);
        }
    }

    /// Returns when an incarnation of an upstream was last known to be alive, in milliseconds; `u64::MAX` if it is
    /// leaving, none if it is not in the pool.
    pub fn heard_at(&self, incarnation_hash: u64) -> Option<u64> {
        let key = self.by_hash.get(&incarnation_hash)?;
        Some(self.get(*key).heard_at())
    }

    /// Chooses an upstream and counts one more request there.
    ///
    /// # Errors
    ///
    /// Returns why no upstream was chosen.
    pub fn choose(&mut self, now: u64, criteria: &Criteria<'_>) -> Result<Choice, ChooseError> {
        self.choose_known(now, criteria, None)
    }

    /// Chooses an upstream in a fleet that uses accounts, and counts one more request there; `known` are the
    /// engines whose accounts have answered. Without accounts it is none.
    ///
    /// # Errors
    ///
    /// Returns why no upstream was chosen.
    pub fn choose_known(
        &mut self,
        now: u64,
        criteria: &Criteria<'_>,
        known: Option<&[KnownEngine]>,
    ) -> Result<Choice, ChooseError> {
        if self.senders.expire(now) {
            self.update_throttles(now);
        }
        if criteria.exceeds_engines() {
            return Err(ChooseError::TooLarge);
        }
        let mut candidates = self.candidates(now, criteria, known)?;
        self.retain_fitting(now, criteria, &mut candidates)?;
        self.add_memory_cost(criteria, &mut candidates);
        self.add_unasked_cost(&mut candidates, known.unwrap_or_default());
        let best = candidates.iter().min_by(|a, b| self.by_cost(a, b));
        let best = best.ok_or(ChooseError::NoneLeft)?;
        let left_ms = criteria.deadline.saturating_sub(now);
        if best.expected_ms > left_ms as f64 {
            let retry_ms = (best.expected_ms as u64).saturating_sub(left_ms);
            return Err(ChooseError::TooLate {
                retry_ms: retry_ms.max(MIN_RETRY_MS),
            });
        }
        let prefill_ms = self.prefill_ms(best, criteria);
        let memory = best.memory;
        let copy_of = known.and_then(|_| self.copy_of(best, criteria));
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        let hash = self.get(best.key).incarnation_hash();
        self.addresses.begin_check(now, hash);
        self.begin_holding(now, best.key, attempt.0, criteria);
        let up = self.get_mut(best.key);
        up.begin(now, attempt, criteria.priority, prefill_ms);
        for segment in criteria.segments {
            up.prefix_cache.touch(now, segment.id);
        }
        Ok(Choice {
            key: best.key,
            spec: up.spec.clone(),
            attempt,
            uncached_tokens: best.uncached_tokens,
            prefill_work: best.prefill_work,
            mean_context: mean_context(best.uncached_tokens, criteria.prompt_tokens),
            prefill_ms,
            expected_ms: best.expected_ms,
            load: best.load,
            memory,
            copy_of,
        })
    }

    fn latency(&self, service: &str) -> LatencyEstimate {
        self.latencies.get(service).copied().unwrap_or_default()
    }

    /// Returns the upstreams that may serve a request, with the estimated costs.
    fn candidates(
        &self,
        now: u64,
        criteria: &Criteria<'_>,
        known: Option<&[KnownEngine]>,
    ) -> Result<Vec<Candidate>, ChooseError> {
        let of_service = |u: &&Upstream| criteria.is_served_by(u);
        if !self.listed().any(|u| of_service(&u)) {
            return Err(ChooseError::Unknown);
        }
        let all = self.upstreams.iter().enumerate();
        let all = all.filter_map(|(i, u)| Some((UpstreamKey(i as u32), u.as_ref()?)));
        let cold_start = self.cold_start(criteria.service);
        let accepting = all.filter(|(_, u)| of_service(u) && u.accepts_requests(now));
        let accepting = accepting
            .filter(|(_, u)| self.may_reach(u, criteria) && u.has_capacity(now, cold_start));
        let accepting: SmallVec<[(UpstreamKey, &Upstream); 32]> = accepting.collect();
        if accepting.is_empty() {
            self.check_accepting(now, criteria)?;
        }
        let accepting = self.with_own_addresses(now, criteria, accepting);
        let usable: SmallVec<[(UpstreamKey, &Upstream); 32]> = {
            let usable = accepting
                .iter()
                .filter(|(_, u)| is_usable(u, now, criteria));
            usable.copied().collect()
        };
        let enough = usable.len() * 100 >= accepting.len() * MIN_USABLE_PCT;
        let considered = if enough { &usable } else { &accepting };
        let affinity = prefix_affinity(criteria, considered);
        let latency = self.latency(criteria.service);
        let untried = considered
            .iter()
            .filter(|(k, _)| !criteria.tried.contains(k));
        let (mut candidates, mut full) = (Vec::with_capacity(considered.len()), 0);
        for (key, up) in untried {
            let brittle = self.is_brittle(criteria.service);
            if is_full(up, now, criteria, brittle) || (brittle && up.room.is_closed(now)) {
                full += 1;
                continue;
            }
            let position = affinity.position(*key);
            let mut candidate = estimate(
                *key,
                up,
                now,
                criteria,
                position,
                presumed_cached(up, now, criteria, position, known),
                is_last_of_version(up, criteria, &accepting),
                latency,
            );
            candidate.memory = self.memory_view(now, up, criteria, Presumption::LikeThisOne);
            if self.is_address_reused(up) && !self.is_address_check_due(now, up, criteria) {
                candidate.cost_ms += REUSED_ADDRESS_MS;
            }
            candidates.push(candidate);
        }
        if candidates.is_empty() && full > 0 {
            let retry_ms = MIN_RETRY_MS + criteria.random % MIN_RETRY_MS;
            return Err(ChooseError::Busy { retry_ms });
        }
        Ok(candidates)
    }

    /// Returns whether an upstream is in a region that a request may reach.
    fn may_reach(&self, up: &Upstream, criteria: &Criteria<'_>) -> bool {
        let region = self.regions.get(&up.spec.zone);
        criteria.regions.is_empty() || region.is_some_and(|r| criteria.regions.contains(r))
    }

    /// Returns as an error why no upstream of a service accepts a request; none if all of them are
    /// leaving.
    fn check_accepting(&self, now: u64, criteria: &Criteria<'_>) -> Result<(), ChooseError> {
        let of_service = self.listed().filter(|u| criteria.is_served_by(u));
        let remaining: SmallVec<[&Upstream; 32]> = of_service.filter(|u| !u.leaving).collect();
        if remaining.is_empty() {
            let gone = criteria.version.is_some();
            return if gone {
                Err(ChooseError::Unknown)
            } else {
                Ok(())
            };
        }
        let reachable = remaining
            .into_iter()
            .filter(|u| self.may_reach(u, criteria));
        let reachable: SmallVec<[&Upstream; 32]> = reachable.collect();
        if reachable.is_empty() {
            return Err(ChooseError::Outside);
        }
        if reachable.iter().all(|u| u.evacuated) {
            return Err(ChooseError::Evacuated);
        }
        if let Some(retry_ms) = ms_until_first(now, reachable.iter().map(|u| u.paused_until)) {
            return Err(ChooseError::Resting { retry_ms });
        }
        let limited = reachable
            .iter()
            .filter(|u| u.accepts_requests(now) && !u.is_within_limit(now));
        if let Some(retry_ms) = limited.filter_map(|u| u.limit_retry_ms(now)).min() {
            let retry_ms = retry_ms.max(MIN_RETRY_MS);
            let retry_ms = retry_ms + criteria.random % retry_ms;
            return Err(ChooseError::Limited { retry_ms });
        }
        let cold = ms_until_first(now, reachable.iter().filter_map(|u| u.cold_until(now)));
        cold.map_or(Ok(()), |retry_ms| Err(ChooseError::Cold { retry_ms }))
    }

    /// Returns the load of this instance at its upstreams by the hash of their incarnation, to report it
    /// to the other instances.
    pub fn own_loads(&self, now: u64) -> Vec<(u64, InstanceLoad)> {
        let all = self.upstreams.iter().flatten();
        let loads = all.map(|u| (u.incarnation_hash(), u.engine.own_load(now)));
        loads.filter(|(_, load)| load.inflight > 0).collect()
    }

    /// Sets the loads that another instance reported, by the hash of the upstream's incarnation.
    pub fn set_peer_loads(&mut self, now: u64, from: u64, loads: &HashMap<u64, InstanceLoad>) {
        let none = InstanceLoad {
            pending_prefill_ms: 0.0,
            inflight: 0,
        };
        for key in self.peer_upstreams.remove(&from).unwrap_or_default() {
            if let Some(up) = self.upstreams[key.0 as usize].as_mut() {
                up.engine.set_peer_load(now, from, none);
            }
        }
        let mut keys = SmallVec::new();
        for (hash, load) in loads {
            let Some(key) = self.by_hash.get(hash) else {
                continue;
            };
            if let Some(up) = self.upstreams[key.0 as usize].as_mut() {
                up.engine.set_peer_load(now, from, *load);
                keys.push(*key);
            }
        }
        if !keys.is_empty() {
            self.peer_upstreams.insert(from, keys);
        }
    }

    /// Sets the load that an upstream reported.
    pub fn set_reported_load(&mut self, now: u64, key: UpstreamKey, load: Load) {
        self.get_mut(key).engine.set_report(now, load);
    }

    /// Records that the request of a choice is sent.
    pub fn mark_sent(&mut self, now: u64, choice: &Choice) {
        self.get_mut(choice.key)
            .engine
            .mark_sent(now, choice.attempt.0);
    }

    /// Records the first token, or the response, of a request sent at `sent_at`.
    pub fn record_latency(&mut self, now: u64, choice: &Choice, sent_at: u64) {
        let took_ms = now.saturating_sub(sent_at) as f64;
        let service = choice.spec.service.clone();
        let known_wait_ms = self.get(choice.key).engine.known_wait_ms(choice.attempt.0);
        let latency = self.latencies.entry(service).or_default();
        let sample = Sample {
            uncached_tokens: choice.uncached_tokens,
            prefill_work: choice.prefill_work,
            mean_context: choice.mean_context,
            took_ms,
            known_wait_ms,
        };
        let unloaded_ms = latency.record(sample);
        self.get_mut(choice.key)
            .record_latency(now, choice.attempt, unloaded_ms);
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now: u64, key: UpstreamKey, attempt: AttemptId, outcome: Outcome) {
        self.end_holding(now, key, attempt.0, outcome == Outcome::Success);
        self.get_mut(key).end(now, attempt, outcome);
        self.remove_idle(key);
    }
}

/// Returns the milliseconds until the first of some times that have not passed; none if all have.
fn ms_until_first(now: u64, until: impl Iterator<Item = u64>) -> Option<u64> {
    let first = until.filter(|until| *until > now).min();
    first.map(|until| until - now)
}
