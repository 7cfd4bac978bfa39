//! Follows the keys under a prefix of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kv::{Change, Found, Listing, News, Reading, Store};
use tokio::time::{sleep, sleep_until, Instant};

use crate::peers::Peers;
use crate::relay::{Relay, Source};
use crate::replication::{DeltaRequest, DeltaResponse, Topic};
use crate::store_health::StoreHealth;

/// Longest wait of one watch, in milliseconds: a watch that hangs costs so much time, and each one
/// is a call that is paid for.
pub(crate) const WATCH_TIMEOUT_MS: u64 = 2_500;
/// Pause after a watch that brought changes: what changes meanwhile comes with the next one together.
/// Without it a fleet that starts beside a hundred upstreams makes a call for each of them at each
/// instance. Short against the two seconds in which a change is in force.
const WATCH_DELAY: Duration = Duration::from_millis(400);
/// Pause between the first list of the instances and the first watch: those that start together come with one call then, and
/// longer than it takes to start would put off what needs to know them.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Pause after a call that failed: short against the two seconds in which a change is in force, long
/// against a call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Pause before an instance that is behind asks another one, after it was turned away.
const BEHIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// All keys are read again after this time: a watch may go on without ever bringing what changed. No such
/// case is known; it bounds what one would do.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);

/// What a follower learns.
#[derive(Debug)]
pub(crate) enum Update {
    /// All keys as they are now, and the revision at which they were read.
    Snapshot(Vec<Found>, i64),
    /// Some keys have changed: this is everything up to a revision.
    Changes(Vec<Change>, i64),
    /// Some keys as they are now; others may have changed too.
    Partial(Vec<Change>),
    /// The store did not answer.
    Unavailable,
}

/// Follows the keys under one prefix: in the store, or by an instance that reads it for others.
pub(crate) struct Follower {
    store: Arc<dyn Store>,
    context: FollowContext,
    topic: Topic,
    prefix: String,
    /// The prefix of the keys that matter most, where that is a part of them.
    priority_prefix: Option<String>,
    /// Only those are watched next: a large zone has readers for the rest.
    watch_priority_next: bool,
    /// Longest wait of one watch, in milliseconds.
    watch_timeout_ms: u64,
    watch_after: Option<i64>,
    /// The history after the last list is gone.
    compacted: bool,
    relist_at: Instant,
    /// No watch begins before this.
    next_watch_at: Instant,
    /// A fetch of which pages are left.
    fetch: Option<PagedFetch>,
    /// The store has more keys than one page, and only the first one was read: the rest takes many calls.
    has_more_pages: bool,
    /// The last instance that was asked had nothing newer, or turned this one away.
    last_fetch_empty: bool,
}

/// How a fetch from another instance ended.
enum FetchOutcome {
    /// It brought news, or a page of them.
    Received(Update),
    /// That instance has nothing yet.
    Empty,
    /// That instance did not answer in time.
    Failed,
}

/// What is fetched from another instance in pages.
struct PagedFetch {
    peer: SocketAddr,
    /// Asks for the next page.
    next_request: DeltaRequest,
    /// The pages so far; the revision is that of the first one.
    received: DeltaResponse,
}

/// What a follower works with besides the store.
#[derive(Clone)]
pub(crate) struct FollowContext {
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) relay: Relay,
    pub(crate) peers: Peers,
}

impl Follower {
    pub(crate) fn open(
        store: Arc<dyn Store>,
        feed: FollowContext,
        topic: Topic,
        prefix: &str,
        near: Option<String>,
        wait_ms: u64,
    ) -> Follower {
        Follower {
            store,
            context: feed,
            topic,
            prefix: prefix.to_string(),
            priority_prefix: near,
            watch_priority_next: false,
            watch_timeout_ms: wait_ms,
            watch_after: None,
            compacted: false,
            relist_at: Instant::now(),
            next_watch_at: Instant::now(),
            fetch: None,
            has_more_pages: false,
            last_fetch_empty: false,
        }
    }

