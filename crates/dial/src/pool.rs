//! The pool of connections by upstream.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::conn::Conn;
use crate::socket::{HeadLimit, InUse, UpstreamSocket};

/// Maximum number of bytes of a response that are read ahead of a caller which reads slowly. The head of a
/// response must fit.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Timeout of a connection attempt. An upstream accepts a connection within a few milliseconds, or it is
/// not available. The request waits meanwhile, and nothing of it was sent, so a lost packet only makes the
/// router choose another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a connection with unacknowledged data, or with unanswered keepalive probes, is
/// considered lost. Without it, an interrupted network path is noticed only after minutes. It allows for
/// three consecutive lost packets, and for an upstream that is silent for two probes in a row.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before TCP keepalive probes, and interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an idle connection is kept if the upstream does not specify a timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// An idle connection is closed this long before the upstream's timeout: if the upstream closes it just
/// as a request is sent, the outcome of that request is unknown.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time that an idle connection is kept, whatever timeout the upstream specifies.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What to connect to.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Incarnation of the upstream: another one may use its address or name later.
    pub upstream: &'a str,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Maximum number of connections to it from this instance.
    pub max_connections: usize,
    /// Whether it is connected although the maximum number for all upstreams is reached: the result of a probe must
    /// not depend on that.
    pub is_probe: bool,
}

/// Why a connection was not established; nothing was sent.
///
/// The names of the variants are written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// All connections that this instance may have, to the upstream or to all upstreams, are in use.
    Full,
    /// Nothing listens at the address.
    Refused(String),
    /// The upstream can't be reached, or the connection was lost immediately.
    Unreachable(String),
    /// The connection was not established in time.
    TimedOut,
}

struct IdleConn {
    conn: Conn,
    expires_at: Instant,
}

/// The connections of one upstream.
#[derive(Default)]
struct Pool {
    idle: Vec<IdleConn>,
    /// Number of connections, including those that are idle or being opened.
    open: usize,
    /// The tasks of the connections, including those in use.
    tasks: Vec<AbortHandle>,
}

/// The connections of all upstreams.
#[derive(Default)]
pub(crate) struct Pools {
    by_upstream: HashMap<String, Pool>,
    /// Number of connections to all upstreams, and maximum number of them; none if there is no limit.
    open: usize,
    max: Option<usize>,
    /// Number of idle connections to all upstreams.
    idle: usize,
}

impl Pools {
    /// Releases the slot of a connection that was closed or not established.
    pub(crate) fn release_slot(&mut self, upstream: &str) {
        if let Some(pool) = self.by_upstream.get_mut(upstream) {
            self.open -= 1;
            pool.open -= 1;
            pool.tasks.retain(|t| !t.is_finished());
            if pool.open == 0 {
                self.by_upstream.remove(upstream);
            }
        }
    }

    /// Removes the idle connections that expire first, `count` at most.
    fn take_first_expiring(&mut self, count: usize) -> Vec<IdleConn> {
        let pools = self.by_upstream.values();
        let idle = pools.flat_map(|p| p.idle.iter().map(|i| i.expires_at));
        let mut expiries: Vec<Instant> = idle.collect();
        expiries.sort_unstable();
        let Some(last) = expiries.get(count.min(expiries.len()).wrapping_sub(1)) else {
            return Vec::new();
        };
        let mut taken = Vec::new();
        for pool in self.by_upstream.values_mut() {
            let idle = std::mem::take(&mut pool.idle).into_iter();
            let (expiring, kept): (Vec<_>, Vec<_>) = idle.partition(|i| i.expires_at <= *last);
            pool.idle = kept;
            taken.extend(expiring);
        }
        self.idle -= taken.len();
        taken
    }
}

/// Opens connections, and keeps idle ones for later requests; clones share them.
#[derive(Clone, Default)]
pub struct Dialer(Arc<Mutex<Pools>>);

impl Dialer {
    /// Creates a dialer with a maximum number of connections to all upstreams.
    pub fn new(max_connections: Option<usize>) -> Dialer {
        Dialer(Arc::new(Mutex::new(Pools {
            max: max_connections,
            ..Pools::default()
        })))
    }

