//! The list of upstreams, from the store or from an instance that reaches it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use clock::Clock;
use dial::Dialer;
use kv::{Change, Found, Store};
use notice::Notice;
use place::{EntryChange, MissingEntries, Pool, RateLimit, UpstreamKey, VersionedLimit};
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::dialect::Dialect;
use crate::event::Event;
use crate::follower::{FollowContext, Follower, Update, WATCH_TIMEOUT_MS};
use crate::log::Log;
use crate::notices::Notices;
use crate::replication::Topic;
use crate::store_health::StoreHealth;
use crate::suspects::Suspects;

/// New upstreams of one change that are logged one by one.
const MAX_LOGGED_UPSTREAMS: usize = 16;

/// A handle on the list of upstreams.
#[derive(Clone)]
pub(crate) struct UpstreamList(Arc<Inner>);

struct Inner {
    dialect: Arc<dyn Dialect>,
    pool: Arc<Mutex<Pool>>,
    dialer: Dialer,
    suspects: Suspects,
    notices: Notices,
    store_health: Arc<StoreHealth>,
    log: Arc<Log>,
    clock: Clock,
    state: Mutex<ListState>,
    /// Wakes the task that checks deferred missing entries again.
    entries_deferred: Notify,
}

#[derive(Default)]
struct ListState {
    revision: i64,
    entries: BTreeMap<String, ListedEntry>,
    missing: MissingEntries,
}

/// An entry as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedEntry {
    value: Bytes,
    /// The store's revision of it, or a later one at which it was there.
    revision: i64,
}

impl ListState {
    /// Returns whether an entry that is missing is taken for gone.
    fn accept_removal(&mut self, now: u64, back_at: u64) -> bool {
        let listed = self.entries.len();
        self.missing.accept_removal(now, back_at, listed)
    }
}

impl UpstreamList {
    pub(crate) fn open(
        dialect: Arc<dyn Dialect>,
        pool: Arc<Mutex<Pool>>,
        dialer: Dialer,
        suspects: Suspects,
        notices: Notices,
        reach: Arc<StoreHealth>,
        log: Arc<Log>,
        clock: Clock,
    ) -> UpstreamList {
        UpstreamList(Arc::new(Inner {
            dialect,
            pool,
            dialer,
            suspects,
            notices,
            store_health: reach,
            log,
            clock,
            state: Mutex::default(),
            entries_deferred: Notify::new(),
        }))
    }

    /// Returns whether the list was ever read, or a part of it.
    pub(crate) fn is_loaded(&self) -> bool {
        let seen = self.state();
        seen.revision > 0 || !seen.entries.is_empty()
    }

    /// Returns the incarnations of upstreams that some source said are leaving.
    pub(crate) fn leaving_incarnations(&self) -> Vec<String> {
        let leaving = self
            .0
            .pool
            .lock()
            .expect("no panic inside")
            .leaving_incarnations();
        leaving.into_iter().collect()
    }

    /// Notes that an incarnation of an upstream is leaving, by whatever source.
    pub(crate) fn mark_leaving(&self, incarnation: &str, source: &str) {
        let news = self
            .0
            .pool
            .lock()
            .expect("no panic inside")
            .mark_leaving(incarnation);
        if news {
            self.0.dialer.forget(incarnation);
            let detail = format_args!("upstream={incarnation} source={source}");
            self.0.log.event(Event::UpstreamLeaving, detail);
        }
        self.publish_leaving(incarnation);
    }

    fn publish_leaving(&self, incarnation: &str) {
        let upstream = incarnation.to_string();
        self.0.notices.publish(Notice::Leaving { upstream });
    }

    /// Merges a peer's state of an incarnation's request rate limit and logs a change.
    pub(crate) fn merge_limit(&self, incarnation: &str, limit: VersionedLimit) {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("no panic inside");
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
            .expect("no panic inside")
            .versioned_limits();
        let notice = |(upstream, limit): (String, VersionedLimit)| limit_notice(upstream, limit);
        limits.into_iter().map(notice).collect()
    }

    /// Records the request rate limit, or its absence, in an upstream's answer to a request, and gossips a change.
    pub(crate) fn set_limit(
        &self,
        key: UpstreamKey,
        sent_at: u64,
        limit: Option<RateLimit>,
    ) -> Option<VersionedLimit> {
        let now = self.0.clock.now();
        let mut pool = self.0.pool.lock().expect("no panic inside");
        let changed = pool.set_limit(now, key, sent_at, limit)?;
        let incarnation = pool.incarnation(key);
        drop(pool);
        self.0.notices.publish(limit_notice(incarnation, changed));
        Some(changed)
    }

    /// Takes a peer's report that an upstream's entry was removed at a revision.
    pub(crate) fn record_removal(&self, id: &str, revision: i64) {
        let key = format!("{}{id}", self.0.dialect.upstream_prefix());
        self.handle_missing_unless_rewritten(&key, revision);
    }

    /// Returns whether a peer has said that an entry was removed later than it was written.
    fn is_removed(&self, key: &str, revision: i64) -> bool {
        let id = self.0.dialect.upstream_id(key);
        self.0
            .notices
            .removed_at(id)
            .is_some_and(|gone| gone > revision)
    }

    /// Follows the store.
    pub(crate) fn spawn(&self, store: Arc<dyn Store>, feed: FollowContext) {
        tokio::spawn(self.clone().recheck_deferred());
        let listing = self.clone();
        tokio::spawn(async move {
            let prefix = listing.0.dialect.upstream_prefix().to_string();
            let mut follow = Follower::open(
                store,
                feed,
                Topic::Upstreams,
                &prefix,
                None,
                WATCH_TIMEOUT_MS,
            );
            loop {
                listing.apply(follow.next().await);
            }
        });
    }

