//! The queues of requests that wait for upstreams.

use std::collections::BTreeMap;

use route::queue::{Queue, WaiterId};
use route::upstream;
use tokio::sync::oneshot;

/// Key of a queue: the kind of upstream, and the model or service that requests wait for.
pub(crate) type QueueKey = (upstream::UpstreamKind, String);

/// The requests that wait for a model or service, and the channels that wake them.
#[derive(Default)]
pub(crate) struct WaitQueue {
    pub(crate) queue: Queue,
    pub(crate) waiters: BTreeMap<WaiterId, oneshot::Sender<bool>>,
}

impl WaitQueue {
    /// Wakes a waiting request and tells it whether it is admitted.
    pub(crate) fn notify(&mut self, waiter: WaiterId, admitted: bool) {
        if let Some(tx) = self.waiters.remove(&waiter) {
            // The request may have stopped waiting.
            let _ = tx.send(admitted);
        }
    }
}

/// The queues of an instance, by what upstreams serve.
#[derive(Default)]
pub struct WaitQueues(pub(crate) BTreeMap<QueueKey, WaitQueue>);

impl WaitQueues {
    /// Returns the number of waiting requests by model or service.
    pub fn lengths(&self) -> BTreeMap<String, usize> {
        let count = |(k, q): (&QueueKey, &WaitQueue)| (k.1.clone(), q.queue.len());
        self.0.iter().map(count).collect()
    }
}
