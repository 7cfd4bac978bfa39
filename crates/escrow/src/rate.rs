//! How many tokens a second are asked for.

/// Time over which the demand is averaged, in milliseconds: long enough to smooth single prompts of
/// a hundred thousand tokens, short enough that a customer's jump shows within seconds.
const TIME_CONSTANT_MS: f64 = 4_000.0;

/// An average that forgets, corrected for its short past at the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    sum: f64,
    updated_at: u64,
    first_at: Option<u64>,
}

impl Rate {
    /// Counts tokens asked for.
    pub fn add(&mut self, now: u64, tokens: u64) {
        self.sum = self.decayed_sum(now) + tokens as f64;
        self.updated_at = self.updated_at.max(now);
        self.first_at.get_or_insert(now);
    }

    fn decayed_sum(&self, now: u64) -> f64 {
        let gone = now.saturating_sub(self.updated_at) as f64;
        self.sum * (-gone / TIME_CONSTANT_MS).exp()
    }

    /// Returns the tokens a second.
    pub fn per_second(&self, now: u64) -> u64 {
        let Some(since) = self.first_at else {
            return 0;
        };
        // A single request a moment ago is no rate of thousands a second.
        let past = (now.saturating_sub(since) as f64).max(TIME_CONSTANT_MS / 4.0);
        let seen = TIME_CONSTANT_MS * (1.0 - (-past / TIME_CONSTANT_MS).exp());
        (self.decayed_sum(now) * 1000.0 / seen) as u64
    }
}

/// Returns `of` times the ratio of two numbers.
pub(crate) fn mul_div(of: u64, rate: u64, rates: u64) -> u64 {
    let part = u128::from(of) * u128::from(rate) / u128::from(rates.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
