//! All upstreams of all services, and the choice among them.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::announcements::Said;
use crate::choice::{Choice, ChooseError, Criteria};
use crate::cold_start::ColdStart;
use crate::cost::{homes, is_full, may_use, rate_one, Rated};
use crate::latency::Usual;
use crate::senders::Senders;
use crate::upstream::{AttemptId, InstanceLoad, Load, Outcome, Spec, Upstream, UpstreamKey};

mod throttle;

/// At least so many percent of a service's upstreams stay in use, whatever their health: when most
/// of them seem bad, the fault is elsewhere.
const KEPT_PCT: usize = 50;
/// Shortest time after which a refused request may come back, in milliseconds.
const RETRY_LEAST_MS: u64 = 300;

/// Longest time for which an upstream that wants nothing is left alone, in milliseconds: one that names a
/// year by mistake must not be lost until it ends. It is asked again then, and may say so again.
const REST_MOST_MS: u64 = 3_600_000;

/// What an entry of the list is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// An upstream that was not known.
    New,
    /// A known upstream started again under its name: nothing of its earlier incarnation holds any more.
    Restarted {
        /// The incarnation that ended.
        ended: String,
    },
    /// A known upstream leaves.
    Leaving,
    /// Nothing new.
    Unchanged,
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Pool {
    upstreams: Vec<Option<Upstream>>,
    /// Places of upstreams that were dropped.
    free: Vec<UpstreamKey>,
    by_id: HashMap<String, UpstreamKey>,
    /// By the hash of the incarnation.
    by_hash: HashMap<u64, UpstreamKey>,
    /// At which upstreams another instance had something, by its last report.
    held_by: HashMap<u64, SmallVec<[UpstreamKey; 4]>>,
    /// The hashed name of this instance.
    me: u64,
    usual: HashMap<String, Usual>,
    tickets: u64,
    said: Said,
    /// Zones that are evacuated.
    evacuated: BTreeSet<String>,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// How the upstreams of a service behave while they are cold.
    cold: HashMap<String, ColdStart>,
    senders: Senders,
}

impl Pool {
    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Sets how the upstreams of each service behave while they are cold.
    pub fn set_cold_starts(&mut self, cold: HashMap<String, ColdStart>) {
        self.cold = cold;
    }

    /// Takes the hashed names of the listed instances, this one's first.
    pub fn set_instances(&mut self, now: u64, me: u64, names: &[u64]) {
        self.me = me;
        // Instances that are gone say nothing more; what they had is forgotten soon.
        self.held_by.clear();
        self.senders.set_instances(now, me, names);
        self.update_throttles(now);
    }

