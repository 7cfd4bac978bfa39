//! The socket of a connection, which fails if there is no memory left for a request.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

use crate::limits::{Limits, WRITE_TIMEOUT};
use crate::listener::OpenConnection;
use crate::memory::Reservation;

/// The request in progress on a connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Exchange(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    connection: OpenConnection,
    /// Memory of the request, from its first byte until its response is written.
    memory: Option<Reservation>,
    /// Whether the HTTP library has all of the response.
    is_ended: bool,
}

impl Exchange {
    /// Starts without a request.
    pub(crate) fn new(connection: OpenConnection) -> Exchange {
        Exchange(Arc::new(Mutex::new(State {
            connection,
            memory: None,
            is_ended: false,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Reserves memory if there is no request yet; returns whether there is memory.
    fn reserve(&self, limits: &Limits) -> bool {
        let mut state = self.lock();
        if state.memory.is_none() {
            state.memory = limits.memory.reserve(limits.head_bytes());
        }
        state.memory.is_some()
    }

    /// Records that the head of a request is complete; returns whether the connection is still open.
    pub(crate) fn begin(&self) -> bool {
        let mut state = self.lock();
        state.is_ended = false;
        state.connection.begin()
    }

    /// Records that the HTTP library has all of the response.
    pub(crate) fn end(&self) {
        self.lock().is_ended = true;
    }

    /// Records that everything which the connection had to write was written.
    fn record_flushed(&self) {
        let mut state = self.lock();
        if std::mem::take(&mut state.is_ended) {
            state.memory = None;
            state.connection.end();
        }
    }
}

/// The socket of a connection.
pub(crate) struct GuardedStream {
    // Pinned, as its timers are.
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    limits: Limits,
    exchange: Exchange,
}

impl GuardedStream {
    /// Guards a socket.
    pub(crate) fn new(stream: TcpStream, limits: Limits, exchange: Exchange) -> GuardedStream {
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(WRITE_TIMEOUT));
        GuardedStream {
            stream: Box::pin(stream),
            limits,
            exchange,
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(self.stream.as_mut().poll_read(cx, buf))?;
        if buf.filled().len() == before || self.exchange.reserve(&self.limits) {
            return Poll::Ready(Ok(()));
        }
        let why = "no memory left for another request";
        Poll::Ready(Err(Error::new(ErrorKind::OutOfMemory, why)))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.stream.as_mut().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.stream.as_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.stream.as_mut().poll_flush(cx))?;
        // hyper flushes only when it has nothing left to write.
        self.exchange.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream.as_mut().poll_shutdown(cx)
    }
}
