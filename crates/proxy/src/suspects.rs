//! Requests and segments of prompts that crash upstreams: detects crashes, decides with the other
//! instances whether a request is sent, and refuses it.

use std::cmp::Reverse;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clock::Clock;
use dial::{ConnectError, Dialer, Target};
use err::Kind;
use futures_util::future::join_all;
use place::Spec;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use suspect::{Admission, CrashHistory, Digest, Segment, Subject, SuspectRecord, SuspectTable};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, Instant};

use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::log::Log;
use crate::peers::CALL_TIMEOUT;
use crate::refusal::Refusal;
use crate::suspect_gossip::PeerNetwork;
use crate::transit::Transit;

/// Delay between a broken connection and the check whether the upstream has crashed. The port of a
/// crashed process is closed within this time.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the check, and delay before it is repeated if it had no result.
const CRASH_CHECK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of other upstreams to which connections are tried before a refused one counts as a crash.
const CONTROL_UPSTREAMS: usize = 2;
/// Maximum number of segments that the log line of a crash contains.
const MAX_LOGGED_SEGMENTS: usize = 12;
/// When a caller is told to retry a request for which no trial is left, in milliseconds: the
/// longest delay before a trial.
const RETRY_NO_TRIAL_LEFT_MS: u64 = 600_000;

/// A request to an owner of a record when a trial of the request is due.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TrialRequest {
    /// What the sender knows of the request.
    #[serde(rename = "word")]
    record: SuspectRecord,
    /// Whether the owner decides on the trial; otherwise it only merges and returns the record.
    #[serde(rename = "decides")]
    may_grant: bool,
}

/// The response of an owner to a [`TrialRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TrialResponse {
    pub(crate) granted: bool,
    /// What the owner knows of the request.
    #[serde(rename = "word")]
    pub(crate) record: Option<SuspectRecord>,
}

/// Handle to the requests that were running on upstreams when these crashed; clones share it.
#[derive(Clone)]
pub(crate) struct Suspects(Arc<Inner>);

/// Whether an instance knows the records of earlier incarnations and of the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Records {
    /// It has just started, and must not send anything yet.
    Unknown,
    /// It could not learn them in time, and accepts requests all the same.
    Unavailable,
    /// It has read them, or learned them from an instance that has.
    Known,
}

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    dialer: Dialer,
    transit: Transit,
    table: Mutex<SuspectTable>,
    /// Wakes the task that sends updates to other instances.
    changed: Notify,
    /// Wakes the task that writes to the store.
    unsaved: Notify,
    records: watch::Sender<Records>,
    crash_counter: Counter,
    refused_gauge: Gauge,
}

impl Suspects {
    pub(crate) fn new(
        name: &str,
        clock: Clock,
        log: Arc<Log>,
        dialer: Dialer,
        transit: Transit,
    ) -> Suspects {
        Suspects(Arc::new(Inner {
            clock,
            log,
            dialer,
            transit,
            table: Mutex::new(SuspectTable::new(name)),
            changed: Notify::new(),
            unsaved: Notify::new(),
            records: watch::channel(Records::Unknown).0,
            crash_counter: Counter::default(),
            refused_gauge: Gauge::default(),
        }))
    }

    /// Returns the metrics: the number of crashes counted for requests, and the number of refused
    /// requests.
    pub(crate) fn metrics(&self) -> (Counter, Gauge) {
        (self.0.crash_counter.clone(), self.0.refused_gauge.clone())
    }

    /// Marks the records as known, and logs from where.
    pub(crate) fn set_known(&self, source: impl Display) {
        let before = self.0.records.send_replace(Records::Known);
        if before != Records::Known {
            let detail = format_args!("source={source} before={before:?}");
            self.0.log.event(Event::SuspectsKnown, detail);
        }
    }

    /// Accepts requests although the records are not known.
    pub(crate) fn accept_without_records(&self) {
        self.0.records.send_replace(Records::Unavailable);
        self.0.log.event(Event::SuspectsUnavailable, "");
    }

