//! Membership of instances, by gossip of heartbeats and by the instance list.
//!
//! That an instance is suspected to have failed affects only routing and the choice of homes. It never
//! releases anything that the instance holds.

use std::collections::BTreeMap;

use rand::seq::{IteratorRandom, SliceRandom};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Minimum time without a new heartbeat after which an instance is suspected, in milliseconds.
const MIN_SUSPECT_TIMEOUT_MS: u64 = 4_000;
/// The same timeout per known instance, which applies if the total is longer. The size of updates is
/// limited, so in a larger fleet the heartbeats of each instance arrive less often. With a fixed timeout,
/// running instances would be suspected.
const SUSPECT_TIMEOUT_PER_MEMBER_MS: u64 = 150;
/// Time without a new heartbeat after which an instance is forgotten, in milliseconds.
const FORGET_TIMEOUT_MS: u64 = 120_000;
/// Maximum number of heartbeats in an update, which limits its size in a fleet of any size.
const MAX_HEARTBEATS: usize = 24;
/// Maximum number of recently changed members that an update contains completely.
const MAX_CHANGED_MEMBERS: usize = 8;
/// How long a changed member counts as recently changed, in milliseconds.
const RECENT_CHANGE_MS: u64 = 10_000;

/// Status of an instance, as it reports it itself.
///
/// The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It accepts requests.
    Live,
    /// It is in a planned stop.
    Leaving,
    /// It has completed a planned stop.
    Left,
}

/// An instance as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation: the name, a dot and a unique id of the start.
    pub id: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for its peers.
    pub peer_addr: String,
    /// Status.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Counter that the instance increments with each heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Revision of the configuration that is in force there.
    pub revision: u64,
}

impl Member {
    /// Returns the name of the instance without the id of its start.
    pub fn name(&self) -> &str {
        self.id.split('.').next().unwrap_or_default()
    }
}

/// A heartbeat of an instance that the receiver already knows: a quarter of the size of a [`Member`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat(
    /// Incarnation.
    pub String,
    /// Counter of heartbeats.
    pub u64,
    /// Revision of the configuration that is in force there.
    pub u64,
);

/// A gossip update about members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The sender first, then recently changed instances.
    pub members: Vec<Member>,
    /// Heartbeats of a random selection of the other instances.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
}

#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    /// When its last new heartbeat was received.
    heard_at: u64,
    /// When it was added, or its status changed.
    changed_at: u64,
}

/// The instances that this instance knows, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    local: Member,
    known: BTreeMap<String, KnownMember>,
}

impl Membership {
    /// Creates a membership that contains this instance only.
    pub fn new(local: Member) -> Membership {
        Membership {
            local,
            known: BTreeMap::new(),
        }
    }

    /// Returns this instance.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Changes the status of this instance.
    pub fn set_status(&mut self, status: Status) {
        self.local.status = status;
        self.local.heartbeat += 1;
    }

    /// Changes the configuration revision of this instance.
    pub fn set_revision(&mut self, revision: u64) {
        self.local.revision = revision;
        self.local.heartbeat += 1;
    }

    /// Starts a gossip round: increments the heartbeat of this instance, and returns a random partner
    /// with the update to send to it.
    pub fn start_round(
        &mut self,
        now: u64,
        rng: &mut impl Rng,
    ) -> Option<(Member, MembershipUpdate)> {
        self.local.heartbeat += 1;
        self.known
            .retain(|_, k| now < k.heard_at + FORGET_TIMEOUT_MS);
        let partners = self
            .known
            .values()
            .filter(|k| k.member.status != Status::Left);
        let partner = partners.choose(rng)?.member.clone();
        let update = self.compose_update(now, rng);
        Some((partner, update))
    }

    /// Returns the update to send to a partner: this instance, recently changed members, and heartbeats
    /// of some others. Suspected instances are left out.
    pub fn compose_update(&self, now: u64, rng: &mut impl Rng) -> MembershipUpdate {
        let timeout = self.suspect_timeout_ms();
        let is_sent =
            |k: &&KnownMember| now < k.heard_at + timeout || k.member.status == Status::Left;
        let mut changed: Vec<&KnownMember> = self.known.values().filter(is_sent).collect();
        changed.sort_by_key(|k| std::cmp::Reverse(k.changed_at));
        let is_recent = |k: &&&KnownMember| now < k.changed_at + RECENT_CHANGE_MS;
        let count = changed
            .iter()
            .take(MAX_CHANGED_MEMBERS)
            .take_while(is_recent)
            .count();
        let mut rest = changed.split_off(count);
        rest.shuffle(rng);
        rest.truncate(MAX_HEARTBEATS);
        let heartbeat =
            |k: &KnownMember| Heartbeat(k.member.id.clone(), k.member.heartbeat, k.member.revision);
        let changed = changed.into_iter().map(|k| k.member.clone());
        MembershipUpdate {
            members: std::iter::once(self.local.clone()).chain(changed).collect(),
            heartbeats: rest.into_iter().map(heartbeat).collect(),
        }
    }

