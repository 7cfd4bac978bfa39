//! The requests and segments that were present when upstreams crashed, and whether they may be sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Display, Formatter};

use crate::broken_connections::{BrokenConnections, Present};
use crate::digest::Digest;
use crate::entry::{Crash, Entry, Stage, StoredState};
use crate::outcomes::Outcomes;
use crate::recent_answers::RecentAnswers;
use crate::record::SuspectRecord;
use crate::segment::Segment;
use crate::subject::Subject;
use crate::survivals::Survivals;
use crate::verdicts::{is_significant, refused_segments, stage, RefusedRequest};

/// Number of crashes from which a request is refused. One crash proves nothing, and after two the
/// other requests that were present at both are as likely to be the cause.
const REFUSE_FROM: usize = 3;
/// Number of crashes from which a request is not retried at another upstream within the same call.
/// Its caller may send it again, and by then all instances know of it.
const NO_RETRY_FROM: usize = 2;
/// Number of crashes from which a record is sent to all instances. With fewer it is sent to its
/// owners only, since each crash leaves dozens of requests with one crash.
const BROADCAST_FROM: usize = 2;
/// Delays before the trials of a refused subject, in milliseconds since its last crash or trial. A
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
/// How many times all instances are asked whether a segment has survived: any answer suffices.
const ASK_ROUNDS: u8 = 1;

/// The crashes for which a subject is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashHistory {
    /// Incarnations of the crashed upstreams, each with the instance that observed the crash and
    /// the milliseconds since then.
    pub crashes: Vec<(String, String, u64)>,
    /// Number of trials since there were enough crashes to refuse the subject.
    pub trials: u8,
    /// Milliseconds until the subject may be sent again; `None` if no trial is left.
    pub retry_ms: Option<u64>,
}

impl CrashHistory {
    /// Returns the text that lists the crashes and the number of trials.
    pub fn list(&self) -> String {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(incarnation, seen_by, ago_ms)| {
            format!("{incarnation} (seen by {seen_by} {ago_ms} ms ago) ")
        });
        format!("{}trials={}", crashes.collect::<String>(), self.trials)
    }
}

impl Display for CrashHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let list = self.list();
        write!(f, "upstreams crashed while running this request: {list}")
    }
}

/// Why a segment is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The segment.
    pub segment: Segment,
    /// Its crashes.
    pub history: CrashHistory,
    /// Milliseconds since it survived at this instance; none if it is not known to have.
    pub survived_ago_ms: Option<u64>,
    /// Whether it had survived somewhere before the crashes.
    pub was_sound: bool,
}

/// Why a segment is no longer refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It has survived.
    Survived,
    /// It had survived before the crashes, which are too few for that.
    WasSound,
    /// Nobody has sent it for a long time, or the table is full.
    Forgotten,
}

/// The segments that are refused, or no longer refused, since the last time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictChanges {
    /// Why segments are refused.
    pub refused: Vec<Verdict>,
    /// Why segments are no longer refused.
    pub withdrawn: Vec<(Segment, Withdrawal)>,
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

/// What was running on an upstream when it crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashObservation {
    /// The requests and segments for which the crash is newly counted.
    pub counted: Vec<Subject>,
    /// The segments of the requests that had not survived there, with the milliseconds since each has
    /// survived elsewhere, as this instance knows; none if it is not known to have.
    pub waiting: Vec<(Segment, Option<u64>)>,
}

/// A record that is to be sent to other instances.
#[derive(Clone, Copy, Debug, Default)]
struct PendingUpdate {
    rounds_left: u8,
    /// Whether all instances get it, or only the owners of the record.
    to_all: bool,
}

/// The requests and segments that were present when upstreams crashed, as one instance knows them.
///
/// A few instances own the record of a subject: they combine what the others report, and the first
/// of them that can be reached grants trials.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The name of this instance.
    instance: String,
    entries: HashMap<Subject, Entry>,
    broken_connections: BrokenConnections,
    recent_answers: RecentAnswers,
    survivals: Survivals,
    /// What became of the segments in the requests for each service.
    outcomes: HashMap<u64, Outcomes>,
    pending_updates: BTreeMap<Subject, PendingUpdate>,
    /// Requests that were removed from the table but not yet from the store.
    removed: BTreeSet<Subject>,
    /// The refused segments of which the caller of this table knows.
    reported: Vec<Segment>,
    /// The last request of the previous page.
    page_cursor: Option<Subject>,
}

