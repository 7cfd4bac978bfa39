//! The list of upstreams, read from the store or from an instance that can read it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use clock::Clock;
use dial::Dialer;
use hyper::StatusCode;
use kv::{Change, KeyValue, Store};
use notice::Notice;
use origin::Origin;
use place::{
    AddressState, Choice, EntryChange, MissingEntries, Pool, RateLimit, Spec, UpstreamKey,
    VersionedLimit,
};
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::dialect::{Dialect, Disposition, ResponseInfo};
use crate::event::Event;
use crate::follower::{Follower, FollowerDeps, Update, WATCH_TIMEOUT_MS};
use crate::log::Log;
use crate::notices::Notices;
use crate::origins::Origins;
use crate::replication::Topic;
use crate::store_health::StoreHealth;
use crate::suspects::Suspects;

/// Maximum number of new upstreams, and of entries that can't be parsed, that are logged one by one for an
/// update.
const MAX_LOGGED_UPSTREAMS: usize = 16;

/// Handle to the list of upstreams; clones share it.
#[derive(Clone)]
pub(crate) struct UpstreamList(Arc<Inner>);

struct Inner {
    dialect: Arc<dyn Dialect>,
    pool: Arc<Mutex<Pool>>,
    dialer: Dialer,
    suspects: Suspects,
    origins: Origins,
    notices: Notices,
    store_health: Arc<StoreHealth>,
    log: Arc<Log>,
    clock: Clock,
    state: Mutex<ListState>,
    /// Wakes the task that checks deferred missing entries again.
    entries_deferred: Notify,
}

/// The list as far as it was read.
#[derive(Default)]
struct ListState {
    /// The revision up to which the whole list is known; 0 before the first one.
    revision: i64,
    entries: BTreeMap<String, ListedEntry>,
    missing: MissingEntries,
}

/// Details of the log lines about the entries of one update.
#[derive(Default)]
struct Noted {
    /// Those of new upstreams.
    new: Vec<String>,
    /// Those of entries that can't be parsed.
    invalid: Vec<String>,
}

/// An entry as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedEntry {
    value: Bytes,
    /// The store's revision of the entry, or a later one at which it existed.
    revision: i64,
}

impl ListState {
    /// Returns whether a missing entry counts as removed.
    fn accept_removal(&mut self, now: u64, recovered_at: u64) -> bool {
        let listed = self.entries.len();
        self.missing.accept_removal(now, recovered_at, listed)
    }
}

