//! Parameters of a home, and what an instance is to a shard.

use crate::grant::GrantSizing;

/// What an instance is to a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Entries ask it first.
    Home,
    /// Entries of its zone ask it when they can't reach the home.
    Standby,
    /// It hands back what it holds.
    #[default]
    None,
}

/// Parameters of a home.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// How grants are sized.
    pub sizing: GrantSizing,
    /// Whether other holders are asked before a refusal.
    pub recall: bool,
    /// Whether grants are joint, where the zone has another instance.
    pub joint_grants: bool,
    /// Percentage of the free budget that a standby holds; 0 for none.
    pub standby_pct: u8,
    /// How often a standby looks at the record, in milliseconds.
    pub standby_check_ms: u64,
    /// How long a settlement may wait for the record before a copy is made, in milliseconds.
    pub copy_delay_ms: u64,
    /// How long an orphaned request waits for its caller, in milliseconds.
    pub orphan_grace_ms: u64,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            sizing: GrantSizing::Share,
            recall: true,
            joint_grants: true,
            standby_pct: 15,
            standby_check_ms: 10_000,
            copy_delay_ms: 5,
            orphan_grace_ms: 15_000,
        }
    }
}
