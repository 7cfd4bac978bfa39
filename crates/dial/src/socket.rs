//! The socket of a connection to an upstream.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that an upstream sends until the head of its response is complete: informational
/// responses, which may come in any number, and the head itself.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Limits what an upstream may send until the head of its response is complete; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Creates a limit that does not apply yet.
    pub(crate) fn new() -> HeadLimit {
        HeadLimit(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Applies the limit from now on.
    pub(crate) fn apply(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit: the head is complete.
    pub(crate) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts received bytes; returns whether they are within the limit.
    fn record(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// Whether a connection carries a request; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InUse(Arc<AtomicBool>);

impl InUse {
    /// Sets whether the connection carries a request.
    pub(crate) fn set(&self, in_use: bool) {
        self.0.store(in_use, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The socket of a connection to an upstream. Reading fails if the head of a response does not end.
pub(crate) struct UpstreamSocket {
    stream: TcpStream,
    limit: HeadLimit,
    in_use: InUse,
}

impl UpstreamSocket {
    pub(crate) fn new(stream: TcpStream, limit: HeadLimit, in_use: InUse) -> UpstreamSocket {
        UpstreamSocket {
            stream,
            limit,
            in_use,
        }
    }
}

impl Drop for UpstreamSocket {
    fn drop(&mut self) {
        if self.in_use.get() {
            // Resets the connection: the bytes of a request that was given up must not reach the upstream when a
            // partition ends. If the option can't be set, the connection is closed.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.limit.record(buf.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let why = format!("no end of a response head within {MAX_HEAD_BYTES} bytes");
        Poll::Ready(Err(Error::new(ErrorKind::InvalidData, why)))
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