impl SuspectTable {
    /// Returns an empty table for an instance.
    pub fn new(instance: &str) -> SuspectTable {
        SuspectTable {
            instance: instance.to_string(),
            ..SuspectTable::default()
        }
    }

    /// Records that the connection of a request to an upstream broke, or that of an unknown request with a
    /// segment before it had survived; returns whether it should now be checked if the upstream has
    /// crashed.
    pub fn connection_broke(&mut self, now: u64, incarnation: &str, subject: Subject) -> bool {
        !self.recent_answers.contains(now, subject)
            && self
                .broken_connections
                .insert(now, incarnation, subject, None)
    }

    /// Records that the connection of a request with a segment broke before it had survived; returns whether
    /// it should now be checked if the upstream has crashed.
    pub fn segment_lost(
        &mut self,
        now: u64,
        incarnation: &str,
        segment: Segment,
        request: Digest,
    ) -> bool {
        let subject = Subject::Segment(segment);
        self.broken_connections
            .insert(now, incarnation, subject, Some(request.tag()))
    }

    /// Returns whether it is not known yet if an upstream has crashed.
    pub fn is_unresolved(&mut self, now: u64, incarnation: &str) -> bool {
        self.broken_connections.is_unresolved(now, incarnation)
    }

    /// Records that an upstream has not crashed.
    pub fn upstream_alive(&mut self, now: u64, incarnation: &str) {
        self.broken_connections.take(now, incarnation);
    }

    /// Records that something listens on the address of an upstream again, after connections to it had
    /// failed: the upstream list will show whether that is another incarnation.
    pub fn upstream_listens_again(&mut self, incarnation: &str) {
        self.broken_connections.set_listens_again(incarnation);
    }

    /// Records that an upstream has crashed, that is, ended without having announced it. Returns
    /// what was running there.
    ///
    /// The crash counts from when the connections broke: that it was one may become known seconds later.
    pub fn upstream_crashed(&mut self, now: u64, incarnation: &str) -> CrashObservation {
        let mut observation = CrashObservation::default();
        for present in self.broken_connections.take(now, incarnation) {
            let Present {
                subject, broke_at, ..
            } = present;
            let answered = match subject {
                Subject::Request(_) => self.recent_answers.contains(now, subject),
                Subject::Segment(segment) => {
                    let age = self.survivals.age(now, segment);
                    observation.waiting.push((segment, age));
                    let outcomes = self.outcomes.entry(segment.service()).or_default();
                    outcomes.record_lost(now, 1);
                    self.survivals.is_recent(broke_at, segment)
                }
            };
            let crash = Crash {
                seen_by: self.instance.clone(),
                at: broke_at,
                requests: present.requests,
            };
            if !answered && self.add_crash(now, incarnation, subject, crash) {
                observation.counted.push(subject);
            }
        }
        observation
    }

    /// Records that a response to a request with these segments went on after it had begun; returns
    /// those for which crashes counted until now.
    pub fn segments_survived(&mut self, now: u64, segments: &[Segment]) -> Vec<Segment> {
        for segment in segments {
            self.survivals.insert(now, *segment);
        }
        let cleared = segments.iter().copied();
        let cleared: Vec<Segment> = cleared
            .filter(|segment| self.clear_crashes(Subject::Segment(*segment), 0))
            .collect();
        if let Some(service) = segments.first().map(Segment::service) {
            let outcomes = self.outcomes.entry(service).or_default();
            outcomes.record_survived(now, segments.len());
            self.judge_service(service);
        }
        cleared
    }

    /// Judges the crashes of a service's segments anew, and schedules the records of those that were observed
    /// here and are refused by now.
    fn judge_service(&mut self, service: u64) {
        let subjects = self.entries.keys().copied();
        let subjects: Vec<Subject> = subjects
            .filter(|s| matches!(s, Subject::Segment(s) if s.service() == service))
            .collect();
        for subject in subjects {
            if !self.judge(subject) {
                continue;
            }
            let crashes = &self.entries[&subject].crashes;
            if crashes.values().any(|c| c.seen_by == self.instance) {
                self.schedule_update(subject, false, SEND_ROUNDS);
            }
        }
    }

