//! Lets requests wait for an upstream, and lets them in.

use std::sync::Arc;

use err::{Error, Kind};
use route::queue::{AdmissionDecision, WaiterId};
use route::{upstream, Capacity};
use tokio::sync::oneshot;

use crate::lines::Pool;
use crate::shared::Shared;

/// Waits until an upstream can take a request.
///
/// # Errors
///
/// Returns `Overloaded` at once when the backlog is longer than the time left, and
/// `DeadlinePassed` when the time has passed nevertheless.
pub async fn admit(
    shared: &Arc<Shared>,
    kind: upstream::UpstreamKind,
    serves: &str,
    priority: u8,
    deadline: u64,
) -> Result<(), Error> {
    let pool = (kind, serves.to_string());
    let now = shared.clock.now();
    let rooms = rooms(shared, &pool);
    let (ticket, rx) = {
        let mut admission = shared.admission.lock().expect("no panic inside");
        let line = admission.0.entry(pool.clone()).or_default();
        match line.queue.admit(now, &rooms, priority, deadline) {
            AdmissionDecision::Admit => return Ok(()),
            AdmissionDecision::Refuse { retry_ms } => {
                let message =
                    format!("the backlog of {serves} is longer than this request can wait");
                let secs = retry_ms.div_ceil(1000) as u32;
                return Err(Error::new(Kind::Overloaded, message).retry_after(secs));
            }
            AdmissionDecision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                line.waiters.insert(ticket, tx);
                (ticket, rx)
            }
        }
    };
    let left = Left {
        shared: Arc::clone(shared),
        pool,
        ticket,
    };
    let go = rx.await;
    drop(left);
    if go == Ok(true) {
        return Ok(());
    }
    let error = Error::new(Kind::DeadlinePassed, "no upstream was free in time");
    Err(error.ran(err::Ran::No))
}

/// Takes a request out of its queue when its caller leaves.
struct Left {
    shared: Arc<Shared>,
    pool: Pool,
    ticket: WaiterId,
}

impl Drop for Left {
    fn drop(&mut self) {
        let mut admission = self.shared.admission.lock().expect("no panic inside");
        if let Some(line) = admission.0.get_mut(&self.pool) {
            line.queue.remove(self.ticket);
            line.waiters.remove(&self.ticket);
        }
    }
}

fn rooms(shared: &Shared, (kind, serves): &Pool) -> Capacity {
    let now = shared.clock.now();
    let pool = shared.pool.lock().expect("no panic inside");
    pool.capacity(now, *kind, serves)
}

/// Counts the end of a request and lets in who waits.
pub fn finished(shared: &Shared, kind: upstream::UpstreamKind, serves: &str) {
    let now = shared.clock.now();
    let pool = (kind, serves.to_string());
    {
        let mut admission = shared.admission.lock().expect("no panic inside");
        if let Some(line) = admission.0.get_mut(&pool) {
            line.queue.record_finish(now);
        }
    }
    wake(shared);
}

/// Lets in who waits, as far as there is room, and turns away whose time has passed.
pub fn wake(shared: &Shared) {
    let now = shared.clock.now();
    let mut admission = shared.admission.lock().expect("no panic inside");
    for (pool, line) in &mut admission.0 {
        if line.queue.is_empty() {
            continue;
        }
        for ticket in line.queue.expire(now) {
            line.tell(ticket, false);
        }
        let rooms = rooms(shared, pool);
        for ticket in line.queue.release(&rooms) {
            line.tell(ticket, true);
        }
    }
}
