//! Follows the keys under a prefix of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kv::{Change, Found, News, Reading, Store};
use tokio::time::{sleep, sleep_until, Instant};

use crate::peers::Peers;
use crate::reach::Reach;
use crate::relay::{Ask, Relay, Source, Topic};

/// Longest wait of one watch, in milliseconds: a watch that hangs costs so much time, and each one
/// is a call that is paid for.
pub(crate) const WATCH_MS: u64 = 2_500;
/// Pause after a watch that brought changes: what changes meanwhile comes with the next one together.
/// Without it a fleet that starts beside a hundred upstreams makes a call for each of them at each
/// instance. Short against the two seconds in which a change is in force.
const GAP: Duration = Duration::from_millis(400);
/// Pause after a call that failed: short against the two seconds in which a change is in force, long
/// against a call.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// All keys are read again after this time: a watch may go on without ever bringing what changed. No such
/// case is known; it bounds what one would do.
const LIST_EVERY: Duration = Duration::from_secs(30);

/// What a follower learns.
#[derive(Debug)]
pub(crate) enum Update {
    /// All keys as they are now, and the revision at which they were read.
    Listed(Vec<Found>, i64),
    /// Some keys have changed.
    Changed(Vec<Change>, i64),
    /// The store did not answer.
    Lost,
}

/// Follows the keys under one prefix: in the store, or by an instance that reads it for others.
pub(crate) struct Follow {
    store: Arc<dyn Store>,
    feed: Feed,
    topic: Topic,
    prefix: String,
    /// Longest wait of one watch, in milliseconds.
    wait_ms: u64,
    after: Option<i64>,
    /// The history after the last list is gone.
    compacted: bool,
    list_at: Instant,
    /// No watch begins before this.
    watch_at: Instant,
}

/// What a follower works with besides the store.
#[derive(Clone)]
pub(crate) struct Feed {
    pub(crate) reach: Arc<Reach>,
    pub(crate) relay: Relay,
    pub(crate) peers: Peers,
}

impl Follow {
    pub(crate) fn open(
        store: Arc<dyn Store>,
        feed: Feed,
        topic: Topic,
        prefix: &str,
        wait_ms: u64,
    ) -> Follow {
        Follow {
            store,
            feed,
            topic,
            prefix: prefix.to_string(),
            wait_ms,
            after: None,
            compacted: false,
            list_at: Instant::now(),
            watch_at: Instant::now(),
        }
    }

    /// Waits for the next news.
    pub(crate) async fn next(&mut self) -> Update {
        loop {
            let relay = self.feed.relay.clone();
            let fetched = match relay.source(self.topic) {
                Source::Store => None,
                Source::Peer(addr) => self.fetch(addr).await,
                Source::Nowhere => {
                    relay.wait().await;
                    continue;
                }
            };
            if let Some(update) = fetched {
                return update;
            }
            if let Some(update) = self.read().await {
                relay.learn(self.topic, &update);
                return update;
            }
        }
    }

    /// Fetches what is newer from another instance; `None` when it does not answer in time: then the store is read.
    async fn fetch(&mut self, addr: SocketAddr) -> Option<Update> {
        let relay = &self.feed.relay;
        let ask = Ask {
            topic: self.topic,
            revision: relay.revision(self.topic),
        };
        match self.feed.peers.lacking(addr, &ask).await {
            Ok(passed) => Some(relay.take(self.topic, passed)),
            Err(_) => {
                relay.forget(addr);
                None
            }
        }
    }

    /// Reads the store.
    async fn read(&mut self) -> Option<Update> {
        // What came from another instance need not be read again.
        let known = self.feed.relay.revision(self.topic);
        let after = self.after.map(|after| after.max(known));
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

    async fn list(&mut self, known: i64) -> Option<Update> {
        match self.store.list(&self.prefix, self.reading()).await {
            Ok(listing) => {
                self.after = Some(listing.revision);
                self.compacted = false;
                self.list_at = Instant::now() + LIST_EVERY;
                // The watch goes on from what is known: one that is older would take back what that brought.
                let newer = listing.revision >= known;
                newer.then_some(Update::Listed(listing.items, listing.revision))
            }
            Err(_) => Some(self.lost().await),
        }
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
        let news = tokio::select! {
            news = self.store.watch(&self.prefix, after, self.wait_ms) => news,
            // It brings nothing of what others have read.
            () = relay.wait_lacking(self.topic) => return None,
        };
        match news {
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
        // What changed meanwhile may have left the history.
        self.after = None;
        sleep(AGAIN_AFTER).await;
        self.feed.reach.wait_back().await;
        Update::Lost
    }
}