    /// Judges whether the crashes of a segment are significant; returns whether they were not before.
    fn judge(&mut self, subject: Subject) -> bool {
        let Subject::Segment(segment) = subject else {
            return false;
        };
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        let Some(first_crash_at) = entry.first_crash_at().filter(|_| !entry.significant) else {
            return false;
        };
        let observed_here = entry
            .crashes
            .values()
            .filter(|c| c.seen_by == self.instance);
        let outcomes = self.outcomes.get(&segment.service());
        let lost_share = outcomes.and_then(|o| o.lost_share(first_crash_at, observed_here.count()));
        let were_known = outcomes.is_some_and(|o| o.were_known(first_crash_at));
        entry.significant = is_significant(entry, lost_share, were_known);
        entry.significant
    }

    /// Adds a crash to a subject; returns whether it is new.
    fn add_crash(&mut self, now: u64, incarnation: &str, subject: Subject, crash: Crash) -> bool {
        let entry = self.entry(now, subject);
        let is_new = entry.add_crash(incarnation, crash);
        let to_all = match subject {
            Subject::Request(_) => entry.crashes.len() >= BROADCAST_FROM,
            Subject::Segment(_) => false,
        };
        if is_new {
            self.add_local_survivals(now, subject);
            self.schedule_update(subject, to_all, SEND_ROUNDS);
        }
        is_new
    }

    /// Adds to the entry of a segment what this instance knows of survivals; returns whether that is
    /// new.
    fn add_local_survivals(&mut self, now: u64, subject: Subject) -> bool {
        let Subject::Segment(segment) = subject else {
            return false;
        };
        let was_sound = self.survivals.age(now, segment).is_some();
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        if entry.crashes.is_empty() {
            return false;
        }
        let is_new = was_sound && !entry.was_sound;
        entry.was_sound |= was_sound;
        self.judge(subject) || is_new
    }

    /// Records a complete response to a request; returns whether crashes counted for it until now.
    pub fn request_answered(&mut self, now: u64, subject: Subject) -> bool {
        self.recent_answers.insert(now, subject);
        self.broken_connections.remove(subject);
        self.clear_crashes(subject, 0)
    }

    /// Clears the crashes of a subject, and schedules that to be sent; returns whether there were any.
    fn clear_crashes(&mut self, subject: Subject, known_answers: u32) -> bool {
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        let crash_count = entry.crashes.len();
        if crash_count == 0 {
            return false;
        }
        entry.clear_crashes(known_answers);
        let to_all = match subject {
            Subject::Request(_) => crash_count >= BROADCAST_FROM,
            Subject::Segment(_) => false,
        };
        self.schedule_update(subject, to_all, SEND_ROUNDS);
        true
    }

    /// Decides whether a subject may be sent.
    pub fn admit(&mut self, now: u64, subject: Subject) -> Admission {
        if !self.is_refused(subject) {
            return Admission::Allowed;
        }
        let unresolved = match subject {
            Subject::Request(_) => self.broken_connections.unresolved_count(subject) > 0,
            Subject::Segment(_) => false,
        };
        let entry = self.entry(now, subject);
        let mut history = crash_history(now, entry);
        if unresolved {
            history.retry_ms = Some(UNRESOLVED_RETRY_MS);
            Admission::Refused(history)
        } else if history.retry_ms == Some(0) {
            Admission::TrialDue(history)
        } else {
            Admission::Refused(history)
        }
    }

