//! The operators' configuration in force: only ever replaced by a higher version.

use std::sync::{Arc, RwLock};

use bytes::Bytes;
use conf::Routing;
use kv::{Change, Store};

use crate::bank::Bank;
use crate::dialect::Dialect;
use crate::event::Event;
use crate::follow::{Feed, Follow, Update, WATCH_MS};
use crate::log::Log;
use crate::relay::Topic;

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
    dialect: Arc<dyn Dialect>,
    bank: Bank,
    log: Arc<Log>,
    active: RwLock<Option<Arc<Active>>>,
}

impl Config {
    pub(crate) fn open(dialect: Arc<dyn Dialect>, bank: Bank, log: Arc<Log>) -> Config {
        Config(Arc::new(Inner {
            dialect,
            bank,
            log,
            active: RwLock::new(None),
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
        let routing = match self.0.dialect.routing(raw) {
            Ok(routing) => routing,
            Err(why) => {
                let detail = format_args!("source={source} why={why}");
                self.0.log.note(Event::ConfigBroken, detail);
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
        self.0.bank.set_prepaid(&routing);
        *active = Some(Arc::new(Active {
            routing,
            raw: Bytes::copy_from_slice(raw),
        }));
        drop(active);
        self.0.log.note(Event::ConfigInForce, detail);
    }

    /// Follows the store.
    pub(crate) fn spawn(&self, store: Arc<dyn Store>, feed: Feed) {
        let config = self.clone();
        tokio::spawn(async move {
            let key = config.0.dialect.config_key().to_string();
            let mut follow = Follow::open(store, feed, Topic::Config, &key, WATCH_MS);
            loop {
                let found = match follow.next().await {
                    Update::Listed(items, _) => items.into_iter().find(|f| f.key == key),
                    Update::Changed(changes, _) => newest(changes, &key),
                    Update::Lost => None,
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
