//! Memory for what clients send.

use std::sync::{Arc, Mutex};

use bytes::Bytes;

/// Percentage of the memory that bodies may use: requests whose bodies are small must not find it used up.
const BODIES_PCT: usize = 75;

/// Memory for what clients send, which listeners can share; clones are the same memory.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    max_bytes: usize,
    used_bytes: Mutex<usize>,
}

impl Memory {
    /// Creates a memory of a size in bytes.
    pub fn new(max_bytes: usize) -> Memory {
        Memory(Arc::new(Inner {
            max_bytes,
            used_bytes: Mutex::new(0),
        }))
    }

    /// Returns what heads and bodies together may use before a body is refused, in bytes.
    pub(crate) fn max_body_bytes(&self) -> usize {
        self.0.max_bytes / 100 * BODIES_PCT
    }

    /// Returns its size, in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// Keeps memory for bytes until they are dropped, such as a response until its client has read it; none if there
    /// is not enough.
    pub fn hold(&self, bytes: Vec<u8>) -> Option<Bytes> {
        let reservation = self.reserve(bytes.len())?;
        Some(reservation.hold(bytes))
    }

    /// Reserves memory for the head of a request; none if it does not fit.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.take(bytes, self.0.max_bytes).then(|| Reservation {
            memory: self.clone(),
            bytes,
        })
    }

    fn take(&self, bytes: usize, max_bytes: usize) -> bool {
        let mut used = self.0.used_bytes.lock().expect("lock not poisoned");
        let fits = *used + bytes <= max_bytes;
        if fits {
            *used += bytes;
        }
        fits
    }
}

/// Reserved memory, until dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of nothing.
    pub(crate) fn empty(memory: &Memory) -> Reservation {
        Reservation {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory for a body, so that it is `bytes` in total; returns whether it fits.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = more == 0 || self.memory.take(more, self.memory.max_body_bytes());
        if fits {
            self.bytes += more;
        }
        fits
    }

    /// Returns bytes that keep the memory until they are dropped.
    pub(crate) fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut used = self.memory.0.used_bytes.lock().expect("lock not poisoned");
        *used -= self.bytes;
    }
}
