//! The operators' configuration in force, which is replaced only by a higher version.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, RwLock};

use bytes::Bytes;
use conf::RoutingConfig;
use kv::{Change, Store};
use notice::Notice;
use place::{ColdStart, Pool};

use crate::budgets::Budgets;
use crate::dialect::Dialect;
use crate::evacuation::Evacuations;
use crate::event::Event;
use crate::follower::{Follower, FollowerDeps, Update, WATCH_TIMEOUT_MS};
use crate::log::Log;
use crate::notices::{key_hash, Notices};
use crate::relay::Relay;
use crate::replication::Topic;

/// Maximum number of revoked API keys that are remembered until the version that revokes them is in
/// force, to bound memory.
const MAX_REVOKED_KEYS: usize = 1_024;

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The parsed configuration.
    pub(crate) routing: RoutingConfig,
    /// The configuration as stored, for other instances that request it.
    pub(crate) raw: Bytes,
}

/// Handle to the configuration in force; clones share it.
#[derive(Clone)]
pub(crate) struct Config(Arc<Inner>);

struct Inner {
    deps: ConfigDeps,
    active: RwLock<Option<Arc<ActiveConfig>>>,
    /// Hashes of API keys that are revoked by a version that is not in force here yet, with that
    /// version.
    revoked_keys: RwLock<HashMap<u64, u64>>,
}

/// How far the fleet may exceed the request rate that a cold upstream can handle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStartTolerance {
    /// Factor by which the rate is multiplied.
    pub(crate) factor: f64,
    /// Requests per second that are added to it.
    pub(crate) slack: f64,
}

/// What the configuration is parsed with and applied to.
pub(crate) struct ConfigDeps {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) budgets: Budgets,
    pub(crate) log: Arc<Log>,
    pub(crate) notices: Notices,
    pub(crate) relay: Relay,
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) cold_start_tolerance: ColdStartTolerance,
}

impl Config {
    pub(crate) fn new(deps: ConfigDeps) -> Config {
        Config(Arc::new(Inner {
            deps,
            active: RwLock::new(None),
            revoked_keys: RwLock::default(),
        }))
    }

    /// Returns the configuration in force.
    pub(crate) fn active(&self) -> Option<Arc<ActiveConfig>> {
        self.0.active.read().expect("lock not poisoned").clone()
    }

    /// Returns the version in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.active().map_or(0, |a| a.routing.version)
    }

    /// Puts a configuration from any source in force if it is newer than the one in force.
    pub(crate) fn apply_if_newer(&self, raw: &[u8], source: &str) {
        let same = self.active().is_some_and(|a| a.raw == raw);
        if same {
            return;
        }
        let routing = match self.0.deps.dialect.parse_config(raw) {
            Ok(routing) => routing,
            Err(why) => {
                let detail = format_args!("source={source} why={why}");
                self.0.deps.log.event(Event::ConfigInvalid, detail);
                return;
            }
        };
        let mut active = self.0.active.write().expect("lock not poisoned");
        let before = active.as_ref().map_or(0, |a| a.routing.version);
        if active.is_some() && routing.version <= before {
            return;
        }
        let detail = format!(
            "version={} before={before} source={source} routes={} customers={}",
            routing.version,
            routing.routes().len(),
            routing.accounts.len(),
        );
        self.0.deps.budgets.set_prepaid(&routing);
        self.set_cold_starts(&routing);
        let next = Arc::new(ActiveConfig {
            routing,
            raw: Bytes::copy_from_slice(raw),
        });
        let previous = active.replace(Arc::clone(&next));
        drop(active);
        self.0.deps.log.event(Event::ConfigApplied, detail);
        self.publish_change(previous.as_deref(), &next);
    }

    /// Publishes to peers what is urgent about a version that is now in force.
    fn publish_change(&self, previous: Option<&ActiveConfig>, next: &ActiveConfig) {
        let version = next.routing.version;
        self.0.deps.relay.set_config_version(version);
        self.forget_revoked_keys(version);
        let keys = |a: &ActiveConfig| -> BTreeSet<u64> {
            let keys = a.routing.accounts.iter().flat_map(|c| &c.api_keys);
            keys.map(|k| key_hash(k)).collect()
        };
        if let Some(previous) = previous {
            for key in keys(previous).difference(&keys(next)) {
                let key = *key;
                self.0
                    .deps
                    .notices
                    .publish(Notice::Revoked { key, version });
            }
        }
        self.0.deps.notices.publish(Notice::Version { version });
    }

    fn set_cold_starts(&self, routing: &RoutingConfig) {
        let tolerance = self.0.deps.cold_start_tolerance;
        let cold = |s: &conf::Service| ColdStart {
            duration_ms: s.cold_start_ms,
            max_per_sec: (s.cold_max_per_sec > 0.0)
                .then_some(s.cold_max_per_sec * tolerance.factor + tolerance.slack),
        };
        let services = routing.services.iter();
        let cold = services.map(|(name, s)| (name.clone(), cold(s)));
        let mut pool = self.0.deps.pool.lock().expect("lock not poisoned");
        pool.set_cold_starts(cold.collect());
    }

    /// Records a peer's report that a version revokes an API key. The key is refused from now on,
    /// even if that version itself arrives later.
    pub(crate) fn revoke_key(&self, key: u64, version: u64) {
        if version <= self.version() {
            return;
        }
        let mut revoked = self.0.revoked_keys.write().expect("lock not poisoned");
        if revoked.len() < MAX_REVOKED_KEYS {
            revoked.insert(key, version);
        }
        drop(revoked);
        let detail = format_args!("what=revoked version={version}");
        self.0.deps.log.event(Event::PeerUpdate, detail);
    }

    fn forget_revoked_keys(&self, version: u64) {
        let mut revoked = self.0.revoked_keys.write().expect("lock not poisoned");
        revoked.retain(|_, by| *by > version);
    }

    /// Returns the version, newer than the one in force, that revokes an API key; `None` if none is
    /// known.
    pub(crate) fn revoking_version(&self, key: &str) -> Option<u64> {
        let revoked = self.0.revoked_keys.read().expect("lock not poisoned");
        if revoked.is_empty() {
            return None;
        }
        revoked.get(&key_hash(key)).copied()
    }

    /// Starts the task that follows the configuration and the other keys that operators write.
    pub(crate) fn spawn(
        &self,
        store: Arc<dyn Store>,
        follower_deps: FollowerDeps,
        evacuations: Evacuations,
    ) {
        let config = self.clone();
        tokio::spawn(async move {
            let dialect = &config.0.deps.dialect;
            let key = dialect.config_key().to_string();
            let prefix = dialect.operator_prefix().to_string();
            let mut follower = Follower::new(
                store,
                follower_deps,
                Topic::Config,
                &prefix,
                None,
                WATCH_TIMEOUT_MS,
            );
            loop {
                let found = match follower.next().await {
                    Update::Snapshot(items, revision) => {
                        evacuations.apply_snapshot(&items, revision);
                        items.into_iter().find(|f| f.key == key)
                    }
                    Update::Changes(changes, _) => {
                        evacuations.apply_changes(&changes);
                        last_value(changes, &key)
                    }
                    Update::Partial(_) | Update::Unavailable => None,
                };
                if let Some(found) = found {
                    config.apply_if_newer(&found.value, "store");
                }
            }
        });
    }
}

/// Returns the last value among the changes of a key.
fn last_value(changes: Vec<Change>, key: &str) -> Option<kv::KeyValue> {
    let of_key = changes.into_iter().filter(|c| c.key == key);
    of_key.filter_map(|c| c.current).next_back()
}
