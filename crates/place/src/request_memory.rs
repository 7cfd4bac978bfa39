//! Memory limit for requests in progress and for responses that callers have not read yet.
//!
//! Callers may send faster than upstreams respond, or over a slow link; each waiting request keeps its
//! body, two connections and its state in memory. A process above its memory limit is killed together
//! with all of its requests, so a request that does not fit is refused and goes to another instance.
//! Heads and bodies count from their first byte on: many callers may send them slowly at the same time.

/// Memory of a request in addition to its body, in bytes: two connections with their buffers, and its
/// state.
const REQUEST_BYTES: usize = 70 << 10;
/// Memory of an idle connection to an upstream, in bytes: its buffers grow with the responses, and don't shrink.
const IDLE_UPSTREAM_BYTES: usize = 32 << 10;
/// Memory of a request whose head is being received, in bytes: its connection with its buffers, and as much of a
/// body as arrives with the head.
pub const HEAD_BYTES: usize = 32 << 10;
/// Percentages of the memory for requests that may be used by what is being received, for a further part of a body and
/// for a further head: slow callers must not keep others out.
const RECEIVING_BODY_PCT: usize = 30;
const RECEIVING_HEAD_PCT: usize = 40;
/// Percentage by which this may exceed the memory for requests, so that a request that does not fit gets an answer.
const RECEIVING_EXCESS_PCT: usize = 10;
/// Percentage of the memory limit that requests may use: the rest is for the program itself and for
/// received data that has not been read yet.
const USABLE_PCT: usize = 60;
/// Percentage of that memory that responses may use: callers that read slowly must not keep others out.
const RESPONSES_PCT: usize = 40;
/// Percentage of the memory for responses above which it is nearly used up.
const RESPONSES_SHORT_PCT: usize = 75;
/// Percentage of the memory for requests above which it is nearly used up.
const NEARLY_FULL_PCT: usize = 75;

/// The memory for requests in progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestMemory {
    /// Maximum number of reserved bytes; none if there is no limit.
    max_bytes: Option<usize>,
    /// Number of bytes reserved for requests.
    reserved: usize,
    /// Number of bytes reserved for heads and bodies that are being received.
    receiving: usize,
    /// Number of bytes reserved for responses.
    responses: usize,
}

impl RequestMemory {
    /// Creates the request memory of a process with a memory limit in megabytes.
    pub fn new(memory_mb: Option<u64>) -> RequestMemory {
        let bytes = memory_mb.map(|mb| (mb as usize) << 20);
        RequestMemory {
            max_bytes: bytes.map(|b| b / 100 * USABLE_PCT),
            reserved: 0,
            receiving: 0,
            responses: 0,
        }
    }

    /// Returns the number of bytes that are reserved for requests, for what is being received and for responses.
    pub fn reserved(&self) -> [usize; 3] {
        [self.reserved, self.receiving, self.responses]
    }

    fn used(&self) -> usize {
        self.reserved + self.receiving + self.responses
    }

    /// Reserves memory for a head that is being received; returns whether it fits.
    pub fn receive_head(&mut self) -> bool {
        self.receive(HEAD_BYTES, RECEIVING_HEAD_PCT)
    }

    /// Reserves memory for a part of a body that is being received; returns whether it fits.
    pub fn receive_body(&mut self, bytes: usize) -> bool {
        self.receive(bytes, RECEIVING_BODY_PCT)
    }

    fn receive(&mut self, bytes: usize, pct: usize) -> bool {
        let fits = self.max_bytes.is_none_or(|max_bytes| {
            let total = max_bytes / 100 * (100 + RECEIVING_EXCESS_PCT);
            self.receiving + bytes <= max_bytes / 100 * pct && self.used() + bytes <= total
        });
        if fits {
            self.receiving += bytes;
        }
        fits
    }

    /// Releases the bytes reserved for what was received.
    ///
    /// # Panics
    ///
    /// Panics if more bytes are released than were reserved: the limit would no longer hold.
    pub fn end_receiving(&mut self, bytes: usize) {
        let left = self.receiving.checked_sub(bytes);
        self.receiving = left.expect("no more bytes are released than were reserved");
    }

    /// Reserves memory for a request with a body of some bytes; returns the number of reserved bytes,
    /// or none if the request does not fit.
    pub fn reserve(&mut self, body: usize) -> Option<usize> {
        self.reserve_beside(body, 0)
    }

    /// Reserves memory for a request beside a number of idle connections to upstreams.
    pub fn reserve_beside(&mut self, body: usize, idle_upstreams: usize) -> Option<usize> {
        let bytes = body + REQUEST_BYTES;
        let used = self.used() + idle_upstreams * IDLE_UPSTREAM_BYTES;
        let fits = self
            .max_bytes
            .is_none_or(|max_bytes| used + bytes <= max_bytes);
        fits.then(|| {
            self.reserved += bytes;
            bytes
        })
    }

    /// Returns whether the memory for requests is nearly used up.
    pub fn is_nearly_full(&self) -> bool {
        self.max_bytes
            .is_some_and(|max_bytes| self.used() > max_bytes / 100 * NEARLY_FULL_PCT)
    }

    /// Reserves memory for a part of a response of some bytes; returns whether it fits.
    pub fn reserve_response(&mut self, bytes: usize) -> bool {
        let fits = self.max_bytes.is_none_or(|max_bytes| {
            let responses = self.responses + bytes;
            responses <= max_bytes / 100 * RESPONSES_PCT && self.used() + bytes <= max_bytes
        });
        if fits {
            self.responses += bytes;
        }
        fits
    }

    /// Reserves memory for a part of a response that has to be held although it may not fit: what exceeds the limit
    /// keeps new requests out.
    pub fn reserve_response_anyway(&mut self, bytes: usize) {
        self.responses += bytes;
    }

    /// Returns whether the memory for responses is nearly used up.
    pub fn is_short_for_responses(&self) -> bool {
        self.max_bytes.is_some_and(|max_bytes| {
            let max_responses = max_bytes / 100 * RESPONSES_PCT;
            self.responses > max_responses / 100 * RESPONSES_SHORT_PCT
        })
    }

    /// Releases the bytes reserved for a part of a response.
    ///
    /// # Panics
    ///
    /// Panics if more bytes are released than were reserved: the limit would no longer hold.
    pub fn release_response(&mut self, bytes: usize) {
        let left = self.responses.checked_sub(bytes);
        self.responses = left.expect("no more bytes are released than were reserved");
    }

    /// Releases the bytes reserved for a request.
    ///
    /// # Panics
    ///
    /// Panics if more bytes are released than were reserved: the limit would no longer hold.
    pub fn release(&mut self, bytes: usize) {
        let left = self.reserved.checked_sub(bytes);
        self.reserved = left.expect("no more bytes are released than were reserved");
    }
}
