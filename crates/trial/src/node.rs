//! One start of an instance in the fake world.

use std::collections::{BTreeMap, BTreeSet};

use budget::ShardManager;

use crate::sim_event::PendingReply;

/// How an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It works.
    Up,
    /// It stops as planned.
    Leaving,
    /// It has stopped as planned.
    Left,
    /// It was killed.
    Killed,
}

/// One start of an instance.
pub struct Node {
    /// Its incarnation.
    pub id: String,
    /// Which of the instances it is a start of.
    pub instance: usize,
    /// Its zone.
    pub zone: usize,
    /// How it stands.
    pub state: NodeState,
    /// When that began, in milliseconds.
    pub state_since: u64,
    /// Until when it is paused, in milliseconds.
    pub paused_until: u64,
    pub(crate) paused_since: u64,
    /// Its decisions on budgets.
    pub manager: ShardManager,
    pub(crate) pending_replies: BTreeMap<u64, PendingReply>,
    pub(crate) next_reply_id: u64,
    pub(crate) unresponsive: BTreeSet<usize>,
    pub(crate) leave_started: bool,
}
