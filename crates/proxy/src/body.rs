//! The body of a response to a caller.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
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

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// Chunks, until the sender is dropped.
    Streamed(mpsc::Receiver<Result<Bytes, ResponseAborted>>),
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
            ResponseBody::Streamed(rx) => rx
                .poll_recv(cx)
                .map(|chunk| chunk.map(|c| c.map(Frame::data))),
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
