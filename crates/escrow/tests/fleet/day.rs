//! One customer's day at its home: requests, outages of the store, losses of all instances.

use crate::store::{Node, Store};

/// How long each request runs, in milliseconds.
const RUNS_MS: u64 = 500;
/// A request comes so often, in milliseconds.
pub(crate) const GAP_MS: u64 = 100;
/// The home looks through its holdings so often, in milliseconds.
const LOOK_MS: u64 = 1_000;
/// A request that does not fit into so many hundredths of the budget is owed no answer.
const OWED_PCT: u64 = 97;
/// From a loss to the start of the next incarnation, in milliseconds.
pub(crate) const DOWN_MS: u64 = 1_500;

/// One customer's day at its home.
pub(crate) struct Day {
    store: Store,
    node: Node,
    prepaid: u64,
    /// Instances of the fleet.
    sharers: u64,
    /// What the requests ask for, and spend, one after the other, in tokens.
    sizes: &'static [u64],
    count: usize,
    /// By requests that have ended, also those that a loss ended.
    spent: u64,
    /// When requests that run will end, with their tokens.
    ends: Vec<(u64, u64)>,
}

/// How requests sent in some span fared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fared {
    /// Owed an answer.
    pub(crate) asked: u64,
    pub(crate) served: u64,
    /// Of those served, the largest ones.
    pub(crate) large_served: u64,
    /// Refused, though the budget would have covered them.
    pub(crate) refused: u64,
}

impl Day {
    pub(crate) fn open(prepaid: u64, sharers: u64, sizes: &'static [u64]) -> Day {
        Day {
            store: Store::default(),
            node: Node::new("home", "home.1", prepaid),
            prepaid,
            sharers,
            sizes,
            count: 0,
            spent: 0,
            ends: Vec::new(),
        }
    }

    /// Plays from one moment to another, in milliseconds, with the store in reach or not.
    pub(crate) fn play(&mut self, from: u64, to: u64, reach: bool) -> Fared {
        let largest = self.sizes.iter().copied().max().expect("some requests");
        let mut fared = Fared::default();
        for now in (from..to).step_by(GAP_MS as usize) {
            self.end_due(now);
            if reach && now % LOOK_MS == 0 {
                self.look(now);
            }
            let tokens = self.sizes[self.count % self.sizes.len()];
            self.count += 1;
            let running: u64 = self.ends.iter().map(|e| e.1).sum();
            let owed = self.spent + running + tokens <= self.prepaid * OWED_PCT / 100;
            fared.asked += u64::from(owed);
            if self.request(now, tokens, reach) {
                self.ends.push((now + RUNS_MS, tokens));
                fared.served += 1;
                fared.large_served += u64::from(tokens == largest);
            } else {
                fared.refused += u64::from(owed);
            }
        }
        fared
    }

    fn end_due(&mut self, now: u64) {
        let (ended, left): (Vec<_>, Vec<_>) = self.ends.iter().partition(|e| e.0 <= now);
        self.ends = left;
        for (_, tokens) in ended {
            self.node.holding.settle(tokens, tokens);
            self.spent += tokens;
        }
    }

    fn request(&mut self, now: u64, tokens: u64, reach: bool) -> bool {
        let holding = &mut self.node.holding;
        holding.add_demand(now, tokens);
        holding.add_request_size(now, tokens);
        if !holding.admits(now, tokens) {
            return false;
        }
        if holding.reserve(tokens) {
            return true;
        }
        if !reach {
            return false;
        }
        holding.begin_wait(tokens);
        self.look(now);
        self.node.holding.end_wait(tokens);
        self.node.holding.reserve(tokens)
    }

    fn look(&mut self, now: u64) {
        self.node.read(&self.store, now);
        if let Some(line) = self.node.holding.plan_update(now, self.sharers, true) {
            self.node.commit(&mut self.store, line, now);
        }
    }

    /// Ends the process with all that it holds; what its requests were about to spend is spent.
    pub(crate) fn lose(&mut self) {
        self.spent += self.ends.iter().map(|e| e.1).sum::<u64>();
        self.ends.clear();
        self.node = Node::new("home", "home.2", self.prepaid);
    }
}
