//! The operators' configuration in force: only ever replaced by a higher version.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, RwLock};

use bytes::Bytes;
use conf::Routing;
use kv::{Change, Store};
use notice::Notice;
use place::{ColdStart, Pool};

use crate::budgets::Budgets;
use crate::dialect::Dialect;
use crate::evacuation::Evacuations;
use crate::event::Event;
use crate::follow::{Feed, Follow, Update, WATCH_MS};
use crate::log::Log;
use crate::notices::{key_hash, Notices};
use crate::passed::Topic;
use crate::relay::Relay;

/// Revoked keys that are remembered until the version that revokes them is in force, bounding memory.
const REVOKED_MOST: usize = 1_024;

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct Active {
    /// As it is read.
    pub(crate) routing: Routing,
    /// As it stands in the store: other instances may ask for it.
    pub(crate) raw: Bytes,
}

/// A handle on the configuration in force.
#[derive(Clone)]
pub(crate) struct Config(Arc<Inner>);

struct Inner {
    works: Works,
    active: RwLock<Option<Arc<Active>>>,
    /// Keys that a version which is not in force here yet no longer holds, by their hashes.
    revoked: RwLock<HashMap<u64, u64>>,
}

/// How far the rate that a cold upstream bears may be exceeded by the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdBounds {
    /// A factor.
    pub(crate) over: f64,
    /// Requests besides.
    pub(crate) slack: f64,
}

/// What a configuration is put in force with.
pub(crate) struct Works {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) bank: Budgets,
    pub(crate) log: Arc<Log>,
    pub(crate) notices: Notices,
    pub(crate) relay: Relay,
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) bounds: ColdBounds,
}

impl Config {
    pub(crate) fn open(works: Works) -> Config {
        Config(Arc::new(Inner {
            works,
            active: RwLock::new(None),
            revoked: RwLock::default(),
        }))
    }

    /// Returns the configuration in force.
    pub(crate) fn get(&self) -> Option<Arc<Active>> {
        self.0.active.read().expect("no panic inside").clone()
    }

    /// Returns the version in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.get().map_or(0, |a| a.routing.version)
    }

    /// Takes a configuration from any source, and puts it in force if it is newer.
    pub(crate) fn offer(&self, raw: &[u8], source: &str) {
        let same = self.get().is_some_and(|a| a.raw == raw);
        if same {
            return;
        }
        let routing = match self.0.works.dialect.routing(raw) {
            Ok(routing) => routing,
            Err(why) => {
                let detail = format_args!("source={source} why={why}");
                self.0.works.log.note(Event::ConfigBroken, detail);
                return;
            }
        };
        let mut active = self.0.active.write().expect("no panic inside");
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
        self.0.works.bank.set_prepaid(&routing);
        self.set_cold(&routing);
        let next = Arc::new(Active {
            routing,
            raw: Bytes::copy_from_slice(raw),
        });
        let previous = active.replace(Arc::clone(&next));
        drop(active);
        self.0.works.log.note(Event::ConfigInForce, detail);
        self.spread(previous.as_deref(), &next);
    }

    /// Tells peers what is urgent of a version that is in force now.
    fn spread(&self, previous: Option<&Active>, next: &Active) {
        let version = next.routing.version;
        self.0.works.relay.has_version(version);
        self.forget_revoked(version);
        let keys = |a: &Active| -> BTreeSet<u64> {
            let keys = a.routing.accounts.iter().flat_map(|c| &c.keys);
            keys.map(|k| key_hash(k)).collect()
        };
        if let Some(previous) = previous {
            for key in keys(previous).difference(&keys(next)) {
                let key = *key;
                self.0.works.notices.learn(Notice::Revoked { key, version });
            }
        }
        self.0.works.notices.learn(Notice::Version { version });
    }

    fn set_cold(&self, routing: &Routing) {
        let bounds = self.0.works.bounds;
        let cold = |s: &conf::Service| ColdStart {
            duration_ms: s.cold_ms,
            max_per_sec: (s.cold_per_sec > 0.0)
                .then_some(s.cold_per_sec * bounds.over + bounds.slack),
        };
        let services = routing.services.iter();
        let cold = services.map(|(name, s)| (name.clone(), cold(s)));
        let mut pool = self.0.works.pool.lock().expect("no panic inside");
        pool.set_cold_starts(cold.collect());
    }

    /// Takes a peer's report that a version revokes a key: it is refused from now on, though that version itself may
    /// come later.
    pub(crate) fn revoke(&self, key: u64, version: u64) {
        if version <= self.version() {
            return;
        }
        let mut revoked = self.0.revoked.write().expect("no panic inside");
        if revoked.len() < REVOKED_MOST {
            revoked.insert(key, version);
        }
        drop(revoked);
        let detail = format_args!("what=revoked version={version}");
        self.0.works.log.note(Event::NewsFromPeer, detail);
    }

    fn forget_revoked(&self, version: u64) {
        let mut revoked = self.0.revoked.write().expect("no panic inside");
        revoked.retain(|_, by| *by > version);
    }

    /// Returns the version, newer than the one in force, that no longer holds a key; none where nothing says so.
    pub(crate) fn revoked_by(&self, key: &str) -> Option<u64> {
        let revoked = self.0.revoked.read().expect("no panic inside");
        if revoked.is_empty() {
            return None;
        }
        revoked.get(&key_hash(key)).copied()
    }

    /// Follows the store.
    pub(crate) fn spawn(&self, store: Arc<dyn Store>, feed: Feed, evacuations: Evacuations) {
        let config = self.clone();
        tokio::spawn(async move {
            let dialect = &config.0.works.dialect;
            let key = dialect.config_key().to_string();
            let prefix = dialect.operator_prefix().to_string();
            let mut follow = Follow::open(store, feed, Topic::Config, &prefix, None, WATCH_MS);
            loop {
                let found = match follow.next().await {
                    Update::Listed(items, revision) => {
                        evacuations.listed(&items, revision);
                        items.into_iter().find(|f| f.key == key)
                    }
                    Update::Changed(changes, _) => {
                        evacuations.changed(&changes);
                        newest(changes, &key)
                    }
                    Update::Part(_) | Update::Lost => None,
                };
                if let Some(found) = found {
                    config.offer(&found.value, "store");
                }
            }
        });
    }
}

fn newest(changes: Vec<Change>, key: &str) -> Option<kv::Found> {
    let of_key = changes.into_iter().filter(|c| c.key == key);
    of_key.filter_map(|c| c.now).next_back()
}
