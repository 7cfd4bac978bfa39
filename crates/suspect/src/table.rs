//! The requests under which upstreams have ended, and what follows for them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Display, Formatter};

use crate::answered::Answered;
use crate::broken::Broken;
use crate::digest::Digest;
use crate::entry::{End, Entry, Saved};
use crate::record::SuspectRecord;

/// A request under which so many upstreams have ended is not sent any more: one end says nothing, and of two the
/// other requests that were at both are as likely.
const REFUSED_FROM: usize = 3;
/// One under which so many have ended is not sent to another one in the same try: its caller may come back, and by
/// then it is known everywhere.
const ONCE_FROM: usize = 2;
/// All instances hear of a request under which so many have ended; of one end only those that keep it, since each upstream
/// that ends leaves dozens of requests with one.
const ALL_HEAR_FROM: usize = 2;
/// A request that is refused is tried once so long after the last end, in milliseconds, then after these times: upstreams get
/// mended, and it may have been there by chance. If it ends one more each time, all of them together are no more than it
/// cost before it was known; then it is refused as long as it comes.
const TRIED_AFTER_MS: [u64; 3] = [5_000, 60_000, 600_000];
/// While it is found out whether upstreams have ended, a caller comes back after this time, in milliseconds: that takes some
/// milliseconds where their ports answer.
const UNSURE_MS: u64 = 300;
/// One that nobody has asked for in this time is forgotten, in milliseconds.
const KEEP_MS: u64 = 3_600_000;
/// That a request was answered is kept for so long, in milliseconds, for instances that hear late of it.
const KEEP_ANSWERED_MS: u64 = 60_000;
/// Requests that are kept, bounding memory. What goes first are those with the fewest ends, so that a flood of broken
/// answers pushes out no request that is refused.
const MOST: usize = 1_024;
/// A word is told so many times: a datagram may be lost.
const ROUNDS: u8 = 3;

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashHistory {
    /// The incarnations of upstreams that ended under it, with the instances that saw it and how many milliseconds ago.
    pub crashes: Vec<(String, String, u64)>,
    /// How often it was tried since.
    pub trials: u8,
    /// When it will be tried again, in milliseconds from now; none when it won't be.
    pub retry_ms: Option<u64>,
}

impl Display for CrashHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "upstreams ended under this request: ")?;
        for (incarnation, by, ago_ms) in &self.crashes {
            write!(f, "{incarnation} (seen by {by} {ago_ms} ms ago) ")?;
        }
        write!(f, "trials={}", self.trials)
    }
}

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent.
    Allowed,
    /// It may be tried, if the instance that keeps it agrees.
    TrialDue(CrashHistory),
    /// It is not sent.
    Refused(CrashHistory),
}

/// A word that is to be told.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    rounds: u8,
    /// To all instances, or those that keep the request only.
    all: bool,
}

/// The requests under which upstreams have ended, as one instance knows them.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The instance.
    me: String,
    entries: HashMap<Digest, Entry>,
    broken: Broken,
    answered: Answered,
    due: BTreeMap<Digest, Due>,
    /// Requests that are forgotten here and stand in the store.
    stale: BTreeSet<Digest>,
    /// The request that was told last in turn.
    turn: Option<Digest>,
}

impl SuspectTable {
    /// Returns an instance's empty table.
    pub fn new(me: &str) -> SuspectTable {
        SuspectTable {
            me: me.to_string(),
            ..SuspectTable::default()
        }
    }

    /// Notes that the connection of a request broke at an incarnation of an upstream; returns whether it is to be found out now
    /// if that has ended.
    pub fn connection_broke(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        !self.answered.has(now, digest) && self.broken.note(now, incarnation, digest)
    }

    /// Returns whether it is still to be found out if an incarnation has ended.
    pub fn is_unresolved(&mut self, now: u64, incarnation: &str) -> bool {
        self.broken.has(now, incarnation)
    }

    /// Takes that an incarnation has not ended.
    pub fn upstream_alive(&mut self, incarnation: &str) {
        self.broken.take(incarnation);
    }

    /// Takes that an incarnation has ended without having said so before; returns the requests that were there.
    pub fn upstream_crashed(&mut self, now: u64, incarnation: &str) -> Vec<Digest> {
        let mut there = self.broken.take(incarnation);
        there.retain(|digest| {
            !self.answered.has(now, *digest) && self.end(now, incarnation, *digest)
        });
        there
    }

    /// Notes an end; returns whether it is new.
    fn end(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        let by = self.me.clone();
        let entry = self.entry(now, digest);
        let news = entry.end(incarnation, End { by, at: now });
        let all = entry.ends.len() >= ALL_HEAR_FROM;
        if news {
            self.tell(digest, all);
        }
        news
    }

