//! Keeps records of requests that crash upstreams in the store, for a failure of all instances.
//!
//! The owners of a record write it when the request is refused, tried or cleared, which takes
//! a few calls per day: one of them may be listed although it is gone. An instance that starts reads all
//! records, unless another one that knows them answers first, and accepts no requests before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kv::{Consistency, KeyValue, Precondition, Put, Store, StoreError, Txn, TxnResult};
use suspect::{Subject, SuspectRecord};
use tokio::time::sleep;

use crate::event::Event;
use crate::fleet::{Fleet, Member};
use crate::log::Log;
use crate::store_health::StoreHealth;
use crate::suspects::Suspects;

/// Prefix of the keys of records; a key continues with the name of the subject.
const PREFIX: &str = "oriolehitch/suspects/";
/// How long an instance that knows no records yet accepts no requests: a longer outage of the store must not keep
/// a whole fleet from serving.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The task that keeps the records in the store up to date.
pub(crate) struct SuspectStore {
    pub(crate) suspects: Suspects,
    pub(crate) fleet: Fleet,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) log: Arc<Log>,
    /// Revisions of the keys that were read or written here.
    pub(crate) revisions: HashMap<Subject, i64>,
}

impl SuspectStore {
    /// Reads the records in the store unless they are learned from another instance, then writes those
    /// that change.
    pub(crate) async fn run(mut self) {
        let suspects = self.suspects.clone();
        tokio::select! {
            () = self.load() => suspects.set_known("store"),
            () = suspects.wait_until_known() => {}
            () = serve_without_records(&suspects) => {}
        }
        loop {
            self.suspects.wait_for_unsaved().await;
            for subject in self.suspects.unsaved() {
                if self.is_writer(subject) {
                    self.save(subject).await;
                } else {
                    self.suspects.forget_removed(subject);
                }
            }
        }
    }

    /// Reads all records in the store.
    async fn load(&mut self) {
        let items = loop {
            match self.store.list(PREFIX, Consistency::Linearizable).await {
                Ok(listing) => break listing.entries,
                Err(_) => self.wait_for_retry().await,
            }
        };
        for item in items {
            self.load_item(&item);
        }
    }

    /// Merges a record that was read from the store.
    fn load_item(&mut self, item: &KeyValue) {
        match serde_json::from_slice::<SuspectRecord>(&item.value) {
            Ok(record) => {
                self.revisions.insert(record.subject, item.revision);
                self.suspects.load(record);
            }
            Err(why) => {
                let detail = format_args!("key={} why={why}", item.key);
                self.log.event(Event::SuspectRecordInvalid, detail);
            }
        }
    }

    /// Waits after a failed call until the store is available.
    async fn wait_for_retry(&self) {
        sleep(RETRY_DELAY).await;
        self.store_health.wait_until_available().await;
    }

    /// Returns whether this instance writes the record of a subject. Both owners do, but only the first one deletes
    /// a record because it has heard nothing of the subject for long.
    fn is_writer(&self, subject: Subject) -> bool {
        let owners = self.fleet.roster().owners(subject.placement_key());
        let own = |m: &Arc<Member>| m.id == self.fleet.incarnation();
        if self.suspects.is_removed(subject) {
            owners.first().is_none_or(own)
        } else {
            owners.is_empty() || owners.iter().any(own)
        }
    }

    /// Writes the record of a request, and retries until the store has it.
    async fn save(&mut self, subject: Subject) {
        while self.suspects.is_unsaved(subject) {
            let record = self.suspects.to_save(subject);
            match self.write(subject, record.as_ref()).await {
                Ok(true) => return self.suspects.mark_saved(subject, record.as_ref()),
                // Another instance has written it; its record and its revision are known now.
                Ok(false) => {}
                Err(error) => {
                    let detail = format!("what=suspect why={error:?}");
                    self.log.event(Event::StoreWriteFailed, detail);
                    self.wait_for_retry().await;
                }
            }
        }
    }

    /// Writes a record, or deletes it if there is none; returns whether that took effect.
    async fn write(
        &mut self,
        subject: Subject,
        record: Option<&SuspectRecord>,
    ) -> Result<bool, StoreError> {
        let key = format!("{PREFIX}{}", subject.to_key());
        let revision = self.revisions.get(&subject).copied().unwrap_or(0);
        if record.is_none() && revision == 0 {
            return Ok(true);
        }
        let put = record.map(|record| Put {
            key: key.clone(),
            value: serde_json::to_vec(record).expect("a record can be serialized"),
            lease: 0,
        });
        let delete = if put.is_none() {
            vec![key.clone()]
        } else {
            Vec::new()
        };
        let txn = Txn {
            preconditions: vec![Precondition {
                key: key.clone(),
                revision,
            }],
            puts: put.into_iter().collect(),
            deletes: delete,
        };
        match self.store.commit(txn).await? {
            TxnResult::Done(revision) => {
                if record.is_some() {
                    self.revisions.insert(subject, revision);
                } else {
                    self.revisions.remove(&subject);
                }
                Ok(true)
            }
            TxnResult::Conflict(items) => {
                let found = items.iter().find(|f: &&KeyValue| f.key == key);
                let revision = found.map_or(0, |f| f.revision);
                self.revisions.insert(subject, revision);
                if let Some(found) = found {
                    self.load_item(found);
                }
                Ok(false)
            }
            TxnResult::LeaseEnded => Ok(false),
        }
    }
}

/// Lets requests be accepted after a while although the records are not known; does not return.
async fn serve_without_records(suspects: &Suspects) {
    sleep(READ_TIMEOUT).await;
    suspects.accept_without_records();
    std::future::pending().await
}
