//! Kept connections by upstream.

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

/// A connection to an upstream opens within a few milliseconds, or the upstream is not there: the
/// request waits meanwhile, and nothing of it was sent. A lost packet costs the choice of another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that stay unacknowledged this long mean that the other side is gone: without it a cut link
/// shows only after minutes. Leaves room for three lost packets in a row.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after which a silent connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Connections kept for later requests are closed after this time where the upstream names none.
const IDLE_DEFAULT: Duration = Duration::from_millis(2_000);
/// An idle connection is closed this long before the upstream would: a request that crosses the
/// upstream's close has an unknown outcome.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time that a connection is kept, whatever the upstream names.
const IDLE_MOST: Duration = Duration::from_secs(20);

/// Where to connect to.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The upstream's incarnation: another one may have its address, or its name, later.
    pub upstream: &'a str,
    /// Its address.
    pub addr: SocketAddr,
    /// Connections that it may have from here.
    pub max_connections: usize,
}

/// Why there is no connection; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// All that it may have from here are in use.
    Full,
    /// Nobody listens at its address.
    Refused(String),
    /// It can't be reached, or was lost at once.
    Unreachable(String),
    /// It did not answer in time.
    TimedOut,
}

struct Idle {
    conn: Conn,
    until: Instant,
}

/// The connections of one upstream.
#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: usize,
    /// The tasks of the open connections, those in use among them.
    tasks: Vec<AbortHandle>,
}

/// The connections of all upstreams.
#[derive(Default)]
pub(crate) struct Pools(HashMap<String, Pool>);

impl Pools {
    pub(crate) fn closed(&mut self, upstream: &str) {
        if let Some(pool) = self.0.get_mut(upstream) {
            pool.open -= 1;
            pool.tasks.retain(|t| !t.is_finished());
            if pool.open == 0 {
                self.0.remove(upstream);
            }
        }
    }
}

/// Opens connections and keeps them for later requests.
#[derive(Clone, Default)]
pub struct Dialer(Arc<Mutex<Pools>>);

impl Dialer {
    /// Returns a kept connection that is clean, the latest used first.
    pub fn take_idle(&self, upstream: &str) -> Option<Conn> {
        let now = Instant::now();
        loop {
            // Dropped outside of the lock, which their drop takes.
            let idle = {
                let mut pools = self.0.lock().expect("no panic inside");
                pools.0.get_mut(upstream)?.idle.pop()?
            };
            if idle.until > now && idle.conn.is_clean() {
                return Some(idle.conn);
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn connect(&self, to: Target<'_>, deadline: Instant) -> Result<Conn, ConnectError> {
        self.take_place(to)?;
        let place = Place {
            pools: &self.0,
            upstream: to.upstream,
            kept: false,
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let unreachable = |e: std::io::Error| ConnectError::Unreachable(e.to_string());
        let stream = timeout_at(deadline, TcpStream::connect(to.addr))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused => ConnectError::Refused(e.to_string()),
                _ => unreachable(e),
            })?;
        tune(&stream).map_err(unreachable)?;
        let handshake = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| ConnectError::Unreachable(e.to_string()))?;
        let (send, conn) = handshake;
        // An error of the connection shows at its request; between requests it only ends.
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        place.keep(task.abort_handle());
        Ok(Conn {
            upstream: to.upstream.to_string(),
            send,
            task: task.abort_handle(),
            pools: Arc::clone(&self.0),
        })
    }

    fn take_place(&self, to: Target<'_>) -> Result<(), ConnectError> {
        let mut pools = self.0.lock().expect("no panic inside");
        let pool = pools.0.entry(to.upstream.to_string()).or_default();
        if pool.open >= to.max_connections.max(1) {
            return Err(ConnectError::Full);
        }
        pool.open += 1;
        Ok(())
    }

    /// Keeps a connection whose answer was read to its end; `keep_alive` is the upstream's word on
    /// how long it keeps idle ones.
    pub fn put_idle(&self, conn: Conn, keep_alive: Option<Duration>) {
        let keep = match keep_alive {
            Some(named) => named.saturating_sub(IDLE_MARGIN).min(IDLE_MOST),
            None => IDLE_DEFAULT,
        };
        let upstream = conn.upstream.clone();
        let idle = Idle {
            conn,
            until: Instant::now() + keep,
        };
        let mut pools = self.0.lock().expect("no panic inside");
        if let Some(pool) = pools.0.get_mut(&upstream) {
            pool.idle.push(idle);
        }
    }

    /// Closes the kept connections of an upstream that is gone.
    pub fn close_idle(&self, upstream: &str) {
        let dropped = {
            let mut pools = self.0.lock().expect("no panic inside");
            let pool = pools.0.get_mut(upstream);
            pool.map(|p| std::mem::take(&mut p.idle))
        };
        drop(dropped);
    }

    /// Closes all connections of an upstream whose incarnation has ended, those in use too: what waits on them
    /// for an answer learns at once that none will come.
    pub fn close_all(&self, upstream: &str) {
        let tasks = {
            let mut pools = self.0.lock().expect("no panic inside");
            let pool = pools.0.get_mut(upstream);
            pool.map(|p| std::mem::take(&mut p.tasks))
        };
        for task in tasks.unwrap_or_default() {
            task.abort();
        }
        self.close_idle(upstream);
    }

    /// Closes the kept connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        {
            let mut pools = self.0.lock().expect("no panic inside");
            for pool in pools.0.values_mut() {
                let (keep, drop) = std::mem::take(&mut pool.idle)
                    .into_iter()
                    .partition(|i| i.until > now && !i.conn.send.is_closed());
                pool.idle = keep;
                let drop: Vec<Idle> = drop;
                dropped.extend(drop);
            }
        }
        drop(dropped);
    }

    /// Returns how many connections are open.
    pub fn connection_count(&self) -> usize {
        let pools = self.0.lock().expect("no panic inside");
        pools.0.values().map(|p| p.open).sum()
    }
}

/// A place in an upstream's share that is given back when no connection comes of it.
struct Place<'a> {
    pools: &'a Mutex<Pools>,
    upstream: &'a str,
    kept: bool,
}

impl Place<'_> {
    fn keep(mut self, task: AbortHandle) {
        self.kept = true;
        let mut pools = self.pools.lock().expect("no panic inside");
        if let Some(pool) = pools.0.get_mut(self.upstream) {
            pool.tasks.push(task);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.kept {
            let mut pools = self.pools.lock().expect("no panic inside");
            pools.closed(self.upstream);
        }
    }
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes)
}
