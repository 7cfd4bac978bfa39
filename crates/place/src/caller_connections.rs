//! The open connections of callers, and which of them is closed when there is no room for another one.
//!
//! Load balancers and callers open connections without knowing how many an instance can keep. One that runs out
//! of memory is killed together with all of its requests, and one that runs out of descriptors can't connect to
//! upstreams, peers and the store. A connection that is closed while it is idle costs its caller another one.

use std::collections::{BTreeMap, HashMap};

/// Memory of an idle connection, in bytes: its socket, its task and its timer.
const CONNECTION_BYTES: u64 = 4 << 10;
/// Percentage of the memory limit that idle connections may use.
const MEMORY_PCT: u64 = 15;

/// Key of an open connection; it is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Place of an idle connection in the order in which connections became idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleSince(u64);

#[derive(Clone, Copy, Debug)]
enum State {
    /// A request is in progress.
    Busy,
    /// It waits for its next request.
    Idle {
        /// Hash of the customer of the last request; 0 if there was none.
        customer: u64,
        since: IdleSince,
    },
}

/// Whether a new connection is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Accepted(ConnectionId),
    /// It is, and an idle one is to be closed for it.
    Replaces {
        /// The new connection.
        id: ConnectionId,
        /// The connection to close.
        closed: ConnectionId,
    },
    /// It is not, since all connections are in use.
    Denied,
}

/// The open connections of an instance's callers.
#[derive(Clone, Debug, Default)]
pub struct CallerConnections {
    /// Maximum number of open connections; none if there is no limit.
    max: Option<usize>,
    last_id: u64,
    last_idle: u64,
    open: HashMap<ConnectionId, State>,
    /// Idle connections by customer, those first that have been idle for longest.
    idle: HashMap<u64, BTreeMap<IdleSince, ConnectionId>>,
    idle_count: usize,
}

impl CallerConnections {
    /// Creates the connections of a process with a memory limit in megabytes and a maximum number of connections.
    pub fn new(memory_mb: Option<u64>, max: Option<usize>) -> CallerConnections {
        let by_memory = memory_mb.map(|mb| (mb << 20) / 100 * MEMORY_PCT / CONNECTION_BYTES);
        let by_memory = by_memory.map(|max| (max as usize).max(1));
        CallerConnections {
            max: by_memory.into_iter().chain(max).min(),
            ..CallerConnections::default()
        }
    }

    /// Adds a new connection, which waits for its first request.
    pub fn open(&mut self) -> Admission {
        let is_full = self.max.is_some_and(|max| self.open.len() >= max);
        let closed = if is_full { self.remove_idle() } else { None };
        if is_full && closed.is_none() {
            return Admission::Denied;
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.open.insert(id, State::Busy);
        self.end(id, 0);
        match closed {
            Some(closed) => Admission::Replaces { id, closed },
            None => Admission::Accepted(id),
        }
    }

    /// Marks a connection as busy; returns whether it is still open.
    pub fn begin(&mut self, id: ConnectionId) -> bool {
        let Some(state) = self.open.get_mut(&id) else {
            return false;
        };
        let before = std::mem::replace(state, State::Busy);
        self.forget_idle(before);
        true
    }

    /// Marks a connection as idle after a request of the customer with this hash.
    pub fn end(&mut self, id: ConnectionId, customer: u64) {
        let Some(state) = self.open.get_mut(&id) else {
            return;
        };
        self.last_idle += 1;
        let since = IdleSince(self.last_idle);
        let before = std::mem::replace(state, State::Idle { customer, since });
        self.forget_idle(before);
        self.idle.entry(customer).or_default().insert(since, id);
        self.idle_count += 1;
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(state) = self.open.remove(&id) {
            self.forget_idle(state);
        }
    }

    /// Returns whether a connection is open.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.open.contains_key(&id)
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of connections with a request in progress.
    pub fn busy_count(&self) -> usize {
        self.open.len() - self.idle_count
    }

    /// Removes the connection that has been idle for longest, of the customer with the most idle ones: a customer
    /// that opens many does not close those of the others.
    fn remove_idle(&mut self) -> Option<ConnectionId> {
        let most = self.idle.values().max_by_key(|idle| idle.len())?;
        let id = *most.values().next()?;
        self.close(id);
        Some(id)
    }

    fn forget_idle(&mut self, state: State) {
        let State::Idle { customer, since } = state else {
            return;
        };
        let Some(idle) = self.idle.get_mut(&customer) else {
            return;
        };
        self.idle_count -= usize::from(idle.remove(&since).is_some());
        if idle.is_empty() {
            self.idle.remove(&customer);
        }
    }
}
