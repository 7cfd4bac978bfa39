//! The upstreams of an instance, and the choice among them.

use std::collections::BTreeMap;

use crate::upstream::{Load, Spec, Upstream, UpstreamKey, UpstreamKind};
use serde::Serialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Limit on the occupancy of an upstream that is chosen for its prefix cache, as a percentage of the
/// mean occupancy.
const MAX_AFFINITY_LOAD_PCT: u32 = 125;
/// If less than this percentage of the candidates is not ejected, ejections are ignored.
const MIN_HEALTHY_PCT: usize = 50;
/// An upstream in the own zone is preferred while its occupancy is below this percentage of its slots.
const OVERCOMMIT_PCT: u32 = 150;

/// Requests of priority `p` may occupy `COMMIT_PCT + COMMIT_STEP_PCT * p * p` percent of the slots.
/// Engines run urgent requests first, so these should reach the engines' queues early.
const COMMIT_PCT: u32 = 110;
const COMMIT_STEP_PCT: u32 = 5;
/// Number of slots that an upstream is assumed to have before its first load report.
const UNKNOWN_SLOTS: u32 = 4;

/// How many more requests of each priority some upstreams can take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity([u32; 10]);

impl Capacity {
    /// Creates a capacity that is the same for every priority.
    pub fn uniform(count: u32) -> Capacity {
        Capacity([count; 10])
    }

    /// Returns the number of requests of a priority.
    pub fn for_priority(&self, priority: u8) -> u32 {
        self.0[priority.min(9) as usize]
    }
}

/// Why an upstream was chosen.
///
/// The names of the variants are written to the request journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It probably caches the prompt's prefix.
    Prefix,
    /// It was the less loaded of two random upstreams in the own zone.
    OwnZone,
    /// It was the less loaded of two random upstreams in any zone.
    LeastOfTwo,
    /// The request is already running there.
    Joined,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Choice {
    /// Key in the pool.
    pub key: UpstreamKey,
    /// Name.
    pub id: String,
    /// HTTP address.
    pub url: String,
    /// Why it was chosen.
    #[serde(rename = "why")]
    pub reason: ChoiceReason,
}

/// What an upstream is chosen by.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Requested model or service.
    pub target: &'a str,
    /// Version of the model, if the configuration specifies one.
    pub version: Option<&'a str>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// Upstreams of earlier attempts, which are not chosen again.
    pub tried: &'a [UpstreamKey],
    /// Random number.
    pub random: u64,
}

/// Hashes a number, so that the order of the results is independent of the order of the inputs.
fn mix(n: u64) -> u64 {
    xxh3_64(&n.to_le_bytes())
}

/// All upstreams that were ever listed, in a vector that keys index.
#[derive(Debug, Default)]
pub struct Pool {
    upstreams: Vec<Upstream>,
    by_id: BTreeMap<String, UpstreamKey>,
    /// Number of instances that share the upstreams; 0 if not known yet.
    instance_count: u32,
}

impl Pool {
    /// Applies the instance list.
    ///
    /// An upstream that is no longer listed gets no new requests; those in progress continue.
    pub fn apply_list(&mut self, specs: Vec<Spec>) {
        for (id, key) in &self.by_id {
            if !specs.iter().any(|s| s.id == *id) {
                self.upstreams[key.0 as usize].leaving = true;
            }
        }
        for spec in specs {
            match self.by_id.get(&spec.id) {
                Some(key) => {
                    let up = &mut self.upstreams[key.0 as usize];
                    up.leaving |= spec.leaving;
                    up.spec = spec;
                }
                None => {
                    let key = UpstreamKey(self.upstreams.len() as u32);
                    self.by_id.insert(spec.id.clone(), key);
                    self.upstreams.push(Upstream::new(spec));
                }
            }
        }
    }

    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> &Upstream {
        &self.upstreams[key.0 as usize]
    }