    /// Takes the most recently used idle connection that can be reused.
    pub fn take_idle(&self, upstream: &str) -> Option<Conn> {
        let now = Instant::now();
        loop {
            // Dropped after the lock is released, because dropping a connection takes the lock.
            let idle = {
                let mut pools = self.0.lock().expect("lock not poisoned");
                let idle = pools.by_upstream.get_mut(upstream)?.idle.pop()?;
                pools.idle -= 1;
                idle
            };
            if idle.expires_at > now && idle.conn.is_reusable() {
                return Some(idle.conn);
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why the connection was not established.
    pub async fn connect(
        &self,
        target: Target<'_>,
        deadline: Instant,
    ) -> Result<Conn, ConnectError> {
        self.reserve_slot(target)?;
        let guard = SlotGuard {
            pools: &self.0,
            upstream: target.upstream,
            in_use: false,
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let unreachable = |e: std::io::Error| ConnectError::Unreachable(e.to_string());
        let stream = timeout_at(deadline, TcpStream::connect(target.addr))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused => ConnectError::Refused(e.to_string()),
                _ => unreachable(e),
            })?;
        set_socket_options(&stream).map_err(unreachable)?;
        let (head_limit, in_use) = (HeadLimit::new(), InUse::default());
        let socket = UpstreamSocket::new(stream, head_limit.clone(), in_use.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|e| ConnectError::Unreachable(e.to_string()))?;
        let (send, conn) = handshake;
        // The request in progress gets the error of the connection. Without a request, the connection just
        // ends.
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        guard.keep(task.abort_handle());
        Ok(Conn {
            upstream: target.upstream.to_string(),
            send,
            head_limit,
            in_use,
            task: task.abort_handle(),
            pools: Arc::clone(&self.0),
        })
    }

    fn reserve_slot(&self, target: Target<'_>) -> Result<(), ConnectError> {
        if !target.is_probe && self.is_full() && self.close_first_expiring(1) == 0 {
            return Err(ConnectError::Full);
        }
        let mut pools = self.0.lock().expect("lock not poisoned");
        let pool = pools
            .by_upstream
            .entry(target.upstream.to_string())
            .or_default();
        if pool.open >= target.max_connections.max(1) {
            return Err(ConnectError::Full);
        }
        pool.open += 1;
        pools.open += 1;
        Ok(())
    }

    /// Returns whether there are as many connections as allowed.
    fn is_full(&self) -> bool {
        let pools = self.0.lock().expect("lock not poisoned");
        pools.max.is_some_and(|max| pools.open >= max)
    }

    /// Closes the idle connections that expire first, `count` at most of different times; returns how many.
    pub fn close_first_expiring(&self, count: usize) -> usize {
        // Dropped after the lock is released, because dropping a connection takes the lock.
        let taken = {
            let mut pools = self.0.lock().expect("lock not poisoned");
            pools.take_first_expiring(count)
        };
        taken.len()
    }

    /// Returns the number of idle connections to all upstreams.
    pub fn idle_count(&self) -> usize {
        self.0.lock().expect("lock not poisoned").idle
    }

    /// Keeps a connection whose response was read completely for later requests. `keep_alive` is the
    /// upstream's timeout for idle connections, if it specified one.
    pub fn put_idle(&self, conn: Conn, keep_alive: Option<Duration>) {
        let timeout = match keep_alive {
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        conn.in_use.set(false);
        let upstream = conn.upstream.clone();
        let idle = IdleConn {
            conn,
            expires_at: Instant::now() + timeout,
        };
        let mut pools = self.0.lock().expect("lock not poisoned");
        if let Some(pool) = pools.by_upstream.get_mut(&upstream) {
            pool.idle.push(idle);
            pools.idle += 1;
        }
    }

    /// Closes the idle connections of an upstream.
    pub fn close_idle(&self, upstream: &str) {
        let dropped = {
            let mut pools = self.0.lock().expect("lock not poisoned");
            let pool = pools.by_upstream.get_mut(upstream);
            let idle = pool
                .map(|p| std::mem::take(&mut p.idle))
                .unwrap_or_default();
            pools.idle -= idle.len();
            idle
        };
        drop(dropped);
    }

    /// Closes all connections of an upstream's incarnation that has ended, including those in use, so that
    /// requests that wait for a response fail immediately.
    pub fn close_all(&self, upstream: &str) {
        let tasks = {
            let mut pools = self.0.lock().expect("lock not poisoned");
            let pool = pools.by_upstream.get_mut(upstream);
            pool.map(|p| std::mem::take(&mut p.tasks))
        };
        for task in tasks.unwrap_or_default() {
            task.abort();
        }
        self.close_idle(upstream);
    }

    /// Closes the idle connections that have expired or were closed by the upstream.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        {
            let mut pools = self.0.lock().expect("lock not poisoned");
            for pool in pools.by_upstream.values_mut() {
                let (kept, expired) = std::mem::take(&mut pool.idle)
                    .into_iter()
                    .partition(|i| i.expires_at > now && !i.conn.send.is_closed());
                pool.idle = kept;
                let expired: Vec<IdleConn> = expired;
                dropped.extend(expired);
            }
            pools.idle -= dropped.len();
        }
        drop(dropped);
    }

    /// Returns the number of connections, including those that are being opened.
    pub fn connection_count(&self) -> usize {
        let pools = self.0.lock().expect("lock not poisoned");
        pools.open
    }
}

/// A reserved slot for a connection, which is released on drop unless the connection was established.
struct SlotGuard<'a> {
    pools: &'a Mutex<Pools>,
    upstream: &'a str,
    in_use: bool,
}

impl SlotGuard<'_> {
    /// Keeps the slot for an established connection with the given task.
    fn keep(mut self, task: AbortHandle) {
        self.in_use = true;
        let mut pools = self.pools.lock().expect("lock not poisoned");
        if let Some(pool) = pools.by_upstream.get_mut(self.upstream) {
            pool.tasks.push(task);
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if !self.in_use {
            let mut pools = self.pools.lock().expect("lock not poisoned");
            pools.release_slot(self.upstream);
        }
    }
}

/// Sets the options by which an interrupted network path is noticed.
///
/// # Errors
///
/// Returns why an option can't be set.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

/// Sets the maximum number of bytes that the system buffers for a peer that reads slowly.
///
/// # Errors
///
/// Returns why the size can't be set.
pub fn set_send_buffer_size(stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}
