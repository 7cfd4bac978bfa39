//! Which software version began a stream: sends the records of this instance's streams to their holders,
//! and asks the holders when a caller continues a stream that another instance began.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clock::Clock;
use conf::Route;
use futures_util::stream::{FuturesUnordered, StreamExt};
use kv::Store;
use origin::{
    Lookup, Origin, OriginRecord, OriginTable, SeenVersion, StreamKey, VersionHistory, CANDIDATES,
    HOLDERS,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::sync::{watch, Mutex as AsyncMutex, Notify};
use tokio::time::{sleep, timeout, Instant};

use crate::datagram::Datagram;
use crate::fleet::Member;
use crate::peers::CALL_TIMEOUT;
use crate::relay::Relay;
use crate::replication::Topic;
use crate::roster::Roster;
use crate::suspect_gossip::PeerNetwork;
use crate::version_store;

/// Delay after a change of the list of instances before records are sent to new holders: instances
/// come and go together.
const REFRESH_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of records in a datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;

/// Handle to the origins of streams that this instance knows; clones share them.
#[derive(Clone)]
pub(crate) struct Origins(Arc<Inner>);

struct Inner {
    clock: Clock,
    relay: Relay,
    store: Arc<dyn Store>,
    table: Mutex<OriginTable>,
    history: Mutex<VersionHistory>,
    /// Changes when a service has a version that it did not have before.
    version_changes: watch::Sender<()>,
    /// Changes when the store is known to have versions.
    recordings: watch::Sender<()>,
    /// The last read of the store's versions for streams without a record.
    last_read: AsyncMutex<Option<StoredRead>>,
    /// Wakes the task that writes versions to the store when an upstream has one that the store is not known to have.
    unrecorded: Notify,
}

/// A read of the versions that the store has.
#[derive(Clone, Copy, Debug)]
struct StoredRead {
    began_at: Instant,
    succeeded: bool,
}

/// The versions of a service that the store has.
pub(crate) type RecordedVersions = SmallVec<[String; 2]>;

/// The origin of a stream that a caller continues, as far as it could be found out.
#[derive(Clone, Debug)]
pub(crate) enum Found {
    /// The stream began there, according to `source`.
    Known { origin: Arc<Origin>, source: String },
    /// No record was found; of the instances that were asked, some did not answer.
    Unknown(Inquiry),
    /// Records of the stream differ.
    Conflicting,
}

/// How many instances were asked for the record of a stream, and how many of them did not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Inquiry {
    asked: usize,
    pub(crate) unanswered: usize,
}

impl Inquiry {
    fn answered(self) -> usize {
        self.asked - self.unanswered
    }

    /// Returns whether most of the instances have answered: two halves of a partition can't both get
    /// that.
    fn is_answered_by_most(self) -> bool {
        self.answered() * 2 > self.asked
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Found::Known { origin, source } => {
                let Origin { service, version } = &**origin;
                write!(f, "service={service} version={version} source={source}")
            }
            Found::Unknown(Inquiry { asked, unanswered }) => {
                write!(f, "no record, asked={asked} unanswered={unanswered}")
            }
            Found::Conflicting => write!(f, "records differ"),
        }
    }
}

/// What another instance knows of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OriginResponse {
    record: Option<OriginRecord>,
    /// The versions that each service has had; none if some may be missing.
    versions: Option<Vec<SeenVersion>>,
}

impl Origins {
    pub(crate) fn new(clock: Clock, relay: Relay, store: Arc<dyn Store>) -> Origins {
        Origins(Arc::new(Inner {
            clock,
            relay,
            store,
            table: Mutex::default(),
            history: Mutex::default(),
            version_changes: watch::channel(()).0,
            recordings: watch::channel(()).0,
            last_read: AsyncMutex::default(),
            unrecorded: Notify::new(),
        }))
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.0.table.lock().expect("lock not poisoned")
    }

