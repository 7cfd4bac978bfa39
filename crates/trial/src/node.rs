//! Nodes: the incarnations of instances.

use std::collections::{BTreeMap, BTreeSet};

use budget::ShardManager;

use crate::sim_event::PendingReply;

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It is running.
    Up,
    /// It is in a planned stop.
    Leaving,
    /// It has completed its planned stop.
    Left,
    /// It was killed.
    Killed,
}

/// One incarnation of an instance.
pub struct Node {
    /// Id of the incarnation.
    pub id: String,
    /// Number of the instance.
    pub instance: usize,
    /// Availability zone.
    pub zone: usize,
    /// Current state.
    pub state: NodeState,
    /// When it started or, once it was killed or has left, when that happened, in milliseconds.
    pub state_since: u64,
    /// End of its latest pause, in milliseconds.
    pub paused_until: u64,
    /// Start of its latest pause, in milliseconds.
    pub(crate) paused_since: u64,
    /// State machines of its shards.
    pub manager: ShardManager,
    /// Requests to the state machines that are not answered yet, by the ids of their replies.
    pub(crate) pending_replies: BTreeMap<u64, PendingReply>,
    pub(crate) next_reply_id: u64,
    /// Nodes that it takes for unresponsive.
    pub(crate) unresponsive: BTreeSet<usize>,
    /// Whether the planned stop has reached the state machines.
    pub(crate) leave_started: bool,
}
