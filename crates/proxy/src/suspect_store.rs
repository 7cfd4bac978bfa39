//! What must be known of requests that end upstreams after all instances were killed at once: it stands in the store.
//!
//! The instance that decides about a request writes it there, when it is refused, tried and cleared: a few calls in a day.
//! Two instances read it when they start and tell the others, so that a fleet that starts makes two calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kv::{Commit, Expect, Failure, Found, Put, Reading, Store, Txn};
use suspect::{Digest, SuspectRecord};
use tokio::time::{sleep, Instant};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::store_health::StoreHealth;
use crate::suspects::Suspects;

/// Keys of requests.
const PREFIX: &str = "oriolehitch/suspects/";
/// The instances that keep this read the store for all when they start.
const READER_PLACEMENT_KEY: u64 = 0;
/// An instance knows by then whether it is one of them: it is listed when it has registered.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before it looks again.
const ROSTER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Keeps the table in the store.
pub(crate) struct SuspectStore {
    pub(crate) suspects: Suspects,
    pub(crate) fleet: Fleet,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) log: Arc<Log>,
    /// Revisions of the keys that were read or written here.
    pub(crate) revisions: HashMap<Digest, i64>,
}

impl SuspectStore {
    /// Reads what the store has, then writes what changes.
    pub(crate) async fn run(mut self) {
        if self.is_reader().await {
            self.load().await;
        }
        loop {
            self.suspects.wait_for_unsaved().await;
            for digest in self.suspects.unsaved() {
                if self.is_first_owner(digest) {
                    self.save(digest).await;
                }
            }
        }
    }

    /// Returns whether this instance reads for all.
    async fn is_reader(&self) -> bool {
        let until = Instant::now() + REGISTRATION_TIMEOUT;
        while Instant::now() < until {
            let keepers = self.fleet.roster().owners(READER_PLACEMENT_KEY);
            if keepers.iter().any(|m| m.id == self.fleet.incarnation()) {
                return true;
            }
            sleep(ROSTER_POLL_INTERVAL).await;
        }
        false
    }

    async fn load(&mut self) {
        let items = loop {
            match self.store.list(PREFIX, Reading::Linearizable).await {
                Ok(listing) => break listing.items,
                Err(_) => self.wait_for_retry().await,
            }
        };
        for item in items {
            match serde_json::from_slice::<SuspectRecord>(&item.value) {
                Ok(word) => {
                    self.revisions.insert(word.digest, item.revision);
                    self.suspects.load(word);
                }
                Err(why) => {
                    let detail = format_args!("key={} why={why}", item.key);
                    self.log.event(Event::SuspectRecordInvalid, detail);
                }
            }
        }
    }

    async fn wait_for_retry(&self) {
        sleep(RETRY_DELAY).await;
        self.store_health.wait_until_available().await;
    }

    /// Returns whether this instance decides about a request.
    fn is_first_owner(&self, digest: Digest) -> bool {
        let keepers = self.fleet.roster().owners(digest.placement_key());
        keepers
            .first()
            .is_none_or(|m| m.id == self.fleet.incarnation())
    }

    /// Writes what is known of a request until the store has it.
    async fn save(&mut self, digest: Digest) {
        loop {
            let word = self.suspects.to_save(digest);
            match self.write(digest, word.as_ref()).await {
                Ok(true) => return self.suspects.mark_saved(digest, word.as_ref()),
                // Another instance wrote it before: its revision is known now.
                Ok(false) => {}
                Err(failure) => {
                    let detail = format!("what=suspect why={failure:?}");
                    self.log.event(Event::StoreWriteFailed, detail);
                    self.wait_for_retry().await;
                }
            }
        }
    }

    /// Writes, or deletes where there is nothing to say; returns whether the store has it.
    async fn write(
        &mut self,
        digest: Digest,
        word: Option<&SuspectRecord>,
    ) -> Result<bool, Failure> {
        let key = format!("{PREFIX}{digest:.32}");
        let revision = self.revisions.get(&digest).copied().unwrap_or(0);
        if word.is_none() && revision == 0 {
            return Ok(true);
        }
        let put = word.map(|word| Put {
            key: key.clone(),
            value: serde_json::to_vec(word).expect("a word that JSON can hold"),
            lease: 0,
        });
        let delete = if put.is_none() {
            vec![key.clone()]
        } else {
            Vec::new()
        };
        let txn = Txn {
            expect: vec![Expect {
                key: key.clone(),
                revision,
            }],
            put: put.into_iter().collect(),
            delete,
        };
        match self.store.commit(txn).await? {
            Commit::Done(revision) => {
                if word.is_some() {
                    self.revisions.insert(digest, revision);
                } else {
                    self.revisions.remove(&digest);
                }
                Ok(true)
            }
            Commit::Lost(items) => {
                let there = items.iter().find(|f: &&Found| f.key == key);
                let revision = there.map_or(0, |f| f.revision);
                self.revisions.insert(digest, revision);
                Ok(false)
            }
            Commit::LeaseEnded => Ok(false),
        }
    }
}
