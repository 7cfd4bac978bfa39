//! Keeps the software versions that each service has had in the store, for a failure of all instances.
//!
//! Streams begin only at versions that the store is known to have. One instance writes a new one at once; the others
//! read it a moment later, and write it themselves if it is missing: the first may be suspended, cut off, or gone and
//! still listed. While the store is unavailable to an instance, it asks others for what the store has. One instance
//! removes the versions that no longer count. A release takes a few writes, and a read by each instance.
//! An instance that starts reads them with one call.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kv::{KeyValue, Precondition, Put, Store, StoreError, Txn, TxnResult};
use origin::{Origin, RETENTION_MS};
use place::Pool;
use rand::seq::SliceRandom;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use crate::event::Event;
use crate::log::Log;
use crate::origins::Origins;
use crate::store_health::StoreHealth;
use crate::suspect_gossip::PeerNetwork;

/// The key.
const KEY: &str = "oriolehitch/versions";
/// The instance that ranks first for this placement key writes for all.
const WRITER_PLACEMENT_KEY: u64 = 0;
/// Delay before versions that no longer count are removed: several may expire together.
const REMOVAL_DELAY: Duration = Duration::from_millis(200);
/// Minimum delay before an instance that doesn't write first reads whether the store has a new version.
const MIN_READ_DELAY: Duration = Duration::from_millis(30);
/// Time per instance over which these reads are spread, so that they stay within the rates of the store in a large
/// fleet, and its maximum.
const READ_SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);
const MAX_READ_SPREAD: Duration = Duration::from_secs(2);
/// Maximum number of other instances that are asked for what the store has.
const MAX_PEERS_ASKED: usize = 3;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the versions of the listed upstreams are recorded as in use.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(60);

/// The task that keeps the versions in the store up to date.
pub(crate) struct VersionStore {
    pub(crate) origins: Origins,
    pub(crate) network: PeerNetwork,
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
    /// Reads the versions, then writes them whenever the store lacks one of a listed upstream, or one no longer
    /// counts.
    pub(crate) async fn run(self) {
        let mut version_changes = self.origins.version_changes();
        let mut roster_changes = self.network.fleet.roster_changes();
        let mut stored = match self.load().await {
            Ok(stored) => stored,
            Err(revision) => {
                self.wait_until_expired().await;
                let versions = Vec::new();
                Stored { revision, versions }
            }
        };
        self.origins.add_stored(&stored.versions, true);
        self.origins.record_stored(&stored.versions);
        let mut observe_at = Instant::now() + OBSERVE_INTERVAL;
        loop {
            if self.is_any_unrecorded() {
                stored = self.record(stored).await;
                continue;
            }
            if self.is_writer() && self.origins.differs_from(&stored.versions) {
                sleep(REMOVAL_DELAY).await;
                // An instance that was suspended has seen no version for long.
                self.observe_listed();
                stored = self.write(stored).await;
                continue;
            }
            tokio::select! {
                _ = version_changes.changed() => {}
                () = self.origins.wait_until_unrecorded() => {}
                _ = roster_changes.changed() => {}
                () = sleep_until(observe_at) => {
                    self.observe_listed();
                    observe_at = Instant::now() + OBSERVE_INTERVAL;
                }
            }
        }
    }

    /// Waits until nothing counts any more that the store had in a record that can't be parsed. Until then no instance
    /// that starts takes a version for the only one, so that streams may begin at all versions.
    async fn wait_until_expired(&self) {
        let until = Instant::now() + Duration::from_millis(RETENTION_MS);
        while Instant::now() < until {
            self.origins.record_stored(&self.listed());
            let observe_at = until.min(Instant::now() + OBSERVE_INTERVAL);
            let _ = timeout_at(observe_at, self.origins.wait_until_unrecorded()).await;
        }
    }

    /// Returns the versions of the listed upstreams.
    fn listed(&self) -> Vec<Origin> {
        let versions = self.pool.lock().expect("lock not poisoned").versions();
        let origins = versions.into_iter();
        let origins = origins.map(|(service, version)| Origin { service, version });
        origins.collect()
    }

    /// Records that the versions of the listed upstreams are in use.
    fn observe_listed(&self) {
        self.origins.observe_listed(&self.listed());
    }

    /// Returns whether a listed upstream has a version that the store is not known to have.
    fn is_any_unrecorded(&self) -> bool {
        let listed = self.listed();
        listed.iter().any(|v| !self.origins.is_recorded(v))
    }

    /// Has the versions of the listed upstreams recorded in the store; returns what the store has then, as far as
    /// known.
    async fn record(&self, stored: Stored) -> Stored {
        self.observe_listed();
        if self.store_health.is_unavailable() {
            self.wait_for_retry().await;
            return stored;
        }
        if self.is_writer() {
            return self.write(stored).await;
        }
        sleep(self.read_delay()).await;
        let stored = match read(&*self.store).await {
            Ok(stored) => stored,
            // A record that can't be parsed is replaced.
            Err(ReadError::Invalid { revision, .. }) => Stored {
                revision,
                versions: Vec::new(),
            },
            Err(ReadError::Store) => {
                self.wait_for_retry().await;
                return stored;
            }
        };
        self.origins.add_stored(&stored.versions, false);
        self.origins.record_stored(&stored.versions);
        if self.is_any_unrecorded() {
            return self.write(stored).await;
        }
        stored
    }

    fn read_delay(&self) -> Duration {
        let instances = self.network.fleet.instance_count() as u32;
        let spread = (READ_SPREAD_PER_INSTANCE * instances).min(MAX_READ_SPREAD);
        MIN_READ_DELAY + spread.mul_f64(rand::random())
    }

    fn is_writer(&self) -> bool {
        let owners = self.network.fleet.roster().owners(WRITER_PLACEMENT_KEY);
        let first = owners.first();
        first.is_some_and(|m| m.id == self.network.fleet.incarnation())
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

    /// Waits after a failed call until the store is available. Meanwhile, other instances are asked for what the store
    /// has if a listed upstream has another version.
    async fn wait_for_retry(&self) {
        sleep(RETRY_DELAY).await;
        while self.store_health.is_unavailable() {
            if self.is_any_unrecorded() {
                self.ask_peers().await;
            }
            let _ = timeout(RETRY_DELAY, self.store_health.wait_until_available()).await;
        }
    }

    async fn ask_peers(&self) {
        let mut peers = self.network.fleet.peers();
        peers.shuffle(&mut rand::rng());
        for peer in peers.iter().take(MAX_PEERS_ASKED) {
            let recorded = self.network.peer_clients.fetch_recorded_versions(peer.addr);
            if let Ok(recorded) = recorded.await {
                self.origins.record_stored(&recorded);
            }
        }
    }

    /// Writes the known versions; returns what the store has then, as far as known.
    async fn write(&self, stored: Stored) -> Stored {
        let versions = self.origins.versions().unwrap_or_default();
        match self.commit(stored.revision, &versions).await {
            Ok(TxnResult::Done(revision)) => {
                self.origins.record_stored(&versions);
                Stored { revision, versions }
            }
            Ok(TxnResult::Conflict(items)) => {
                let found = items.into_iter().find(|item| item.key == KEY);
                let revision = found.as_ref().map_or(0, |item| item.revision);
                // A record that can't be parsed is replaced.
                let stored = parse(found).unwrap_or(Stored {
                    revision,
                    versions: Vec::new(),
                });
                self.origins.add_stored(&stored.versions, false);
                self.origins.record_stored(&stored.versions);
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
