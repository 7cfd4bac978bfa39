//! Demand for one customer's tokens at one instance.

use rate::Rate;

use crate::usual_rate::UsualRate;

/// Time constant of the present demand, in milliseconds: long enough to smooth single prompts of a hundred thousand
/// tokens, short enough that a jump in a customer's demand shows within seconds.
const TIME_CONSTANT_MS: f64 = 4_000.0;
/// Time without demand, in milliseconds, after which an instance that is not the customer's home returns its tokens: it
/// had replaced the home for a while.
const IDLE_AFTER_MS: u64 = 3_000;

/// Demand for one customer's tokens at one instance, and the usual demand of all instances.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    present: Rate,
    /// Long average of the demand of all instances.
    usual: UsualRate,
    /// Time of the first demand in this incarnation.
    first_at: Option<u64>,
    last_at: Option<u64>,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand {
            present: Rate::with_time_constant(TIME_CONSTANT_MS),
            usual: UsualRate::default(),
            first_at: None,
            last_at: None,
        }
    }
}

impl Demand {
    /// Adds the tokens that a request asks for.
    pub(crate) fn add(&mut self, now: u64, tokens: u64) {
        self.present.add(now, tokens as f64);
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
    }

    /// Returns the present demand of this instance, in tokens per second.
    pub(crate) fn per_second(&self, now: u64) -> u64 {
        self.present.per_second(now) as u64
    }

    /// Adds the present demand of all instances, in tokens per second, to the usual one.
    pub(crate) fn sample_usual(&mut self, now: u64, total_rate: u64) {
        self.usual.sample(now, total_rate);
    }

    /// Returns the usual demand of all instances, in tokens per second, given the present one: no more than that.
    pub(crate) fn usual(&self, now: u64, total_rate: u64) -> u64 {
        let usual = self.usual.known(now);
        usual.map_or(total_rate, |u| u.min(total_rate))
    }

    /// Returns the time since the first demand, in milliseconds; 0 if there was none.
    pub(crate) fn elapsed_ms(&self, now: u64) -> u64 {
        self.first_at.map_or(0, |at| now.saturating_sub(at))
    }

    /// Returns whether there was none recently.
    pub(crate) fn is_idle(&self, now: u64) -> bool {
        self.last_at.is_none_or(|at| now > at + IDLE_AFTER_MS)
    }
}
