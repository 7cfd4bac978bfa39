//! Admission control: requests wait in a queue until an upstream has capacity.

use std::sync::Arc;

use err::{Error, Kind};
use route::queue::{AdmissionDecision, WaiterId};
use route::{upstream, Capacity};
use tokio::sync::oneshot;

use crate::shared_state::SharedState;
use crate::wait_queues::QueueKey;

/// Waits until an upstream can accept the request.
///
/// # Errors
///
/// Returns `Overloaded` without waiting if the queue is full or the expected wait is too long for
/// the deadline, and `DeadlinePassed` if the deadline passes in the queue.
pub async fn admit(
    shared: &Arc<SharedState>,
    kind: upstream::UpstreamKind,
    serves: &str,
    priority: u8,
    deadline: u64,
) -> Result<(), Error> {
    let queue_key = (kind, serves.to_string());
    let now = shared.clock.now();
    let capacity = free_capacity(shared, &queue_key);
    let (waiter, rx) = {
        let mut queues = shared.wait_queues.lock().expect("lock not poisoned");
        let wait_queue = queues.0.entry(queue_key.clone()).or_default();
        match wait_queue.queue.admit(now, &capacity, priority, deadline) {
            AdmissionDecision::Admit => return Ok(()),
            AdmissionDecision::Refuse { retry_ms } => {
                let message =
                    format!("the queue for {serves} is too long for the deadline of the request");
                let secs = retry_ms.div_ceil(1000) as u32;
                return Err(Error::new(Kind::Overloaded, message).retry_after(secs));
            }
            AdmissionDecision::Wait(waiter) => {
                let (tx, rx) = oneshot::channel();
                wait_queue.waiters.insert(waiter, tx);
                (waiter, rx)
            }
        }
    };
    let guard = QueueGuard {
        shared: Arc::clone(shared),
        queue_key,
        waiter,
    };
    let admitted = rx.await;
    drop(guard);
    if admitted == Ok(true) {
        return Ok(());
    }
    let error = Error::new(
        Kind::DeadlinePassed,
        "no upstream had capacity before the deadline",
    );
    Err(error.ran(err::Ran::No))
}

/// Removes a request from its queue when it stops waiting.
struct QueueGuard {
    shared: Arc<SharedState>,
    queue_key: QueueKey,
    waiter: WaiterId,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut queues = self.shared.wait_queues.lock().expect("lock not poisoned");
        if let Some(wait_queue) = queues.0.get_mut(&self.queue_key) {
            wait_queue.queue.remove(self.waiter);
            wait_queue.waiters.remove(&self.waiter);
        }
    }
}

fn free_capacity(shared: &SharedState, (kind, serves): &QueueKey) -> Capacity {
    let now = shared.clock.now();
    let pool = shared.pool.lock().expect("lock not poisoned");
    pool.capacity(now, *kind, serves)
}

/// Records the end of a request and admits waiting ones.
pub fn record_finished(shared: &SharedState, kind: upstream::UpstreamKind, serves: &str) {
    let now = shared.clock.now();
    let queue_key = (kind, serves.to_string());
    {
        let mut queues = shared.wait_queues.lock().expect("lock not poisoned");
        if let Some(wait_queue) = queues.0.get_mut(&queue_key) {
            wait_queue.queue.record_finish(now);
        }
    }
    admit_waiting(shared);
}

/// Admits waiting requests as far as there is capacity, and rejects those past their deadline.
pub fn admit_waiting(shared: &SharedState) {
    let now = shared.clock.now();
    let mut queues = shared.wait_queues.lock().expect("lock not poisoned");
    for (queue_key, wait_queue) in &mut queues.0 {
        if wait_queue.queue.is_empty() {
            continue;
        }
        for waiter in wait_queue.queue.expire(now) {
            wait_queue.notify(waiter, false);
        }
        let capacity = free_capacity(shared, queue_key);
        for waiter in wait_queue.queue.release(&capacity) {
            wait_queue.notify(waiter, true);
        }
    }
}
