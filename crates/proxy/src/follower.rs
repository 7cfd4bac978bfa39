//! Follows the keys under a prefix of the store, by reading the store or fetching from instances
//! that have read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kv::{Change, Consistency, KeyValue, Listing, Store, WatchResult};
use tokio::time::{sleep, sleep_until, Instant};

use crate::peers::PeerClients;
use crate::relay::{Relay, Source};
use crate::replication::{DeltaRequest, DeltaResponse, Topic};
use crate::store_health::StoreHealth;

/// Maximum duration of a watch, in milliseconds: a longer one would lose more time when it hangs, a
/// shorter one would cause more calls, each of which is billed.
pub(crate) const WATCH_TIMEOUT_MS: u64 = 2_500;
/// Delay between a watch that returned changes and the next one, which returns all changes in
/// between at once. Without it, a fleet that starts at the same time as a hundred upstreams makes
/// one call per upstream at each instance. It is short compared to the two seconds within which a
/// change must be in force.
const WATCH_DELAY: Duration = Duration::from_millis(400);
/// Delay between the first list of the instances and the first watch, so that one call returns all
/// instances that start together. A delay longer than a start takes would hold up what depends on
/// knowing them.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Delay after a failed call: short compared to the two seconds within which a change must be in
/// force, long compared to a call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before an instance that is behind asks another peer, after one had nothing newer or
/// rejected the request.
const BEHIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which all keys are listed again, in case watches miss changes. No such case is
/// known; this limits the damage that one would do.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);

/// An update of the keys that a follower follows.
#[derive(Debug)]
pub(crate) enum Update {
    /// All keys with their values, and the revision at which they were read.
    Snapshot(Vec<KeyValue>, i64),
    /// All changes up to a revision.
    Changes(Vec<Change>, i64),
    /// Changes of some keys; others may have changed too.
    Partial(Vec<Change>),
    /// A call of the store failed, so there is nothing to apply.
    Unavailable,
}

/// Follows the keys under one prefix: in the store, or through instances that have read it.
pub(crate) struct Follower {
    store: Arc<dyn Store>,
    deps: FollowerDeps,
    topic: Topic,
    prefix: String,
    /// The prefix of the keys that are needed first, if those are only some of them.
    priority_prefix: Option<String>,
    /// Whether the next watch is limited to the priority keys: a large zone has readers for the
    /// rest.
    watch_priority_next: bool,
    /// Maximum duration of a watch, in milliseconds.
    watch_timeout_ms: u64,
    /// The revision up to which the last list or watch has read; `None` before the first list, and
    /// after the history was discarded.
    watch_after: Option<i64>,
    /// Whether the store has discarded the history after the last list.
    compacted: bool,
    /// When to list all keys again.
    relist_at: Instant,
    /// No watch starts before this time.
    next_watch_at: Instant,
    /// A fetch of which pages are still missing.
    fetch: Option<PagedFetch>,
    /// Whether only the first page of the keys was read from the store: the others take many calls.
    has_more_pages: bool,
    /// Whether the last attempt to fetch from another instance brought nothing newer.
    last_fetch_empty: bool,
}

/// The outcome of a fetch from another instance.
enum FetchOutcome {
    /// It returned something newer, or a page of it.
    Received(Update),
    /// The instance has nothing newer, or rejected the request.
    Empty,
    /// The instance did not answer in time, or its pages don't belong together.
    Failed,
}

/// A fetch from another instance in several pages.
struct PagedFetch {
    peer: SocketAddr,
    /// The request for the next page.
    next_request: DeltaRequest,
    /// The pages received so far, with the revision of the first one.
    received: DeltaResponse,
}

/// What a follower needs in addition to the store.
#[derive(Clone)]
pub(crate) struct FollowerDeps {
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) relay: Relay,
    pub(crate) peer_clients: PeerClients,
}

impl Follower {
    pub(crate) fn new(
        store: Arc<dyn Store>,
        deps: FollowerDeps,
        topic: Topic,
        prefix: &str,
        priority_prefix: Option<String>,
        watch_timeout_ms: u64,
    ) -> Follower {
        Follower {
            store,
            deps,
            topic,
            prefix: prefix.to_string(),
            priority_prefix,
            watch_priority_next: false,
            watch_timeout_ms,
            watch_after: None,
            compacted: false,
            relist_at: Instant::now(),
            next_watch_at: Instant::now(),
            fetch: None,
            has_more_pages: false,
            last_fetch_empty: false,
        }
    }

