//! The socket of a caller's connection, which fails if the caller reads nothing for too long.

use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::exchange::Exchange;
use crate::router::Router;

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

    /// Waits until there is something to read, or the caller has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns why the socket can't be watched.
    pub(crate) async fn readable(&self) -> Result<()> {
        if self.unread.is_empty() {
            self.stream.ready(Interest::READABLE).await?;
        }
        Ok(())
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
            self.unread.advance(len);
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