impl UpstreamList {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        pool: Arc<Mutex<Pool>>,
        dialer: Dialer,
        suspects: Suspects,
        origins: Origins,
        notices: Notices,
        store_health: Arc<StoreHealth>,
        log: Arc<Log>,
        clock: Clock,
    ) -> UpstreamList {
        UpstreamList(Arc::new(Inner {
            dialect,
            pool,
            dialer,
            suspects,
            origins,
            notices,
            store_health,
            log,
            clock,
            state: Mutex::default(),
            entries_deferred: Notify::new(),
        }))
    }

    /// Returns whether at least a part of the list was read.
    pub(crate) fn is_loaded(&self) -> bool {
        let state = self.state();
        state.revision > 0 || !state.entries.is_empty()
    }

    /// Returns the incarnations of upstreams that are leaving according to any source.
    pub(crate) fn leaving_incarnations(&self) -> Vec<String> {
        let leaving = self
            .0
            .pool
            .lock()
            .expect("lock not poisoned")
            .leaving_incarnations();
        leaving.into_iter().collect()
    }

    /// Records that an incarnation of an upstream is leaving according to `source`, and publishes
    /// it.
    pub(crate) fn mark_leaving(&self, incarnation: &str, source: &str) {
        let is_new = self
            .0
            .pool
            .lock()
            .expect("lock not poisoned")
            .mark_leaving(incarnation);
        if is_new {
            self.0.dialer.close_idle(incarnation);
            let detail = format_args!("upstream={incarnation} source={source}");
            self.0.log.event(Event::UpstreamLeaving, detail);
        }
        self.publish_leaving(incarnation);
    }

    fn publish_leaving(&self, incarnation: &str) {
        let upstream = incarnation.to_string();
        self.0.notices.publish(Notice::Leaving { upstream });
    }

    /// Records what a response to a request sent at `sent_at` shows about the address of its upstream, and
    /// publishes a change.
    pub(crate) fn observe_address(&self, choice: &Choice, sent_at: u64, shown: &Disposition) {
        let reused = match shown {
            Disposition::Misdirected => true,
            Disposition::Executed | Disposition::NotExecuted => false,
            Disposition::Invalid(_) => return,
        };
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.observe_address(now, choice, sent_at, reused);
        drop(pool);
        if let Some(state) = changed {
            self.publish_address_change(choice.spec.incarnation(), state, "answer");
        }
    }

    /// Ends the state of an incarnation's address because its entry was removed, and publishes that: an
    /// instance that starts later would take up the notice before.
    fn end_address_reuse(&self, incarnation: &str) {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.end_address_reuse(now, incarnation);
        drop(pool);
        if let Some(state) = changed {
            self.publish_address_change(incarnation.to_string(), state, "list");
        }
    }

    fn publish_address_change(&self, upstream: String, state: AddressState, source: &str) {
        self.handle_address_change(&upstream, state, source);
        self.0.notices.publish(Notice::Address {
            upstream,
            addr: state.addr,
            changes: state.changes,
            reused: state.reused,
        });
    }

    /// Merges the state of an incarnation's address as known by a peer.
    pub(crate) fn merge_address(&self, incarnation: &str, state: AddressState) {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.merge_address(now, incarnation, state);
        drop(pool);
        if changed {
            self.handle_address_change(incarnation, state, "peer");
        }
    }

    /// Logs a change of the state of an address, and closes idle connections if another upstream uses
    /// it.
    fn handle_address_change(&self, incarnation: &str, state: AddressState, source: &str) {
        let event = if state.reused {
            self.0.dialer.close_idle(incarnation);
            Event::AddressReused
        } else {
            Event::AddressRestored
        };
        let AddressState { addr, changes, .. } = state;
        let detail =
            format_args!("upstream={incarnation} addr={addr} changes={changes} source={source}");
        self.0.log.event(event, detail);
    }

    /// Merges the request rate limit of an incarnation as known by a peer, and logs a change.
    pub(crate) fn merge_limit(&self, incarnation: &str, limit: VersionedLimit) {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.merge_limit(now, incarnation, limit);
        drop(pool);
        if changed {
            let per_sec = limit.rate.map(RateLimit::as_per_sec);
            let detail = format_args!("upstream={incarnation} per_sec={per_sec:?} source=peer");
            self.0.log.event(Event::UpstreamLimitChanged, detail);
        }
    }

    /// Returns a notice for each request rate limit of a listed upstream.
    pub(crate) fn limit_notices(&self) -> Vec<Notice> {
        let limits = self
            .0
            .pool
            .lock()
            .expect("lock not poisoned")
            .versioned_limits();
        let notice = |(upstream, limit): (String, VersionedLimit)| limit_notice(upstream, limit);
        limits.into_iter().map(notice).collect()
    }

    /// Records the request rate limit in an upstream's response to a request sent at `sent_at`, or
    /// its absence, and publishes a change.
    pub(crate) fn set_limit(
        &self,
        key: UpstreamKey,
        sent_at: u64,
        limit: Option<RateLimit>,
    ) -> Option<VersionedLimit> {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.set_limit(now, key, sent_at, limit)?;
        let incarnation = pool.incarnation(key);
        drop(pool);
        self.0.notices.publish(limit_notice(incarnation, changed));
        Some(changed)
    }

    /// Records whether an upstream of a service is brittle, by a response to a request sent at
    /// `sent_at`, and logs a change.
    pub(crate) fn set_brittle(&self, service: &str, sent_at: u64, brittle: bool) {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        let changed = pool.set_brittle(now, service, sent_at, brittle);
        drop(pool);
        if changed {
            let detail = format_args!("service={service} brittle={brittle}");
            self.0.log.event(Event::BrittleChanged, detail);
        }
    }

    /// Applies what a response of an upstream says about whether it is brittle, and records a
    /// rejection. Only a successful response without that header ends it: refusals and errors may
    /// lack the header.
    pub(crate) fn apply_brittle(
        &self,
        spec: &Spec,
        sent_at: u64,
        info: &ResponseInfo,
        status: StatusCode,
    ) {
        let rejected = info.disposition == Disposition::NotExecuted;
        let success = info.disposition == Disposition::Executed && status.is_success();
        if success || (info.brittle && rejected) {
            self.set_brittle(&spec.service, sent_at, info.brittle);
        }
        if rejected && status == StatusCode::SERVICE_UNAVAILABLE {
            let now = self.0.clock.now();
            let mut pool = self.0.pool.lock().expect("lock not poisoned");
            pool.record_rejection(now, &spec.incarnation());
        }
    }

    /// Handles a peer's notice that an upstream's entry was removed at a revision.
    pub(crate) fn record_removal(&self, id: &str, revision: i64) {
        let key = format!("{}{id}", self.0.dialect.upstream_prefix());
        self.handle_missing_unless_rewritten(&key, revision);
    }

    /// Returns whether an entry is known to have been removed after it was written at a revision.
    fn is_removed(&self, key: &str, revision: i64) -> bool {
        let id = self.0.dialect.upstream_id(key);
        self.0
            .notices
            .removed_at(id)
            .is_some_and(|removed_at| removed_at > revision)
    }

    /// Returns whether an entry of a revision is known to have been removed or written again since.
    fn is_outdated(&self, key: &str, revision: i64) -> bool {
        let known = self.state().entries.get(key).map(|e| e.revision);
        known.is_some_and(|known| known > revision) || self.is_removed(key, revision)
    }

    /// Starts the tasks that follow the list.
    pub(crate) fn spawn(&self, store: Arc<dyn Store>, follower_deps: FollowerDeps) {
        tokio::spawn(self.clone().recheck_deferred());
        let list = self.clone();
        tokio::spawn(async move {
            let prefix = list.0.dialect.upstream_prefix().to_string();
            let mut follower = Follower::new(
                store,
                follower_deps,
                Topic::Upstreams,
                &prefix,
                None,
                WATCH_TIMEOUT_MS,
            );
            loop {
                list.apply(follower.next().await);
            }
        });
    }

    /// Applies what was read from the store, here or by a peer.
    pub(crate) fn apply(&self, update: Update) {
        match update {
            Update::Snapshot(items, revision) => {
                let items = items.into_iter().map(to_listed_entry).collect();
                self.apply_snapshot(items, revision);
            }
            Update::Changes(changes, revision) => self.apply_changes(changes, revision),
            Update::Partial(changes) => self.apply_changes(changes, 0),
            Update::Unavailable => {}
        }
    }

    /// Applies the complete list as of a revision, unless a newer one is known.
    fn apply_snapshot(&self, mut items: BTreeMap<String, ListedEntry>, revision: i64) {
        items.retain(|key, entry| !self.is_removed(key, entry.revision));
        let known = {
            let state = self.state();
            if revision < state.revision {
                return;
            }
            state.entries.clone()
        };
        let mut noted = Noted::default();
        for (key, entry) in &items {
            let value = &entry.value;
            if known.get(key).map(|e| &e.value) != Some(value) {
                self.apply_entry(key, value, entry.revision, &mut noted);
            }
        }
        self.log_noted(&noted);
        for key in known.keys().filter(|k| !items.contains_key(*k)) {
            self.handle_missing(key, revision);
        }
        let mut state = self.state();
        state.entries.extend(items);
        state.revision = revision;
        self.0.notices.set_upstream_count(state.entries.len());
    }

    /// Applies changes, which are complete up to `revision`; 0 if there may be others.
    fn apply_changes(&self, changes: Vec<Change>, revision: i64) {
        let mut noted = Noted::default();
        for change in changes {
            match change.current {
                Some(current) if self.is_outdated(&current.key, current.revision) => {}
                Some(current) => {
                    let revision = current.revision;
                    self.apply_entry(&current.key, &current.value, revision, &mut noted);
                    let (key, entry) = to_listed_entry(current);
                    let mut state = self.state();
                    state.entries.insert(key, entry);
                }
                None => self.handle_missing(&change.key, change.revision),
            }
        }
        self.log_noted(&noted);
        let mut state = self.state();
        state.revision = state.revision.max(revision);
        self.0.notices.set_upstream_count(state.entries.len());
    }

    /// Handles an entry that is missing as of a revision: it is removed, or checked again later.
    fn handle_missing(&self, key: &str, revision: i64) {
        let (now, recovered_at) = (self.0.clock.now(), self.0.store_health.recovered_at());
        let removed = {
            let mut state = self.state();
            let listed = state.entries.contains_key(key);
            let removed = listed && state.accept_removal(now, recovered_at);
            if removed {
                state.entries.remove(key);
            } else if listed {
                state.missing.defer(key, revision);
                self.0.entries_deferred.notify_one();
            }
            removed
        };
        if removed {
            self.delist(key);
            let upstream = self.0.dialect.upstream_id(key).to_string();
            self.0.notices.publish(Notice::Gone { upstream, revision });
        }
    }

    /// Checks deferred missing entries again once upstreams have had time to rewrite expired
    /// entries.
    async fn recheck_deferred(self) {
        loop {
            let at = self.state().missing.recheck_at();
            let Some(at) = at else {
                self.0.entries_deferred.notified().await;
                continue;
            };
            sleep_until(self.0.clock.at(at)).await;
            let due = self.state().missing.take_due(self.0.clock.now());
            for (key, revision) in due {
                self.handle_missing_unless_rewritten(&key, revision);
            }
        }
    }

    /// Handles a listed entry as missing as of a revision, unless it was written at that revision
    /// or later.
    fn handle_missing_unless_rewritten(&self, key: &str, revision: i64) {
        let entry = self.state().entries.get(key).cloned();
        if entry.is_some_and(|e| e.revision < revision) {
            self.handle_missing(key, revision);
        }
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.0.state.lock().expect("lock not poisoned")
    }

    /// Applies an entry, and notes it if its upstream is new or if it can't be parsed. Other programs
    /// write these keys, too: an upstream whose entry can't be parsed counts as not listed.
    fn apply_entry(&self, key: &str, value: &[u8], revision: i64, noted: &mut Noted) {
        let mut spec = match self.0.dialect.parse_upstream(key, value) {
            Ok(spec) => spec,
            Err(why) => {
                noted.invalid.push(format!("key={key} why={why}"));
                self.delist(key);
                return;
            }
        };
        spec.revision = revision;
        let incarnation = spec.incarnation();
        let detail = format!(
            "upstream={incarnation} service={} version={} zone={} addr={}",
            spec.service, spec.version, spec.zone, spec.addr
        );
        // Before the upstream gets a request: the streams that it begins need records.
        let origin = Origin {
            service: spec.service.clone(),
            version: spec.version.clone(),
        };
        self.0.origins.observe([&origin]);
        let leaving = spec.leaving;
        if leaving {
            self.publish_leaving(&incarnation);
        }
        let now = self.0.clock.now();
        let change = self
            .0
            .pool
            .lock()
            .expect("lock not poisoned")
            .upsert(now, spec);
        self.0.origins.request_recording(&origin);
        let event = match change {
            EntryChange::Unchanged => return,
            EntryChange::Restarted { ended } => {
                self.0.dialer.close_all(&ended);
                self.0.suspects.upstream_crashed(&ended);
                Event::UpstreamRestarted
            }
            EntryChange::New | EntryChange::Leaving if leaving => {
                self.0.dialer.close_idle(&incarnation);
                Event::UpstreamLeaving
            }
            EntryChange::New | EntryChange::Leaving => return noted.new.push(detail),
        };
        self.0.log.event(event, detail);
    }

    /// Logs new upstreams and entries that can't be parsed. If there are many at once, only their
    /// number is logged, and one of those that can't be parsed, since their lines would displace all
    /// others.
    fn log_noted(&self, noted: &Noted) {
        let log = &self.0.log;
        if noted.new.len() > MAX_LOGGED_UPSTREAMS {
            let count = format_args!("count={}", noted.new.len());
            log.event(Event::UpstreamAdded, count);
        } else {
            for detail in &noted.new {
                log.event(Event::UpstreamAdded, detail);
            }
        }
        match noted.invalid.as_slice() {
            [first, ..] if noted.invalid.len() > MAX_LOGGED_UPSTREAMS => {
                let detail = format_args!("count={} {first}", noted.invalid.len());
                log.event(Event::UpstreamEntryInvalid, detail);
            }
            details => {
                for detail in details {
                    log.event(Event::UpstreamEntryInvalid, detail);
                }
            }
        }
    }

    /// Removes an upstream by the key of its entry.
    fn delist(&self, key: &str) {
        let id = self.0.dialect.upstream_id(key);
        let ended = self.0.pool.lock().expect("lock not poisoned").delist(id);
        if let Some(incarnation) = ended {
            self.end_address_reuse(&incarnation);
            self.0.dialer.close_idle(&incarnation);
            let detail = format_args!("upstream={incarnation}");
            self.0.log.event(Event::UpstreamRemoved, detail);
            self.0.suspects.upstream_crashed(&incarnation);
        }
    }
}

/// Returns the notice that publishes the request rate limit of an upstream.
fn limit_notice(upstream: String, limit: VersionedLimit) -> Notice {
    Notice::Limit {
        upstream,
        changes: limit.changes,
        rate: limit.rate.map(RateLimit::to_bits),
    }
}

/// Returns a key and its entry as read from the store.
fn to_listed_entry(key_value: KeyValue) -> (String, ListedEntry) {
    let value = Bytes::from(key_value.value);
    let revision = key_value.revision;
    (key_value.key, ListedEntry { value, revision })
}
