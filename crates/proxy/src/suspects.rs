//! Requests under which upstreams end: found out here, told to the other instances, refused.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clock::Clock;
use dial::{ConnectError, Dialer, Target};
use err::Kind;
use place::Spec;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use serde::{Deserialize, Serialize};
use suspect::{Admission, CrashHistory, Digest, SuspectRecord, SuspectTable as Table};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::log::Log;
use crate::refusal::Refusal;
use crate::suspect_gossip::PeerNetwork;

/// After a connection broke, it is found out so much later whether the upstream has ended: by then the port of a process
/// that ended is closed.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Pause before that is tried again where no answer came.
const CRASH_CHECK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// When to come back with a request that will not be tried again, in milliseconds: the longest time before a trial.
const RETRY_NO_TRIAL_LEFT_MS: u64 = 600_000;

/// A question whether a request may be tried.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TrialRequest {
    /// What the asker knows of the request.
    #[serde(rename = "word")]
    record: SuspectRecord,
    /// Whether the one that is asked decides; else it only tells what it knows.
    #[serde(rename = "decides")]
    may_grant: bool,
}

/// The answer of the instance that decides whether a request is tried.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TrialResponse {
    pub(crate) granted: bool,
    /// What that instance knows of the request.
    #[serde(rename = "word")]
    pub(crate) record: Option<SuspectRecord>,
}

/// A handle on the requests under which upstreams have ended.
#[derive(Clone)]
pub(crate) struct Suspects(Arc<Inner>);

struct Inner {
    clock: Clock,
    log: Arc<Log>,
    dialer: Dialer,
    table: Mutex<Table>,
    /// Wakes the one that tells others.
    changed: Notify,
    /// Wakes the one that writes to the store.
    unsaved: Notify,
    crash_counter: Counter,
    refused_gauge: Gauge,
}

impl Suspects {
    pub(crate) fn open(name: &str, clock: Clock, log: Arc<Log>, dialer: Dialer) -> Suspects {
        Suspects(Arc::new(Inner {
            clock,
            log,
            dialer,
            table: Mutex::new(Table::new(name)),
            changed: Notify::new(),
            unsaved: Notify::new(),
            crash_counter: Counter::default(),
            refused_gauge: Gauge::default(),
        }))
    }

    /// Returns how many ends were laid to requests, and how many requests are refused.
    pub(crate) fn metrics(&self) -> (Counter, Gauge) {
        (self.0.crash_counter.clone(), self.0.refused_gauge.clone())
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().expect("no panic inside")
    }

    /// Does something with the table, and has the others told what came of it.
    fn update<T>(&self, f: impl FnOnce(&mut Table, u64) -> T) -> T {
        let now = self.0.clock.now();
        let mut table = self.table();
        let done = f(&mut table, now);
        self.0.refused_gauge.set(table.refused_count() as i64);
        if table.has_unsaved() {
            self.0.unsaved.notify_one();
        }
        drop(table);
        self.0.changed.notify_one();
        done
    }

    /// Notes that a request's connection broke at an upstream of which nothing said that it leaves.
    pub(crate) fn connection_broke(&self, spec: &Spec, digest: Digest) {
        let incarnation = spec.incarnation();
        let first = self.update(|table, now| table.connection_broke(now, &incarnation, digest));
        if first {
            tokio::spawn(self.clone().check_for_crash(incarnation, spec.addr));
        }
    }

    /// Finds out whether an upstream has ended.
    async fn check_for_crash(self, incarnation: String, addr: SocketAddr) {
        let target = Target {
            upstream: &incarnation,
            addr,
            most: usize::MAX,
        };
        let mut pause = CRASH_CHECK_DELAY;
        loop {
            sleep(pause).await;
            if !self.update(|table, now| table.is_unresolved(now, &incarnation)) {
                return;
            }
            let until = Instant::now() + CRASH_CHECK_RETRY_DELAY;
            match self.0.dialer.open(target, until).await {
                Ok(conn) => {
                    self.update(|table, _| table.upstream_alive(&incarnation));
                    return self.0.dialer.keep(conn, None);
                }
                Err(ConnectError::Refused(_)) => return self.upstream_crashed(&incarnation),
                // The way to it may be cut: its list tells, or it answers later.
                Err(_) => pause = CRASH_CHECK_RETRY_DELAY,
            }
        }
    }

    /// Takes that an incarnation of an upstream has ended without having said that it leaves.
    pub(crate) fn upstream_crashed(&self, incarnation: &str) {
        let there = self.update(|table, now| table.upstream_crashed(now, incarnation));
        if there.is_empty() {
            return;
        }
        let detail = format_args!("upstream={incarnation} requests={}", there.len());
        self.0.log.event(Event::UpstreamCrashed, detail);
        for digest in there {
            self.0.crash_counter.inc();
            let now = self.0.clock.now();
            let word = self.table().record(now, digest);
            let ends = word.map_or(0, |w| w.crashes.len());
            // Each end leaves many requests with one end, nearly all of them innocent.
            if ends > 1 {
                let detail = format_args!("request={digest} upstream={incarnation} ends={ends}");
                self.0.log.event(Event::RequestSuspected, detail);
            }
        }
    }

    /// Notes a whole answer to a request.
    pub(crate) fn request_answered(&self, digest: Digest) {
        let now = self.0.clock.now();
        let cleared = self.table().request_answered(now, digest);
        if cleared {
            let detail = format_args!("request={digest}");
            self.0.log.event(Event::SuspectCleared, detail);
            self.update(|_, _| ());
        }
    }

    /// Returns whether a request may be sent to another upstream in the same try.
    pub(crate) fn may_retry(&self, digest: Digest) -> bool {
        self.table().may_retry(digest)
    }