    /// Returns whether a subject is refused, unless a trial is due.
    pub fn is_refused(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(_) => self.crash_count(subject) >= REFUSE_FROM,
            Subject::Segment(segment) => {
                let entry = self.entries.get(&subject);
                let may_be = entry.is_some_and(|e| stage(e).is_suspect());
                may_be && self.refused_segments().contains(&segment)
            }
        }
    }

    /// Returns the verdicts that have changed since the last call of this method.
    pub fn take_verdicts(&mut self, now: u64) -> VerdictChanges {
        let refused = self.confirm_verdicts();
        let before = std::mem::replace(&mut self.reported, refused.clone());
        let ended = before.iter().filter(|s| !refused.contains(s));
        let withdrawn = ended.map(|segment| (*segment, self.withdrawal(*segment)));
        let withdrawn = withdrawn.collect();
        let new = refused.into_iter().filter(|s| !before.contains(s));
        let verdict = |segment| {
            let entry = self.entries.get(&Subject::Segment(segment))?;
            Some(Verdict {
                segment,
                history: crash_history(now, entry),
                survived_ago_ms: self.survivals.age(now, segment),
                was_sound: entry.was_sound,
            })
        };
        VerdictChanges {
            refused: new.filter_map(verdict).collect(),
            withdrawn,
        }
    }

    /// Records which segments are refused, so that they stay refused until they survive; returns them.
    fn confirm_verdicts(&mut self) -> Vec<Segment> {
        let refused = self.refused_segments();
        for segment in &refused {
            if let Some(entry) = self.entries.get_mut(&Subject::Segment(*segment)) {
                entry.refused = true;
            }
        }
        refused
    }

    /// Returns why a segment is no longer refused.
    fn withdrawal(&self, segment: Segment) -> Withdrawal {
        match self.entries.get(&Subject::Segment(segment)) {
            None => Withdrawal::Forgotten,
            Some(entry) if entry.refused => Withdrawal::WasSound,
            Some(_) => Withdrawal::Survived,
        }
    }

    /// Returns the refused segments.
    pub fn refused_segments(&self) -> Vec<Segment> {
        let mut requests = Vec::new();
        let mut segments = Vec::new();
        for (subject, entry) in &self.entries {
            match subject {
                Subject::Request(digest) if is_suspect(subject, entry) => {
                    let tag = digest.tag();
                    requests.push(RefusedRequest { tag, entry });
                }
                Subject::Request(_) => {}
                Subject::Segment(segment) => segments.push((*segment, entry)),
            }
        }
        refused_segments(segments.into_iter(), &requests)
    }

    /// Returns whether a subject may be retried at another upstream within the same call.
    pub fn may_retry(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request(_) => self.crash_count(subject) < NO_RETRY_FROM,
            Subject::Segment(_) => !self.is_refused(subject),
        }
    }

    /// Returns at how many crashes a request was present, counting upstreams of which it is not
    /// known yet if they have crashed.
    fn crash_count(&self, subject: Subject) -> usize {
        let crashes = self.entries.get(&subject).map_or(0, |e| e.crashes.len());
        crashes + self.broken_connections.unresolved_count(subject)
    }

    /// Decides, at the owner that was asked, whether a trial may be made now, and counts it. The
    /// next trial is due only after its delay, so one instance at a time makes a trial.
    pub fn grant_trial(&mut self, now: u64, subject: Subject) -> bool {
        let Some(entry) = self.entries.get_mut(&subject) else {
            return false;
        };
        let is_due = next_trial_at(entry).is_some_and(|at| at <= now);
        if is_due {
            entry.trials += 1;
            entry.last_trial_at = now;
            self.schedule_update(subject, true, SEND_ROUNDS);
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
        let subject = record.subject;
        let used_at = self.entries.get(&subject).map(|e| e.used_at);
        let entry = self.entry(now, subject);
        let outcome = entry.merge(now, record);
        // Records passed among instances must not keep a request in the table that no caller sends.
        if let Some(used_at) = used_at.filter(|_| !outcome.changed) {
            entry.used_at = used_at;
        }
        let to_all = entry.crashes.len() >= BROADCAST_FROM || entry.answers > 0;
        if let Subject::Segment(segment) = subject {
            let learned = self.merge_survivals(now, segment, record);
            if is_owner {
                self.confirm_verdicts();
                self.announce(subject);
            }
            // An owner sends the rest to all instances; crashes of an outdated record don't count.
            let outdated = self.entries[&subject].answers > record.answers;
            let reply = outdated || !is_owner && (outcome.ahead || learned);
            return reply.then(|| self.record(now, subject)).flatten();
        }
        if !record.crashes.is_empty() && self.recent_answers.contains(now, subject) {
            self.clear_crashes(subject, record.answers);
            return self.record(now, subject);
        }
        if outcome.ahead && is_owner {
            self.schedule_update(subject, to_all, SEND_ROUNDS);
        }
        let reply = outcome.ahead && !is_owner;
        reply.then(|| self.record(now, subject)).flatten()
    }

    /// Applies what this instance knows of survivals to the entry of a segment after a record was merged;
    /// returns whether the record did not contain that.
    fn merge_survivals(&mut self, now: u64, segment: Segment, record: &SuspectRecord) -> bool {
        let subject = Subject::Segment(segment);
        let last_crash = record.crashes.iter().map(|c| c.ago_ms).min();
        let last_crash_at = last_crash.map(|ago_ms| now.saturating_sub(ago_ms));
        if !last_crash_at.is_some_and(|at| self.survivals.is_recent(at, segment)) {
            return self.add_local_survivals(now, subject);
        }
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.clear_crashes(record.answers);
        }
        true
    }

    /// Schedules the record of a segment to be sent to all instances if its stage has changed since it last
    /// was. Only its owners do so: each crash is seen by many instances.
    fn announce(&mut self, subject: Subject) {
        let Some(entry) = self.entries.get_mut(&subject) else {
            return;
        };
        let stage = stage(entry);
        if stage == entry.announced {
            return;
        }
        entry.announced = stage;
        let rounds = match stage {
            Stage::Candidate => ASK_ROUNDS,
            Stage::Unremarkable | Stage::Suspect { .. } | Stage::Refused { .. } => SEND_ROUNDS,
        };
        self.schedule_update(subject, true, rounds);
    }

    /// Returns the records to send now, each with whether all instances get it or only its owners.
    pub fn updates_to_send(&mut self, now: u64) -> Vec<(SuspectRecord, bool)> {
        let pending = self.pending_updates.iter();
        let pending: Vec<(Subject, bool)> =
            pending.map(|(d, update)| (*d, update.to_all)).collect();
        self.pending_updates.retain(|_, update| {
            update.rounds_left -= 1;
            update.rounds_left > 0
        });
        let records = pending.into_iter();
        let records =
            records.filter_map(|(subject, to_all)| Some((self.record(now, subject)?, to_all)));
        records.collect()
    }

    /// Returns the records of the next refused requests in turn, for one instance: it may have been
    /// cut off, suspended or not running when they were sent. Requests with fewer crashes are left
    /// out: records of them that were missed are combined at the third crash.
    pub fn next_page(&mut self, now: u64, limit: usize) -> Vec<SuspectRecord> {
        self.expire(now);
        let refused = self.entries.iter();
        let mut refused: Vec<Subject> = refused
            .filter(|(subject, e)| is_suspect(subject, e))
            .map(|(subject, _)| *subject)
            .collect();
        refused.sort_unstable();
        let start = refused.partition_point(|d| Some(*d) <= self.page_cursor);
        refused.rotate_left(start);
        refused.truncate(limit);
        self.page_cursor = refused.last().copied();
        let records = refused.into_iter();
        records
            .filter_map(|subject| self.record(now, subject))
            .collect()
    }

    /// Returns whether the store's record of any request is out of date.
    pub fn has_unsaved(&self) -> bool {
        !self.removed.is_empty()
            || self
                .entries
                .iter()
                .any(|(subject, e)| is_unsaved(subject, e))
    }

    /// Returns the requests whose record in the store is out of date.
    pub fn unsaved(&self) -> Vec<Subject> {
        let unsaved = self
            .entries
            .iter()
            .filter(|(subject, e)| is_unsaved(subject, e));
        let removed = self.removed.iter().copied();
        unsaved
            .map(|(subject, _)| *subject)
            .chain(removed)
            .collect()
    }

    /// Returns whether a subject was removed from the table although the store has a record of it.
    pub fn is_removed(&self, subject: Subject) -> bool {
        self.removed.contains(&subject) && !self.entries.contains_key(&subject)
    }

    /// Leaves the record of a removed subject in the store to another instance.
    pub fn forget_removed(&mut self, subject: Subject) {
        self.removed.remove(&subject);
    }

    /// Returns whether the store's record of a request is out of date.
    pub fn is_unsaved(&self, subject: Subject) -> bool {
        let entry = self.entries.get(&subject);
        entry.map_or(self.removed.contains(&subject), |e| is_unsaved(&subject, e))
    }

    /// Returns the record that the store should have of a request: only refused requests must still
    /// be known after all instances were down at once.
    pub fn to_save(&self, now: u64, subject: Subject) -> Option<SuspectRecord> {
        let entry = self.entries.get(&subject)?;
        is_suspect(&subject, entry).then(|| entry.record(now, subject))
    }

    /// Records what the store now has of a request.
    pub fn mark_saved(&mut self, subject: Subject, record: Option<&SuspectRecord>) {
        self.removed.remove(&subject);
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.stored = record.map(StoredState::of);
        }
    }

    /// Merges a record that was read from the store. When it was written is not known, so its crashes
    /// and its last trial count as having happened now.
    pub fn load(&mut self, now: u64, mut record: SuspectRecord) {
        record.crashes.iter_mut().for_each(|c| c.ago_ms = 0);
        record.trial_ago_ms = 0;
        let subject = record.subject;
        self.entry(now, subject).merge(now, &record);
        self.mark_saved(subject, Some(&record));
    }

    /// Returns the record of a request, for another instance.
    pub fn record(&self, now: u64, subject: Subject) -> Option<SuspectRecord> {
        let entry = self.entries.get(&subject);
        entry.map(|entry| entry.record(now, subject))
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> usize {
        let is_request = |subject: &Subject| matches!(subject, Subject::Request(_));
        let requests = self.entries.iter();
        let requests =
            requests.filter(|(subject, e)| is_request(subject) && is_suspect(subject, e));
        requests.count() + self.refused_segments().len()
    }

    /// Returns the records of all requests that were present at several crashes, for operators and
    /// for instances that start.
    pub fn list(&self, now: u64) -> Vec<SuspectRecord> {
        let listed = self.entries.iter();
        let listed = listed.filter(|(subject, e)| match subject {
            Subject::Request(_) => e.crashes.len() >= BROADCAST_FROM,
            Subject::Segment(_) => stage(e) != Stage::Unremarkable,
        });
        listed.map(|(subject, e)| e.record(now, *subject)).collect()
    }

    fn schedule_update(&mut self, subject: Subject, to_all: bool, rounds: u8) {
        let update = self.pending_updates.entry(subject).or_default();
        update.rounds_left = update.rounds_left.max(rounds);
        update.to_all |= to_all;
    }

    fn entry(&mut self, now: u64, subject: Subject) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&subject) {
            self.expire(now);
            self.evict_if_full();
        }
        let entry = self.entries.entry(subject).or_default();
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
        self.removed.extend(stored.map(|(subject, _)| *subject));
        self.entries.retain(|_, e| is_live(e));
    }

    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least = self.entries.iter();
        let least = least.min_by_key(|(_, e)| (e.crashes.len(), e.used_at));
        let Some(subject) = least.map(|(subject, _)| *subject) else {
            return;
        };
        let evicted = self.entries.remove(&subject);
        if evicted.is_some_and(|e| e.stored.is_some()) {
            self.removed.insert(subject);
        }
    }
}

