//! How large a customer's requests are: what the smaller half of them takes.
//!
//! The load that this answers: a few kinds of requests that differ tenfold in tokens and little in number. After a loss of all
//! instances a part of a budget is out of reach, and the rest does not last to the next top-up. The smaller half of
//! the requests takes an eighth of the tokens there, so that what is kept for it serves half of the callers for as long as
//! eight times as much would serve all.

/// Time over which requests are counted, in milliseconds: kinds of requests come and go more slowly than demand.
const WINDOW_MS: f64 = 20_000.0;
/// Sizes are counted by classes, two to each doubling.
const CLASSES: usize = 48;
/// With fewer requests than that the mean parts them: a new incarnation must not spend on large ones what the others need
/// before it knows them.
const LEAST: f64 = 20.0;
/// What a mean of equal sizes may lie below them by rounding.
const ROUNDING: f64 = 1.01;

#[derive(Clone, Copy, Debug, Default)]
struct Class {
    count: f64,
    tokens: f64,
}

/// What the smaller half of the requests is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Half {
    /// A request of more tokens belongs to the larger half.
    pub(crate) most: u64,
    /// Its part of all tokens asked for, from 0 to 1.
    pub(crate) part: f64,
}

/// Requests by size, forgetting.
#[derive(Clone, Debug)]
pub(crate) struct Sizes {
    classes: [Class; CLASSES],
    at: u64,
}

impl Default for Sizes {
    fn default() -> Sizes {
        Sizes {
            classes: [Class::default(); CLASSES],
            at: 0,
        }
    }
}

impl Sizes {
    /// Counts a request.
    pub(crate) fn add(&mut self, now: u64, tokens: u64) {
        let gone = now.saturating_sub(self.at) as f64;
        let left = (-gone / WINDOW_MS).exp();
        for class in &mut self.classes {
            class.count *= left;
            class.tokens *= left;
        }
        self.at = self.at.max(now);
        let class = &mut self.classes[class_of(tokens)];
        class.count += 1.0;
        class.tokens += tokens as f64;
    }

    /// Returns what the smaller half is: whole classes, so a little more than a half. None without any request.
    pub(crate) fn half(&self) -> Option<Half> {
        let count: f64 = self.classes.iter().map(|c| c.count).sum();
        let tokens: f64 = self.classes.iter().map(|c| c.tokens).sum();
        if tokens <= 0.0 {
            return None;
        }
        let (last, most) = if count < LEAST {
            let mean = (tokens / count * ROUNDING) as u64;
            (class_of(mean), mean)
        } else {
            let middle = self.middle(count);
            (middle, largest_of(middle))
        };
        let smaller: f64 = self.classes[..=last].iter().map(|c| c.tokens).sum();
        let part = smaller / tokens;
        Some(Half { most, part })
    }

    /// Returns the class in which half of so many requests is reached.
    fn middle(&self, count: f64) -> usize {
        let mut smaller = 0.0;
        let reached = self.classes.iter().position(|c| {
            smaller += c.count;
            smaller * 2.0 >= count
        });
        reached.unwrap_or(CLASSES - 1)
    }
}

fn class_of(tokens: u64) -> usize {
    let class = (tokens.max(1) as f64).log2() * 2.0;
    (class as usize).min(CLASSES - 1)
}

/// Returns the most tokens of a request in a class.
fn largest_of(class: usize) -> u64 {
    if class == CLASSES - 1 {
        return u64::MAX;
    }
    (f64::exp2((class + 1) as f64 / 2.0)).ceil() as u64 - 1
}
