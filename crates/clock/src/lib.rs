//! Monotonic time since the start of a process, for deadlines; wall-clock time only for ids and for
//! times that people read.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use tokio::time::Instant;

/// A monotonic clock that starts at 0 when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Clock::start()
    }
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }

    /// Returns the microseconds since the start.
    pub fn now_us(&self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }

    /// Converts milliseconds since the start into an instant.
    pub fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Returns the milliseconds since the machine was started, including those for which it was suspended.
pub fn boot_ms() -> u64 {
    let since = clock_gettime(ClockId::Boottime);
    since.tv_sec as u64 * 1_000 + since.tv_nsec as u64 / 1_000_000
}
