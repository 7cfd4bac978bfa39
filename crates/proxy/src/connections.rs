//! The open connections of callers, and of instances whose requests this one forwards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use place::{Admission, CallerConnections, ConnectionId};
use tokio::task::AbortHandle;

use crate::router::Router;

/// The open connections.
#[derive(Default)]
pub(crate) struct Connections(Mutex<State>);

#[derive(Default)]
struct State {
    connections: CallerConnections,
    /// The tasks that serve the connections.
    tasks: HashMap<ConnectionId, AbortHandle>,
}

impl Connections {
    /// Creates the connections of a process with limits.
    pub(crate) fn new(connections: CallerConnections) -> Connections {
        let tasks = HashMap::new();
        Connections(Mutex::new(State { connections, tasks }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().connections.open_count()
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
        self.router.connections.lock().connections.begin(self.id)
    }

    /// Marks the connection as idle after a request of the customer with this hash.
    pub(crate) fn end(&self, customer: u64) {
        let mut state = self.router.connections.lock();
        state.connections.end(self.id, customer);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.router.connections.lock();
        state.connections.close(self.id);
        state.tasks.remove(&self.id);
        drop(state);
        self.router.metrics.connections_open.dec();
    }
}

impl Connections {
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