    /// Waits for the next update.
    pub(crate) async fn next(&mut self) -> Update {
        let relay = self.deps.relay.clone();
        let mut other_peer = None;
        loop {
            let peer = self.fetch.as_ref().map(|f| f.peer).or(other_peer.take());
            let source = peer.map_or_else(|| self.source(), Source::Peer);
            if source != Source::Store {
                // Only instances that keep reading the store list all keys again, to find changes
                // that watches have missed.
                self.relist_at = Instant::now() + RELIST_INTERVAL;
            }
            let outcome = match source {
                Source::Store => None,
                Source::Peer(addr) => Some(self.fetch_page(addr).await),
                Source::Nowhere => Some(FetchOutcome::Empty),
            };
            match outcome {
                Some(FetchOutcome::Received(update)) => {
                    self.last_fetch_empty = false;
                    return update;
                }
                Some(FetchOutcome::Failed) if self.may_read_store() => {
                    other_peer = self.peer_ahead();
                    if other_peer.is_some() {
                        continue;
                    }
                }
                Some(FetchOutcome::Empty | FetchOutcome::Failed) => {
                    self.last_fetch_empty = true;
                    if relay.is_behind(self.topic) {
                        sleep(BEHIND_RETRY_DELAY).await;
                    } else {
                        relay.wait_for_heartbeat().await;
                    }
                    continue;
                }
                None => {}
            }
            if let Some(update) = self.read_store().await {
                relay.apply_store_update(self.topic, &update);
                return update;
            }
        }
    }

    /// Returns where to read next.
    fn source(&self) -> Source {
        let relay = &self.deps.relay;
        if self.has_more_pages && relay.revision(self.topic) == 0 {
            return relay.initial_source(self.topic, true);
        }
        if self.last_fetch_empty {
            return relay.alternative_source(self.topic);
        }
        relay.source(self.topic)
    }

    /// Returns whether to read the store after another instance did not answer. This is not done
    /// while other instances may have what is missing, nor if it takes many calls.
    fn may_read_store(&self) -> bool {
        let relay = &self.deps.relay;
        relay.revision(self.topic) > 0 && !relay.is_behind(self.topic)
    }

    /// Returns an instance that is known to have what is missing here.
    fn peer_ahead(&self) -> Option<SocketAddr> {
        match self.deps.relay.source(self.topic) {
            Source::Peer(addr) => Some(addr),
            Source::Store | Source::Nowhere => None,
        }
    }

    /// Fetches the next page of changes from another instance.
    async fn fetch_page(&mut self, addr: SocketAddr) -> FetchOutcome {
        let relay = &self.deps.relay;
        let (request, previous) = match self.fetch.take() {
            Some(fetch) => (fetch.next_request, Some(fetch.received)),
            None => {
                let revision = relay.revision(self.topic);
                let request = DeltaRequest::first_page(self.topic, revision);
                (request, None)
            }
        };
        let Ok(page) = self.deps.peer_clients.fetch_delta(addr, &request).await else {
            relay.forget_peer(addr);
            return FetchOutcome::Failed;
        };
        // Applying this response would not advance the revision, and the same request would follow
        // immediately.
        let newer = page.revision > request.revision;
        if !newer && previous.is_none() {
            return FetchOutcome::Empty;
        }
        let changes = page.changes();
        let (mut received, next) = match previous {
            None => {
                let next = page.next.clone();
                (page, next)
            }
            Some(mut received) => {
                // Between two pages the instance may have discarded tombstones that the first one
                // was based on.
                if !received.delta.append(page.delta) {
                    return FetchOutcome::Failed;
                }
                (received, page.next)
            }
        };
        if next.is_none() {
            return FetchOutcome::Received(relay.apply_delta(self.topic, received));
        }
        received.next = None;
        self.fetch = Some(PagedFetch {
            peer: addr,
            next_request: DeltaRequest {
                after: next,
                ..request
            },
            received,
        });
        // An instance starts to serve requests with a part of the list.
        FetchOutcome::Received(Update::Partial(changes))
    }

    /// Reads the store; `None` if nothing is new.
    async fn read_store(&mut self) -> Option<Update> {
        // What was received from another instance does not have to be read again.
        let known = self.deps.relay.revision(self.topic);
        let received = (known > 0 && !self.compacted).then_some(known);
        let after = self.watch_after.map(|after| after.max(known)).or(received);
        let overdue =
            self.deps.relay.must_read_store(self.topic) && Instant::now() >= self.next_watch_at;
        if overdue {
            self.next_watch_at = Instant::now() + WATCH_DELAY;
        }
        let due = overdue || Instant::now() >= self.relist_at;
        match after.filter(|_| !due) {
            Some(after) => self.watch(after).await,
            None => self.list(known).await,
        }
    }

