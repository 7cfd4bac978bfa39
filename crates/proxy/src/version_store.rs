//! Keeps the software versions that each service has had in the store, for a failure of all instances.
//!
//! One instance writes them when a service has a new version and when an old one no longer counts, which
//! takes a few calls per release.
//! An instance that starts reads them with one call.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kv::{KeyValue, Precondition, Put, Store, StoreError, Txn, TxnResult};
use origin::{Origin, RETENTION_MS};
use place::Pool;
use tokio::time::{sleep, sleep_until, Instant};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::log::Log;
use crate::origins::Origins;
use crate::store_health::StoreHealth;

/// The key.
const KEY: &str = "oriolehitch/versions";
/// The instance that ranks first for this placement key writes for all.
const WRITER_PLACEMENT_KEY: u64 = 0;
/// Delay before a write: the upstreams of a release are listed one after the other.
const WRITE_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the versions of the listed upstreams are recorded as in use.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(60);

/// The task that keeps the versions in the store up to date.
pub(crate) struct VersionStore {
    pub(crate) origins: Origins,
    pub(crate) fleet: Fleet,
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) log: Arc<Log>,
}

/// What the store has.
#[derive(Default)]
pub(crate) struct Stored {
    revision: i64,
    pub(crate) versions: Vec<Origin>,
}

/// Why the versions in the store are not known.
pub(crate) enum ReadError {
    /// The store did not answer.
    Store,
    /// The record of this revision can't be parsed.
    Invalid { revision: i64, why: String },
}

/// Reads the versions in the store.
///
/// # Errors
///
/// Returns why they are not known.
pub(crate) async fn read(store: &dyn Store) -> Result<Stored, ReadError> {
    let item = store.get(KEY).await.map_err(|_| ReadError::Store)?;
    parse(item)
}

fn parse(item: Option<KeyValue>) -> Result<Stored, ReadError> {
    let Some(item) = item else {
        return Ok(Stored::default());
    };
    let revision = item.revision;
    match serde_json::from_slice(&item.value) {
        Ok(versions) => Ok(Stored { revision, versions }),
        Err(why) => Err(ReadError::Invalid {
            revision,
            why: why.to_string(),
        }),
    }
}

impl VersionStore {
    /// Reads the versions, then writes them whenever there is a new one, or one no longer counts.
    pub(crate) async fn run(self) {
        let mut version_changes = self.origins.version_changes();
        let mut roster_changes = self.fleet.roster_changes();
        let mut stored = match self.load().await {
            Ok(stored) => stored,
            Err(revision) => {
                // What the store had is not known, so only time shows that nothing older counts.
                sleep(Duration::from_millis(RETENTION_MS)).await;
                let versions = Vec::new();
                Stored { revision, versions }
            }
        };
        self.origins.add_stored(&stored.versions, true);
        let mut observe_at = Instant::now() + OBSERVE_INTERVAL;
        loop {
            if self.is_writer() && self.origins.differs_from(&stored.versions) {
                sleep(WRITE_DELAY).await;
                stored = self.write(stored).await;
                continue;
            }
            tokio::select! {
                _ = version_changes.changed() => {}
                _ = roster_changes.changed() => {}
                () = sleep_until(observe_at) => {
                    self.observe_listed();
                    observe_at = Instant::now() + OBSERVE_INTERVAL;
                }
            }
        }
    }

    /// Records that the versions of the listed upstreams are in use.
    fn observe_listed(&self) {
        let versions = self.pool.lock().expect("lock not poisoned").versions();
        let origins = versions.into_iter();
        let origins = origins.map(|(service, version)| Origin { service, version });
        self.origins.observe(&origins.collect::<Vec<_>>());
    }

    fn is_writer(&self) -> bool {
        let owners = self.fleet.roster().owners(WRITER_PLACEMENT_KEY);
        let first = owners.first();
        first.is_some_and(|m| m.id == self.fleet.incarnation())
    }

    /// Reads the versions in the store. An error contains the revision of a record that can't be parsed.
    async fn load(&self) -> Result<Stored, i64> {
        loop {
            match read(&*self.store).await {
                Ok(stored) => return Ok(stored),
                Err(ReadError::Invalid { revision, why }) => {
                    let detail = format_args!("key={KEY} why={why}");
                    self.log.event(Event::VersionsInvalid, detail);
                    return Err(revision);
                }
                Err(ReadError::Store) => self.wait_for_retry().await,
            }
        }
    }

    /// Waits after a failed call until the store is available.
    async fn wait_for_retry(&self) {
        sleep(RETRY_DELAY).await;
        self.store_health.wait_until_available().await;
    }

    /// Writes the known versions; returns what the store has then, as far as known.
    async fn write(&self, stored: Stored) -> Stored {
        let versions = self.origins.versions().unwrap_or_default();
        match self.commit(stored.revision, &versions).await {
            Ok(TxnResult::Done(revision)) => Stored { revision, versions },
            Ok(TxnResult::Conflict(items)) => {
                let found = items.into_iter().find(|item| item.key == KEY);
                let revision = found.as_ref().map_or(0, |item| item.revision);
                // A record that can't be parsed is replaced.
                let stored = parse(found).unwrap_or(Stored {
                    revision,
                    versions: Vec::new(),
                });
                self.origins.add_stored(&stored.versions, false);
                stored
            }
            Ok(TxnResult::LeaseEnded) => stored,
            Err(error) => {
                let detail = format!("what=versions why={error:?}");
                self.log.event(Event::StoreWriteFailed, detail);
                self.wait_for_retry().await;
                stored
            }
        }
    }

    async fn commit(&self, revision: i64, versions: &[Origin]) -> Result<TxnResult, StoreError> {
        let txn = Txn {
            preconditions: vec![Precondition {
                key: KEY.to_string(),
                revision,
            }],
            puts: vec![Put {
                key: KEY.to_string(),
                value: serde_json::to_vec(versions).expect("versions can be serialized"),
                lease: 0,
            }],
            deletes: Vec::new(),
        };
        self.store.commit(txn).await
    }
}
