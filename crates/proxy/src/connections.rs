//! The open connections of callers, and of instances whose requests this one forwards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use place::{Admission, CallerConnections, ConnectionId};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::router::Router;

/// The open connections.
pub(crate) struct Connections {
    state: Mutex<State>,
    /// Number of connections with a request in progress: from its first byte until its response is written.
    busy: watch::Sender<usize>,
}

struct State {
    connections: CallerConnections,
    /// The tasks that serve the connections.
    tasks: HashMap<ConnectionId, AbortHandle>,
}

impl Connections {
    /// Creates the connections of a process with limits.
    pub(crate) fn new(connections: CallerConnections) -> Connections {
        let tasks = HashMap::new();
        Connections {
            state: Mutex::new(State { connections, tasks }),
            busy: watch::channel(0).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    /// Changes the connections, and notifies who waits until none is busy.
    fn update<T>(&self, f: impl FnOnce(&mut CallerConnections) -> T) -> T {
        let mut state = self.lock();
        let result = f(&mut state.connections);
        let busy = state.connections.busy_count();
        self.busy
            .send_if_modified(|n| std::mem::replace(n, busy) != busy);
        result
    }

    /// Returns the number of connections with a request in progress.
    pub(crate) fn busy_count(&self) -> usize {
        *self.busy.borrow()
    }

    /// Waits until no connection has a request in progress.
    pub(crate) async fn wait_idle(&self) {
        let mut busy = self.busy.subscribe();
        // The sender is owned by the connections, so waiting can't fail.
        let _ = busy.wait_for(|n| *n == 0).await;
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().connections.open_count()
    }

    /// Sets the task that serves a connection, unless the connection was closed meanwhile.
    pub(crate) fn set_task(&self, id: ConnectionId, task: AbortHandle) {
        let mut state = self.lock();
        if state.connections.is_open(id) {
            state.tasks.insert(id, task);
        } else {
            task.abort();
        }
    }
}

/// An open connection, which is idle until its first request; dropping it removes it.
pub(crate) struct OpenConnection {
    router: Arc<Router>,
    id: ConnectionId,
}

impl OpenConnection {
    /// Adds a new connection, for which an idle one may be closed; none if there is no room.
    pub(crate) fn new(router: &Arc<Router>) -> Option<OpenConnection> {
        let mut state = router.connections.lock();
        let id = match state.connections.open() {
            Admission::Accepted(id) => id,
            Admission::Replaces { id, closed } => {
                router.metrics.idle_connections_closed.inc();
                // Its task is waiting, or ends when it tries to begin a request.
                if let Some(task) = state.tasks.remove(&closed) {
                    task.abort();
                }
                id
            }
            Admission::Denied => {
                router.metrics.connections_denied.inc();
                return None;
            }
        };
        drop(state);
        router.metrics.connections_open.inc();
        let router = Arc::clone(router);
        Some(OpenConnection { router, id })
    }

    /// Returns the key of the connection.
    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Marks the connection as busy with a request; returns whether it is still open.
    pub(crate) fn begin(&self) -> bool {
        self.router.connections.update(|c| c.begin(self.id))
    }

    /// Marks the connection as idle after a request of the customer with this hash.
    pub(crate) fn end(&self, customer: u64) {
        self.router.connections.update(|c| c.end(self.id, customer));
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.router.connections.update(|c| c.close(self.id));
        self.router.connections.lock().tasks.remove(&self.id);
        self.router.metrics.connections_open.dec();
    }
}
