//! Faults that happen at a time, and what they do to the fake world.

use rand::Rng;

use crate::node::NodeState;
use crate::request::{Phase, RequestState};
use crate::sim_event::SimEvent;
use crate::simulation::{Simulation, CALLER_RETRY_MS, CALLER_RETRY_PCT, RESTART_MS};

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
    pub(crate) fn apply_fault(&mut self, i: usize) {
        let fault = self.trace.faults[i].1;
        self.log(|| format!("{fault:?}"));
        match fault {
            Fault::Kill(instance) => self.kill(instance),
            Fault::Pause(instance, ms) => {
                let node = self.current_nodes[instance];
                if self.nodes[node].paused_until <= self.now {
                    self.nodes[node].paused_since = self.now;
                    self.nodes[node].paused_until = self.now + ms;
                }
            }
            Fault::PlannedStop(instance) => {
                let node = self.current_nodes[instance];
                if self.nodes[node].state == NodeState::Up {
                    self.nodes[node].state = NodeState::Leaving;
                }
            }
            Fault::PlatformDown(down) => self.platform.faults.down = down,
            Fault::PlatformDelay(ms) => self.platform.faults.delay_ms = ms,
            Fault::PlatformReplyLoss(pct) => self.platform.faults.reply_loss_pct = pct,
            Fault::Partition(zone, active) => {
                self.partitioned[zone] = active;
                self.platform_unreachable[zone] = active;
            }
            Fault::PeerPartition(zone, active) => self.partitioned[zone] = active,
            Fault::TopUp(account, tokens, zone) => self.top_up(account, tokens, zone),
        }
    }

    pub(crate) fn kill(&mut self, instance: usize) {
        let node = self.current_nodes[instance];
        if matches!(self.nodes[node].state, NodeState::Killed | NodeState::Left) {
            return;
        }
        self.stats.kills += 1;
        self.nodes[node].state = NodeState::Killed;
        self.nodes[node].state_since = self.now;
        self.schedule(self.now + RESTART_MS, SimEvent::Restart(instance));
        for cx in 0..self.contexts.len() {
            if self.contexts[cx].entry == node && self.contexts[cx].phase != Phase::Ended {
                self.contexts[cx].phase = Phase::Ended;
                let request = self.contexts[cx].request;
                if self.rng.random_range(0..100) < CALLER_RETRY_PCT {
                    let at = self.now + self.rng.random_range(CALLER_RETRY_MS);
                    self.schedule(at, SimEvent::CallerRetry { request });
                } else {
                    self.requests[request].state = RequestState::Lost;
                }
            }
        }
    }
}
