//! All upstreams, and the choice among them.

use std::collections::BTreeMap;

use crate::upstream::{Load, Spec, Upstream, UpstreamKey, UpstreamKind};
use serde::Serialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// An upstream that a prefix is tied to may have this many percent of the mean load.
const AFFINITY_LOAD_PCT: u32 = 125;
/// At least this share of the candidates, in percent, stays in use whatever fails.
const EJECT_FLOOR_PCT: usize = 50;
/// Requests per slot up to which an upstream takes more.
const OVERCOMMIT_PCT: u32 = 150;

/// Requests per slot, in percent, up to which an upstream takes more of priority 0, and how much
/// further by the square of the priority: engines run what is first, so that should be there early.
const COMMIT_PCT: u32 = 110;
const COMMIT_STEP_PCT: u32 = 5;
/// Slots that an upstream is thought to have before its first report.
const UNKNOWN_SLOTS: u32 = 4;

/// How many more requests of each priority some upstreams can take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity([u32; 10]);

impl Capacity {
    /// Makes rooms that are the same for every priority.
    pub fn uniform(room: u32) -> Capacity {
        Capacity([room; 10])
    }

    /// Returns the room for a priority.
    pub fn for_priority(&self, priority: u8) -> u32 {
        self.0[priority.min(9) as usize]
    }
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It probably caches the prompt's prefix.
    Prefix,
    /// It had the least load of two, in the own zone.
    OwnZone,
    /// It had the least load of two, of all.
    LeastOfTwo,
    /// The request runs there already.
    Joined,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Choice {
    /// Its key.
    pub key: UpstreamKey,
    /// Its name.
    pub id: String,
    /// Its address.
    pub url: String,
    /// Why it was chosen.
    #[serde(rename = "why")]
    pub reason: ChoiceReason,
}

/// What a choice is made for.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// What kind of upstream.
    pub kind: UpstreamKind,
    /// The model or service.
    pub target: &'a str,
    /// The version of the model, where the configuration names one.
    pub version: Option<&'a str>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The own availability zone.
    pub zone: &'a str,
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamKey],
    /// A random number.
    pub random: u64,
}

/// Mixes the bits of a number, so that its order says nothing of the number's.
fn mix(n: u64) -> u64 {
    xxh3_64(&n.to_le_bytes())
}

/// All upstreams, in an arena that keys point into.
#[derive(Debug, Default)]
pub struct Pool {
    slots: Vec<Upstream>,
    by_id: BTreeMap<String, UpstreamKey>,
    sharers: u32,
}

impl Pool {
    /// Takes over the instance list.
    ///
    /// An upstream that is no longer listed gets no new work; what runs there goes on.
    pub fn apply_list(&mut self, specs: Vec<Spec>) {
        for (id, key) in &self.by_id {
            if !specs.iter().any(|s| s.id == *id) {
                self.slots[key.0 as usize].leaving = true;
            }
        }
        for spec in specs {
            match self.by_id.get(&spec.id) {
                Some(key) => {
                    let up = &mut self.slots[key.0 as usize];
                    up.leaving |= spec.leaving;
                    up.spec = spec;
                }
                None => {
                    let key = UpstreamKey(self.slots.len() as u32);
                    self.by_id.insert(spec.id.clone(), key);
                    self.slots.push(Upstream::new(spec));
                }
            }
        }
    }

    /// Returns an upstream.
    pub fn get(&self, key: UpstreamKey) -> &Upstream {
        &self.slots[key.0 as usize]
    }

    /// Returns an upstream for changes.
    pub fn get_mut(&mut self, key: UpstreamKey) -> &mut Upstream {
        &mut self.slots[key.0 as usize]
    }

