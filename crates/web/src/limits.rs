//! What the clients of a listener may use.

use std::time::Duration;

use crate::memory::Memory;

/// Timeout for receiving the body of a request.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving the headers of a request.
pub(crate) const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection is closed if its client reads nothing of a response.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of a body that is covered by the memory of its head, in bytes.
pub(crate) const WITH_HEAD_BYTES: usize = 16 << 10;

/// Step in which memory for a body is allocated, in bytes.
pub(crate) const STEP_BYTES: usize = 64 << 10;

/// What the clients of a listener may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections. If there are more, the one that has been idle for longest is closed.
    pub connections: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Size of the receive buffer of a connection, in bytes.
    pub receive_buffer_bytes: usize,
    /// Memory for the requests, which listeners can share.
    pub memory: Memory,
}

impl Limits {
    /// Returns the limits of a listener whose clients send requests without bodies, or with small ones.
    pub fn small(connections: usize) -> Limits {
        let (header_bytes, body_bytes) = (8 << 10, 1 << 10);
        let mut limits = Limits {
            connections,
            header_bytes,
            body_bytes,
            receive_buffer_bytes: 8 << 10,
            memory: Memory::new(0),
        };
        limits.memory = Memory::new(connections * limits.head_bytes());
        limits
    }

    /// Returns the limits of a listener whose clients are trusted.
    pub fn trusted(body_bytes: usize) -> Limits {
        Limits {
            connections: 8 << 10,
            header_bytes: 64 << 10,
            body_bytes,
            receive_buffer_bytes: 256 << 10,
            memory: Memory::new(8 << 30),
        }
    }

    /// Lowers the number of connections to those whose heads all fit into the memory: only connections beyond that
    /// number are closed for new ones, so more heads that arrive slowly would keep other clients out.
    pub fn with_room_for_heads(self) -> Limits {
        let heads = self.memory.max_bytes() / self.head_bytes();
        Limits {
            connections: self.connections.min(heads).max(1),
            ..self
        }
    }

    /// Returns the maximum size of a body for which there is memory if there is no other request, in bytes.
    pub(crate) fn max_body_bytes(&self) -> usize {
        let beside_head = self
            .memory
            .max_body_bytes()
            .saturating_sub(self.head_bytes());
        let whole_steps = beside_head / STEP_BYTES * STEP_BYTES;
        self.body_bytes.min(whole_steps.max(WITH_HEAD_BYTES))
    }

    /// Returns the memory of a request without its body, in bytes: its connection with its buffers, and as much of a
    /// body as arrives with the head. The system counts a receive buffer twice, for its own overhead.
    pub(crate) fn head_bytes(&self) -> usize {
        self.header_bytes + 2 * self.receive_buffer_bytes + WITH_HEAD_BYTES
    }
}
