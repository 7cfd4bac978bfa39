//! Follows the keys under a prefix of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kv::{Change, Found, Listing, News, Reading, Store};
use tokio::time::{sleep, sleep_until, Instant};

use crate::passed::{Ask, Passed, Topic};
use crate::peers::Peers;
use crate::relay::{Relay, Source};
use crate::store_health::StoreHealth;

/// Longest wait of one watch, in milliseconds: a watch that hangs costs so much time, and each one
/// is a call that is paid for.
pub(crate) const WATCH_MS: u64 = 2_500;
/// Pause after a watch that brought changes: what changes meanwhile comes with the next one together.
/// Without it a fleet that starts beside a hundred upstreams makes a call for each of them at each
/// instance. Short against the two seconds in which a change is in force.
const GAP: Duration = Duration::from_millis(400);
/// Pause between the first list of the instances and the first watch: those that start together come with one call then, and
/// longer than it takes to start would put off what needs to know them.
const STARTED_TOGETHER: Duration = Duration::from_secs(1);
/// Pause after a call that failed: short against the two seconds in which a change is in force, long
/// against a call.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// Pause before an instance that is behind asks another one, after it was turned away.
const BEHIND_AGAIN: Duration = Duration::from_millis(50);
/// All keys are read again after this time: a watch may go on without ever bringing what changed. No such
/// case is known; it bounds what one would do.
const LIST_EVERY: Duration = Duration::from_secs(30);

/// What a follower learns.
#[derive(Debug)]
pub(crate) enum Update {
    /// All keys as they are now, and the revision at which they were read.
    Listed(Vec<Found>, i64),
    /// Some keys have changed: this is everything up to a revision.
    Changed(Vec<Change>, i64),
    /// Some keys as they are now; others may have changed too.
    Part(Vec<Change>),
    /// The store did not answer.
    Lost,
}

/// Follows the keys under one prefix: in the store, or by an instance that reads it for others.
pub(crate) struct Follow {
    store: Arc<dyn Store>,
    feed: Feed,
    topic: Topic,
    prefix: String,
    /// The prefix of the keys that matter most, where that is a part of them.
    near: Option<String>,
    /// Only those are watched next: a large zone has readers for the rest.
    watch_near: bool,
    /// Longest wait of one watch, in milliseconds.
    wait_ms: u64,
    after: Option<i64>,
    /// The history after the last list is gone.
    compacted: bool,
    list_at: Instant,
    /// No watch begins before this.
    watch_at: Instant,
    /// A fetch of which pages are left.
    fetch: Option<Fetch>,
    /// The store has more keys than one page, and only the first one was read: the rest takes many calls.
    many_calls: bool,
    /// The last instance that was asked had nothing newer, or turned this one away.
    turned_away: bool,
}

/// How a fetch from another instance ended.
enum Fetched {
    /// It brought news, or a page of them.
    News(Update),
    /// That instance has nothing yet.
    Nothing,
    /// That instance did not answer in time.
    Failed,
}

/// What is fetched from another instance in pages.
struct Fetch {
    peer: SocketAddr,
    /// Asks for the next page.
    ask: Ask,
    /// The pages so far; the revision is that of the first one.
    passed: Passed,
}

/// What a follower works with besides the store.
#[derive(Clone)]
pub(crate) struct Feed {
    pub(crate) reach: Arc<StoreHealth>,
    pub(crate) relay: Relay,
    pub(crate) peers: Peers,
}

impl Follow {
    pub(crate) fn open(
        store: Arc<dyn Store>,
        feed: Feed,
        topic: Topic,
        prefix: &str,
        near: Option<String>,
        wait_ms: u64,
    ) -> Follow {
        Follow {
            store,
            feed,
            topic,
            prefix: prefix.to_string(),
            near,
            watch_near: false,
            wait_ms,
            after: None,
            compacted: false,
            list_at: Instant::now(),
            watch_at: Instant::now(),
            fetch: None,
            many_calls: false,
            turned_away: false,
        }
    }

