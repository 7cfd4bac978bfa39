//! How large a customer's requests are: what the smaller half of them takes.
//!
//! The load that this answers: a few kinds of requests that differ tenfold in tokens and little in number. After a loss of all
//! instances a part of a budget is out of reach, and the rest does not last to the next top-up. The smaller half of
//! the requests takes an eighth of the tokens there, so that what is kept for it serves half of the callers for as long as
//! eight times as much would serve all.

/// Time over which requests are counted, in milliseconds: kinds of requests come and go more slowly than demand.
const TIME_CONSTANT_MS: f64 = 20_000.0;
/// Sizes are counted by classes, two to each doubling.
const CLASS_COUNT: usize = 48;
/// With fewer requests than that the mean parts them: a new incarnation must not spend on large ones what the others need
/// before it knows them.
const MIN_REQUESTS: f64 = 20.0;
/// What a mean of equal sizes may lie below them by rounding.
const ROUNDING_MARGIN: f64 = 1.01;

#[derive(Clone, Copy, Debug, Default)]
struct SizeClass {
    count: f64,
    tokens: f64,
}

/// What the smaller half of the requests is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SmallerHalf {
    /// A request of more tokens belongs to the larger half.
    pub(crate) max_tokens: u64,
    /// Its part of all tokens asked for, from 0 to 1.
    pub(crate) token_share: f64,
}

/// Requests by size, forgetting.
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
    /// Counts a request.
    pub(crate) fn add(&mut self, now: u64, tokens: u64) {
        let gone = now.saturating_sub(self.updated_at) as f64;
        let left = (-gone / TIME_CONSTANT_MS).exp();
        for class in &mut self.classes {
            class.count *= left;
            class.tokens *= left;
        }
        self.updated_at = self.updated_at.max(now);
        let class = &mut self.classes[class_index(tokens)];
        class.count += 1.0;
        class.tokens += tokens as f64;
    }

    /// Returns what the smaller half is: whole classes, so a little more than a half. None without any request.
    pub(crate) fn smaller_half(&self) -> Option<SmallerHalf> {
        let count: f64 = self.classes.iter().map(|c| c.count).sum();
        let tokens: f64 = self.classes.iter().map(|c| c.tokens).sum();
        if tokens <= 0.0 {
            return None;
        }
        let (last, most) = if count < MIN_REQUESTS {
            let mean = (tokens / count * ROUNDING_MARGIN) as u64;
            (class_index(mean), mean)
        } else {
            let middle = self.median_class(count);
            (middle, class_max(middle))
        };
        let smaller: f64 = self.classes[..=last].iter().map(|c| c.tokens).sum();
        let part = smaller / tokens;
        Some(SmallerHalf {
            max_tokens: most,
            token_share: part,
        })
    }

    /// Returns the class in which half of so many requests is reached.
    fn median_class(&self, count: f64) -> usize {
        let mut smaller = 0.0;
        let reached = self.classes.iter().position(|c| {
            smaller += c.count;
            smaller * 2.0 >= count
        });
        reached.unwrap_or(CLASS_COUNT - 1)
    }
}

fn class_index(tokens: u64) -> usize {
    let class = (tokens.max(1) as f64).log2() * 2.0;
    (class as usize).min(CLASS_COUNT - 1)
}

/// Returns the most tokens of a request in a class.
fn class_max(class: usize) -> u64 {
    if class == CLASS_COUNT - 1 {
        return u64::MAX;
    }
    (f64::exp2((class + 1) as f64 / 2.0)).ceil() as u64 - 1
}
