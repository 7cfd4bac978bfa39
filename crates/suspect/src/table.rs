//! The requests that were running on upstreams when these crashed, and whether they may be sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Display, Formatter};

use crate::broken_connections::BrokenConnections;
use crate::digest::Digest;
use crate::entry::{Crash, Entry, StoredState};
use crate::recent_answers::RecentAnswers;
use crate::record::SuspectRecord;

/// Number of crashes from which a request is refused. One crash proves nothing, and after two the
/// other requests that were present at both are as likely to be the cause.
const REFUSE_FROM: usize = 3;
/// Number of crashes from which a request is not retried at another upstream within the same call.
/// Its caller may send it again, and by then all instances know of it.
const NO_RETRY_FROM: usize = 2;
/// Number of crashes from which a record is sent to all instances. With fewer it is sent to its
/// owners only, since each crash leaves dozens of requests with one crash.
const BROADCAST_FROM: usize = 2;
/// Delays before the trials of a refused request, in milliseconds since its last crash or trial. A
/// trial is worth making because upstreams get fixed, and because the request may have been present
/// by coincidence. If each trial crashes one more upstream, all of them together cost no more
/// upstreams than the request did before it was refused. After the last trial it stays refused for
/// as long as callers send it.
const TRIAL_DELAYS_MS: [u64; 3] = [5_000, 60_000, 600_000];
/// While upstreams are being checked for a crash, a caller is told to retry after this time, in
/// milliseconds. The check takes a few milliseconds if their ports answer.
const UNRESOLVED_RETRY_MS: u64 = 300;
/// A request is forgotten if no caller has sent it and nothing new was learned of it for this time,
/// in milliseconds.
const RETENTION_MS: u64 = 3_600_000;
/// How long it is remembered that a request was answered after crashes, in milliseconds: instances
/// that learn of the response late still count those crashes.
const ANSWERED_RETENTION_MS: u64 = 60_000;
/// Maximum number of requests in the table, to bound memory. Those with the fewest crashes are
/// evicted first, so that a flood of broken responses evicts no refused request.
const MAX_ENTRIES: usize = 1_024;
/// How many times an update is sent: a datagram may be lost.
const SEND_ROUNDS: u8 = 3;

/// The crashes for which a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashHistory {
    /// Incarnations of the crashed upstreams, each with the instance that observed the crash and
    /// the milliseconds since then.
    pub crashes: Vec<(String, String, u64)>,
    /// Number of trials since there were enough crashes to refuse the request.
    pub trials: u8,
    /// Milliseconds until the request may be sent again; `None` if no trial is left.
    pub retry_ms: Option<u64>,
}

impl Display for CrashHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "upstreams crashed while running this request: ")?;
        for (incarnation, seen_by, ago_ms) in &self.crashes {
            write!(f, "{incarnation} (seen by {seen_by} {ago_ms} ms ago) ")?;
        }
        write!(f, "trials={}", self.trials)
    }
}

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It may be sent as a trial, if an owner of its record grants that.
    TrialDue(CrashHistory),
    /// It must not be sent.
    Refused(CrashHistory),
}

/// A record that is to be sent to other instances.
#[derive(Clone, Copy, Debug, Default)]
struct PendingUpdate {
    rounds_left: u8,
    /// Whether all instances get it, or only the owners of the record.
    to_all: bool,
}

/// The requests that were running on upstreams when these crashed, as one instance knows them.
///
/// A few instances own the record of a request: they combine what the others report, and the first
/// of them that can be reached grants trials.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The name of this instance.
    instance: String,
    entries: HashMap<Digest, Entry>,
    broken_connections: BrokenConnections,
    recent_answers: RecentAnswers,
    pending_updates: BTreeMap<Digest, PendingUpdate>,
    /// Requests that were removed from the table but not yet from the store.
    removed: BTreeSet<Digest>,
    /// The last request of the previous page.
    page_cursor: Option<Digest>,
}

impl SuspectTable {
    /// Returns an empty table for an instance.
    pub fn new(instance: &str) -> SuspectTable {
        SuspectTable {
            instance: instance.to_string(),
            ..SuspectTable::default()
        }
    }

    /// Records that the connection of a request to an upstream broke; returns whether it should now
    /// be checked if the upstream has crashed.
    pub fn connection_broke(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        !self.recent_answers.contains(now, digest)
            && self.broken_connections.insert(now, incarnation, digest)
    }

    /// Returns whether it is not known yet if an upstream has crashed.
    pub fn is_unresolved(&mut self, now: u64, incarnation: &str) -> bool {
        self.broken_connections.contains(now, incarnation)
    }

    /// Records that an upstream has not crashed.
    pub fn upstream_alive(&mut self, incarnation: &str) {
        self.broken_connections.take(incarnation);
    }

    /// Records that an upstream has crashed, that is, ended without having announced it. Returns
    /// the requests for which the crash is newly counted.
    pub fn upstream_crashed(&mut self, now: u64, incarnation: &str) -> Vec<Digest> {
        let mut digests = self.broken_connections.take(incarnation);
        digests.retain(|digest| {
            !self.recent_answers.contains(now, *digest) && self.add_crash(now, incarnation, *digest)
        });
        digests
    }

