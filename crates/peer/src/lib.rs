//! Which instances there are: heartbeats to random partners, joined with the instance list.
//!
//! Suspicion changes routing and homes only. It never frees anything that another instance holds.

use std::collections::BTreeMap;

use rand::seq::{IteratorRandom, SliceRandom};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Silence after which an instance is suspected, in milliseconds.
const SUSPECT_MS: u64 = 4_000;
/// The same for each known instance, where that is more: messages are bounded, so in a larger fleet
/// each instance is heard of less often, and would be suspected for no other reason.
const SUSPECT_EACH_MS: u64 = 150;
/// Silence after which an instance is forgotten, in milliseconds.
const FORGET_MS: u64 = 120_000;
/// Heartbeats in one message: bounds its bytes, whatever the fleet's size.
const MESSAGE_MOST: usize = 24;
/// Members that a message lists whole because they changed lately.
const NEWS_MOST: usize = 8;
/// How long a change is told, in milliseconds.
const NEWS_MS: u64 = 10_000;

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It takes work.
    Live,
    /// It is stopping as planned.
    Leaving,
    /// It has stopped as planned.
    Left,
}

/// One instance as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its incarnation: name, dot, and what makes the start unique.
    pub id: String,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its peers reach it.
    pub peer_addr: String,
    /// What it says of itself.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Goes up with each of its heartbeats.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// The revision of the configuration that is in force there.
    pub revision: u64,
}

impl Member {
    /// Returns the name without the incarnation.
    pub fn name(&self) -> &str {
        self.id.split('.').next().unwrap_or_default()
    }
}

/// A heartbeat of an instance that the listener knows: a fourth of a whole member's bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat(
    /// Its incarnation.
    pub String,
    /// The heartbeat.
    pub u64,
    /// The revision of the configuration that is in force there.
    pub u64,
);

/// What one instance tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The teller first, then the instances that changed lately.
    pub members: Vec<Member>,
    /// Heartbeats of some others.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    heard_at: u64,
    changed_at: u64,
}

/// All instances that one instance knows of.
#[derive(Clone, Debug)]
pub struct Membership {
    local: Member,
    seen: BTreeMap<String, Seen>,
}

impl Membership {
    /// Opens a table that knows this instance only.
    pub fn new(me: Member) -> Membership {
        Membership {
            local: me,
            seen: BTreeMap::new(),
        }
    }

    /// Returns this instance.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Changes what this instance says of itself.
    pub fn set_status(&mut self, standing: Status) {
        self.local.status = standing;
        self.local.heartbeat += 1;
    }

    /// Changes the revision that this instance says it runs.
    pub fn set_revision(&mut self, revision: u64) {
        self.local.revision = revision;
        self.local.heartbeat += 1;
    }

    /// Beats, and returns the partner to talk to and what to tell it.
    pub fn start_round(
        &mut self,
        now: u64,
        rng: &mut impl Rng,
    ) -> Option<(Member, MembershipUpdate)> {
        self.local.heartbeat += 1;
        self.seen.retain(|_, s| now < s.heard_at + FORGET_MS);
        let partners = self
            .seen
            .values()
            .filter(|s| s.member.status != Status::Left);
        let partner = partners.choose(rng)?.member.clone();
        let tell = self.compose_update(now, rng);
        Some((partner, tell))
    }

    /// Returns what to tell a partner: oneself, the news, and some others.
    pub fn compose_update(&self, now: u64, rng: &mut impl Rng) -> MembershipUpdate {
        let suspect = self.suspect_timeout_ms();
        let live = |s: &&Seen| now < s.heard_at + suspect || s.member.status == Status::Left;
        let mut known: Vec<&Seen> = self.seen.values().filter(live).collect();
        known.sort_by_key(|s| std::cmp::Reverse(s.changed_at));
        let is_news = |s: &&&Seen| now < s.changed_at + NEWS_MS;
        let news = known.iter().take(NEWS_MOST).take_while(is_news).count();
        let mut rest = known.split_off(news);
        rest.shuffle(rng);
        rest.truncate(MESSAGE_MOST);
        let beat = |s: &Seen| Heartbeat(s.member.id.clone(), s.member.heartbeat, s.member.revision);
        let others = known.into_iter().map(|s| s.member.clone());
        MembershipUpdate {
            members: std::iter::once(self.local.clone()).chain(others).collect(),
            heartbeats: rest.into_iter().map(beat).collect(),
        }
    }

    /// Takes in what a partner told; returns the members that are new or changed their standing.
    pub fn merge(&mut self, now: u64, told: MembershipUpdate) -> Vec<Member> {
        for Heartbeat(id, beat, revision) in told.heartbeats {
            // One that is not known is told whole by somebody, or is in the instance list.
            if let Some(seen) = self.seen.get_mut(&id).filter(|s| s.member.heartbeat < beat) {
                seen.heard_at = now;
                seen.member.heartbeat = beat;
                seen.member.revision = revision;
            }
        }
        let mut news = Vec::new();
        for member in told.members {
            if member.id == self.local.id {
                continue;
            }
            match self.seen.get_mut(&member.id) {
                Some(seen) if seen.member.heartbeat >= member.heartbeat => {}
                Some(seen) => {
                    seen.heard_at = now;
                    if seen.member.status != member.status {
                        seen.changed_at = now;
                        news.push(member.clone());
                    }
                    seen.member = member;
                }
                None => {
                    news.push(member.clone());
                    self.insert(now, member);
                }
            }
        }
        news
    }

    /// Takes in the instance list: it introduces instances, but never speaks for their health.
    pub fn add_listed(&mut self, now: u64, listed: Vec<Member>) {
        for member in listed {
            if member.id != self.local.id && !self.seen.contains_key(&member.id) {
                self.insert(now, member);
            }
        }
    }

    fn insert(&mut self, now: u64, member: Member) {
        let seen = Seen {
            member,
            heard_at: now,
            changed_at: now,
        };
        self.seen.insert(seen.member.id.clone(), seen);
    }

    /// Returns the silence after which an instance is suspected, in milliseconds.
    pub fn suspect_timeout_ms(&self) -> u64 {
        SUSPECT_MS.max(self.seen.len() as u64 * SUSPECT_EACH_MS)
    }

    /// Returns the instances that take work, this one among them unless it is leaving.
    pub fn live(&self, now: u64) -> Vec<Member> {
        let suspect = self.suspect_timeout_ms();
        let fresh = |s: &&Seen| now < s.heard_at + suspect;
        let live = self.seen.values().filter(fresh).map(|s| &s.member);
        let all = std::iter::once(&self.local).chain(live);
        all.filter(|m| m.status == Status::Live).cloned().collect()
    }

    /// Returns an instance by its incarnation.
    pub fn get(&self, id: &str) -> Option<&Member> {
        if id == self.local.id {
            return Some(&self.local);
        }
        self.seen.get(id).map(|s| &s.member)
    }

    /// Returns the instances that are silent, or have left.
    pub fn silent_or_left(&self, now: u64) -> Vec<String> {
        let suspect = self.suspect_timeout_ms();
        let gone = |s: &&Seen| now >= s.heard_at + suspect || s.member.status == Status::Left;
        let ids = self.seen.values().filter(gone);
        ids.map(|s| s.member.id.clone()).collect()
    }

    /// Returns all instances with the milliseconds since each was heard.
    pub fn all(&self, now: u64) -> Vec<(Member, u64)> {
        let row = |s: &Seen| (s.member.clone(), now - s.heard_at.min(now));
        let others = self.seen.values().map(row);
        std::iter::once((self.local.clone(), 0))
            .chain(others)
            .collect()
    }
}
