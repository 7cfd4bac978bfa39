//! Who waits for which upstreams.

use std::collections::BTreeMap;

use route::queue::{Queue, WaiterId};
use route::upstream;
use tokio::sync::oneshot;

/// What a request waits for: a kind of upstream, and the model or service.
pub(crate) type Pool = (upstream::UpstreamKind, String);

/// Who waits for one pool.
#[derive(Default)]
pub(crate) struct Line {
    pub(crate) queue: Queue,
    pub(crate) waiters: BTreeMap<WaiterId, oneshot::Sender<bool>>,
}

impl Line {
    pub(crate) fn tell(&mut self, ticket: WaiterId, go: bool) {
        if let Some(tx) = self.waiters.remove(&ticket) {
            // A caller that left meanwhile has dropped its end.
            let _ = tx.send(go);
        }
    }
}

/// The queues of one instance, by what upstreams serve.
#[derive(Default)]
pub struct Admission(pub(crate) BTreeMap<Pool, Line>);

impl Admission {
    /// Returns how many wait, by what they wait for.
    pub fn waiting(&self) -> BTreeMap<String, usize> {
        let row = |(k, l): (&Pool, &Line)| (k.1.clone(), l.queue.len());
        self.0.iter().map(row).collect()
    }
}
