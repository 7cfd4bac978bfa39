//! How much memory requests under way may take.
//!
//! Load: callers send faster than upstreams answer, or over a slow link; each request that waits keeps
//! its body, two connections and its state. A process above its limit is killed, and with it everything
//! that it had under way: what does not fit is refused, and finds room at another instance.

/// Memory of a request besides its body, in bytes: two connections with their buffers, and its state. From
/// peaks of 57 MB with 900 requests of 10 kB under way.
const REQUEST_BYTES: usize = 48 << 10;
/// Percentage of the memory that requests may take: the rest is the program's own, and what has come and
/// is not read yet.
const USABLE_PCT: usize = 60;

/// The memory for requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestMemory {
    /// Bytes that may be taken; none when there is no limit.
    most: Option<usize>,
    taken: usize,
}

impl RequestMemory {
    /// Returns the room of a process with a limit in megabytes.
    pub fn new(memory_mb: Option<u64>) -> RequestMemory {
        let bytes = memory_mb.map(|mb| (mb as usize) << 20);
        RequestMemory {
            most: bytes.map(|b| b / 100 * USABLE_PCT),
            taken: 0,
        }
    }

    /// Takes the room for a request with a body of some bytes; returns how much that is, if it fits.
    pub fn reserve(&mut self, body: usize) -> Option<usize> {
        let bytes = body + REQUEST_BYTES;
        let fits = self.most.is_none_or(|most| self.taken + bytes <= most);
        fits.then(|| {
            self.taken += bytes;
            bytes
        })
    }

    /// Gives back what a request took.
    ///
    /// # Panics
    ///
    /// Panics when more is given back than was taken: the limit would no longer hold.
    pub fn release(&mut self, bytes: usize) {
        let left = self.taken.checked_sub(bytes);
        self.taken = left.expect("room that was taken");
    }
}