/// Returns whether a subject is refused, or would be if no other segment explained its crashes.
fn is_suspect(subject: &Subject, entry: &Entry) -> bool {
    match subject {
        Subject::Request(_) => entry.crashes.len() >= REFUSE_FROM,
        Subject::Segment(_) => stage(entry).is_suspect(),
    }
}

/// Returns whether the store's record of a subject is out of date.
fn is_unsaved(subject: &Subject, entry: &Entry) -> bool {
    let wanted = is_suspect(subject, entry).then(|| entry.to_stored_state());
    wanted != entry.stored
}

/// Returns the crashes of an entry, and when its next trial is due.
fn crash_history(now: u64, entry: &Entry) -> CrashHistory {
    let crashes = entry.crashes.iter().map(|(incarnation, crash)| {
        let ago_ms = now.saturating_sub(crash.at);
        (incarnation.clone(), crash.seen_by.clone(), ago_ms)
    });
    CrashHistory {
        crashes: crashes.collect(),
        trials: entry.trials,
        retry_ms: next_trial_at(entry).map(|at| at.saturating_sub(now)),
    }
}

/// Returns when the next trial of a subject is due; `None` if no trial is left.
fn next_trial_at(entry: &Entry) -> Option<u64> {
    let delay = TRIAL_DELAYS_MS.get(usize::from(entry.trials));
    delay.map(|ms| entry.last_crash_or_trial_at() + ms)
}
