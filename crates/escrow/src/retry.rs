//! When a caller whose request was refused for lack of tokens should come back.
//!
//! The load that this is made for: callers come back once, wait for at most a third of the time that they have left, and
//! a request that is refused twice costs them most. In an outage of the store, a retry before its end is refused again,
//! and if all callers come back at its end, the first refill does not cover them.

/// Duration of an outage of the store, in milliseconds, unless a longer one was seen.
const TYPICAL_OUTAGE_MS: u64 = 9_000;
/// Additional duration expected of an outage that lasts longer than any before, in percent of its duration so far.
const LONGER_OUTAGE_PCT: u64 = 30;
/// Time from the end of an outage until tokens are taken, in milliseconds: a probe and a refill cycle.
const REFILL_MS: u64 = 1_000;
/// Time until free tokens are taken, in milliseconds: a refill under way ends, or the next one does.
const FREE_TOKENS_MS: u64 = 700;
/// Time until tokens that other instances hold are returned, in milliseconds.
const RETURN_MS: u64 = 4_000;
/// Maximum time over which the retries of callers are spread, in milliseconds: a few refill cycles.
const MAX_SPREAD_MS: u64 = 2_000;
/// A caller waits for at most its remaining time divided by this.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// An outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Its duration so far, in milliseconds.
    pub elapsed_ms: u64,
    /// The longest duration of an earlier one, in milliseconds; 0 if none was seen.
    pub longest_ms: u64,
}

impl Outage {
    /// Returns how long it is expected to last from now on, in milliseconds.
    pub fn remaining_ms(self) -> u64 {
        let expected_ms = self.longest_ms.max(TYPICAL_OUTAGE_MS);
        let longer_ms = self.elapsed_ms * LONGER_OUTAGE_PCT / 100;
        expected_ms.saturating_sub(self.elapsed_ms).max(longer_ms)
    }
}

/// Returns the time until tokens can be expected, in milliseconds, in an outage of the store or without one. `free` says
/// whether the budget has free tokens.
fn expected_ms(outage: Option<Outage>, free: bool) -> u64 {
    match outage {
        Some(outage) => outage.remaining_ms() + REFILL_MS,
        None if free => FREE_TOKENS_MS,
        None => RETURN_MS,
    }
}

/// Returns the time after which a refused caller should come back, in milliseconds, given the time that it still waits
/// for a response. `spread` is a number from 0 to 1, another one for each caller.
///
/// The time is never earlier than that at which tokens can be expected, unless the caller does not wait that long: then
/// it is as late as the caller accepts.
pub fn retry_ms(outage: Option<Outage>, free: bool, remaining_ms: u64, spread: f64) -> u64 {
    let max_ms = remaining_ms / REMAINING_TIME_DIVISOR;
    let expected_ms = expected_ms(outage, free);
    let spread_ms = max_ms.saturating_sub(expected_ms).min(MAX_SPREAD_MS);
    let spread_ms = (spread_ms as f64 * spread.clamp(0.0, 1.0)) as u64;
    (expected_ms + spread_ms).min(max_ms)
}
