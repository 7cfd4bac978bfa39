//! Sizes of a customer's requests, and the share of tokens that the smaller half of them takes.
//!
//! The load that this is made for: a few kinds of requests whose token counts differ tenfold and whose numbers are
//! similar. After a failure of all instances, part of a budget is out of reach, and the rest does not last until the
//! next top-up. The smaller half of such requests takes an eighth of the tokens, so that the tokens held back for it
//! serve half of the callers for as long as eight times as many tokens would serve all of them.

/// Time constant of the counts' decay, in milliseconds: the mix of requests changes more slowly than demand.
const TIME_CONSTANT_MS: f64 = 20_000.0;
/// Number of size classes, two per doubling.
const CLASS_COUNT: usize = 48;
/// Below this number of requests, the mean size separates the halves: a new incarnation that does not know the sizes
/// yet must not spend on large requests what the others need.
const MIN_REQUESTS: f64 = 20.0;
/// Factor on the mean: rounding may put the mean of equal sizes below them.
const ROUNDING_MARGIN: f64 = 1.01;

#[derive(Clone, Copy, Debug, Default)]
struct SizeClass {
    count: f64,
    tokens: f64,
    /// Tokens of the requests that came while more urgent ones needed all tokens, and of those admitted nevertheless.
    deferred: f64,
    admitted: f64,
}

/// The smaller half of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SmallerHalf {
    /// Requests of more tokens belong to the larger half.
    pub(crate) max_tokens: u64,
    /// Its share of all requested tokens, from 0 to 1.
    pub(crate) token_share: f64,
}

/// Histogram of request sizes whose counts decay exponentially.
#[derive(Clone, Debug)]
pub(crate) struct RequestSizes {
    classes: [SizeClass; CLASS_COUNT],
    updated_at: u64,
}

impl Default for RequestSizes {
    fn default() -> RequestSizes {
        RequestSizes {
            classes: [SizeClass::default(); CLASS_COUNT],
            updated_at: 0,
        }
    }
}

impl RequestSizes {
    /// Adds a request.
    pub(crate) fn add(&mut self, now: u64, tokens: u64) {
        self.decay(now);
        let class = &mut self.classes[class_index(tokens)];
        class.count += 1.0;
        class.tokens += tokens as f64;
    }

    /// Reduces the counts by the time since they last changed.
    pub(crate) fn decay(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let decay = (-elapsed / TIME_CONSTANT_MS).exp();
        for class in &mut self.classes {
            class.count *= decay;
            class.tokens *= decay;
            class.deferred *= decay;
            class.admitted *= decay;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the smaller half of the requests: whole size classes, so slightly more than half; none without requests.
    pub(crate) fn smaller_half(&self) -> Option<SmallerHalf> {
        let count: f64 = self.classes.iter().map(|c| c.count).sum();
        let tokens: f64 = self.classes.iter().map(|c| c.tokens).sum();
        if tokens <= 0.0 {
            return None;
        }
        let (last, max_tokens) = if count < MIN_REQUESTS {
            let mean = (tokens / count * ROUNDING_MARGIN) as u64;
            (class_index(mean), mean)
        } else {
            let median = self.median_class(count);
            (median, class_max(median))
        };
        let smaller: f64 = self.classes[..=last].iter().map(|c| c.tokens).sum();
        let token_share = smaller / tokens;
        Some(SmallerHalf {
            max_tokens,
            token_share,
        })
    }

    /// Returns the requested tokens, in sum over the time constant.
    pub(crate) fn tokens(&self) -> f64 {
        self.classes.iter().map(|c| c.tokens).sum()
    }

    /// Returns the requested tokens of smaller size classes than that of the given size.
    pub(crate) fn smaller_tokens(&self, size: u64) -> f64 {
        let smaller = &self.classes[..class_index(size)];
        smaller.iter().map(|c| c.tokens).sum()
    }

    /// Counts a request that came while more urgent ones needed all tokens.
    pub(crate) fn record_deferred(&mut self, size: u64) {
        self.classes[class_index(size)].deferred += size as f64;
    }

    /// Returns whether deferred requests of about the given size have got less than a share of what they asked for, in
    /// percent.
    pub(crate) fn is_below_share(&self, size: u64, share_pct: u64) -> bool {
        let class = &self.classes[class_index(size)];
        class.admitted < class.deferred * share_pct as f64 / 100.0
    }

    /// Counts a deferred request that got its tokens nevertheless.
    pub(crate) fn record_admitted(&mut self, size: u64) {
        self.classes[class_index(size)].admitted += size as f64;
    }

    /// Returns the class that contains the median, given the count of all requests.
    fn median_class(&self, count: f64) -> usize {
        let mut smaller = 0.0;
        let found = self.classes.iter().position(|c| {
            smaller += c.count;
            smaller * 2.0 >= count
        });
        found.unwrap_or(CLASS_COUNT - 1)
    }
}

fn class_index(tokens: u64) -> usize {
    let class = (tokens.max(1) as f64).log2() * 2.0;
    (class as usize).min(CLASS_COUNT - 1)
}

/// Returns the size of the largest requests in a class, in tokens.
fn class_max(class: usize) -> u64 {
    if class == CLASS_COUNT - 1 {
        return u64::MAX;
    }
    (f64::exp2((class + 1) as f64 / 2.0)).ceil() as u64 - 1
}
