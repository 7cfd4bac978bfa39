//! The body of an answer to a caller.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// An answer that broke off: its connection is closed, so that it can't look whole.
#[derive(Debug)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Cut {
        match never {}
    }
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum Out {
    /// It is whole.
    Whole(Bytes),
    /// It comes in parts, until the sender is dropped.
    Parts(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for Out {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Out::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Out::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Out::Parts(rx) => rx
                .poll_recv(cx)
                .map(|part| part.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Out::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Out::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Out::Parts(_) => SizeHint::default(),
        }
    }
}