    /// Waits for the next news.
    pub(crate) async fn next(&mut self) -> Update {
        let relay = self.feed.relay.clone();
        let mut elsewhere = None;
        loop {
            let peer = self.fetch.as_ref().map(|f| f.peer).or(elsewhere.take());
            let source = peer.map_or_else(|| self.source(), Source::Peer);
            if source != Source::Store {
                // Only an instance that goes on reading looks for what a watch did not bring.
                self.list_at = Instant::now() + LIST_EVERY;
            }
            let fetched = match source {
                Source::Store => None,
                Source::Peer(addr) => Some(self.fetch(addr).await),
                Source::Nowhere => Some(Fetched::Nothing),
            };
            match fetched {
                Some(Fetched::News(update)) => {
                    self.turned_away = false;
                    return update;
                }
                Some(Fetched::Failed) if self.may_read() => {
                    elsewhere = self.ahead();
                    if elsewhere.is_some() {
                        continue;
                    }
                }
                Some(Fetched::Nothing | Fetched::Failed) => {
                    self.turned_away = true;
                    if relay.is_behind(self.topic) {
                        sleep(BEHIND_AGAIN).await;
                    } else {
                        relay.wait().await;
                    }
                    continue;
                }
                None => {}
            }
            if let Some(update) = self.read().await {
                relay.learn(self.topic, &update);
                return update;
            }
        }
    }

    /// Returns where to read next.
    fn source(&self) -> Source {
        let relay = &self.feed.relay;
        if self.many_calls && relay.revision(self.topic) == 0 {
            return relay.first_source(self.topic, true);
        }
        if self.turned_away {
            return relay.other_source(self.topic);
        }
        relay.source(self.topic)
    }

    /// Returns whether the store is read where another instance did not answer: not while others may have what is lacking, nor where
    /// that takes many calls.
    fn may_read(&self) -> bool {
        let relay = &self.feed.relay;
        relay.revision(self.topic) > 0 && !relay.is_behind(self.topic)
    }

    /// Returns an instance that is known to have what is lacking.
    fn ahead(&self) -> Option<SocketAddr> {
        match self.feed.relay.source(self.topic) {
            Source::Peer(addr) => Some(addr),
            Source::Store | Source::Nowhere => None,
        }
    }

    /// Fetches the next page of what is newer from another instance.
    async fn fetch(&mut self, addr: SocketAddr) -> Fetched {
        let relay = &self.feed.relay;
        let (ask, earlier) = match self.fetch.take() {
            Some(fetch) => (fetch.ask, Some(fetch.passed)),
            None => {
                let revision = relay.revision(self.topic);
                let ask = Ask::first_page(self.topic, revision);
                (ask, None)
            }
        };
        let Ok(page) = self.feed.peers.lacking(addr, &ask).await else {
            relay.forget(addr);
            return Fetched::Failed;
        };
        // Such an answer would be asked for again at once.
        let newer = page.revision > ask.revision;
        if !newer && earlier.is_none() {
            return Fetched::Nothing;
        }
        let changes = page.changes();
        let (mut passed, next) = match earlier {
            None => {
                let next = page.next.clone();
                (page, next)
            }
            Some(mut passed) => {
                // That instance may have forgotten meanwhile what it had kept.
                if !passed.since.append(page.since) {
                    return Fetched::Failed;
                }
                (passed, page.next)
            }
        };
        if next.is_none() {
            return Fetched::News(relay.take(self.topic, passed));
        }
        passed.next = None;
        self.fetch = Some(Fetch {
            peer: addr,
            ask: Ask { after: next, ..ask },
            passed,
        });
        // An instance serves with a part of the list before it has all of it.
        Fetched::News(Update::Part(changes))
    }

