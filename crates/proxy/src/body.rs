//! The body of a response to a caller.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::transit::ForwardedBody;

/// A response that could not be completed. The connection is closed, so that the caller can't take
/// the response for a complete one.
#[derive(Debug)]
pub(crate) struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response aborted before its end")
    }
}

impl std::error::Error for ResponseAborted {}

impl From<Infallible> for ResponseAborted {
    fn from(never: Infallible) -> ResponseAborted {
        match never {}
    }
}

/// The sender's end of a streamed body. If it is dropped without [`BodySender::complete`], the response is aborted
/// after what was sent: a caller that reads slowly can't take it for a complete one.
#[derive(Debug)]
pub(crate) struct BodySender {
    tx: mpsc::Sender<Bytes>,
    complete: Arc<AtomicBool>,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

impl BodySender {
    /// Creates a streamed body in which at most `max_queued` chunks wait for the caller.
    pub(crate) fn new(max_queued: usize) -> (BodySender, ResponseBody) {
        let (tx, rx) = mpsc::channel(max_queued);
        let complete = Arc::new(AtomicBool::new(false));
        let body = StreamedBody {
            rx,
            complete: Arc::clone(&complete),
        };
        (BodySender { tx, complete }, ResponseBody::Streamed(body))
    }

    /// Sends a chunk once there is room for it.
    ///
    /// # Errors
    ///
    /// Returns that the caller has disconnected.
    pub(crate) async fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        let sent = self.tx.send(chunk).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body.
    pub(crate) fn complete(self) {
        self.complete.store(true, Ordering::Release);
    }
}

/// A body that is sent in chunks.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    rx: mpsc::Receiver<Bytes>,
    complete: Arc<AtomicBool>,
}

impl StreamedBody {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        self.rx.poll_recv(cx).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.complete.load(Ordering::Acquire) => None,
            None => Some(Err(ResponseAborted)),
        })
    }
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// Chunks, as they are sent.
    Streamed(StreamedBody),
    /// The body of an upstream's response to a request of another instance.
    Forwarded(ForwardedBody),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ResponseBody::Streamed(body) => body.poll_frame(cx),
            ResponseBody::Forwarded(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Streamed(_) => false,
            ResponseBody::Forwarded(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streamed(_) => SizeHint::default(),
            ResponseBody::Forwarded(body) => body.size_hint(),
        }
    }
}