    /// Takes what was read of the store, here or by a peer.
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

    fn apply_snapshot(&self, mut items: BTreeMap<String, ListedEntry>, revision: i64) {
        items.retain(|key, entry| !self.is_removed(key, entry.revision));
        let known = {
            let seen = self.state();
            if revision < seen.revision {
                return;
            }
            seen.entries.clone()
        };
        let mut new = Vec::new();
        for (key, entry) in &items {
            let value = &entry.value;
            if known.get(key).map(|e| &e.value) != Some(value) {
                new.extend(self.apply_entry(key, value));
            }
        }
        self.log_new(&new);
        for key in known.keys().filter(|k| !items.contains_key(*k)) {
            self.handle_missing(key, revision);
        }
        let mut seen = self.state();
        seen.entries.extend(items);
        seen.revision = revision;
        self.0.notices.set_upstream_count(seen.entries.len());
    }

    fn apply_changes(&self, changes: Vec<Change>, revision: i64) {
        let mut new = Vec::new();
        for change in changes {
            match change.now {
                Some(found) if self.is_removed(&found.key, found.revision) => {}
                Some(found) => {
                    new.extend(self.apply_entry(&found.key, &found.value));
                    let (key, entry) = to_listed_entry(found);
                    let mut seen = self.state();
                    seen.entries.insert(key, entry);
                }
                None => self.handle_missing(&change.key, change.revision),
            }
        }
        self.log_new(&new);
        let mut seen = self.state();
        seen.revision = seen.revision.max(revision);
        self.0.notices.set_upstream_count(seen.entries.len());
    }

    /// Takes that an entry is missing at a revision.
    fn handle_missing(&self, key: &str, revision: i64) {
        let (now, back_at) = (self.0.clock.now(), self.0.store_health.recovered_at());
        let gone = {
            let mut seen = self.state();
            let listed = seen.entries.contains_key(key);
            let gone = listed && seen.accept_removal(now, back_at);
            if gone {
                seen.entries.remove(key);
            } else if listed {
                seen.missing.defer(key, revision);
                self.0.entries_deferred.notify_one();
            }
            gone
        };
        if gone {
            self.delist(key);
            let upstream = self.0.dialect.upstream_id(key).to_string();
            self.0.notices.publish(Notice::Gone { upstream, revision });
        }
    }

    /// Checks deferred missing entries again once upstreams have had time to write expired entries again.
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

    /// Treats a listed entry as missing at a revision, unless it was written at that revision or later.
    fn handle_missing_unless_rewritten(&self, key: &str, revision: i64) {
        let entry = self.state().entries.get(key).cloned();
        if entry.is_some_and(|e| e.revision < revision) {
            self.handle_missing(key, revision);
        }
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.0.state.lock().expect("no panic inside")
    }

    /// Takes an entry; returns the detail of the log line where it names a new upstream. One that can't be read, for others write there
    /// too, names no upstream to use.
    fn apply_entry(&self, key: &str, value: &[u8]) -> Option<String> {
        let spec = match self.0.dialect.parse_upstream(key, value) {
            Ok(spec) => spec,
            Err(why) => {
                let detail = format_args!("key={key} why={why}");
                self.0.log.event(Event::UpstreamEntryInvalid, detail);
                self.delist(key);
                return None;
            }
        };
        let incarnation = spec.incarnation();
        let detail = format!(
            "upstream={incarnation} service={} zone={} addr={}",
            spec.service, spec.zone, spec.addr
        );
        let leaving = spec.leaving;
        if leaving {
            self.publish_leaving(&incarnation);
        }
        let now = self.0.clock.now();
        let listed = self
            .0
            .pool
            .lock()
            .expect("no panic inside")
            .upsert(now, spec);
        let event = match listed {
            EntryChange::Unchanged => return None,
            EntryChange::Restarted { ended } => {
                self.0.dialer.cut(&ended);
                self.0.suspects.upstream_crashed(&ended);
                Event::UpstreamRestarted
            }
            EntryChange::New | EntryChange::Leaving if leaving => {
                self.0.dialer.forget(&incarnation);
                Event::UpstreamLeaving
            }
            EntryChange::New | EntryChange::Leaving => return Some(detail),
        };
        self.0.log.event(event, detail);
        None
    }

    /// Logs new upstreams: of many that come together only how many, for their lines would crowd out all others.
    fn log_new(&self, details: &[String]) {
        if details.len() > MAX_LOGGED_UPSTREAMS {
            let count = format_args!("count={}", details.len());
            return self.0.log.event(Event::UpstreamAdded, count);
        }
        for detail in details {
            self.0.log.event(Event::UpstreamAdded, detail);
        }
    }

    fn delist(&self, key: &str) {
        let id = self.0.dialect.upstream_id(key);
        let ended = self.0.pool.lock().expect("no panic inside").delist(id);
        if let Some(incarnation) = ended {
            self.0.dialer.forget(&incarnation);
            let detail = format_args!("upstream={incarnation}");
            self.0.log.event(Event::UpstreamRemoved, detail);
            self.0.suspects.upstream_crashed(&incarnation);
        }
    }
}

fn limit_notice(upstream: String, limit: VersionedLimit) -> Notice {
    Notice::Limit {
        upstream,
        changes: limit.changes,
        rate: limit.rate.map(RateLimit::to_bits),
    }
}

/// Returns the entry that was found under a key.
fn to_listed_entry(found: Found) -> (String, ListedEntry) {
    let value = Bytes::from(found.value);
    let revision = found.revision;
    (found.key, ListedEntry { value, revision })
}
