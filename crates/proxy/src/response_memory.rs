//! Memory of responses that callers have not read yet.

use std::sync::Arc;

use bytes::Bytes;

use crate::router::Router;

/// Reserves memory for a response until dropped.
pub(crate) struct ResponseMemory {
    pub(crate) router: Arc<Router>,
    bytes: usize,
}

impl ResponseMemory {
    /// Starts without any memory.
    pub(crate) fn new(router: &Arc<Router>) -> ResponseMemory {
        ResponseMemory {
            router: Arc::clone(router),
            bytes: 0,
        }
    }

    /// Reserves more memory, whether there is enough or not.
    pub(crate) fn grow_anyway(&mut self, bytes: usize) {
        self.router
            .lock_request_memory()
            .reserve_response_anyway(bytes);
        self.bytes += bytes;
    }

    /// Returns whether no memory is reserved.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Reserves more memory, so that it is `bytes` in total; returns whether there was enough.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let mut memory = self.router.lock_request_memory();
        let fits = memory.reserve_response(more);
        if fits {
            self.bytes += more;
        }
        fits
    }

    /// Returns the bytes of a response, which hold this memory until they are written to the caller.
    pub(crate) fn hold(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _memory: self,
        })
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        let mut memory = self.router.lock_request_memory();
        memory.release_response(self.bytes);
    }
}

struct Held<T> {
    bytes: T,
    _memory: ResponseMemory,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
