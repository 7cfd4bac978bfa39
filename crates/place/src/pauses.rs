//! Times at which an instance did not run.
//!
//! An instance that was suspended, or got no processor time, does not see that by itself: what arrived meanwhile seems
//! to arrive when it goes on.

/// Time without any sign that the instance runs after which it has not run, in milliseconds: longer than its timers are
/// late while it is busy.
const MIN_PAUSE_MS: u64 = 500;

/// Notices that an instance did not run.
#[derive(Debug, Default)]
pub struct Pauses {
    /// When the instance ran last, in milliseconds; none before the first time.
    ran_at: Option<u64>,
}

impl Pauses {
    /// Records that the instance runs; returns for how long it did not run before, in milliseconds. The time must go on
    /// while the machine is suspended.
    pub fn record_running(&mut self, now: u64) -> Option<u64> {
        let ran_at = self.ran_at.replace(now).unwrap_or(now);
        let pause_ms = now.saturating_sub(ran_at);
        (pause_ms >= MIN_PAUSE_MS).then_some(pause_ms)
    }
}