    /// Reads the store.
    async fn read(&mut self) -> Option<Update> {
        // What came from another instance need not be read again.
        let known = self.feed.relay.revision(self.topic);
        let fetched = (known > 0 && !self.compacted).then_some(known);
        let after = self.after.map(|after| after.max(known)).or(fetched);
        let late = self.feed.relay.is_late(self.topic) && Instant::now() >= self.watch_at;
        if late {
            self.watch_at = Instant::now() + GAP;
        }
        let due = late || Instant::now() >= self.list_at;
        match after.filter(|_| !due) {
            Some(after) => self.watch(after).await,
            None => self.list(known).await,
        }
    }

    /// Lists the keys: the first page of them where nothing is known yet.
    async fn list(&mut self, known: i64) -> Option<Update> {
        if known == 0 && !self.many_calls {
            match self.store.first_page(&self.prefix, self.reading()).await {
                // An instance serves with a part of the list before it has all of it.
                Ok(page) if page.more => return Some(self.part(page).await),
                Ok(page) => return self.listed(page, known),
                Err(_) => return Some(self.lost().await),
            }
        }
        match self.store.list(&self.prefix, self.reading()).await {
            Ok(listing) => self.listed(listing, known),
            Err(_) => Some(self.lost().await),
        }
    }

    /// Takes the first of several pages, or the first one of the keys that matter most in its place.
    async fn part(&mut self, first: Listing) -> Update {
        let near = match &self.near {
            Some(near) => self.store.first_page(near, self.reading()).await,
            None => Ok(first),
        };
        match near {
            Ok(page) => {
                self.many_calls = true;
                Update::Part(page.items.into_iter().map(listed).collect())
            }
            Err(_) => self.lost().await,
        }
    }

    /// Takes a whole list; none where it is older than what is known.
    fn listed(&mut self, listing: Listing, known: i64) -> Option<Update> {
        self.after = Some(listing.revision);
        self.compacted = false;
        self.list_at = Instant::now() + LIST_EVERY;
        if known == 0 && self.near.is_some() {
            // Those that start together are all listed by then.
            self.watch_at = Instant::now() + STARTED_TOGETHER;
            self.watch_near = true;
        }
        // The watch goes on from what is known: one that is older would take back what that brought.
        let newer = listing.revision >= known;
        newer.then_some(Update::Listed(listing.items, listing.revision))
    }

    /// Returns how new a list must be.
    ///
    /// One from which a watch goes on may be old: the watch brings the rest at once. That matters when
    /// hundreds of instances that lost power together list thousands of upstreams. Not when the history is
    /// gone, for an old list would be behind it again; nor for a list beside a watch, which is newer.
    fn reading(&self) -> Reading {
        if self.after.is_none() && !self.compacted {
            Reading::Serializable
        } else {
            Reading::Linearizable
        }
    }

    async fn watch(&mut self, after: i64) -> Option<Update> {
        sleep_until(self.watch_at).await;
        let relay = self.feed.relay.clone();
        let part = std::mem::take(&mut self.watch_near);
        let prefix = self.near.as_ref().filter(|_| part).unwrap_or(&self.prefix);
        let wait_ms = if part { 0 } else { self.wait_ms };
        let news = tokio::select! {
            news = self.store.watch(prefix, after, wait_ms) => news,
            // It brings nothing of what others have read.
            () = relay.wait_behind(self.topic) => return None,
        };
        match news {
            Ok(News::Changes { changes, .. }) if part => Some(Update::Part(changes)),
            Ok(News::Changes { changes, revision }) => {
                if !changes.is_empty() {
                    self.watch_at = Instant::now() + GAP;
                }
                self.after = Some(after.max(revision));
                (!changes.is_empty()).then_some(Update::Changed(changes, revision))
            }
            Ok(News::Compacted) => {
                self.after = None;
                self.compacted = true;
                None
            }
            Err(_) => Some(self.lost().await),
        }
    }

    async fn lost(&mut self) -> Update {
        sleep(AGAIN_AFTER).await;
        self.feed.reach.wait_until_available().await;
        Update::Lost
    }
}

/// Returns a key that was found as the change that wrote it.
fn listed(found: Found) -> Change {
    Change {
        key: found.key.clone(),
        revision: found.revision,
        now: Some(found),
    }
}
