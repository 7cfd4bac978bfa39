//! What lives of upstreams have said of themselves, whether they are listed now or not.
//!
//! An entry of the list may lapse in an outage and come back as it was before, and other instances pass on words of upstreams
//! that are not listed here yet: what a life has said holds until it ends.

use std::collections::HashMap;

/// Lives that are remembered, bounding memory; those that spoke first go. Those that are listed keep it besides.
const LIVES_MOST: usize = 1_024;

#[derive(Clone, Copy, Debug, Default)]
struct Saying {
    leaving: bool,
    rests_until: u64,
    turn: u64,
}

/// Sayings by life.
#[derive(Clone, Debug, Default)]
pub(crate) struct Said {
    lives: HashMap<String, Saying>,
    turns: u64,
}

impl Said {
    /// Notes that a life leaves.
    pub(crate) fn leaving(&mut self, life: &str) {
        self.saying(life).leaving = true;
    }

    /// Notes until when a life wants nothing.
    pub(crate) fn rests(&mut self, life: &str, until: u64) {
        let saying = self.saying(life);
        saying.rests_until = saying.rests_until.max(until);
    }

    /// Returns whether a life has said that it leaves.
    pub(crate) fn is_leaving(&self, life: &str) -> bool {
        self.lives.get(life).is_some_and(|s| s.leaving)
    }

    /// Returns until when a life wants nothing; 0 where it has not said so.
    pub(crate) fn rests_until(&self, life: &str) -> u64 {
        self.lives.get(life).map_or(0, |s| s.rests_until)
    }

    fn saying(&mut self, life: &str) -> &mut Saying {
        if self.lives.len() >= LIVES_MOST && !self.lives.contains_key(life) {
            let first = self.lives.iter().min_by_key(|(_, s)| s.turn);
            if let Some(first) = first.map(|(life, _)| life.clone()) {
                self.lives.remove(&first);
            }
        }
        self.turns += 1;
        let turn = self.turns;
        let saying = self.lives.entry(life.to_string()).or_default();
        saying.turn = turn;
        saying
    }
}