    /// Returns a mutable reference to an upstream.
    pub fn get_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        &mut self.upstreams[key.0 as usize]
    }

    /// Returns the key of the upstream with a name.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let with_key = |(i, u)| (UpstreamKey(i as u32), u);
        self.upstreams.iter().enumerate().map(with_key)
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, now: u64, key: UpstreamKey, load: Load) {
        self.get_mut(key).record_load(now, load);
    }

    /// Records that an upstream is leaving; returns whether this is new for an upstream of the pool.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(key) = self.find(id) else {
            return false;
        };
        let up = self.get_mut(key);
        !std::mem::replace(&mut up.leaving, true)
    }

    /// Returns the names of the upstreams that are leaving.
    pub fn leaving_ids(&self) -> Vec<String> {
        let leaving = self.upstreams.iter().filter(|u| u.leaving);
        leaving.map(|u| u.spec.id.clone()).collect()
    }

    /// Returns the upstreams that may serve a request. Ejected ones are left out, unless that would
    /// leave too few.
    fn candidates(&self, now: u64, criteria: &Criteria<'_>) -> SmallVec<[UpstreamKey; 32]> {
        let matches = |u: &Upstream| {
            let serves = u.spec.serves.iter().any(|s| s == criteria.target);
            let version = u.versions.get(criteria.target).map(String::as_str);
            let has_version = criteria.version.is_none() || criteria.version == version;
            u.spec.kind == criteria.kind && !u.leaving && serves && has_version
        };
        let untried = |(key, u): (UpstreamKey, &Upstream)| {
            (matches(u) && !criteria.tried.contains(&key)).then_some(key)
        };
        let all: SmallVec<[UpstreamKey; 32]> = self.iter().filter_map(untried).collect();
        let healthy: SmallVec<[UpstreamKey; 32]> = all
            .iter()
            .copied()
            .filter(|k| !self.get(*k).is_ejected(now))
            .collect();
        if healthy.len() * 100 >= all.len() * MIN_HEALTHY_PCT && !healthy.is_empty() {
            healthy
        } else {
            all
        }
    }

    /// Returns whether any upstream serves a model or service.
    pub fn is_served(&self, kind: UpstreamKind, target: &str) -> bool {
        let serves =
            |u: &Upstream| u.spec.kind == kind && u.spec.serves.iter().any(|s| s == target);
        self.upstreams.iter().any(|u| !u.leaving && serves(u))
    }

    /// Chooses an upstream for a request; returns `None` if there is no candidate.
    pub fn choose(&self, now: u64, criteria: &Criteria<'_>) -> Option<Choice> {
        let candidates = self.candidates(now, criteria);
        if candidates.is_empty() {
            return None;
        }
        if let Some(key) = self.by_prefix(now, criteria, &candidates) {
            return Some(self.choice(key, ChoiceReason::Prefix));
        }
        let in_zone: SmallVec<[UpstreamKey; 32]> = candidates
            .iter()
            .copied()
            .filter(|k| self.get(*k).spec.zone == criteria.zone && self.has_capacity(now, *k))
            .collect();
        let (from, reason) = if in_zone.is_empty() {
            (&candidates, ChoiceReason::LeastOfTwo)
        } else {
            (&in_zone, ChoiceReason::OwnZone)
        };
        let key = self.least_of_two(now, from, criteria.random);
        Some(self.choice(key, reason))
    }

    fn choice(&self, key: UpstreamKey, reason: ChoiceReason) -> Choice {
        let up = self.get(key);
        Choice {
            key,
            id: up.spec.id.clone(),
            url: up.spec.url.clone(),
            reason,
        }
    }

    /// Returns the first of the two upstreams that rank highest for the prefix, by rendezvous hashing,
    /// whose occupancy is below the limit.
    fn by_prefix(
        &self,
        now: u64,
        criteria: &Criteria<'_>,
        candidates: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        let prefix = criteria.prefix?;
        let total: u32 = candidates.iter().map(|k| self.get(*k).occupancy(now)).sum();
        let limit = (total * MAX_AFFINITY_LOAD_PCT / 100).div_ceil(candidates.len() as u32) + 1;
        let rank = |k: &UpstreamKey| mix(prefix ^ self.get(*k).id_hash);
        let first = candidates.iter().copied().max_by_key(rank)?;
        let others = candidates.iter().copied().filter(|k| *k != first);
        let second = others.max_by_key(rank);
        let ranked = std::iter::once(first).chain(second);
        let mut below_limit = ranked.filter(|k| self.get(*k).occupancy(now) < limit);
        below_limit.next()
    }

    /// Returns the less loaded of two random upstreams.
    fn least_of_two(&self, now: u64, from: &[UpstreamKey], random: u64) -> UpstreamKey {
        let len = from.len() as u64;
        let a = from[(random % len) as usize];
        let b = from[((random >> 32) % len) as usize];
        let load = |k: UpstreamKey| {
            let up = self.get(k);
            // Load reports are delayed: instances that rely on them alone all choose the same
            // upstream. The requests of this instance, multiplied by the number of instances, are
            // always current.
            let own = up.inflight * self.instance_count.max(1);
            (own + up.occupancy(now)) * 1000 / up.slots()
        };
        if load(b) < load(a) {
            b
        } else {
            a
        }
    }

    fn has_capacity(&self, now: u64, key: UpstreamKey) -> bool {
        let up = self.get(key);
        up.load_at.is_none() || up.occupancy(now) * 100 < up.slots() * OVERCOMMIT_PCT
    }

    /// Returns how many more requests of each priority this instance may send to the upstreams of a
    /// model or service.
    pub fn capacity(&self, now: u64, kind: UpstreamKind, target: &str) -> Capacity {
        let criteria = Criteria {
            kind,
            target,
            version: None,
            prefix: None,
            zone: "",
            tried: &[],
            random: 0,
        };
        let (mut slots, mut own, mut occupied) = (0, 0, 0);
        for key in self.candidates(now, &criteria) {
            let up = self.get(key);
            slots += if up.load_at.is_none() {
                UNKNOWN_SLOTS
            } else {
                up.slots()
            };
            own += up.inflight;
            occupied += up.occupancy(now);
        }
        let instance_count = self.instance_count.max(1);
        let mut capacity = Capacity::default();
        for (priority, count) in capacity.0.iter_mut().enumerate() {
            let priority = priority as u32;
            let max = slots * (COMMIT_PCT + COMMIT_STEP_PCT * priority * priority) / 100;
            // An instance may always use its equal share, whatever the delayed reports say. Of the
            // spare capacity in the reports it uses only a part: if every instance used all of it,
            // together they would exceed it by a factor of their number.
            let share = max.div_ceil(instance_count).saturating_sub(own);
            let spare = max.saturating_sub(occupied) / instance_count;
            *count = share.max(spare);
        }
        capacity
    }

    /// Sets the number of instances that share the upstreams.
    pub fn set_instance_count(&mut self, count: usize) {
        self.instance_count = count as u32;
    }
}