    /// Returns the key of a name.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let key = |(i, u)| (UpstreamKey(i as u32), u);
        self.slots.iter().enumerate().map(key)
    }

    /// Takes a load report.
    pub fn record_load(&mut self, now: u64, key: UpstreamKey, load: Load) {
        self.get_mut(key).record_load(now, load);
    }

    /// Learns that an upstream is leaving; returns whether that was news.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(key) = self.find(id) else {
            return false;
        };
        let up = self.get_mut(key);
        !std::mem::replace(&mut up.leaving, true)
    }

    /// Returns the names of the upstreams that are leaving.
    pub fn leaving_ids(&self) -> Vec<String> {
        let left = self.slots.iter().filter(|u| u.leaving);
        left.map(|u| u.spec.id.clone()).collect()
    }

    /// Returns the upstreams that may serve, without those that fail unless too many do.
    fn candidates(&self, now: u64, ask: &Criteria<'_>) -> SmallVec<[UpstreamKey; 32]> {
        let serves = |u: &Upstream| {
            let serves = u.spec.serves.iter().any(|s| s == ask.target);
            let version = u.versions.get(ask.target).map(String::as_str);
            let fits = ask.version.is_none() || ask.version == version;
            u.spec.kind == ask.kind && !u.leaving && serves && fits
        };
        let fits = |(key, u): (UpstreamKey, &Upstream)| {
            (serves(u) && !ask.tried.contains(&key)).then_some(key)
        };
        let all: SmallVec<[UpstreamKey; 32]> = self.iter().filter_map(fits).collect();
        let healthy: SmallVec<[UpstreamKey; 32]> = all
            .iter()
            .copied()
            .filter(|k| !self.get(*k).is_ejected(now))
            .collect();
        if healthy.len() * 100 >= all.len() * EJECT_FLOOR_PCT && !healthy.is_empty() {
            healthy
        } else {
            all
        }
    }

    /// Returns whether any upstream serves this.
    pub fn is_served(&self, kind: UpstreamKind, serves: &str) -> bool {
        let fits = |u: &Upstream| u.spec.kind == kind && u.spec.serves.iter().any(|s| s == serves);
        self.slots.iter().any(|u| !u.leaving && fits(u))
    }

    /// Chooses an upstream; none when there is none.
    pub fn choose(&self, now: u64, ask: &Criteria<'_>) -> Option<Choice> {
        let all = self.candidates(now, ask);
        if all.is_empty() {
            return None;
        }
        if let Some(key) = self.by_prefix(now, ask, &all) {
            return Some(self.choice(key, ChoiceReason::Prefix));
        }
        let near: SmallVec<[UpstreamKey; 32]> = all
            .iter()
            .copied()
            .filter(|k| self.get(*k).spec.zone == ask.zone && self.has_room(now, *k))
            .collect();
        let (from, why) = if near.is_empty() {
            (&all, ChoiceReason::LeastOfTwo)
        } else {
            (&near, ChoiceReason::OwnZone)
        };
        let key = self.least_of_two(now, from, ask.random);
        Some(self.choice(key, why))
    }

    fn choice(&self, key: UpstreamKey, why: ChoiceReason) -> Choice {
        let up = self.get(key);
        Choice {
            key,
            id: up.spec.id.clone(),
            url: up.spec.url.clone(),
            reason: why,
        }
    }

    /// Returns the first upstream in the prefix's order whose load is within its bound.
    fn by_prefix(&self, now: u64, ask: &Criteria<'_>, all: &[UpstreamKey]) -> Option<UpstreamKey> {
        let prefix = ask.prefix?;
        let load: u32 = all.iter().map(|k| self.get(*k).occupancy(now)).sum();
        let bound = (load * AFFINITY_LOAD_PCT / 100).div_ceil(all.len() as u32) + 1;
        let rank = |k: &UpstreamKey| mix(prefix ^ self.get(*k).id_hash);
        let first = all.iter().copied().max_by_key(rank)?;
        let second = all.iter().copied().filter(|k| *k != first).max_by_key(rank);
        let order = std::iter::once(first).chain(second);
        let mut within = order.filter(|k| self.get(*k).occupancy(now) < bound);
        within.next()
    }

    fn least_of_two(&self, now: u64, from: &[UpstreamKey], random: u64) -> UpstreamKey {
        let len = from.len() as u64;
        let a = from[(random % len) as usize];
        let b = from[((random >> 32) % len) as usize];
        let rank = |k: UpstreamKey| {
            let up = self.get(k);
            // Reports are late, and all instances that go by them alone run to one upstream. What
            // runs there from here, times the instances, is never late.
            let own = up.inflight * self.sharers.max(1);
            (own + up.occupancy(now)) * 1000 / up.slots()
        };
        if rank(b) < rank(a) {
            b
        } else {
            a
        }
    }

    fn has_room(&self, now: u64, key: UpstreamKey) -> bool {
        let up = self.get(key);
        up.load_at.is_none() || up.occupancy(now) * 100 < up.slots() * OVERCOMMIT_PCT
    }

    /// Returns how many more requests of each priority the upstreams of a kind can take.
    pub fn capacity(&self, now: u64, kind: UpstreamKind, serves: &str) -> Capacity {
        let ask = Criteria {
            kind,
            target: serves,
            version: None,
            prefix: None,
            zone: "",
            tried: &[],
            random: 0,
        };
        let (mut slots, mut own, mut taken) = (0, 0, 0);
        for key in self.candidates(now, &ask) {
            let up = self.get(key);
            slots += if up.load_at.is_none() {
                UNKNOWN_SLOTS
            } else {
                up.slots()
            };
            own += up.inflight;
            taken += up.occupancy(now);
        }
        let sharers = self.sharers.max(1);
        let mut rooms = Capacity::default();
        for (priority, room) in rooms.0.iter_mut().enumerate() {
            let priority = priority as u32;
            let most = slots * (COMMIT_PCT + COMMIT_STEP_PCT * priority * priority) / 100;
            // Its share is an instance's whatever the late reports say. All of them filling the
            // room that the same report shows would overfill the upstreams by their number.
            let share = most.div_ceil(sharers).saturating_sub(own);
            let spare = most.saturating_sub(taken) / sharers;
            *room = share.max(spare);
        }
        rooms
    }

    /// Sets the number of instances that share the upstreams.
    pub fn set_instance_count(&mut self, sharers: usize) {
        self.sharers = sharers as u32;
    }
}