    /// Lists the keys, or only the first page of them if nothing is known yet.
    async fn list(&mut self, known: i64) -> Option<Update> {
        if known == 0 && !self.has_more_pages {
            match self
                .store
                .first_page(&self.prefix, self.list_consistency())
                .await
            {
                // An instance starts to serve requests with a part of the list.
                Ok(page) if page.has_more => return Some(self.first_page(page).await),
                Ok(page) => return self.snapshot(page, known),
                Err(_) => return Some(self.unavailable().await),
            }
        }
        match self.store.list(&self.prefix, self.list_consistency()).await {
            Ok(listing) => self.snapshot(listing, known),
            Err(_) => Some(self.unavailable().await),
        }
    }

    /// Returns the first of several pages, or instead the first page of the priority keys.
    async fn first_page(&mut self, first: Listing) -> Update {
        let page = match &self.priority_prefix {
            Some(prefix) => self.store.first_page(prefix, self.list_consistency()).await,
            None => Ok(first),
        };
        match page {
            Ok(page) => {
                self.has_more_pages = true;
                Update::Partial(page.entries.into_iter().map(key_value_to_change).collect())
            }
            Err(_) => self.unavailable().await,
        }
    }

    /// Returns a complete list as an update; `None` if it is older than what is known.
    fn snapshot(&mut self, listing: Listing, known: i64) -> Option<Update> {
        self.watch_after = Some(listing.revision);
        self.compacted = false;
        self.relist_at = Instant::now() + RELIST_INTERVAL;
        if known == 0 && self.priority_prefix.is_some() {
            // After this delay, all instances that started together are listed.
            self.next_watch_at = Instant::now() + FIRST_WATCH_DELAY;
            self.watch_priority_next = true;
        }
        // The watch continues after the revision that is known. An older list would undo changes
        // that no watch returns again.
        let newer = listing.revision >= known;
        newer.then_some(Update::Snapshot(listing.entries, listing.revision))
    }

    /// Returns how up to date a list must be.
    ///
    /// A list from which a watch continues may be old, because the watch returns the rest
    /// immediately. That matters when hundreds of instances that lost power together list thousands
    /// of upstreams. A list must be up to date if the history was discarded, since the revision of
    /// an old one could be discarded as well, and if it complements watches, which have read
    /// further.
    fn list_consistency(&self) -> Consistency {
        if self.watch_after.is_none() && !self.compacted {
            Consistency::Serializable
        } else {
            Consistency::Linearizable
        }
    }

    async fn watch(&mut self, after: i64) -> Option<Update> {
        sleep_until(self.next_watch_at).await;
        let relay = self.deps.relay.clone();
        let priority_only = std::mem::take(&mut self.watch_priority_next);
        let prefix = self
            .priority_prefix
            .as_ref()
            .filter(|_| priority_only)
            .unwrap_or(&self.prefix);
        let timeout_ms = if priority_only {
            0
        } else {
            self.watch_timeout_ms
        };
        let result = tokio::select! {
            result = self.store.watch(prefix, after, timeout_ms) => result,
            // Other instances have read a change that the watch has not returned: it is read from
            // another source.
            () = relay.wait_until_overdue(self.topic) => return None,
        };
        match result {
            Ok(WatchResult::Changes { changes, .. }) if priority_only => {
                Some(Update::Partial(changes))
            }
            Ok(WatchResult::Changes { changes, revision }) => {
                if !changes.is_empty() {
                    self.next_watch_at = Instant::now() + WATCH_DELAY;
                }
                self.watch_after = Some(after.max(revision));
                (!changes.is_empty()).then_some(Update::Changes(changes, revision))
            }
            Ok(WatchResult::Compacted) => {
                self.watch_after = None;
                self.compacted = true;
                None
            }
            Err(_) => Some(self.unavailable().await),
        }
    }

    /// Waits after a failed call until the store is available.
    async fn unavailable(&mut self) -> Update {
        sleep(RETRY_DELAY).await;
        self.deps.store_health.wait_until_available().await;
        Update::Unavailable
    }
}

/// Converts a key that was read to the change that wrote it.
fn key_value_to_change(key_value: KeyValue) -> Change {
    Change {
        key: key_value.key.clone(),
        revision: key_value.revision,
        current: Some(key_value),
    }
}