    /// Waits for the next news.
    pub(crate) async fn next(&mut self) -> Update {
        let relay = self.context.relay.clone();
        let mut elsewhere = None;
        loop {
            let peer = self.fetch.as_ref().map(|f| f.peer).or(elsewhere.take());
            let source = peer.map_or_else(|| self.source(), Source::Peer);
            if source != Source::Store {
                // Only an instance that goes on reading looks for what a watch did not bring.
                self.relist_at = Instant::now() + RELIST_INTERVAL;
            }
            let fetched = match source {
                Source::Store => None,
                Source::Peer(addr) => Some(self.fetch_page(addr).await),
                Source::Nowhere => Some(FetchOutcome::Empty),
            };
            match fetched {
                Some(FetchOutcome::Received(update)) => {
                    self.last_fetch_empty = false;
                    return update;
                }
                Some(FetchOutcome::Failed) if self.may_read_store() => {
                    elsewhere = self.peer_ahead();
                    if elsewhere.is_some() {
                        continue;
                    }
                }
                Some(FetchOutcome::Empty | FetchOutcome::Failed) => {
                    self.last_fetch_empty = true;
                    if relay.is_behind(self.topic) {
                        sleep(BEHIND_RETRY_DELAY).await;
                    } else {
                        relay.wait_for_head().await;
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
        let relay = &self.context.relay;
        if self.has_more_pages && relay.revision(self.topic) == 0 {
            return relay.initial_source(self.topic, true);
        }
        if self.last_fetch_empty {
            return relay.alternative_source(self.topic);
        }
        relay.source(self.topic)
    }

    /// Returns whether the store is read where another instance did not answer: not while others may have what is lacking, nor where
    /// that takes many calls.
    fn may_read_store(&self) -> bool {
        let relay = &self.context.relay;
        relay.revision(self.topic) > 0 && !relay.is_behind(self.topic)
    }

    /// Returns an instance that is known to have what is lacking.
    fn peer_ahead(&self) -> Option<SocketAddr> {
        match self.context.relay.source(self.topic) {
            Source::Peer(addr) => Some(addr),
            Source::Store | Source::Nowhere => None,
        }
    }

    /// Fetches the next page of what is newer from another instance.
    async fn fetch_page(&mut self, addr: SocketAddr) -> FetchOutcome {
        let relay = &self.context.relay;
        let (ask, earlier) = match self.fetch.take() {
            Some(fetch) => (fetch.next_request, Some(fetch.received)),
            None => {
                let revision = relay.revision(self.topic);
                let ask = DeltaRequest::first_page(self.topic, revision);
                (ask, None)
            }
        };
        let Ok(page) = self.context.peers.fetch_delta(addr, &ask).await else {
            relay.forget_peer(addr);
            return FetchOutcome::Failed;
        };
        // Such an answer would be asked for again at once.
        let newer = page.revision > ask.revision;
        if !newer && earlier.is_none() {
            return FetchOutcome::Empty;
        }
        let changes = page.changes();
        let (mut passed, next) = match earlier {
            None => {
                let next = page.next.clone();
                (page, next)
            }
            Some(mut passed) => {
                // That instance may have forgotten meanwhile what it had kept.
                if !passed.delta.append(page.delta) {
                    return FetchOutcome::Failed;
                }
                (passed, page.next)
            }
        };
        if next.is_none() {
            return FetchOutcome::Received(relay.apply_delta(self.topic, passed));
        }
        passed.next = None;
        self.fetch = Some(PagedFetch {
            peer: addr,
            next_request: DeltaRequest { after: next, ..ask },
            received: passed,
        });
        // An instance serves with a part of the list before it has all of it.
        FetchOutcome::Received(Update::Partial(changes))
    }

    /// Reads the store.
    async fn read_store(&mut self) -> Option<Update> {
        // What came from another instance need not be read again.
        let known = self.context.relay.revision(self.topic);
        let fetched = (known > 0 && !self.compacted).then_some(known);
        let after = self.watch_after.map(|after| after.max(known)).or(fetched);
        let late =
            self.context.relay.must_read_store(self.topic) && Instant::now() >= self.next_watch_at;
        if late {
            self.next_watch_at = Instant::now() + WATCH_DELAY;
        }
        let due = late || Instant::now() >= self.relist_at;
        match after.filter(|_| !due) {
            Some(after) => self.watch(after).await,
            None => self.list(known).await,
        }
    }

    /// Lists the keys: the first page of them where nothing is known yet.
    async fn list(&mut self, known: i64) -> Option<Update> {
        if known == 0 && !self.has_more_pages {
            match self
                .store
                .first_page(&self.prefix, self.list_consistency())
                .await
            {
                // An instance serves with a part of the list before it has all of it.
                Ok(page) if page.more => return Some(self.first_page(page).await),
                Ok(page) => return self.snapshot(page, known),
                Err(_) => return Some(self.unavailable().await),
            }
        }
        match self.store.list(&self.prefix, self.list_consistency()).await {
            Ok(listing) => self.snapshot(listing, known),
            Err(_) => Some(self.unavailable().await),
        }
    }

    /// Takes the first of several pages, or the first one of the keys that matter most in its place.
    async fn first_page(&mut self, first: Listing) -> Update {
        let near = match &self.priority_prefix {
            Some(near) => self.store.first_page(near, self.list_consistency()).await,
            None => Ok(first),
        };
        match near {
            Ok(page) => {
                self.has_more_pages = true;
                Update::Partial(page.items.into_iter().map(found_to_change).collect())
            }
            Err(_) => self.unavailable().await,
        }
    }

    /// Takes a whole list; none where it is older than what is known.
    fn snapshot(&mut self, listing: Listing, known: i64) -> Option<Update> {
        self.watch_after = Some(listing.revision);
        self.compacted = false;
        self.relist_at = Instant::now() + RELIST_INTERVAL;
        if known == 0 && self.priority_prefix.is_some() {
            // Those that start together are all listed by then.
            self.next_watch_at = Instant::now() + FIRST_WATCH_DELAY;
            self.watch_priority_next = true;
        }
        // The watch goes on from what is known: one that is older would take back what that brought.
        let newer = listing.revision >= known;
        newer.then_some(Update::Snapshot(listing.items, listing.revision))
    }

    /// Returns how new a list must be.
    ///
    /// One from which a watch goes on may be old: the watch brings the rest at once. That matters when
    /// hundreds of instances that lost power together list thousands of upstreams. Not when the history is
    /// gone, for an old list would be behind it again; nor for a list beside a watch, which is newer.
    fn list_consistency(&self) -> Reading {
        if self.watch_after.is_none() && !self.compacted {
            Reading::Serializable
        } else {
            Reading::Linearizable
        }
    }

    async fn watch(&mut self, after: i64) -> Option<Update> {
        sleep_until(self.next_watch_at).await;
        let relay = self.context.relay.clone();
        let part = std::mem::take(&mut self.watch_priority_next);
        let prefix = self
            .priority_prefix
            .as_ref()
            .filter(|_| part)
            .unwrap_or(&self.prefix);
        let wait_ms = if part { 0 } else { self.watch_timeout_ms };
        let news = tokio::select! {
            news = self.store.watch(prefix, after, wait_ms) => news,
            // It brings nothing of what others have read.
            () = relay.wait_until_overdue(self.topic) => return None,
        };
        match news {
            Ok(News::Changes { changes, .. }) if part => Some(Update::Partial(changes)),
            Ok(News::Changes { changes, revision }) => {
                if !changes.is_empty() {
                    self.next_watch_at = Instant::now() + WATCH_DELAY;
                }
                self.watch_after = Some(after.max(revision));
                (!changes.is_empty()).then_some(Update::Changes(changes, revision))
            }
            Ok(News::Compacted) => {
                self.watch_after = None;
                self.compacted = true;
                None
            }
            Err(_) => Some(self.unavailable().await),
        }
    }

    async fn unavailable(&mut self) -> Update {
        sleep(RETRY_DELAY).await;
        self.context.store_health.wait_until_available().await;
        Update::Unavailable
    }
}

/// Returns a key that was found as the change that wrote it.
fn found_to_change(found: Found) -> Change {
    Change {
        key: found.key.clone(),
        revision: found.revision,
        now: Some(found),
    }
}