    /// Returns whether the records are known.
    pub(crate) fn are_known(&self) -> bool {
        *self.0.records.borrow() == Records::Known
    }

    /// Waits until the records are known.
    pub(crate) async fn wait_until_known(&self) {
        let mut records = self.0.records.subscribe();
        // Waiting can't fail: the sender is owned by this handle.
        let _ = records.wait_for(|r| *r == Records::Known).await;
    }

    /// Returns whether requests may be accepted.
    pub(crate) fn may_serve(&self) -> bool {
        *self.0.records.borrow() != Records::Unknown
    }

    /// Waits for a short time until requests may be accepted; returns whether they may.
    pub(crate) async fn wait_until_serving(&self) -> bool {
        if self.may_serve() {
            return true;
        }
        let mut records = self.0.records.subscribe();
        // Waiting itself can't fail: the sender is owned by this handle.
        let _ = timeout(CALL_TIMEOUT, records.wait_for(|r| *r != Records::Unknown)).await;
        self.may_serve()
    }

    fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.0.table.lock().expect("lock not poisoned")
    }

    /// Updates the table, and wakes the tasks that send and store what has changed.
    fn update<T>(&self, change: impl FnOnce(&mut SuspectTable, u64) -> T) -> T {
        let now = self.0.clock.now();
        let mut table = self.table();
        let result = change(&mut table, now);
        let verdicts = table.take_verdicts(now);
        self.0.refused_gauge.set(table.refused_count() as i64);
        if table.has_unsaved() {
            self.0.unsaved.notify_one();
        }
        drop(table);
        for (segment, why) in verdicts.withdrawn {
            let detail = format_args!("segment={segment} why={why:?}");
            self.0.log.event(Event::SegmentAllowed, detail);
        }
        for verdict in verdicts.refused {
            let survived_ago_ms = verdict.survived_ago_ms;
            let detail = format_args!(
                "segment={} was_sound={} survived_here={} crashes: {}",
                verdict.segment,
                verdict.was_sound,
                survived_ago_ms.map_or("never".to_string(), |ms| format!("{ms} ms ago")),
                verdict.history.list()
            );
            self.0.log.event(Event::SegmentRefused, detail);
        }
        self.0.changed.notify_one();
        result
    }

    /// Records that the connection of a request broke at an upstream that is not known to be
    /// leaving. `lost` are its segments if they had not survived.
    pub(crate) fn connection_broke(&self, spec: &Spec, request: Digest, lost: &[Segment]) {
        let incarnation = spec.incarnation();
        let check_needed = self.update(|table, now| {
            let subject = Subject::Request(request);
            let mut check_needed = table.connection_broke(now, &incarnation, subject);
            for segment in lost {
                check_needed |= table.segment_lost(now, &incarnation, *segment, request);
            }
            check_needed
        });
        if check_needed {
            tokio::spawn(self.clone().check_for_crash(incarnation, spec.addr));
        }
    }

    /// Checks whether an upstream has crashed, until that is known.
    async fn check_for_crash(self, incarnation: String, addr: SocketAddr) {
        let target = Target {
            upstream: &incarnation,
            addr,
            max_connections: usize::MAX,
            is_probe: true,
        };
        let mut delay = CRASH_CHECK_DELAY;
        let mut has_failed = false;
        loop {
            sleep(delay).await;
            if !self.update(|table, now| table.is_unresolved(now, &incarnation)) {
                return;
            }
            let until = Instant::now() + CRASH_CHECK_RETRY_DELAY;
            match self.0.dialer.connect(target, until).await {
                Ok(conn) if has_failed => {
                    // This may be another incarnation.
                    self.update(|table, _| table.upstream_listens_again(&incarnation));
                    return drop(conn);
                }
                Ok(conn) => {
                    self.update(|table, now| table.upstream_alive(now, &incarnation));
                    return self.0.dialer.put_idle(conn, None);
                }
                // A lost path may refuse connections, too.
                Err(ConnectError::Refused(_)) if self.reaches_others(&incarnation).await => {
                    return self.upstream_crashed(&incarnation);
                }
                // The network path may be down: a later check, or the list of upstreams, will show
                // whether the upstream has crashed.
                Err(_) => {
                    has_failed = true;
                    delay = CRASH_CHECK_RETRY_DELAY;
                }
            }
        }
    }

    /// Returns whether connections to other upstreams than an incarnation can be established, or there
    /// are none.
    async fn reaches_others(&self, incarnation: &str) -> bool {
        let others = self
            .0
            .transit
            .other_upstreams(incarnation, CONTROL_UPSTREAMS);
        let connects = others.iter().map(|spec| async {
            let incarnation = spec.incarnation();
            let target = Target {
                upstream: &incarnation,
                addr: spec.addr,
                max_connections: usize::MAX,
                is_probe: true,
            };
            let until = Instant::now() + CRASH_CHECK_RETRY_DELAY;
            let conn = self.0.dialer.connect(target, until).await.ok()?;
            self.0.dialer.put_idle(conn, None);
            Some(())
        });
        let reached = join_all(connects).await;
        reached.is_empty() || reached.iter().any(Option::is_some)
    }

    /// Records that an incarnation of an upstream has ended without having announced it.
    pub(crate) fn upstream_crashed(&self, incarnation: &str) {
        let observation = self.update(|table, now| table.upstream_crashed(now, incarnation));
        if observation.counted.is_empty() && observation.waiting.is_empty() {
            return;
        }
        let counted = observation.counted.iter();
        let requests = counted.filter(|s| matches!(s, Subject::Request(_)));
        let detail = format_args!(
            "upstream={incarnation} requests={} waiting={}",
            requests.count(),
            waiting_segments(observation.waiting)
        );
        self.0.log.event(Event::UpstreamCrashed, detail);
        for subject in observation.counted {
            if matches!(subject, Subject::Request(_)) {
                self.0.crash_counter.inc();
            }
            let now = self.0.clock.now();
            let record = self.table().record(now, subject);
            let crash_count = record.map_or(0, |r| r.crashes.len());
            // Each crash leaves many requests with one crash, nearly all of them harmless.
            if crash_count > 1 {
                let detail = format_args!("{subject} upstream={incarnation} ends={crash_count}");
                self.0.log.event(Event::RequestSuspected, detail);
            }
        }
    }

    /// Records that a response to a request with these segments went on after it had begun.
    pub(crate) fn segments_survived(&self, segments: &[Segment]) {
        if segments.is_empty() {
            return;
        }
        let now = self.0.clock.now();
        let cleared = self.table().segments_survived(now, segments);
        for segment in &cleared {
            let detail = format_args!("segment={segment}");
            self.0.log.event(Event::SuspectCleared, detail);
        }
        if !cleared.is_empty() {
            self.update(|_, _| ());
        }
    }

    /// Records a complete response to a request.
    pub(crate) fn request_answered(&self, subject: Subject) {
        let now = self.0.clock.now();
        let cleared = self.table().request_answered(now, subject);
        if cleared {
            let detail = format_args!("{subject}");
            self.0.log.event(Event::SuspectCleared, detail);
            self.update(|_, _| ());
        }
    }

    /// Returns whether a request may be retried at another upstream within the same call.
    pub(crate) fn may_retry(&self, request: Digest, segments: &[Segment]) -> bool {
        let table = self.table();
        subjects(request, segments).all(|subject| table.may_retry(subject))
    }

    /// Decides whether a request may be sent; returns whether it is sent as a trial.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that, or a segment of whose prompt, was present at too many
    /// crashes of upstreams.
    pub(crate) async fn admit(
        &self,
        network: &PeerNetwork,
        request: Digest,
        segments: &[Segment],
    ) -> Result<bool, Refusal> {
        let mut due = SmallVec::<[(Subject, CrashHistory); 1]>::new();
        for subject in subjects(request, segments) {
            let now = self.0.clock.now();
            match self.table().admit(now, subject) {
                Admission::Allowed => {}
                Admission::Refused(history) => return Err(refusal(subject, &history)),
                Admission::TrialDue(history) => due.push((subject, history)),
            }
        }
        for (subject, history) in &due {
            if !self.request_trial(network, *subject).await {
                return Err(refusal(*subject, history));
            }
        }
        if !due.is_empty() {
            let granted = due
                .iter()
                .map(|(subject, history)| format!("{subject} {}", history.list()));
            let detail = granted.collect::<Vec<_>>().join("; ");
            self.0.log.event(Event::SuspectTrial, detail);
        }
        Ok(!due.is_empty())
    }

    /// Decides again whether a request that was admitted may be sent: meanwhile it has waited for tokens
    /// or a connection, or was sent once already.
    ///
    /// # Errors
    ///
    /// Returns its refusal.
    pub(crate) fn check(&self, request: Digest, segments: &[Segment]) -> Result<(), Refusal> {
        let now = self.0.clock.now();
        let mut table = self.table();
        for subject in subjects(request, segments) {
            match table.admit(now, subject) {
                Admission::Allowed => {}
                Admission::Refused(history) | Admission::TrialDue(history) => {
                    return Err(refusal(subject, &history));
                }
            }
        }
        Ok(())
    }

    /// Asks the owners of a record whether a trial may be made: the first of them that is not
    /// unresponsive decides.
    async fn request_trial(&self, network: &PeerNetwork, subject: Subject) -> bool {
        let owners = network.fleet.roster().owners(subject.placement_key());
        let own = network.fleet.incarnation();
        let unresponsive =
            |m: &&Arc<Member>| m.id != own && network.peer_clients.is_unresponsive(m.addr);
        let mut owners = owners.iter().filter(|m| !unresponsive(m));
        let Some(first) = owners.next() else {
            return self.grant_trial(subject);
        };
        // Records are first exchanged with the other owner: the one that decides may have been
        // suspended while a trial was made.
        for owner in owners.filter(|m| m.id != own) {
            self.exchange_with_owner(network, subject, owner, false)
                .await;
        }
        if first.id == own {
            self.grant_trial(subject)
        } else {
            self.exchange_with_owner(network, subject, first, true)
                .await
        }
    }

    /// Exchanges the record of a request with an owner of it; returns whether the owner has granted
    /// a trial.
    async fn exchange_with_owner(
        &self,
        network: &PeerNetwork,
        subject: Subject,
        owner: &Member,
        may_grant: bool,
    ) -> bool {
        let now = self.0.clock.now();
        let Some(record) = self.table().record(now, subject) else {
            return false;
        };
        let request = TrialRequest { record, may_grant };
        let response = match network
            .peer_clients
            .request_trial(owner.addr, &request)
            .await
        {
            Ok(response) => response,
            Err(why) => {
                let detail = format!("{subject} failed={why}");
                self.0.log.event(Event::SuspectTrial, detail);
                return false;
            }
        };
        if let Some(record) = &response.record {
            self.update(|table, now| table.merge(now, record, false));
        }
        response.granted
    }

    fn grant_trial(&self, subject: Subject) -> bool {
        self.update(|table, now| table.grant_trial(now, subject))
    }

    /// Answers an instance for which a trial is due.
    pub(crate) fn answer_trial_request(&self, request: &TrialRequest) -> TrialResponse {
        let subject = request.record.subject;
        self.update(|table, now| table.merge(now, &request.record, true));
        let granted = request.may_grant && self.grant_trial(subject);
        let now = self.0.clock.now();
        TrialResponse {
            granted,
            record: self.table().record(now, subject),
        }
    }

    /// Merges records of another instance; returns those that the other instance is missing.
    pub(crate) fn merge(&self, fleet: &Fleet, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let own = fleet.incarnation();
        let is_owner = |record: &SuspectRecord| {
            let owners = fleet.roster().owners(record.subject.placement_key());
            owners.iter().any(|m| m.id == own)
        };
        let received = records.iter().map(|record| (record, is_owner(record)));
        let received: Vec<(&SuspectRecord, bool)> = received.collect();
        self.update(|table, now| {
            let missing = received.into_iter();
            let missing =
                missing.filter_map(|(record, is_owner)| table.merge(now, record, is_owner));
            missing.collect()
        })
    }

    /// Returns the records that all instances should know.
    pub(crate) fn list(&self) -> Vec<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().list(now)
    }

    /// Logs how many records another instance returned.
    pub(crate) fn log_received(&self, from: SocketAddr, count: usize) {
        let detail = format_args!("from={from} what=suspects words={count}");
        self.0.log.event(Event::PeerUpdate, detail);
    }

    /// Waits until there may be updates to send.
    pub(crate) async fn wait_for_updates(&self) {
        self.0.changed.notified().await;
    }

    /// Returns the records to send now, each with whether all instances get it or only its owners.
    pub(crate) fn updates_to_send(&self) -> Vec<(SuspectRecord, bool)> {
        let now = self.0.clock.now();
        self.table().updates_to_send(now)
    }

    /// Returns the records of the next refused requests in turn.
    pub(crate) fn next_page(&self, limit: usize) -> Vec<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().next_page(now, limit)
    }

    /// Waits until there may be something to write to the store.
    pub(crate) async fn wait_for_unsaved(&self) {
        self.0.unsaved.notified().await;
    }

    /// Returns the requests whose record in the store is out of date.
    pub(crate) fn unsaved(&self) -> Vec<Subject> {
        self.table().unsaved()
    }

    /// Returns whether a subject was forgotten here although the store has a record of it.
    pub(crate) fn is_removed(&self, subject: Subject) -> bool {
        self.table().is_removed(subject)
    }

    /// Leaves the record of a forgotten subject in the store to another instance.
    pub(crate) fn forget_removed(&self, subject: Subject) {
        self.table().forget_removed(subject);
    }

    /// Returns whether the store's record of a request is out of date.
    pub(crate) fn is_unsaved(&self, subject: Subject) -> bool {
        self.table().is_unsaved(subject)
    }

    /// Returns the record that the store should have of a request, if any.
    pub(crate) fn to_save(&self, subject: Subject) -> Option<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().to_save(now, subject)
    }

    /// Records what the store now has of a request.
    pub(crate) fn mark_saved(&self, subject: Subject, record: Option<&SuspectRecord>) {
        self.table().mark_saved(subject, record);
    }

    /// Merges a record that was read from the store.
    pub(crate) fn load(&self, record: SuspectRecord) {
        self.update(|table, now| table.load(now, record));
    }
}

