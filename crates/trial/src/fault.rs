//! Faults that happen at a time, and what they do to the fake world.

use rand::Rng;

use crate::item::Item;
use crate::job::{Fate, Phase};
use crate::node::State;
use crate::world::{World, RESTART, RETRY, RETRY_PCT};

/// One fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed; another with its name starts some seconds later.
    Kill(usize),
    /// An instance is paused for a time, in milliseconds.
    Freeze(usize, u64),
    /// An instance stops as planned; another with its name starts then.
    Stop(usize),
    /// The platform is reached by nobody.
    Down(bool),
    /// The platform takes this long, in milliseconds.
    Slow(u64),
    /// This percentage of the platform's answers is lost.
    Lose(u32),
    /// A zone is cut from the others, and from the platform.
    Cut(usize, bool),
    /// A zone is cut from the others, but not from the platform.
    CutPeers(usize, bool),
    /// A budget is topped up by some tokens, at an instance of a zone.
    TopUp(usize, u64, usize),
}

impl World {
    pub(crate) fn fault(&mut self, i: usize) {
        let fault = self.trace.faults[i].1;
        self.note(|| format!("{fault:?}"));
        match fault {
            Fault::Kill(slot) => self.kill(slot),
            Fault::Freeze(slot, ms) => {
                let node = self.slots[slot];
                if self.nodes[node].frozen_until <= self.now {
                    self.nodes[node].frozen_since = self.now;
                    self.nodes[node].frozen_until = self.now + ms;
                }
            }
            Fault::Stop(slot) => {
                let node = self.slots[slot];
                if self.nodes[node].state == State::Up {
                    self.nodes[node].state = State::Leaving;
                }
            }
            Fault::Down(down) => self.platform.faults.down = down,
            Fault::Slow(ms) => self.platform.faults.slow_ms = ms,
            Fault::Lose(pct) => self.platform.faults.lose_pct = pct,
            Fault::Cut(zone, cut) => {
                self.cut[zone] = cut;
                self.cut_platform[zone] = cut;
            }
            Fault::CutPeers(zone, cut) => self.cut[zone] = cut,
            Fault::TopUp(account, tokens, zone) => self.top_up(account, tokens, zone),
        }
    }

    pub(crate) fn kill(&mut self, slot: usize) {
        let node = self.slots[slot];
        if matches!(self.nodes[node].state, State::Dead | State::Left) {
            return;
        }
        self.tally.kills += 1;
        self.nodes[node].state = State::Dead;
        self.nodes[node].since = self.now;
        self.put(self.now + RESTART, Item::Restart(slot));
        for job in 0..self.jobs.len() {
            if self.jobs[job].entry == node && self.jobs[job].phase != Phase::Ended {
                self.jobs[job].phase = Phase::Ended;
                let request = self.jobs[job].request;
                if self.rng.random_range(0..100) < RETRY_PCT {
                    let at = self.now + self.rng.random_range(RETRY);
                    self.put(at, Item::Comeback { request });
                } else {
                    self.requests[request].fate = Fate::Lost;
                }
            }
        }
    }
}