    /// Notes a whole answer to a request; returns whether ends were held against it until now.
    pub fn request_answered(&mut self, now: u64, digest: Digest) -> bool {
        self.answered.note(now, digest);
        self.broken.forget(digest);
        self.clear(digest, 0)
    }

    fn clear(&mut self, digest: Digest, after: u32) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let held = entry.ends.len();
        if held == 0 {
            return false;
        }
        entry.clear(after);
        self.tell(digest, held >= ALL_HEAR_FROM);
        true
    }

    /// Returns what happens to a request that comes.
    pub fn admit(&mut self, now: u64, digest: Digest) -> Admission {
        if self.count(digest) < REFUSED_FROM {
            return Admission::Allowed;
        }
        let unsure = self.broken.count(digest) > 0;
        let entry = self.entry(now, digest);
        let trial_ms = next_trial(entry).map(|at| at.saturating_sub(now));
        let ends = entry.ends.iter();
        let ends = ends
            .map(|(incarnation, e)| (incarnation.clone(), e.by.clone(), now.saturating_sub(e.at)));
        let mut blame = CrashHistory {
            crashes: ends.collect(),
            trials: entry.trials,
            retry_ms: trial_ms,
        };
        if unsure {
            blame.retry_ms = Some(UNSURE_MS);
            Admission::Refused(blame)
        } else if trial_ms == Some(0) {
            Admission::TrialDue(blame)
        } else {
            Admission::Refused(blame)
        }
    }

    /// Returns whether a request may be sent to another upstream in the same try.
    pub fn may_retry(&self, digest: Digest) -> bool {
        self.count(digest) < ONCE_FROM
    }

    /// Returns at how many upstreams' ends a request was there, those among them of which it is not known yet.
    fn count(&self, digest: Digest) -> usize {
        let ends = self.entries.get(&digest).map_or(0, |e| e.ends.len());
        ends + self.broken.count(digest)
    }

    /// Decides, at the instance that keeps a request, whether it is tried now: one instance at a time, and no other one for
    /// long.
    pub fn grant_trial(&mut self, now: u64, digest: Digest) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let due = next_trial(entry).is_some_and(|at| at <= now);
        if due {
            entry.trials += 1;
            entry.tried_at = now;
            self.tell(digest, true);
        }
        due
    }

    /// Takes the word of another instance; `keeps` says whether this one keeps the request, and tells all what comes to it
    /// from several. Returns what the other one lacks.
    pub fn merge(&mut self, now: u64, word: &SuspectRecord, keeps: bool) -> Option<SuspectRecord> {
        let digest = word.digest;
        let used_at = self.entries.get(&digest).map(|e| e.used_at);
        let entry = self.entry(now, digest);
        let merged = entry.merge(now, word);
        // Words that go round among instances keep nothing that nobody asks for.
        if let Some(used_at) = used_at.filter(|_| !merged.news) {
            entry.used_at = used_at;
        }
        let all = entry.ends.len() >= ALL_HEAR_FROM || entry.answers > 0;
        if !word.crashes.is_empty() && self.answered.has(now, digest) {
            self.clear(digest, word.answers);
            return self.record(now, digest);
        }
        if merged.more && keeps {
            self.tell(digest, all);
        }
        let lacks = merged.more && !keeps;
        lacks.then(|| self.record(now, digest)).flatten()
    }

    /// Returns what is to be told now, each with whether all instances are told, or those that keep it.
    pub fn updates_to_send(&mut self, now: u64) -> Vec<(SuspectRecord, bool)> {
        let due: Vec<(Digest, bool)> = self.due.iter().map(|(d, due)| (*d, due.all)).collect();
        self.due.retain(|_, due| {
            due.rounds -= 1;
            due.rounds > 0
        });
        let words = due.into_iter();
        let words = words.filter_map(|(digest, all)| Some((self.record(now, digest)?, all)));
        words.collect()
    }

    /// Returns the next requests in turn that are refused, for one instance: it may have been cut off, frozen or not there
    /// when it was told. Those with fewer ends are not worth it: what is missed of them the third end brings together.
    pub fn next_page(&mut self, now: u64, most: usize) -> Vec<SuspectRecord> {
        self.expire(now);
        let known = self.entries.iter();
        let mut known: Vec<Digest> = known
            .filter(|(_, e)| e.ends.len() >= REFUSED_FROM)
            .map(|(digest, _)| *digest)
            .collect();
        known.sort_unstable();
        let at = known.partition_point(|d| Some(*d) <= self.turn);
        known.rotate_left(at);
        known.truncate(most);
        self.turn = known.last().copied();
        let words = known.into_iter();
        words
            .filter_map(|digest| self.record(now, digest))
            .collect()
    }

    /// Returns whether the store has something else of some request than it should.
    pub fn has_unsaved(&self) -> bool {
        !self.stale.is_empty() || self.entries.values().any(is_unsaved)
    }

    /// Returns the requests of which the store has something else than it should.
    pub fn unsaved(&self) -> Vec<Digest> {
        let unsaved = self.entries.iter().filter(|(_, e)| is_unsaved(e));
        let stale = self.stale.iter().copied();
        unsaved.map(|(digest, _)| *digest).chain(stale).collect()
    }

    /// Returns what the store should have of a request: only what is refused must be known after all instances have ended.
    pub fn to_save(&self, now: u64, digest: Digest) -> Option<SuspectRecord> {
        let entry = self.entries.get(&digest)?;
        (entry.ends.len() >= REFUSED_FROM).then(|| entry.word(now, digest))
    }

    /// Notes what the store has of a request.
    pub fn mark_saved(&mut self, digest: Digest, word: Option<&SuspectRecord>) {
        self.stale.remove(&digest);
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.saved = word.map(Saved::of);
        }
    }

    /// Takes what the store has of a request, and has the others told. When it was written isn't known: it counts as new.
    pub fn load(&mut self, now: u64, mut word: SuspectRecord) {
        word.crashes.iter_mut().for_each(|e| e.ago_ms = 0);
        word.trial_ago_ms = 0;
        let digest = word.digest;
        self.entry(now, digest).merge(now, &word);
        self.mark_saved(digest, Some(&word));
        self.tell(digest, true);
    }

    /// Returns what is known of a request, for another instance.
    pub fn record(&self, now: u64, digest: Digest) -> Option<SuspectRecord> {
        let entry = self.entries.get(&digest);
        entry.map(|entry| entry.word(now, digest))
    }

    /// Returns how many requests are refused.
    pub fn refused_count(&self) -> usize {
        let refused = |e: &&Entry| e.ends.len() >= REFUSED_FROM;
        self.entries.values().filter(refused).count()
    }

    /// Returns all that several upstreams have ended under, for operators.
    pub fn list(&self, now: u64) -> Vec<SuspectRecord> {
        let listed = self.entries.iter();
        let listed = listed.filter(|(_, e)| e.ends.len() >= ALL_HEAR_FROM);
        listed.map(|(digest, e)| e.word(now, *digest)).collect()
    }

    fn tell(&mut self, digest: Digest, all: bool) {
        let due = self.due.entry(digest).or_default();
        due.rounds = ROUNDS;
        due.all |= all;
    }

    fn entry(&mut self, now: u64, digest: Digest) -> &mut Entry {
        if self.entries.len() >= MOST && !self.entries.contains_key(&digest) {
            self.expire(now);
            self.drop_least();
        }
        let entry = self.entries.entry(digest).or_default();
        entry.used_at = now;
        entry
    }

    fn expire(&mut self, now: u64) {
        let keeps = |e: &Entry| {
            let keep_ms = if e.ends.is_empty() {
                KEEP_ANSWERED_MS
            } else {
                KEEP_MS
            };
            now < e.used_at + keep_ms
        };
        let saved = self.entries.iter();
        let saved = saved.filter(|(_, e)| !keeps(e) && e.saved.is_some());
        self.stale.extend(saved.map(|(digest, _)| *digest));
        self.entries.retain(|_, e| keeps(e));
    }

    fn drop_least(&mut self) {
        if self.entries.len() < MOST {
            return;
        }
        let least = self.entries.iter();
        let least = least.min_by_key(|(_, e)| (e.ends.len(), e.used_at));
        let Some(digest) = least.map(|(digest, _)| *digest) else {
            return;
        };
        let dropped = self.entries.remove(&digest);
        if dropped.is_some_and(|e| e.saved.is_some()) {
            self.stale.insert(digest);
        }
    }
}

/// Returns whether the store has something else of a request than it should.
fn is_unsaved(entry: &Entry) -> bool {
    let wanted = (entry.ends.len() >= REFUSED_FROM).then(|| entry.image());
    wanted != entry.saved
}

/// Returns when a request may be tried; none when it won't be any more.
fn next_trial(entry: &Entry) -> Option<u64> {
    let wait = TRIED_AFTER_MS.get(usize::from(entry.trials));
    wait.map(|ms| entry.last_at() + ms)
}
