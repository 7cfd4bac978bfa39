//! One start of an instance in the fake world.

use std::collections::{BTreeMap, BTreeSet};

use budget::ShardManager;

use crate::item::Ask;

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
    pub(crate) frozen_since: u64,
    /// Its decisions on budgets.
    pub manager: ShardManager,
    pub(crate) asks: BTreeMap<u64, Ask>,
    pub(crate) next_ask: u64,
    pub(crate) silent: BTreeSet<usize>,
    pub(crate) told_leave: bool,
}
