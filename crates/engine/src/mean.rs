//! Mean of recent samples.

/// Minimum weight of one sample: what callers ask for changes within minutes.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Mean of the samples so far, in which the recent ones weigh more once there are many.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Records a sample.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        self.value += (sample - self.value) * weight;
    }

    /// Returns the mean; none if there are fewer samples.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.value)
    }
}
