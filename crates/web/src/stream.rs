//! The socket of a connection, which fails if there is no memory left for a request.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

use crate::limits::{Limits, WRITE_TIMEOUT};
use crate::memory::Reservation;

/// Memory of the request that a connection receives; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadMemory(Arc<Mutex<Option<Reservation>>>);

impl HeadMemory {
    /// Reserves memory if there is no request yet; returns whether there is memory.
    fn reserve(&self, limits: &Limits) -> bool {
        let mut reserved = self.0.lock().expect("lock not poisoned");
        if reserved.is_none() {
            *reserved = limits.memory.reserve(limits.head_bytes());
        }
        reserved.is_some()
    }

    /// Releases the memory once the response is complete.
    pub(crate) fn release(&self) {
        self.0.lock().expect("lock not poisoned").take();
    }
}

/// The socket of a connection.
pub(crate) struct GuardedStream {
    // Pinned, as its timers are.
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    limits: Limits,
    memory: HeadMemory,
}

impl GuardedStream {
    /// Guards a socket.
    pub(crate) fn new(stream: TcpStream, limits: Limits, memory: HeadMemory) -> GuardedStream {
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(WRITE_TIMEOUT));
        GuardedStream {
            stream: Box::pin(stream),
            limits,
            memory,
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
        if buf.filled().len() == before || self.memory.reserve(&self.limits) {
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
        self.stream.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream.as_mut().poll_shutdown(cx)
    }
}
