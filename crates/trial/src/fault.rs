//! Faults that happen at a time, and what they do to the fake world.

use rand::Rng;

use crate::item::Item;
use crate::node::NodeState;
use crate::request::{Phase, RequestState};
use crate::simulation::{Simulation, RESTART, RETRY, RETRY_PCT};

/// One fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed; another with its name starts some seconds later.
    Kill(usize),
    /// An instance is paused for a time, in milliseconds.
    Pause(usize, u64),
    /// An instance stops as planned; another with its name starts then.
    PlannedStop(usize),
    /// The platform is reached by nobody.
    PlatformDown(bool),
    /// The platform takes this long, in milliseconds.
    PlatformDelay(u64),
    /// This percentage of the platform's answers is lost.
    PlatformReplyLoss(u32),
    /// A zone is cut from the others, and from the platform.
    Partition(usize, bool),
    /// A zone is cut from the others, but not from the platform.
    PeerPartition(usize, bool),
    /// A budget is topped up by some tokens, at an instance of a zone.
    TopUp(usize, u64, usize),
}

impl Simulation {
    pub(crate) fn fault(&mut self, i: usize) {
        let fault = self.trace.faults[i].1;
        self.note(|| format!("{fault:?}"));
        match fault {
            Fault::Kill(slot) => self.kill(slot),
            Fault::Pause(slot, ms) => {
                let node = self.slots[slot];
                if self.nodes[node].paused_until <= self.now {
                    self.nodes[node].frozen_since = self.now;
                    self.nodes[node].paused_until = self.now + ms;
                }
            }
            Fault::PlannedStop(slot) => {
                let node = self.slots[slot];
                if self.nodes[node].state == NodeState::Up {
                    self.nodes[node].state = NodeState::Leaving;
                }
            }
            Fault::PlatformDown(down) => self.platform.faults.down = down,
            Fault::PlatformDelay(ms) => self.platform.faults.delay_ms = ms,
            Fault::PlatformReplyLoss(pct) => self.platform.faults.reply_loss_pct = pct,
            Fault::Partition(zone, cut) => {
                self.cut[zone] = cut;
                self.cut_platform[zone] = cut;
            }
            Fault::PeerPartition(zone, cut) => self.cut[zone] = cut,
            Fault::TopUp(account, tokens, zone) => self.top_up(account, tokens, zone),
        }
    }

    pub(crate) fn kill(&mut self, slot: usize) {
        let node = self.slots[slot];
        if matches!(self.nodes[node].state, NodeState::Killed | NodeState::Left) {
            return;
        }
        self.stats.kills += 1;
        self.nodes[node].state = NodeState::Killed;
        self.nodes[node].state_since = self.now;
        self.put(self.now + RESTART, Item::Restart(slot));
        for job in 0..self.jobs.len() {
            if self.jobs[job].entry == node && self.jobs[job].phase != Phase::Ended {
                self.jobs[job].phase = Phase::Ended;
                let request = self.jobs[job].request;
                if self.rng.random_range(0..100) < RETRY_PCT {
                    let at = self.now + self.rng.random_range(RETRY);
                    self.put(at, Item::Comeback { request });
                } else {
                    self.requests[request].state = RequestState::Lost;
                }
            }
        }
    }
}