    /// Decides whether a request is sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request under which too many upstreams have ended.
    pub(crate) async fn admit(&self, others: &PeerNetwork, digest: Digest) -> Result<(), Refusal> {
        let verdict = {
            let now = self.0.clock.now();
            self.table().admit(now, digest)
        };
        let blame = match verdict {
            Admission::Allowed => return Ok(()),
            Admission::Refused(blame) => blame,
            Admission::TrialDue(blame) => {
                if self.request_trial(others, digest).await {
                    let detail = format_args!("request={digest} {blame}");
                    self.0.log.event(Event::SuspectTrial, detail);
                    return Ok(());
                }
                blame
            }
        };
        Err(refusal(&blame))
    }

    /// Asks the instances that keep a request whether it may be tried: the first of them that answers decides.
    async fn request_trial(&self, others: &PeerNetwork, digest: Digest) -> bool {
        let keepers = others.fleet.roster().owners(digest.placement_key());
        let me = others.fleet.incarnation();
        let silent = |m: &&Arc<Member>| m.id != me && others.peers.is_unresponsive(m.addr);
        let mut keepers = keepers.iter().filter(|m| !silent(m));
        let Some(first) = keepers.next() else {
            return self.grant_trial(digest);
        };
        // What the other one knows comes first: the one that decides may have stood still while there was a trial.
        for keeper in keepers.filter(|m| m.id != me) {
            self.exchange_with_owner(others, digest, keeper, false)
                .await;
        }
        if first.id == me {
            self.grant_trial(digest)
        } else {
            self.exchange_with_owner(others, digest, first, true).await
        }
    }

    /// Exchanges with an instance what is known of a request; returns whether that one has granted a trial.
    async fn exchange_with_owner(
        &self,
        others: &PeerNetwork,
        digest: Digest,
        keeper: &Member,
        decides: bool,
    ) -> bool {
        let now = self.0.clock.now();
        let Some(word) = self.table().record(now, digest) else {
            return false;
        };
        let ask = TrialRequest {
            record: word,
            may_grant: decides,
        };
        let trial = match others.peers.request_trial(keeper.addr, &ask).await {
            Ok(trial) => trial,
            Err(why) => {
                let detail = format!("request={digest} failed={why}");
                self.0.log.event(Event::SuspectTrial, detail);
                return false;
            }
        };
        if let Some(word) = &trial.record {
            self.update(|table, now| table.merge(now, word, false));
        }
        trial.granted
    }

    fn grant_trial(&self, digest: Digest) -> bool {
        self.update(|table, now| table.grant_trial(now, digest))
    }

    /// Answers an instance that asks whether a request may be tried.
    pub(crate) fn answer_trial_request(&self, ask: &TrialRequest) -> TrialResponse {
        let digest = ask.record.digest;
        self.update(|table, now| table.merge(now, &ask.record, true));
        let granted = ask.may_grant && self.grant_trial(digest);
        let now = self.0.clock.now();
        TrialResponse {
            granted,
            record: self.table().record(now, digest),
        }
    }

    /// Takes the words of another instance; returns what that one lacks.
    pub(crate) fn merge(&self, fleet: &Fleet, words: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let me = fleet.incarnation();
        let keeps = |word: &SuspectRecord| {
            let keepers = fleet.roster().owners(word.digest.placement_key());
            keepers.iter().any(|m| m.id == me)
        };
        let heard = words.iter().map(|word| (word, keeps(word)));
        let heard: Vec<(&SuspectRecord, bool)> = heard.collect();
        self.update(|table, now| {
            let lacks = heard.into_iter();
            let lacks = lacks.filter_map(|(word, keeps)| table.merge(now, word, keeps));
            lacks.collect()
        })
    }

    /// Returns what all instances should know.
    pub(crate) fn list(&self) -> Vec<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().list(now)
    }

    /// Logs what another instance told when it was asked.
    pub(crate) fn log_received(&self, from: SocketAddr, words: usize) {
        let detail = format_args!("from={from} what=suspects words={words}");
        self.0.log.event(Event::PeerUpdate, detail);
    }

    /// Waits until something may have to be told.
    pub(crate) async fn wait_for_updates(&self) {
        self.0.changed.notified().await;
    }

    /// Returns what is to be told now, each with whether all instances are told, or those that keep it.
    pub(crate) fn updates_to_send(&self) -> Vec<(SuspectRecord, bool)> {
        let now = self.0.clock.now();
        self.table().updates_to_send(now)
    }

    /// Returns the next words in turn of those that all instances should know.
    pub(crate) fn next_page(&self, most: usize) -> Vec<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().next_page(now, most)
    }

    /// Waits until something may have to be written to the store.
    pub(crate) async fn wait_for_unsaved(&self) {
        self.0.unsaved.notified().await;
    }

    /// Returns the requests of which the store has something else.
    pub(crate) fn unsaved(&self) -> Vec<Digest> {
        self.table().unsaved()
    }

    /// Returns what the store should have of a request, if anything.
    pub(crate) fn to_save(&self, digest: Digest) -> Option<SuspectRecord> {
        let now = self.0.clock.now();
        self.table().to_save(now, digest)
    }

    /// Notes what the store has of a request.
    pub(crate) fn mark_saved(&self, digest: Digest, word: Option<&SuspectRecord>) {
        self.table().mark_saved(digest, word);
    }

    /// Takes what the store has of a request.
    pub(crate) fn load(&self, word: SuspectRecord) {
        self.update(|table, now| table.load(now, word));
    }
}

fn refusal(blame: &CrashHistory) -> Refusal {
    let retry_ms = blame.retry_ms.unwrap_or(RETRY_NO_TRIAL_LEFT_MS);
    Refusal::new(Kind::EndsUpstreams, blame.to_string()).retry_after(retry_ms)
}
