//! Zones that operators have evacuated: their upstreams get no requests until the zone is back in
//! use.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use clock::Clock;
use kv::{Change, KeyValue};
use notice::Notice;
use place::Pool;

use crate::dialect::Dialect;
use crate::event::Event;
use crate::log::Log;
use crate::notices::Notices;

/// Handle to the evacuated zones; clones share it.
#[derive(Clone)]
pub(crate) struct Evacuations(Arc<Inner>);

struct Inner {
    dialect: Arc<dyn Dialect>,
    notices: Notices,
    pool: Arc<Mutex<Pool>>,
    log: Arc<Log>,
    clock: Clock,
}

impl Evacuations {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        notices: Notices,
        pool: Arc<Mutex<Pool>>,
        log: Arc<Log>,
        clock: Clock,
    ) -> Evacuations {
        Evacuations(Arc::new(Inner {
            dialect,
            notices,
            pool,
            log,
            clock,
        }))
    }

    /// Applies a complete list of the keys that operators have written, as of a revision.
    pub(crate) fn apply_snapshot(&self, items: &[KeyValue], revision: i64) {
        let zone = |item: &KeyValue| {
            let zone = self.0.dialect.evacuated_zone(&item.key)?;
            Some((zone.to_string(), item.revision))
        };
        let listed: BTreeMap<String, i64> = items.iter().filter_map(zone).collect();
        for (zone, revision) in &listed {
            self.publish(zone, *revision, true);
        }
        for notice in self.0.notices.evacuations() {
            if let Notice::Evacuation {
                zone, evacuated, ..
            } = notice
            {
                // A notice with a later revision than this list takes precedence over it.
                if evacuated && !listed.contains_key(&zone) {
                    self.publish(&zone, revision, false);
                }
            }
        }
    }

    /// Applies changes of keys that operators have written.
    pub(crate) fn apply_changes(&self, changes: &[Change]) {
        for change in changes {
            if let Some(zone) = self.0.dialect.evacuated_zone(&change.key) {
                self.publish(zone, change.revision, change.current.is_some());
            }
        }
    }

    /// Publishes the state of a zone to peers, and applies it if it is new.
    fn publish(&self, zone: &str, revision: i64, evacuated: bool) {
        let notice = Notice::Evacuation {
            zone: zone.to_string(),
            revision,
            evacuated,
        };
        if self.0.notices.publish(notice) {
            self.set_evacuated(zone, evacuated, "store");
        }
    }

    /// Stops or resumes sending requests to the upstreams of a zone.
    pub(crate) fn set_evacuated(&self, zone: &str, evacuated: bool, source: &str) {
        let mut pool = self.0.pool.lock().expect("lock not poisoned");
        if pool.evacuated_zones().contains(zone) == evacuated {
            return;
        }
        pool.set_evacuated(self.0.clock.now(), zone, evacuated);
        drop(pool);
        let event = if evacuated {
            Event::ZoneEvacuated
        } else {
            Event::ZoneRestored
        };
        let detail = format_args!("zone={zone} source={source}");
        self.0.log.event(event, detail);
    }
}