/// Describes the segments of the requests that had not survived when an upstream crashed, with
/// the milliseconds since each has survived; those that have not come first.
fn waiting_segments(mut waiting: Vec<(Segment, Option<u64>)>) -> String {
    waiting.sort_by_key(|(segment, age)| (Reverse(age.unwrap_or(u64::MAX)), *segment));
    let count = waiting.len();
    let texts = waiting.iter().take(MAX_LOGGED_SEGMENTS);
    let texts = texts.map(|(segment, age)| match age {
        Some(age) => format!("{segment}:{age}"),
        None => format!("{segment}:never"),
    });
    let texts: Vec<String> = texts.collect();
    format!("{count}({})", texts.join(","))
}

/// Returns what may crash an upstream that runs a request.
fn subjects(request: Digest, segments: &[Segment]) -> impl Iterator<Item = Subject> + '_ {
    let segments = segments.iter().copied().map(Subject::Segment);
    std::iter::once(Subject::Request(request)).chain(segments)
}

/// Returns the refusal of a request because of a subject.
fn refusal(subject: Subject, history: &CrashHistory) -> Refusal {
    let retry_ms = history.retry_ms.unwrap_or(RETRY_NO_TRIAL_LEFT_MS);
    let (kind, message) = match subject {
        Subject::Request(_) => (Kind::EndsUpstreams, history.to_string()),
        Subject::Segment(_) => {
            let list = history.list();
            let message =
                format!("upstreams crashed before responding to requests with {subject}: {list}");
            (Kind::SegmentEndsUpstreams, message)
        }
    };
    Refusal::new(kind, message).retry_after(retry_ms)
}