    /// Merges an update from a partner; returns the members that are new or whose status changed.
    pub fn merge(&mut self, now: u64, update: MembershipUpdate) -> Vec<Member> {
        for Heartbeat(id, heartbeat, revision) in update.heartbeats {
            // Unknown instances arrive as complete members in another update, or in the instance list.
            let known = self.known.get_mut(&id);
            if let Some(known) = known.filter(|k| k.member.heartbeat < heartbeat) {
                known.heard_at = now;
                known.member.heartbeat = heartbeat;
                known.member.revision = revision;
            }
        }
        let mut changed = Vec::new();
        for member in update.members {
            if member.id == self.local.id {
                continue;
            }
            match self.known.get_mut(&member.id) {
                Some(known) if known.member.heartbeat >= member.heartbeat => {}
                Some(known) => {
                    known.heard_at = now;
                    if known.member.status != member.status {
                        known.changed_at = now;
                        changed.push(member.clone());
                    }
                    known.member = member;
                }
                None => {
                    changed.push(member.clone());
                    self.insert(now, member);
                }
            }
        }
        changed
    }

    /// Adds the instances of the instance list that are not known yet; returns these. The list does
    /// not show whether the known ones are running.
    pub fn add_listed(&mut self, now: u64, listed: Vec<Member>) -> Vec<Member> {
        let mut added = Vec::new();
        for member in listed {
            if member.id != self.local.id && !self.known.contains_key(&member.id) {
                added.push(member.clone());
                self.insert(now, member);
            }
        }
        added
    }

    fn insert(&mut self, now: u64, member: Member) {
        let known = KnownMember {
            member,
            heard_at: now,
            changed_at: now,
        };
        self.known.insert(known.member.id.clone(), known);
    }

    /// Returns the time without a new heartbeat after which an instance is suspected, in milliseconds.
    pub fn suspect_timeout_ms(&self) -> u64 {
        MIN_SUSPECT_TIMEOUT_MS.max(self.known.len() as u64 * SUSPECT_TIMEOUT_PER_MEMBER_MS)
    }

    /// Returns the instances that accept requests and are not suspected, including this one unless it is
    /// leaving.
    pub fn live(&self, now: u64) -> Vec<Member> {
        let timeout = self.suspect_timeout_ms();
        let is_heard = |k: &&KnownMember| now < k.heard_at + timeout;
        let heard = self.known.values().filter(is_heard).map(|k| &k.member);
        let all = std::iter::once(&self.local).chain(heard);
        all.filter(|m| m.status == Status::Live).cloned().collect()
    }

    /// Returns the other instances that do not accept requests or are suspected, but not forgotten.
    pub fn absent(&self, now: u64) -> Vec<Member> {
        let timeout = self.suspect_timeout_ms();
        let is_absent =
            |k: &&KnownMember| now >= k.heard_at + timeout || k.member.status != Status::Live;
        let absent = self.known.values().filter(is_absent);
        absent.map(|k| k.member.clone()).collect()
    }

    /// Returns the instance with an incarnation.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if id == self.local.id {
            return Some(&self.local);
        }
        self.known.get(id).map(|k| &k.member)
    }

    /// Returns the incarnations of the instances that are suspected or have left.
    pub fn silent_or_left(&self, now: u64) -> Vec<String> {
        let timeout = self.suspect_timeout_ms();
        let is_gone =
            |k: &&KnownMember| now >= k.heard_at + timeout || k.member.status == Status::Left;
        let gone = self.known.values().filter(is_gone);
        gone.map(|k| k.member.id.clone()).collect()
    }

    /// Returns all instances, each with the milliseconds since its last new heartbeat.
    pub fn all(&self, now: u64) -> Vec<(Member, u64)> {
        let with_silence = |k: &KnownMember| (k.member.clone(), now - k.heard_at.min(now));
        let others = self.known.values().map(with_silence);
        std::iter::once((self.local.clone(), 0))
            .chain(others)
            .collect()
    }
}
