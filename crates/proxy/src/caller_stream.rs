//! The socket of a caller's connection, which fails if the caller reads nothing for too long.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::exchange::Exchange;
use crate::router::Router;

/// Maximum number of bytes that are read of a request before the connection is handed over to the HTTP library.
const FIRST_READ_BYTES: usize = 8 << 10;
/// Interval at which a connection to which nothing can be written is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of checks after which it is closed; after the first one if the memory for responses is nearly used
/// up, since others wait for it.
const MAX_CHECKS: u32 = 10;

/// The socket of a caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Bytes of the next request that were read together with the one before.
    unread: Bytes,
    exchange: Exchange,
    /// None if the caller may read as late as it wants.
    router: Option<Arc<Router>>,
    /// The time of the next check, and the number of checks since something was written; none while the
    /// caller reads.
    stalled: Option<(Pin<Box<Sleep>>, u32)>,
}

impl CallerStream {
    /// Watches a socket; without a router, it never fails.
    pub(crate) fn new(
        stream: TcpStream,
        exchange: Exchange,
        router: Option<Arc<Router>>,
    ) -> CallerStream {
        CallerStream {
            stream,
            unread: Bytes::new(),
            exchange,
            router,
            stalled: None,
        }
    }

    /// Puts back bytes that were read and are not processed yet.
    pub(crate) fn put_back(&mut self, unread: Bytes) {
        // An empty slice would keep the buffer allocated.
        self.unread = if unread.is_empty() {
            Bytes::new()
        } else {
            unread
        };
    }

    /// Waits for the first bytes of the next request, and keeps them to be read; returns whether there are any
    /// before the caller closes the connection.
    ///
    /// # Errors
    ///
    /// Returns why the socket can't be read.
    pub(crate) async fn wait_for_request(&mut self) -> Result<bool> {
        while self.unread.is_empty() {
            // The socket may be reported as readable although nothing has arrived.
            self.stream.ready(Interest::READABLE).await?;
            let mut buf = BytesMut::with_capacity(FIRST_READ_BYTES);
            match self.stream.try_read_buf(&mut buf) {
                Ok(0) => return Ok(false),
                Ok(_) => self.unread = buf.freeze(),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Passes on the result of writing, or an error if nothing could be written for too long.
    fn check_written<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
        let Some(router) = &self.router else {
            return written;
        };
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let new = || (Box::pin(sleep(CHECK_INTERVAL)), 0);
        let (timer, checks) = self.stalled.get_or_insert_with(new);
        loop {
            ready!(timer.as_mut().poll(cx));
            *checks += 1;
            if *checks >= MAX_CHECKS || router.is_short_of_response_memory() {
                router.metrics.slow_callers.inc();
                let why = "the caller reads nothing";
                return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, why)));
            }
            *timer = Box::pin(sleep(CHECK_INTERVAL));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.unread.is_empty() {
            let len = self.unread.len().min(buf.remaining());
            buf.put_slice(&self.unread[..len]);
            let rest = self.unread.split_off(len);
            self.put_back(rest);
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // hyper flushes only when it has nothing left to write.
        self.exchange.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