    /// Takes that a zone is evacuated, or no longer.
    pub fn set_evacuated(&mut self, now: u64, zone: &str, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(zone.to_string());
        } else {
            self.evacuated.remove(zone);
        }
        let of_zone = |u: &&mut Upstream| u.spec.zone == zone;
        for up in self.upstreams.iter_mut().flatten().filter(of_zone) {
            if up.evacuated && !evacuated {
                let usual = self.cold.get(&up.spec.service).copied();
                up.comes_back(now, usual.unwrap_or_default());
                throttle::update(up, now, &self.senders);
            }
            up.evacuated = evacuated;
        }
    }

    /// Returns the zones that are evacuated.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    fn cold(&self, service: &str) -> ColdStart {
        self.cold.get(service).copied().unwrap_or_default()
    }

    /// Takes an entry of the list.
    pub fn upsert(&mut self, now: u64, spec: Spec) -> EntryChange {
        if spec.leaving {
            self.said.mark_leaving(&spec.incarnation());
        }
        let Some(key) = self.by_id.get(&spec.id).copied() else {
            self.add(now, spec);
            return EntryChange::New;
        };
        let up = self.get_mut(key);
        if up.spec.is_reborn_since(&spec) {
            return EntryChange::Unchanged;
        }
        if spec.is_reborn_since(&up.spec) {
            let ended = up.spec.incarnation();
            up.delisted = true;
            self.drop_idle(key);
            let key = self.add(now, spec);
            self.get_mut(key).reborn = true;
            return EntryChange::Restarted { ended };
        }
        let news = spec.leaving && !up.leaving;
        let before = up.incarnation_hash();
        up.relist(spec);
        let hash = up.incarnation_hash();
        self.by_hash.remove(&before);
        self.by_hash.insert(hash, key);
        self.place(now, key);
        if news {
            EntryChange::Leaving
        } else {
            EntryChange::Unchanged
        }
    }

    /// Takes what an upstream's entry says of its zone, and of how long it is cold.
    fn place(&mut self, now: u64, key: UpstreamKey) {
        let usual = self.cold(&self.get(key).spec.service);
        let evacuated = self.evacuated.contains(&self.get(key).spec.zone);
        let up = self.get_mut(key);
        up.evacuated = evacuated;
        up.warms_up(now, usual);
        self.update_throttle(now, key);
    }

    fn add(&mut self, now: u64, spec: Spec) -> UpstreamKey {
        let id = spec.id.clone();
        let key = self.free.pop().unwrap_or_else(|| {
            self.upstreams.push(None);
            UpstreamKey(self.upstreams.len() as u32 - 1)
        });
        let mut up = Upstream::new(spec);
        let incarnation = up.spec.incarnation();
        up.leaving |= self.said.is_leaving(&incarnation);
        up.paused_until = self.said.rests_until(&incarnation);
        up.set_versioned_limit(now, self.said.versioned_limit(&incarnation));
        self.by_hash.insert(up.incarnation_hash(), key);
        self.upstreams[key.0 as usize] = Some(up);
        self.by_id.insert(id, key);
        self.place(now, key);
        key
    }

    /// Takes the end of an entry of the list; returns the incarnation that it ended, if it was there.
    pub fn delist(&mut self, id: &str) -> Option<String> {
        let key = self.by_id.get(id).copied()?;
        let up = self.get_mut(key);
        let was = !up.delisted;
        up.delisted = true;
        let incarnation = up.spec.incarnation();
        self.drop_idle(key);
        was.then_some(incarnation)
    }

    /// Notes that an incarnation of an upstream is leaving, by whatever source; returns whether that is new.
    pub fn mark_leaving(&mut self, incarnation: &str) -> bool {
        self.said.mark_leaving(incarnation);
        let Some(key) = self.by_incarnation(incarnation) else {
            return false;
        };
        let up = self.get_mut(key);
        let news = !up.leaving;
        up.leaving = true;
        news
    }

    /// Returns the listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().flatten().filter(|u| !u.delisted)
    }

    /// Notes that an upstream wants nothing for some milliseconds; returns whether that is longer than it said before. What it
    /// said before holds until its time.
    pub fn pause(&mut self, now: u64, key: UpstreamKey, ms: u64) -> bool {
        let until = now + ms.min(REST_MOST_MS);
        let up = self.get_mut(key);
        let longer = until > up.paused_until;
        up.paused_until = up.paused_until.max(until);
        let incarnation = up.spec.incarnation();
        self.said.pause(&incarnation, until);
        longer
    }

    /// Returns the incarnation of an upstream, by its newest entry.
    pub fn incarnation(&self, key: UpstreamKey) -> String {
        self.get(key).spec.incarnation()
    }

    /// Returns whether a request that was chosen for an upstream may still be sent there.
    pub fn may_send(&self, now: u64, choice: &Choice) -> bool {
        let up = self.get(choice.key);
        up.may_get(now, choice.attempt, self.cold(&up.spec.service))
    }

    /// Returns whether an upstream is listed, and nothing says that it leaves.
    pub fn is_active(&self, key: UpstreamKey) -> bool {
        let up = self.get(key);
        !up.delisted && !up.leaving
    }

    /// Returns the incarnations of upstreams that all sources together say are leaving.
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
        up.expect("kept while requests run there")
    }

    fn get_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        let up = self.upstreams[key.0 as usize].as_mut();
        up.expect("kept while requests run there")
    }

    fn drop_idle(&mut self, key: UpstreamKey) {
        let up = self.get(key);
        if up.delisted && up.inflight == 0 {
            let (id, hash) = (up.spec.id.clone(), up.incarnation_hash());
            // A later incarnation may have the name by now.
            if self.by_id.get(&id) == Some(&key) {
                self.by_id.remove(&id);
            }
            // So may its hash, where its list does not tell incarnations apart.
            if self.by_hash.get(&hash) == Some(&key) {
                self.by_hash.remove(&hash);
            }
            self.upstreams[key.0 as usize] = None;
            self.free.push(key);
        }
    }

    /// Chooses an upstream, which then counts one request more.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn choose(&mut self, now: u64, want: &Criteria<'_>) -> Result<Choice, ChooseError> {
        if self.senders.expire(now) {
            self.update_throttles(now);
        }
        let rated = self.rate(now, want)?;
        // Instances that know nothing of the upstreams yet would all take the first one of the list.
        let turn = |r: &Rated| self.get(r.key).rank(self.me);
        let by_cost = |a: &&Rated, b: &&Rated| {
            let order = a.cost_ms.partial_cmp(&b.cost_ms);
            let order = order.unwrap_or(Ordering::Equal);
            order.then_with(|| turn(a).cmp(&turn(b)))
        };
        let best = rated.iter().min_by(by_cost).ok_or(ChooseError::NoneLeft)?;
        let left = want.deadline.saturating_sub(now);
        if best.expect_ms > left as f64 {
            let retry_ms = (best.expect_ms as u64).saturating_sub(left);
            return Err(ChooseError::Busy {
                retry_ms: retry_ms.max(RETRY_LEAST_MS),
            });
        }
        let (key, unread, expect_ms) = (best.key, best.unread, best.expect_ms);
        let work = best.work;
        self.tickets += 1;
        let ticket = AttemptId(self.tickets);
        let read_ms = work * self.usual(want.service).read_ms;
        let up = self.get_mut(key);
        up.begin(now, ticket, read_ms);
        for part in want.segments {
            up.known.used(now, part.id);
        }
        Ok(Choice {
            key,
            spec: up.spec.clone(),
            attempt: ticket,
            uncached_tokens: unread,
            prefill_work: work,
            expected_ms: expect_ms,
        })
    }

    fn usual(&self, service: &str) -> Usual {
        self.usual.get(service).copied().unwrap_or_default()
    }

    /// Returns the upstreams that may take a request, with what it would cost there.
    fn rate(&self, now: u64, want: &Criteria<'_>) -> Result<Vec<Rated>, ChooseError> {
        let of_service = |u: &&Upstream| u.spec.service == want.service;
        if !self.listed().any(|u| of_service(&u)) {
            return Err(ChooseError::Unknown);
        }
        let all = self.upstreams.iter().enumerate();
        let all = all.filter_map(|(i, u)| Some((UpstreamKey(i as u32), u.as_ref()?)));
        let cold = self.cold(want.service);
        let staying = all.filter(|(_, u)| of_service(u) && u.accepts_requests(now));
        let staying = staying.filter(|(_, u)| self.may_reach(u, want) && u.is_open(now, cold));
        let staying: SmallVec<[(UpstreamKey, &Upstream); 32]> = staying.collect();
        if staying.is_empty() {
            self.why_none(now, want)?;
        }
        let fit: SmallVec<[(UpstreamKey, &Upstream); 32]> = {
            let fit = staying.iter().filter(|(_, u)| may_use(u, now, want));
            fit.copied().collect()
        };
        let kept = fit.len() * 100 >= staying.len() * KEPT_PCT;
        let from = if kept { &fit } else { &staying };
        let homes = homes(want, from);
        let usual = self.usual(want.service);
        let untried = from.iter().filter(|(k, _)| !want.tried.contains(k));
        let (mut rated, mut full) = (Vec::with_capacity(from.len()), 0);
        for (key, up) in untried {
            if is_full(up, now, want) {
                full += 1;
                continue;
            }
            rated.push(rate_one(*key, up, now, want, homes.turn(*key), usual));
        }
        if rated.is_empty() && full > 0 {
            let retry_ms = RETRY_LEAST_MS + want.random % RETRY_LEAST_MS;
            return Err(ChooseError::Busy { retry_ms });
        }
        Ok(rated)
    }

    /// Returns whether an upstream is in a region that a request may reach.
    fn may_reach(&self, up: &Upstream, want: &Criteria<'_>) -> bool {
        let region = self.regions.get(&up.spec.zone);
        want.regions.is_empty() || region.is_some_and(|r| want.regions.contains(r))
    }

    /// Returns why no upstream of a service takes a request, where that is more than that all leave.
    fn why_none(&self, now: u64, want: &Criteria<'_>) -> Result<(), ChooseError> {
        let of_service = self.listed().filter(|u| u.spec.service == want.service);
        let stay: SmallVec<[&Upstream; 32]> = of_service.filter(|u| !u.leaving).collect();
        if stay.is_empty() {
            return Ok(());
        }
        let reached = stay.into_iter().filter(|u| self.may_reach(u, want));
        let reached: SmallVec<[&Upstream; 32]> = reached.collect();
        if reached.is_empty() {
            return Err(ChooseError::Outside);
        }
        if reached.iter().all(|u| u.evacuated) {
            return Err(ChooseError::Evacuated);
        }
        if let Some(retry_ms) = soonest(now, reached.iter().map(|u| u.paused_until)) {
            return Err(ChooseError::Resting { retry_ms });
        }
        let limited = reached
            .iter()
            .filter(|u| u.accepts_requests(now) && !u.is_within_limit(now));
        if let Some(retry_ms) = limited.filter_map(|u| u.limit_retry_ms(now)).min() {
            let retry_ms = retry_ms.max(RETRY_LEAST_MS);
            let retry_ms = retry_ms + want.random % retry_ms;
            return Err(ChooseError::Limited { retry_ms });
        }
        let cold = soonest(now, reached.iter().filter_map(|u| u.cold_until(now)));
        cold.map_or(Ok(()), |retry_ms| Err(ChooseError::Cold { retry_ms }))
    }

    /// Returns what this instance has at its upstreams, for the others.
    pub fn own_loads(&self, now: u64) -> Vec<(u64, InstanceLoad)> {
        let busy = self.upstreams.iter().flatten().filter(|u| u.inflight > 0);
        busy.map(|u| (u.incarnation_hash(), u.own_load(now)))
            .collect()
    }

    /// Takes the word of another instance on what it has at its upstreams.
    pub fn set_peer_loads(&mut self, now: u64, from: u64, held: &HashMap<u64, InstanceLoad>) {
        let nothing = InstanceLoad {
            pending_prefill_ms: 0.0,
            inflight: 0,
        };
        for key in self.held_by.remove(&from).unwrap_or_default() {
            if let Some(up) = self.upstreams[key.0 as usize].as_mut() {
                up.set_peer_load(now, from, nothing);
            }
        }
        let mut keys = SmallVec::new();
        for (hash, held) in held {
            let Some(key) = self.by_hash.get(hash) else {
                continue;
            };
            if let Some(up) = self.upstreams[key.0 as usize].as_mut() {
                up.set_peer_load(now, from, *held);
                keys.push(*key);
            }
        }
        if !keys.is_empty() {
            self.held_by.insert(from, keys);
        }
    }

    /// Takes an upstream's word on its load.
    pub fn set_reported_load(&mut self, now: u64, key: UpstreamKey, load: Load) {
        self.get_mut(key).set_reported_load(now, load);
    }

    /// Takes the first token, or the answer, of a request.
    pub fn record_latency(&mut self, now: u64, choice: &Choice, sent_at: u64) {
        let took = now.saturating_sub(sent_at) as f64;
        let service = choice.spec.service.clone();
        let usual = self.usual.entry(service).or_default();
        let alone_ms = usual.learn(choice.uncached_tokens, choice.prefill_work, took);
        self.get_mut(choice.key)
            .record_latency(now, choice.attempt, alone_ms);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: u64, key: UpstreamKey, ticket: AttemptId, outcome: Outcome) {
        self.get_mut(key).end(now, ticket, outcome);
        self.drop_idle(key);
    }
}

/// Returns the milliseconds until the first of some times that are not over; none where all are.
fn soonest(now: u64, until: impl Iterator<Item = u64>) -> Option<u64> {
    let first = until.filter(|until| *until > now).min();
    first.map(|until| until - now)
}
