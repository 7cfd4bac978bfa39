//! A listener and its open connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use place::{Admission, CallerConnections, ConnectionId};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

use crate::connection;
use crate::limits::Limits;
use crate::Service;

/// Delay after a connection could not be accepted, by which file descriptors may be free again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Binds a socket whose connections have a receive buffer of a size in bytes, since the system would let it grow to
/// megabytes for each client that sends faster than it is read.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub fn bind_socket(
    addr: SocketAddr,
    receive_buffer_bytes: Option<usize>,
) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Connections inherit the size, which also limits the window that they announce.
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A bound listener that does not serve yet.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    addr: SocketAddr,
    limits: Limits,
}

impl Listener {
    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub fn bind(addr: SocketAddr, limits: Limits) -> Result<Listener, String> {
        let bound = bind_socket(addr, Some(limits.receive_buffer_bytes));
        let bound = bound.and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (addr, socket) = bound.map_err(|e| format!("{addr}: {e}"))?;
        Ok(Listener {
            socket,
            addr,
            limits,
        })
    }

    /// Returns the address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what its clients may use.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Starts to serve requests.
    pub fn serve<S: Service>(self, service: Arc<S>) -> ServerHandle {
        let (stop_tx, stop) = watch::channel(None);
        let addr = self.addr;
        tokio::spawn(accept(self, service, stop));
        ServerHandle {
            addr,
            stop: Arc::new(stop_tx),
        }
    }
}

/// Handle to a running listener.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    stop: Arc<watch::Sender<Option<Instant>>>,
}

impl ServerHandle {
    /// Returns the address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, and closes the open ones after a grace period at the latest.
    pub fn stop(&self, grace: Duration) {
        self.stop.send_replace(Some(Instant::now() + grace));
    }
}

async fn accept<S: Service>(
    listener: Listener,
    service: Arc<S>,
    mut stop: watch::Receiver<Option<Instant>>,
) {
    let connections = Arc::new(Connections::new(listener.limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.socket.accept() => accepted,
            // Without a handle, the listener serves until the process ends.
            Ok(_) = stop.wait_for(Option::is_some) => return,
        };
        match accepted {
            Ok((stream, remote_addr)) => {
                let Some(open) = connections.open() else {
                    continue;
                };
                let id = open.id;
                let served = connection::serve(
                    stream,
                    remote_addr,
                    open,
                    listener.limits.clone(),
                    Arc::clone(&service),
                    stop.clone(),
                );
                connections.set_task(id, tokio::spawn(served).abort_handle());
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// The open connections of a listener.
#[derive(Debug)]
struct Connections(Mutex<State>);

#[derive(Debug)]
struct State {
    connections: CallerConnections,
    /// The tasks that serve the connections.
    tasks: HashMap<ConnectionId, AbortHandle>,
}

impl Connections {
    fn new(max: usize) -> Connections {
        Connections(Mutex::new(State {
            connections: CallerConnections::new(None, Some(max)),
            tasks: HashMap::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Adds a new connection, for which an idle one may be closed; none if there is no room.
    fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let mut state = self.lock();
        let id = match state.connections.open() {
            Admission::Accepted(id) => id,
            Admission::Replaces { id, closed } => {
                if let Some(task) = state.tasks.remove(&closed) {
                    task.abort();
                }
                id
            }
            Admission::Denied => return None,
        };
        drop(state);
        let connections = Arc::clone(self);
        Some(OpenConnection { connections, id })
    }

    /// Sets the task that serves a connection, unless the connection was closed meanwhile.
    fn set_task(&self, id: ConnectionId, task: AbortHandle) {
        let mut state = self.lock();
        if state.connections.is_open(id) {
            state.tasks.insert(id, task);
        } else {
            task.abort();
        }
    }
}

/// An open connection, which is idle until the head of a request is complete; dropping it removes it.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Arc<Connections>,
    id: ConnectionId,
}

impl OpenConnection {
    /// Marks the connection as busy with a request; returns whether it is still open.
    pub(crate) fn begin(&self) -> bool {
        self.connections.lock().connections.begin(self.id)
    }

    /// Marks the connection as idle.
    pub(crate) fn end(&self) {
        self.connections.lock().connections.end(self.id, 0);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.connections.close(self.id);
        state.tasks.remove(&self.id);
    }
}