    fn history(&self) -> MutexGuard<'_, VersionHistory> {
        self.0.history.lock().expect("lock not poisoned")
    }

    /// Returns a receiver that is notified when a service has a new version.
    pub(crate) fn version_changes(&self) -> watch::Receiver<()> {
        self.0.version_changes.subscribe()
    }

    /// Adds versions that upstreams have.
    pub(crate) fn observe<'a>(&self, versions: impl IntoIterator<Item = &'a Origin>) {
        self.update_history(|history, now| history.observe(now, versions));
    }

    /// Has the version of a listed upstream recorded in the store if it is not yet.
    pub(crate) fn request_recording(&self, version: &Origin) {
        if !self.is_recorded(version) {
            self.0.unrecorded.notify_one();
        }
    }

    /// Adds the versions of all listed upstreams.
    pub(crate) fn observe_listed(&self, versions: &[Origin]) {
        self.update_history(|history, now| history.observe_listed(now, versions));
    }

    /// Waits until an upstream has a version that the store is not known to have.
    pub(crate) async fn wait_until_unrecorded(&self) {
        self.0.unrecorded.notified().await;
    }

    /// Records that the store has these versions.
    pub(crate) fn record_stored(&self, versions: &[Origin]) {
        let now = self.0.clock.now();
        self.history().record_stored(now, versions);
        self.0.recordings.send_replace(());
    }

    /// Returns a receiver that is notified when the store is known to have versions.
    pub(crate) fn recordings(&self) -> watch::Receiver<()> {
        self.0.recordings.subscribe()
    }

    /// Returns whether the store has a version.
    pub(crate) fn is_recorded(&self, version: &Origin) -> bool {
        let history = self.history();
        let mut recorded = history.recorded(self.0.clock.now());
        recorded.any(|r| r == version)
    }

    /// Returns the versions that the store has.
    pub(crate) fn recorded(&self) -> Vec<Origin> {
        let history = self.history();
        let recorded = history.recorded(self.0.clock.now());
        recorded.cloned().collect()
    }

    /// Returns the versions of a service that the store has: only at these, a stream may begin that its caller may
    /// continue. Otherwise no instance would know of the version after the loss of all, and the stream would go on at
    /// another one.
    pub(crate) fn recorded_versions(&self, service: &str) -> RecordedVersions {
        let history = self.history();
        let recorded = history.recorded(self.0.clock.now());
        let of_service = recorded.filter(|r| r.service == service);
        of_service.map(|r| r.version.clone()).collect()
    }

    /// Adds the versions that the store has, which are all that services had before this instance started
    /// if `complete`.
    pub(crate) fn add_stored(&self, versions: &[Origin], complete: bool) {
        self.update_history(|history, now| {
            let any_new = history.add_stored(now, versions);
            if complete {
                history.set_complete();
            }
            any_new
        });
    }

    /// Updates the history, and wakes the tasks that depend on it if there is a new version.
    fn update_history(&self, update: impl FnOnce(&mut VersionHistory, u64) -> bool) {
        let mut history = self.history();
        let now = self.0.clock.now();
        history.expire(now);
        let any_new = update(&mut history, now);
        drop(history);
        if any_new {
            self.0.version_changes.send_replace(());
        }
    }

    /// Returns the versions that each service has had; `None` if some may be missing.
    pub(crate) fn versions(&self) -> Option<Vec<Origin>> {
        self.history().list(self.0.clock.now())
    }

    /// Returns whether the store has other versions than those that services have had.
    pub(crate) fn differs_from(&self, stored: &[Origin]) -> bool {
        self.history().differs_from(self.0.clock.now(), stored)
    }

    /// Returns the only version that a service has had; `None` if there were several, or this is not
    /// known.
    pub(crate) fn sole_version(&self, service: &str) -> Option<String> {
        let history = self.history();
        let version = history.sole_version(self.0.clock.now(), service);
        version.map(str::to_string)
    }

    /// Returns whether this instance knows the present list of upstreams, as far as it can tell.
    fn list_is_current(&self) -> bool {
        self.0.relay.current_revision(Topic::Upstreams) > 0
    }

    /// Records the origin of a stream that this instance begins or takes up. Sends it to the holders,
    /// unless all instances know it: then the `route` leads to one service, which has had one version.
    ///
    /// This has to be done before the caller gets an event, after which it may come back elsewhere.
    pub(crate) fn publish(&self, network: &PeerNetwork, route: &Route, record: OriginRecord) {
        self.table().insert_own(self.0.clock.now(), &record);
        let is_sole = self.sole_version(&record.origin.service).is_some();
        if is_sole && !route.is_split() && self.list_is_current() {
            return;
        }
        let candidates = candidates(&network.fleet.roster(), &record.request);
        let own = network.fleet.incarnation();
        let holders = holders(&candidates, own).map(|m| m.addr);
        let holders: SmallVec<[SocketAddr; HOLDERS]> = holders.collect();
        let records = vec![record];
        network.sender.send(&Datagram::Origins(records), holders);
    }

    /// Records that a stream of this instance was received to its end.
    pub(crate) fn complete(&self, request: &str) {
        self.table().remove_own(request);
    }

    /// Adds the records of other instances' streams.
    pub(crate) fn receive(&self, records: &[OriginRecord]) {
        self.observe(records.iter().map(|record| &record.origin));
        let now = self.0.clock.now();
        let mut table = self.table();
        records.iter().for_each(|record| table.insert(now, record));
    }

    /// Answers an instance at which the stream that a request began is continued.
    pub(crate) fn answer(&self, request: &str) -> OriginResponse {
        OriginResponse {
            record: self.table().record(self.0.clock.now(), request),
            versions: self.history().report(self.0.clock.now()),
        }
    }

    /// Returns the number of known records.
    pub(crate) fn len(&self) -> usize {
        self.table().len()
    }

    /// Finds out where the stream that a request began has its origin: by a record here, at the
    /// instances that should hold one, or at those that may; else by `service`, if that has had a single
    /// version. What this instance has heard itself is no proof of that: it may have missed a version.
    pub(crate) async fn find(
        &self,
        network: &PeerNetwork,
        request: &str,
        service: Option<&str>,
    ) -> Found {
        let local = self.table().lookup(self.0.clock.now(), request);
        match local {
            Lookup::Known(origin) => {
                let source = "own".to_string();
                return Found::Known { origin, source };
            }
            Lookup::Conflicting => return Found::Conflicting,
            Lookup::Unknown => {}
        }
        let asked_at = Instant::now();
        let mut others = candidates(&network.fleet.roster(), request);
        others.retain(|m| m.id != network.fleet.incarnation());
        if others.is_empty() {
            // This instance has just started and has not read the list yet, or it is alone.
            others.extend(network.fleet.peers().into_iter().take(CANDIDATES));
        }
        // The instance that began the stream may have been a holder itself: the next one is then one too.
        let (first, rest) = others.split_at(others.len().min(HOLDERS + 1));
        let mut inquiry = Inquiry::default();
        for group in [first, rest] {
            if let Some(found) = self.ask(network, request, group, &mut inquiry).await {
                return found;
            }
            if inquiry.is_answered_by_most() {
                if let Some(found) = self.find_sole(service) {
                    return found;
                }
            }
        }
        // This instance may be cut off, alone or with some others: their lists may be as old as its own.
        let is_unproven = service.is_some() && !inquiry.is_answered_by_most();
        if is_unproven && self.read_stored_versions(asked_at).await {
            if let Some(found) = self.find_sole(service) {
                return found;
            }
        }
        Found::Unknown(inquiry)
    }

    /// Reads the versions that the store has, after the time `since`; returns whether that succeeded: streams that have
    /// begun before began at these. Streams that are continued together share a read.
    async fn read_stored_versions(&self, since: Instant) -> bool {
        let mut last = self.0.last_read.lock().await;
        if let Some(read) = last.filter(|read| read.began_at >= since) {
            return read.succeeded;
        }
        let began_at = Instant::now();
        let read = version_store::read(&*self.0.store);
        let succeeded = match timeout(CALL_TIMEOUT, read).await {
            Ok(Ok(stored)) => {
                self.add_stored(&stored.versions, false);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        };
        *last = Some(StoredRead {
            began_at,
            succeeded,
        });
        succeeded
    }

    /// Asks instances for the record of a stream until one has it.
    async fn ask(
        &self,
        network: &PeerNetwork,
        request: &str,
        group: &[Arc<Member>],
        inquiry: &mut Inquiry,
    ) -> Option<Found> {
        let calls = group.iter().map(|holder| async move {
            let response = network.peer_clients.fetch_origin(holder.addr, request);
            (holder, response.await)
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some((holder, response)) = calls.next().await {
            inquiry.asked += 1;
            let Ok(OriginResponse { record, versions }) = response else {
                inquiry.unanswered += 1;
                continue;
            };
            if let Some(versions) = versions {
                self.update_history(|history, now| {
                    let any_new = history.merge(now, &versions);
                    history.set_complete();
                    any_new
                });
            }
            if let Some(record) = record {
                self.receive(std::slice::from_ref(&record));
                let source = holder.id.clone();
                let origin = Arc::new(record.origin);
                return Some(Found::Known { origin, source });
            }
        }
        None
    }

    /// Returns the only version that a service has had as the origin of a stream without a record.
    fn find_sole(&self, service: Option<&str>) -> Option<Found> {
        let service = service?.to_string();
        let version = self.sole_version(&service)?;
        Some(Found::Known {
            origin: Arc::new(Origin { service, version }),
            source: "sole version".to_string(),
        })
    }

    /// Starts the tasks that send the records of this instance's streams to instances that have become
    /// their holders, and to all holders once a service has a second version.
    pub(crate) fn spawn_refresh(&self, network: &PeerNetwork) {
        tokio::spawn(self.clone().refresh_on_roster_changes(network.clone()));
        tokio::spawn(self.clone().refresh_on_version_changes(network.clone()));
    }

    async fn refresh_on_roster_changes(self, network: PeerNetwork) {
        let mut changes = network.fleet.roster_changes();
        let mut previous = network.fleet.roster();
        while changes.changed().await.is_ok() {
            sleep(REFRESH_DELAY).await;
            changes.mark_unchanged();
            let roster = network.fleet.roster();
            self.send_to_new_holders(&network, Some(&previous), &roster);
            previous = roster;
        }
    }

    async fn refresh_on_version_changes(self, network: PeerNetwork) {
        let mut changes = self.version_changes();
        while changes.changed().await.is_ok() {
            self.send_to_new_holders(&network, None, &network.fleet.roster());
        }
    }

    /// Sends the records of this instance's streams to those of their holders in a roster that were none
    /// in the previous one; to all if there is no previous one.
    fn send_to_new_holders(
        &self,
        network: &PeerNetwork,
        previous: Option<&Roster>,
        roster: &Roster,
    ) {
        let own = network.fleet.incarnation();
        let records = self.table().own_records(self.0.clock.now());
        let mut by_holder: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::new();
        for record in records {
            let before = previous.map(|p| candidates(p, &record.request));
            let before = before.unwrap_or_default();
            let now = candidates(roster, &record.request);
            for holder in holders(&now, own) {
                if !holders(&before, own).any(|b| b.id == holder.id) {
                    let records = by_holder.entry(holder.addr).or_default();
                    records.push(record.clone());
                }
            }
        }
        for (holder, records) in by_holder {
            for records in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
                let datagram = Datagram::Origins(records.to_vec());
                network.sender.send(&datagram, [holder]);
            }
        }
    }
}

/// Returns the instances that may hold the record of the stream that a request began; the first ones
/// should.
fn candidates(roster: &Roster, request: &str) -> SmallVec<[Arc<Member>; CANDIDATES]> {
    let key = StreamKey::of(request).placement_key();
    roster.origin_candidates(key)
}

/// Returns the holders among the candidates, as seen by the instance `own`, which is none itself.
fn holders<'a>(
    candidates: &'a [Arc<Member>],
    own: &'a str,
) -> impl Iterator<Item = &'a Arc<Member>> {
    let others = candidates.iter().filter(move |m| m.id != own);
    others.take(HOLDERS)
}
