//! Counts calls of the store, by who makes them, what they are and how they end: each one is paid for.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Clock;
use kv::{Answer, Commit, Failure, Found, Listing, News, Reading, Store, Txn};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::sleep;

use crate::event::Event;
use crate::log::Log;
use crate::store_health::StoreHealth;

/// How often the totals are logged: one line against the hundreds that requests write meanwhile.
const LOG_EVERY: Duration = Duration::from_secs(5);

/// One sort of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// What it is for.
    task: &'static str,
    call: &'static str,
    /// How it ended.
    end: &'static str,
    /// Whether the store answered or was out of reach when the call began.
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

/// A handle on the counts.
#[derive(Clone)]
pub(crate) struct StoreCalls(Arc<Inner>);

struct Inner {
    clock: Clock,
    reach: Arc<StoreHealth>,
    metric: Family<CallLabels, Counter>,
    /// The metric's counters: it lists none itself.
    counts: Mutex<BTreeMap<CallLabels, Counter>>,
}

impl StoreCalls {
    pub(crate) fn new(clock: Clock, reach: Arc<StoreHealth>) -> StoreCalls {
        StoreCalls(Arc::new(Inner {
            clock,
            reach,
            metric: Family::default(),
            counts: Mutex::default(),
        }))
    }

    /// Returns the counts as a metric.
    pub(crate) fn counters(&self) -> Family<CallLabels, Counter> {
        self.0.metric.clone()
    }

    /// Returns a store whose calls count for a task.
    pub(crate) fn counted_store(
        &self,
        task: &'static str,
        store: &Arc<dyn Store>,
    ) -> Arc<dyn Store> {
        Arc::new(Counted {
            calls: self.clone(),
            task,
            store: Arc::clone(store),
        })
    }

    /// Logs the totals from time to time.
    pub(crate) fn spawn_logging(&self, log: Arc<Log>) {
        let calls = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(LOG_EVERY).await;
                calls.log_totals(&log);
            }
        });
    }

    /// Logs the totals.
    pub(crate) fn log_totals(&self, log: &Log) {
        let counts = self.0.counts.lock().expect("no panic inside");
        let word = |(call, count): (&CallLabels, &Counter)| format!("{call}={}", count.get());
        let text: Vec<String> = counts.iter().map(word).collect();
        drop(counts);
        log.event(Event::StoreCalls, text.join(" "));
    }

    fn count(&self, call: CallLabels) {
        let mut counts = self.0.counts.lock().expect("no panic inside");
        let counter = || self.0.metric.get_or_create(&call).clone();
        counts.entry(call).or_insert_with(counter).inc();
    }
}

/// A call under way. One that is dropped was given up: it was sent, or its answer may come to nobody.
struct Pending {
    calls: StoreCalls,
    call: CallLabels,
    began: u64,
}

impl Pending {
    fn ended<T>(&mut self, answer: &Result<T, Failure>, end: fn(&T) -> &'static str) {
        let reach = &self.calls.0.reach;
        match answer {
            Ok(answer) => {
                reach.record_response();
                self.call.end = end(answer);
            }
            Err(failure) => {
                reach.record_failure(self.began, failure);
                self.call.end = match failure {
                    Failure::Refused(_) => "refused",
                    Failure::Unknown(_) => "unknown",
                };
            }
        }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.calls.count(self.call);
    }
}

/// A store whose calls are counted.
struct Counted {
    calls: StoreCalls,
    task: &'static str,
    store: Arc<dyn Store>,
}

impl Counted {
    /// Counts a call, by the word for its end.
    fn counted<'a, T>(
        &self,
        call: &'static str,
        answer: Answer<'a, T>,
        end: fn(&T) -> &'static str,
    ) -> impl Future<Output = Result<T, Failure>> + 'a
    where
        T: 'a,
    {
        let out = self.calls.0.reach.is_unavailable();
        let mut pending = Pending {
            began: self.calls.0.clock.now(),
            calls: self.calls.clone(),
            call: CallLabels {
                task: self.task,
                call,
                end: "given_up",
                store: if out { "out" } else { "in_reach" },
            },
        };
        async move {
            let answer = answer.await;
            pending.ended(&answer, end);
            answer
        }
    }
}

impl Store for Counted {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Found>> {
        Box::pin(self.counted("get", self.store.get(key), |_| "done"))
    }

    fn list<'a>(&'a self, prefix: &'a str, reading: Reading) -> Answer<'a, Listing> {
        let call = match reading {
            Reading::Linearizable => "list",
            Reading::Serializable => "old_list",
        };
        Box::pin(self.counted(call, self.store.list(prefix, reading), |_| "done"))
    }

    fn first_page<'a>(&'a self, prefix: &'a str, reading: Reading) -> Answer<'a, Listing> {
        Box::pin(
            self.counted("first_page", self.store.first_page(prefix, reading), |_| {
                "done"
            }),
        )
    }

    fn watch<'a>(&'a self, prefix: &'a str, after: i64, wait_ms: u64) -> Answer<'a, News> {
        let end = |news: &News| match news {
            News::Changes { changes, .. } if changes.is_empty() => "nothing",
            News::Changes { .. } => "news",
            News::Compacted => "compacted",
        };
        Box::pin(self.counted("watch", self.store.watch(prefix, after, wait_ms), end))
    }

    fn commit(&self, txn: Txn) -> Answer<'_, Commit> {
        let end = |commit: &Commit| match commit {
            Commit::Done(_) => "done",
            Commit::Lost(_) => "lost",
            Commit::LeaseEnded => "lease_ended",
        };
        Box::pin(self.counted("write", self.store.commit(txn), end))
    }

    fn grant_lease(&self, ttl_ms: u64) -> Answer<'_, i64> {
        Box::pin(self.counted("lease", self.store.grant_lease(ttl_ms), |_| "done"))
    }

    fn renew_lease(&self, lease: i64) -> Answer<'_, bool> {
        let end = |renewed: &bool| if *renewed { "done" } else { "lease_ended" };
        Box::pin(self.counted("renewal", self.store.renew_lease(lease), end))
    }

    fn end_lease(&self, lease: i64) -> Answer<'_, ()> {
        Box::pin(self.counted("lease_end", self.store.end_lease(lease), |()| "done"))
    }
}

#[cfg(test)]
#[path = "../tests/encoding/calls.rs"]
mod encoding;
