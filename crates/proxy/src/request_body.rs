//! Bodies of requests, and the memory of what is being received.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use place::HEAD_BYTES;

use crate::exchange::RequestBody;
use crate::router::Router;

/// Part of a body that is covered by the memory of its head, in bytes.
const WITH_HEAD_BYTES: usize = HEAD_BYTES / 2;

/// Step in which memory for a body of unknown length is allocated, in bytes.
const STEP_BYTES: usize = 64 << 10;

/// Reserves memory for a request that is being received until dropped.
pub(crate) struct ReceivingMemory {
    router: Arc<Router>,
    bytes: usize,
}

impl ReceivingMemory {
    /// Reserves memory for a head; none if it does not fit.
    pub(crate) fn reserve(router: &Arc<Router>) -> Option<ReceivingMemory> {
        let fits = router.lock_request_memory().receive_head();
        fits.then(|| ReceivingMemory {
            router: Arc::clone(router),
            bytes: HEAD_BYTES,
        })
    }

    /// Reserves more memory for a body; returns whether it fits.
    fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.router.lock_request_memory().receive_body(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for ReceivingMemory {
    fn drop(&mut self) {
        let mut memory = self.router.lock_request_memory();
        memory.end_receiving(self.bytes);
    }
}

impl fmt::Debug for ReceivingMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReceivingMemory")
            .field("bytes", &self.bytes)
            .finish()
    }
}

/// Why a body was not read.
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// There is no memory left for it.
    NoMemory,
    /// The connection failed, or its bytes are no body.
    Broken(String),
}

/// Reads a body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns why it was not read.
pub(crate) async fn read_body(mut body: RequestBody, max_bytes: usize) -> Result<Bytes, BodyError> {
    let length = body.size_hint().exact();
    let length = length.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if length.is_some_and(|n| n > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    // The system provides the memory as it is filled.
    let mut buf = Vec::with_capacity(length.unwrap_or_default());
    let mut reserved = WITH_HEAD_BYTES;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(BodyError::TooLarge);
        }
        // A body of unknown length gets room in steps.
        let used = if length.is_some() || len <= buf.capacity() {
            len
        } else if len <= WITH_HEAD_BYTES {
            WITH_HEAD_BYTES
        } else {
            len + STEP_BYTES
        };
        if used > reserved {
            let memory = body.memory();
            if memory.is_some_and(|m| !m.grow(used - reserved)) {
                return Err(BodyError::NoMemory);
            }
            reserved = used;
        }
        if len > buf.capacity() {
            buf.reserve_exact(used - buf.len());
        }
        buf.extend_from_slice(data);
    }
    Ok(Bytes::from(buf.into_boxed_slice()))
}
