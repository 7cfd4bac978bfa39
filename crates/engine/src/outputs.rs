//! Expected lengths of responses, learnt from complete ones.

use std::collections::HashMap;

use crate::mean::Mean;

/// Expected output of a route without any response yet, in tokens: a paragraph or two.
const INITIAL_TOKENS: f64 = 300.0;
/// Number of responses from which on their mean is better than a caller's hint.
const MIN_SAMPLES: u32 = 8;
/// Number of sizes of hints that are told apart, by powers of two.
const HINT_SIZES: usize = 33;
/// Maximum number of routes, to bound memory; the averages of all are dropped beyond it.
const MAX_ROUTES: usize = 4_096;

#[derive(Clone, Debug)]
struct Route {
    all: Mean,
    by_hint: [Mean; HINT_SIZES],
}

impl Default for Route {
    fn default() -> Self {
        Route {
            all: Mean::default(),
            by_hint: [Mean::default(); HINT_SIZES],
        }
    }
}

/// The lengths of recent responses, by route and by the size of the callers' hints. A hint is right in the
/// median of many, but a single one may be far off.
#[derive(Clone, Debug, Default)]
pub struct OutputEstimates(HashMap<String, Route>);

/// Returns the size of a hint, or none for a hint that says nothing.
fn hint_size(hint: Option<u64>) -> Option<usize> {
    let log = hint?.checked_ilog2()? as usize;
    Some(log.min(HINT_SIZES - 1))
}

/// Returns a caller's hint of the length of a response; none if it is 0 or does not fit beside the prompt into an engine
/// with a capacity. No engine would ever have room for such a response.
pub fn possible_hint(hint: Option<u64>, prompt_tokens: u32, capacity: u64) -> Option<u64> {
    let room = capacity.saturating_sub(prompt_tokens.into());
    hint.filter(|tokens| (1..=room).contains(tokens))
}

impl OutputEstimates {
    /// Records the number of output tokens of a complete response.
    pub fn record(&mut self, route: &str, hint: Option<u64>, tokens: u64) {
        if !self.0.contains_key(route) && self.0.len() >= MAX_ROUTES {
            self.0.clear();
        }
        let known = self.0.entry(route.to_string()).or_default();
        known.all.record(tokens as f64);
        if let Some(size) = hint_size(hint) {
            known.by_hint[size].record(tokens as f64);
        }
    }

    /// Returns the expected number of output tokens of a request, at most `max_tokens`.
    pub fn expected(&self, route: &str, hint: Option<u64>, max_tokens: u32) -> u32 {
        let known = self.0.get(route);
        let expected = match (hint, hint_size(hint)) {
            (Some(hint), Some(size)) => {
                let learnt = known.and_then(|k| k.by_hint[size].get(MIN_SAMPLES));
                learnt.unwrap_or(hint as f64)
            }
            _ => known.and_then(|k| k.all.get(1)).unwrap_or(INITIAL_TOKENS),
        };
        expected.ceil().min(f64::from(max_tokens)) as u32
    }
}
