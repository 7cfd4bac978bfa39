//! A connection to an upstream, which carries one request at a time.

use std::error::Error;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use tokio::task::AbortHandle;

use crate::pool::Pools;
use crate::socket::{HeadLimit, InUse};

/// Why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The upstream may have received and run the request, and closed the connection before its response
    /// arrived.
    Closed(String),
    /// The upstream may have received and run the request, and may have sent a part of the response.
    Broken(String),
    /// As `Broken`, but nothing shows that the upstream was still alive: it was silent until the connection timed out,
    /// or the connection was closed here.
    Lost(String),
}

/// Returns whether an error means that the upstream closed the connection, as opposed to a lost connection
/// or an invalid response.
fn is_closed(error: &hyper::Error) -> bool {
    let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
    let cause = error.source().and_then(|e| e.downcast_ref());
    error.is_incomplete_message() || cause.is_some_and(reset)
}

/// Returns whether an error means that the connection timed out, or was closed by this process: neither shows that the
/// upstream was still alive.
pub fn is_lost(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|e| e.downcast_ref());
    let timed_out = |e: &std::io::Error| {
        matches!(
            e.kind(),
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
        )
    };
    // The task of the connection was ended.
    let closed_here = error.is_canceled() || error.is_user();
    closed_here || cause.is_some_and(timed_out)
}

/// A connection to an upstream. Dropping it closes it immediately. If a request is in progress, it is reset, so that
/// nothing of the request reaches the upstream afterwards.
pub struct Conn {
    pub(crate) upstream: String,
    pub(crate) send: SendRequest<Full<Bytes>>,
    pub(crate) head_limit: HeadLimit,
    pub(crate) in_use: InUse,
    pub(crate) task: AbortHandle,
    pub(crate) pools: Arc<Mutex<Pools>>,
}

impl Conn {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response, and whether the request may have been received.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.in_use.set(true);
        self.head_limit.apply();
        let sent = self.send.try_send_request(req).await;
        self.head_limit.lift();
        sent.map_err(|mut e| {
            let why = e.error().to_string();
            let (closed, lost) = (is_closed(e.error()), is_lost(e.error()));
            match e.take_message() {
                Some(_) => SendError::NotSent(why),
                None if closed => SendError::Closed(why),
                None if lost => SendError::Lost(why),
                None => SendError::Broken(why),
            }
        })
    }

    /// Returns whether another request may be sent: the previous response was read completely, and nothing
    /// was received since.
    pub(crate) fn is_reusable(&self) -> bool {
        self.send.is_ready() && !self.send.is_closed()
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // The upstream notices that the connection is closed, and cancels the request.
        self.task.abort();
        let mut pools = self.pools.lock().expect("lock not poisoned");
        pools.release_slot(&self.upstream);
    }
}
