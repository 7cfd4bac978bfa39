//! Faults and their effects on the simulation.

use rand::Rng;

use crate::node::NodeState;
use crate::request::{Phase, RequestState};
use crate::sim_event::SimEvent;
use crate::simulation::{Simulation, CALLER_RETRY_MS, CALLER_RETRY_PCT, RESTART_MS};

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills an instance, which restarts some seconds later as a new incarnation.
    Kill(usize),
    /// Pauses an instance for a time, in milliseconds.
    Pause(usize, u64),
    /// Starts a planned stop of an instance, which restarts some seconds after it has left.
    PlannedStop(usize),
    /// Makes the platform unreachable for all instances (`true`) or reachable again.
    PlatformDown(bool),
    /// Delays every platform call by this time, in milliseconds.
    PlatformDelay(u64),
    /// Loses this percentage of the platform's replies.
    PlatformReplyLoss(u32),
    /// Cuts a zone off from the other zones and from the platform (`true`), or reconnects it.
    Partition(usize, bool),
    /// Cuts a zone off from the other zones but not from the platform (`true`), or reconnects it.
    PeerPartition(usize, bool),
    /// Tops up the budget of an account by a number of tokens, at an instance of a zone.
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