    /// Adds a crash to a request; returns whether it is new.
    fn add_crash(&mut self, now: u64, incarnation: &str, digest: Digest) -> bool {
        let seen_by = self.instance.clone();
        let entry = self.entry(now, digest);
        let is_new = entry.add_crash(incarnation, Crash { seen_by, at: now });
        let to_all = entry.crashes.len() >= BROADCAST_FROM;
        if is_new {
            self.schedule_update(digest, to_all);
        }
        is_new
    }

    /// Records a complete response to a request; returns whether crashes counted for it until now.
    pub fn request_answered(&mut self, now: u64, digest: Digest) -> bool {
        self.recent_answers.insert(now, digest);
        self.broken_connections.remove_request(digest);
        self.clear_crashes(digest, 0)
    }

    fn clear_crashes(&mut self, digest: Digest, known_answers: u32) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let crash_count = entry.crashes.len();
        if crash_count == 0 {
            return false;
        }
        entry.clear_crashes(known_answers);
        self.schedule_update(digest, crash_count >= BROADCAST_FROM);
        true
    }

    /// Decides whether a request may be sent.
    pub fn admit(&mut self, now: u64, digest: Digest) -> Admission {
        if self.crash_count(digest) < REFUSE_FROM {
            return Admission::Allowed;
        }
        let unresolved = self.broken_connections.incarnation_count(digest) > 0;
        let entry = self.entry(now, digest);
        let trial_ms = next_trial_at(entry).map(|at| at.saturating_sub(now));
        let crashes = entry.crashes.iter();
        let crashes = crashes.map(|(incarnation, c)| {
            (
                incarnation.clone(),
                c.seen_by.clone(),
                now.saturating_sub(c.at),
            )
        });
        let mut history = CrashHistory {
            crashes: crashes.collect(),
            trials: entry.trials,
            retry_ms: trial_ms,
        };
        if unresolved {
            history.retry_ms = Some(UNRESOLVED_RETRY_MS);
            Admission::Refused(history)
        } else if trial_ms == Some(0) {
            Admission::TrialDue(history)
        } else {
            Admission::Refused(history)
        }
    }

    /// Returns whether a request may be retried at another upstream within the same call.
    pub fn may_retry(&self, digest: Digest) -> bool {
        self.crash_count(digest) < NO_RETRY_FROM
    }

    /// Returns at how many crashes a request was present, counting upstreams of which it is not
    /// known yet if they have crashed.
    fn crash_count(&self, digest: Digest) -> usize {
        let crashes = self.entries.get(&digest).map_or(0, |e| e.crashes.len());
        crashes + self.broken_connections.incarnation_count(digest)
    }

    /// Decides, at the owner that was asked, whether a trial may be made now, and counts it. The
    /// next trial is due only after its delay, so one instance at a time makes a trial.
    pub fn grant_trial(&mut self, now: u64, digest: Digest) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let is_due = next_trial_at(entry).is_some_and(|at| at <= now);
        if is_due {
            entry.trials += 1;
            entry.last_trial_at = now;
            self.schedule_update(digest, true);
        }
        is_due
    }

    /// Merges the record of another instance.
    ///
    /// If more is known here, an owner of the record (`is_owner`) schedules what it has combined
    /// from several instances to be sent, and any other instance returns its record for the sender.
    /// If the request was answered here recently, the crashes are cleared and the record that says
    /// so is returned.
    pub fn merge(
        &mut self,
        now: u64,
        record: &SuspectRecord,
        is_owner: bool,
    ) -> Option<SuspectRecord> {
        let digest = record.digest;
        let used_at = self.entries.get(&digest).map(|e| e.used_at);
        let entry = self.entry(now, digest);
        let outcome = entry.merge(now, record);
        // Records passed among instances must not keep a request in the table that no caller sends.
        if let Some(used_at) = used_at.filter(|_| !outcome.changed) {
            entry.used_at = used_at;
        }
        let to_all = entry.crashes.len() >= BROADCAST_FROM || entry.answers > 0;
        if !record.crashes.is_empty() && self.recent_answers.contains(now, digest) {
            self.clear_crashes(digest, record.answers);
            return self.record(now, digest);
        }
        if outcome.ahead && is_owner {
            self.schedule_update(digest, to_all);
        }
        let reply = outcome.ahead && !is_owner;
        reply.then(|| self.record(now, digest)).flatten()
    }

    /// Returns the records to send now, each with whether all instances get it or only its owners.
    pub fn updates_to_send(&mut self, now: u64) -> Vec<(SuspectRecord, bool)> {
        let pending = self.pending_updates.iter();
        let pending: Vec<(Digest, bool)> = pending.map(|(d, update)| (*d, update.to_all)).collect();
        self.pending_updates.retain(|_, update| {
            update.rounds_left -= 1;
            update.rounds_left > 0
        });
        let records = pending.into_iter();
        let records =
            records.filter_map(|(digest, to_all)| Some((self.record(now, digest)?, to_all)));
        records.collect()
    }

    /// Returns the records of the next refused requests in turn, for one instance: it may have been
    /// cut off, suspended or not running when they were sent. Requests with fewer crashes are left
    /// out: records of them that were missed are combined at the third crash.
    pub fn next_page(&mut self, now: u64, limit: usize) -> Vec<SuspectRecord> {
        self.expire(now);
        let refused = self.entries.iter();
        let mut refused: Vec<Digest> = refused
            .filter(|(_, e)| e.crashes.len() >= REFUSE_FROM)
            .map(|(digest, _)| *digest)
            .collect();
        refused.sort_unstable();
        let start = refused.partition_point(|d| Some(*d) <= self.page_cursor);
        refused.rotate_left(start);
        refused.truncate(limit);
        self.page_cursor = refused.last().copied();
        let records = refused.into_iter();
        records
            .filter_map(|digest| self.record(now, digest))
            .collect()
    }

    /// Returns whether the store's record of any request is out of date.
    pub fn has_unsaved(&self) -> bool {
        !self.removed.is_empty() || self.entries.values().any(is_unsaved)
    }

    /// Returns the requests whose record in the store is out of date.
    pub fn unsaved(&self) -> Vec<Digest> {
        let unsaved = self.entries.iter().filter(|(_, e)| is_unsaved(e));
        let removed = self.removed.iter().copied();
        unsaved.map(|(digest, _)| *digest).chain(removed).collect()
    }

    /// Returns the record that the store should have of a request: only refused requests must still
    /// be known after all instances were down at once.
    pub fn to_save(&self, now: u64, digest: Digest) -> Option<SuspectRecord> {
        let entry = self.entries.get(&digest)?;
        (entry.crashes.len() >= REFUSE_FROM).then(|| entry.record(now, digest))
    }

    /// Records what the store now has of a request.
    pub fn mark_saved(&mut self, digest: Digest, record: Option<&SuspectRecord>) {
        self.removed.remove(&digest);
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.stored = record.map(StoredState::of);
        }
    }

    /// Merges a record that was read from the store, and schedules it to be sent to all instances.
    /// When it was written is not known, so its crashes and its last trial count as having happened
    /// now.
    pub fn load(&mut self, now: u64, mut record: SuspectRecord) {
        record.crashes.iter_mut().for_each(|c| c.ago_ms = 0);
        record.trial_ago_ms = 0;
        let digest = record.digest;
        self.entry(now, digest).merge(now, &record);
        self.mark_saved(digest, Some(&record));
        self.schedule_update(digest, true);
    }

    /// Returns the record of a request, for another instance.
    pub fn record(&self, now: u64, digest: Digest) -> Option<SuspectRecord> {
        let entry = self.entries.get(&digest);
        entry.map(|entry| entry.record(now, digest))
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> usize {
        let refused = |e: &&Entry| e.crashes.len() >= REFUSE_FROM;
        self.entries.values().filter(refused).count()
    }

    /// Returns the records of all requests that were present at several crashes, for operators and
    /// for instances that start.
    pub fn list(&self, now: u64) -> Vec<SuspectRecord> {
        let listed = self.entries.iter();
        let listed = listed.filter(|(_, e)| e.crashes.len() >= BROADCAST_FROM);
        listed.map(|(digest, e)| e.record(now, *digest)).collect()
    }

    fn schedule_update(&mut self, digest: Digest, to_all: bool) {
        let update = self.pending_updates.entry(digest).or_default();
        update.rounds_left = SEND_ROUNDS;
        update.to_all |= to_all;
    }

    fn entry(&mut self, now: u64, digest: Digest) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&digest) {
            self.expire(now);
            self.evict_if_full();
        }
        let entry = self.entries.entry(digest).or_default();
        entry.used_at = now;
        entry
    }

    fn expire(&mut self, now: u64) {
        let is_live = |e: &Entry| {
            let retention_ms = if e.crashes.is_empty() {
                ANSWERED_RETENTION_MS
            } else {
                RETENTION_MS
            };
            now < e.used_at + retention_ms
        };
        let stored = self.entries.iter();
        let stored = stored.filter(|(_, e)| !is_live(e) && e.stored.is_some());
        self.removed.extend(stored.map(|(digest, _)| *digest));
        self.entries.retain(|_, e| is_live(e));
    }

    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least = self.entries.iter();
        let least = least.min_by_key(|(_, e)| (e.crashes.len(), e.used_at));
        let Some(digest) = least.map(|(digest, _)| *digest) else {
            return;
        };
        let evicted = self.entries.remove(&digest);
        if evicted.is_some_and(|e| e.stored.is_some()) {
            self.removed.insert(digest);
        }
    }
}

/// Returns whether the store's record of a request is out of date.
fn is_unsaved(entry: &Entry) -> bool {
    let wanted = (entry.crashes.len() >= REFUSE_FROM).then(|| entry.to_stored_state());
    wanted != entry.stored
}

/// Returns when the next trial of a request is due; `None` if no trial is left.
fn next_trial_at(entry: &Entry) -> Option<u64> {
    let delay = TRIAL_DELAYS_MS.get(usize::from(entry.trials));
    delay.map(|ms| entry.last_crash_or_trial_at() + ms)
}
