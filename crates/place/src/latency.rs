//! How long requests of one service take, learnt from what is seen.

/// First guess of how long an engine reads a token, in milliseconds; learnt from what is seen.
const READ_MS_FIRST: f64 = 0.016;
/// Time of an engine's first token besides its reading, in milliseconds.
pub(crate) const FIRST_MS: f64 = 10.0;
/// First guess of how long a plain call takes, in milliseconds; learnt from what is seen.
pub(crate) const CALL_MS_FIRST: f64 = 50.0;
/// Weight of one request in a service's averages.
const SERVICE_WEIGHT: f64 = 0.02;
/// Prompts below this many unread tokens say little of the reading.
const LEARN_TOKENS: f64 = 1_000.0;
/// A request that waited for others takes longer than its own reading, so that what is slower counts
/// for less than what is faster.
const SLOWER_PART: f64 = 0.1;

/// What is learnt of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    /// Time in which an engine reads a token, in milliseconds.
    pub(crate) read_ms: f64,
    /// Time in which a plain call is answered, in milliseconds.
    pub(crate) call_ms: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual {
            read_ms: READ_MS_FIRST,
            call_ms: CALL_MS_FIRST,
        }
    }
}

impl Usual {
    /// Takes the time to the first token, or to the answer, of a request; returns what it would have taken
    /// alone.
    pub(crate) fn learn(&mut self, unread: u32, work: f64, took: f64) -> f64 {
        if unread > 0 {
            self.learn_reading(work, took);
            return FIRST_MS + work * self.read_ms;
        }
        self.call_ms += (took - self.call_ms) * SERVICE_WEIGHT;
        self.call_ms
    }

    fn learn_reading(&mut self, work: f64, took: f64) {
        if work < LEARN_TOKENS {
            return;
        }
        let sample = (took - FIRST_MS).max(0.0) / work;
        let part = if sample > self.read_ms {
            SLOWER_PART
        } else {
            1.0
        };
        self.read_ms += (sample - self.read_ms) * SERVICE_WEIGHT * part;
    }
}
