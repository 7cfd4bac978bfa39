//! Parameters of a shard and the roles of instances in it.

use crate::grant::GrantSizing;

/// Role of an instance in a shard.
///
/// The names are printed in the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Responsible for the shard: entries ask it first.
    Home,
    /// First instance of a zone other than the home's: entries ask it when the home does not
    /// answer, those of its own zone first.
    Standby,
    /// No part in the shard: returns its unspent tokens to the record.
    #[default]
    None,
}

/// Another instance of the holder's zone, as the witness of new joint grants.
///
/// The difference between the first two matters because a crash strands all of a grant that is taken
/// without a witness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Witness {
    /// The zone has had no other instance lately.
    #[default]
    None,
    /// No other instance of the zone is live, but one was lately: it may be late, paused or restarting.
    Absent,
    /// This instance approves the steps.
    Live(String),
}

/// Parameters of a shard's state machine.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Policy for the size of grants.
    pub sizing: GrantSizing,
    /// Whether other holders are asked for unspent tokens before a request is refused.
    pub recall: bool,
    /// Whether grants are joint grants if the zone has another instance as witness.
    pub joint_grants: bool,
    /// Percentage of the free budget that a standby holds; 0 if standbys hold nothing.
    pub standby_pct: u8,
    /// Interval at which a standby reads the record, in milliseconds.
    pub standby_check_ms: u64,
    /// Time a settlement waits for the record write before a copy is sent to another zone, in
    /// milliseconds.
    pub copy_delay_ms: u64,
    /// Time an orphaned request waits for its caller to come back before it is cancelled, in
    /// milliseconds.
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
