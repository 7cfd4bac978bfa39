//! Order in which requests get tokens while these are short: by priority, then the smaller ones first.
//!
//! The load that this is made for: in an outage of the store, the home holds less than all requests ask for until its end.
//! Without an order, those that arrive first get everything, and the urgent ones of the last seconds are refused.

use std::collections::BTreeMap;

use crate::request_sizes::RequestSizes;

/// Share of what they ask for that requests get in any case as long as there are tokens, in percent, so that a long
/// shortage starves no size and no priority.
const MIN_SHARE_PCT: u64 = 10;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The most tokens that it can cost.
    pub size: u64,
}

/// Requested tokens by priority and size.
#[derive(Clone, Debug, Default)]
pub(crate) struct Urgency {
    by_priority: BTreeMap<u8, RequestSizes>,
}

impl Urgency {
    /// Adds a request.
    pub(crate) fn add(&mut self, now: u64, claim: Claim) {
        for sizes in self.by_priority.values_mut() {
            sizes.decay(now);
        }
        let sizes = self.by_priority.entry(claim.priority).or_default();
        sizes.add(now, claim.size);
    }

    /// Returns whether the requests have several priorities.
    pub(crate) fn has_several_priorities(&self) -> bool {
        let recent = self.by_priority.values().filter(|s| s.tokens() >= 1.0);
        recent.count() > 1
    }

    /// Returns the share of all requested tokens that more urgent requests ask for, from 0 to 1.
    pub(crate) fn more_urgent_share(&self, claim: Claim) -> f64 {
        let all: f64 = self.by_priority.values().map(RequestSizes::tokens).sum();
        if all <= 0.0 {
            return 0.0;
        }
        let urgent = self.by_priority.range(..claim.priority);
        let urgent: f64 = urgent.map(|(_, sizes)| sizes.tokens()).sum();
        let same = self.by_priority.get(&claim.priority);
        let smaller = same.map_or(0.0, |sizes| sizes.smaller_tokens(claim.size));
        (urgent + smaller) / all
    }

    /// Counts a request that came while more urgent ones needed the tokens. Returns whether it may take some
    /// nevertheless, so that its kind is not starved.
    pub(crate) fn defer(&mut self, claim: Claim) -> bool {
        let sizes = self.by_priority.entry(claim.priority).or_default();
        sizes.record_deferred(claim.size);
        sizes.is_below_share(claim.size, MIN_SHARE_PCT)
    }

    /// Counts a deferred request that got its tokens.
    pub(crate) fn record_admitted(&mut self, claim: Claim) {
        let sizes = self.by_priority.entry(claim.priority).or_default();
        sizes.record_admitted(claim.size);
    }
}
