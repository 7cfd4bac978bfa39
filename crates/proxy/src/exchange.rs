//! Whether a caller's connection is between two requests, so that nothing of it has to be kept but its socket.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Request, Response, Version};
use xxhash_rust::xxh3::xxh3_64;

use crate::body::{ResponseAborted, ResponseBody};
use crate::request_body::ReceivingMemory;

/// How far a connection has come with its current request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No whole head of a request was read yet.
    #[default]
    Reading,
    /// The request is processed, or its response is being read by the connection.
    Responding,
    /// The connection has all of the response, but may not have written it.
    Writing,
    /// The response was written.
    Written,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// Whether the request's body was read to its end. What follows otherwise is no request.
    body_read: bool,
    /// Whether the connection is to be closed after the response.
    closing: bool,
    /// The memory of a head that is being received.
    memory: Option<ReceivingMemory>,
    /// The customer of the last request.
    customer: CustomerHash,
}

/// Hash of a customer's name; 0 if a request has none. A response carries it as an extension.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CustomerHash(pub(crate) u64);

impl CustomerHash {
    /// Returns the hash of a name.
    pub(crate) fn of(name: &str) -> CustomerHash {
        CustomerHash(xxh3_64(name.as_bytes()))
    }
}

/// The request and response in progress on a connection; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchange(Arc<Mutex<State>>);

impl Exchange {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Starts waiting for the next request, whose head has this memory.
    pub(crate) fn reset(&self, memory: ReceivingMemory) {
        *self.lock() = State {
            memory: Some(memory),
            ..State::default()
        };
    }

    /// Records a request whose head was read.
    pub(crate) fn begin(&self, req: Request<Incoming>) -> Request<RequestBody> {
        let mut state = self.lock();
        state.phase = Phase::Responding;
        state.body_read = req.body().is_end_stream();
        let memory = state.memory.take();
        state.closing = req.version() != Version::HTTP_11 || is_closing(req.headers());
        drop(state);
        req.map(|body| RequestBody {
            body,
            memory,
            exchange: self.clone(),
        })
    }

    /// Records the response that is to be written.
    pub(crate) fn respond(&self, res: Response<ResponseBody>) -> Response<CallerBody> {
        let mut state = self.lock();
        state.closing |= is_closing(res.headers());
        let customer = res.extensions().get::<CustomerHash>();
        state.customer = customer.copied().unwrap_or_default();
        drop(state);
        res.map(|body| CallerBody {
            body,
            _end: ResponseEnd(self.clone()),
        })
    }

    /// Records that everything which the connection had to write was written.
    pub(crate) fn record_flushed(&self) {
        let mut state = self.lock();
        if state.phase == Phase::Writing {
            state.phase = Phase::Written;
        }
    }

    /// Returns the hash of the last request's customer.
    pub(crate) fn customer(&self) -> u64 {
        self.lock().customer.0
    }

    /// Returns whether the request is complete, its response is written and the connection stays open.
    pub(crate) fn is_complete(&self) -> bool {
        let state = self.lock();
        state.phase == Phase::Written && state.body_read && !state.closing
    }
}

/// Returns whether a head says that the connection is closed after its message.
fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|o| o.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Records on drop that the connection has all of a response.
#[derive(Debug)]
struct ResponseEnd(Exchange);

impl Drop for ResponseEnd {
    fn drop(&mut self) {
        self.0.lock().phase = Phase::Writing;
    }
}

/// The body of a request.
#[derive(Debug)]
pub(crate) struct RequestBody {
    body: Incoming,
    /// None if the head arrived together with another request, whose memory was that of its connection.
    memory: Option<ReceivingMemory>,
    exchange: Exchange,
}

impl RequestBody {
    /// Returns the memory of what is being received.
    pub(crate) fn memory(&mut self) -> Option<&mut ReceivingMemory> {
        self.memory.as_mut()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.exchange.lock().body_read = true,
            Some(Err(_)) => self.exchange.lock().closing = true,
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response, as the connection reads it.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: ResponseBody,
    _end: ResponseEnd,
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
