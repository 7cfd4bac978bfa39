//! Counts store calls by task, operation and result, because each call has a cost.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Clock;
use kv::{
    Consistency, KeyValue, Listing, Store, StoreError, StoreFuture, Txn, TxnResult, WatchResult,
};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::sleep;

use crate::event::Event;
use crate::log::Log;
use crate::store_health::StoreHealth;

/// Interval between two log lines: few compared with the hundreds that requests write meanwhile.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The labels by which calls are counted. The names of the fields are those of the metric's labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// The task that makes the call.
    task: &'static str,
    /// The operation.
    call: &'static str,
    /// The result.
    end: &'static str,
    /// Whether the store was available when the call began.
    store: &'static str,
}

impl Display for CallLabels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CallLabels {
            task,
            call,
            end,
            store,
        } = self;
        write!(f, "{task}.{call}.{end}.{store}")
    }
}

/// Handle to the counts; clones share them.
#[derive(Clone)]
pub(crate) struct StoreCalls(Arc<Inner>);

struct Inner {
    clock: Clock,
    store_health: Arc<StoreHealth>,
    counters: Family<CallLabels, Counter>,
    /// The same counters by labels, because a `Family` can't be iterated over.
    by_labels: Mutex<BTreeMap<CallLabels, Counter>>,
}

impl StoreCalls {
    pub(crate) fn new(clock: Clock, store_health: Arc<StoreHealth>) -> StoreCalls {
        StoreCalls(Arc::new(Inner {
            clock,
            store_health,
            counters: Family::default(),
            by_labels: Mutex::default(),
        }))
    }

    /// Returns the counters, as a metric.
    pub(crate) fn counters(&self) -> Family<CallLabels, Counter> {
        self.0.counters.clone()
    }

    /// Wraps a store so that its calls are counted for a task.
    pub(crate) fn counted_store(
        &self,
        task: &'static str,
        store: &Arc<dyn Store>,
    ) -> Arc<dyn Store> {
        Arc::new(CountingStore {
            store_calls: self.clone(),
            task,
            store: Arc::clone(store),
        })
    }

    /// Starts a task that logs the totals periodically.
    pub(crate) fn spawn_logging(&self, log: Arc<Log>) {
        let store_calls = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(LOG_INTERVAL).await;
                store_calls.log_totals(&log);
            }
        });
    }

    /// Logs the totals.
    pub(crate) fn log_totals(&self, log: &Log) {
        let counters = self.0.by_labels.lock().expect("lock not poisoned");
        let field = |(labels, count): (&CallLabels, &Counter)| format!("{labels}={}", count.get());
        let text: Vec<String> = counters.iter().map(field).collect();
        drop(counters);
        log.event(Event::StoreCalls, text.join(" "));
    }

    fn count(&self, labels: CallLabels) {
        let mut counters = self.0.by_labels.lock().expect("lock not poisoned");
        let counter = || self.0.counters.get_or_create(&labels).clone();
        counters.entry(labels).or_insert_with(counter).inc();
    }
}

/// A call in flight, which is counted when dropped. One that is dropped without a result was
/// abandoned by its caller, and may have been sent.
struct PendingCall {
    store_calls: StoreCalls,
    labels: CallLabels,
    began_at: u64,
}

impl PendingCall {
    /// Records the result, for the labels and for the health of the store. `end` returns the label
    /// of a response.
    fn record_result<T>(&mut self, result: &Result<T, StoreError>, end: fn(&T) -> &'static str) {
        let store_health = &self.store_calls.0.store_health;
        match result {
            Ok(response) => {
                store_health.record_response();
                self.labels.end = end(response);
            }
            Err(error) => {
                store_health.record_failure(self.began_at, error);
                self.labels.end = match error {
                    StoreError::Refused(_) => "refused",
                    StoreError::Unknown(_) => "unknown",
                };
            }
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.store_calls.count(self.labels);
    }
}

/// A store whose calls are counted.
struct CountingStore {
    store_calls: StoreCalls,
    task: &'static str,
    store: Arc<dyn Store>,
}

impl CountingStore {
    /// Counts a call; `end` returns the label of a response.
    fn count_call<'a, T>(
        &self,
        call: &'static str,
        response: StoreFuture<'a, T>,
        end: fn(&T) -> &'static str,
    ) -> impl Future<Output = Result<T, StoreError>> + 'a
    where
        T: 'a,
    {
        let is_unavailable = self.store_calls.0.store_health.is_unavailable();
        let mut pending = PendingCall {
            began_at: self.store_calls.0.clock.now(),
            store_calls: self.store_calls.clone(),
            labels: CallLabels {
                task: self.task,
                call,
                end: "given_up",
                store: if is_unavailable { "out" } else { "in_reach" },
            },
        };
        async move {
            let result = response.await;
            pending.record_result(&result, end);
            result
        }
    }
}

impl Store for CountingStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>> {
        Box::pin(self.count_call("get", self.store.get(key), |_| "done"))
    }

    fn list<'a>(&'a self, prefix: &'a str, consistency: Consistency) -> StoreFuture<'a, Listing> {
        let call = match consistency {
            Consistency::Linearizable => "list",
            Consistency::Serializable => "old_list",
        };
        Box::pin(self.count_call(call, self.store.list(prefix, consistency), |_| "done"))
    }

    fn first_page<'a>(
        &'a self,
        prefix: &'a str,
        consistency: Consistency,
    ) -> StoreFuture<'a, Listing> {
        Box::pin(self.count_call(
            "first_page",
            self.store.first_page(prefix, consistency),
            |_| "done",
        ))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: i64,
        wait_ms: u64,
    ) -> StoreFuture<'a, WatchResult> {
        let end = |result: &WatchResult| match result {
            WatchResult::Changes { changes, .. } if changes.is_empty() => "nothing",
            WatchResult::Changes { .. } => "news",
            WatchResult::Compacted => "compacted",
        };
        Box::pin(self.count_call("watch", self.store.watch(prefix, after, wait_ms), end))
    }

    fn commit(&self, txn: Txn) -> StoreFuture<'_, TxnResult> {
        let end = |commit: &TxnResult| match commit {
            TxnResult::Done(_) => "done",
            TxnResult::Conflict(_) => "lost",
            TxnResult::LeaseEnded => "lease_ended",
        };
        Box::pin(self.count_call("write", self.store.commit(txn), end))
    }

    fn grant_lease(&self, ttl_ms: u64) -> StoreFuture<'_, i64> {
        Box::pin(self.count_call("lease", self.store.grant_lease(ttl_ms), |_| "done"))
    }

    fn renew_lease(&self, lease: i64) -> StoreFuture<'_, bool> {
        let end = |renewed: &bool| if *renewed { "done" } else { "lease_ended" };
        Box::pin(self.count_call("renewal", self.store.renew_lease(lease), end))
    }

    fn revoke_lease(&self, lease: i64) -> StoreFuture<'_, ()> {
        Box::pin(self.count_call("lease_end", self.store.revoke_lease(lease), |()| "done"))
    }
}

#[cfg(test)]
#[path = "../tests/encoding/calls.rs"]
mod encoding;
