//! The policies that a trial compares.

use budget::grant::GrantSizing;
use budget::shard::Params;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Every instance has an equal part of the budget for good: a baseline.
    Split,
    /// A compare-and-swap for each request: a baseline.
    Swap,
    /// Grants of a share of what is free, one home per account, standbys in the other zones.
    Chosen,
    /// As chosen, without standbys.
    NoStandby,
    /// As chosen, standbys with a small part.
    ThinStandby,
    /// As chosen, grants sized by demand over some seconds.
    Demand,
    /// As chosen, every grant its holder's alone.
    Sole,
    /// As chosen, without recall from other holders.
    NoRecall,
    /// As chosen, every zone its own home.
    ZoneHomes,
    /// As chosen, copies of bills after 25 ms.
    LateCopies,
    /// As chosen, no copies of bills: only the record counts.
    NoCopies,
}

/// All policies.
pub const POLICIES: &[(Policy, &str)] = &[
    (Policy::Split, "equal split"),
    (Policy::Swap, "swap per request"),
    (Policy::Chosen, "chosen"),
    (Policy::NoStandby, "no standby"),
    (Policy::ThinStandby, "standby 5 %"),
    (Policy::Demand, "demand 10 s"),
    (Policy::Sole, "no joint grants"),
    (Policy::NoRecall, "no recall"),
    (Policy::ZoneHomes, "home per zone"),
    (Policy::LateCopies, "copies after 25 ms"),
    (Policy::NoCopies, "no copies"),
];

impl Policy {
    /// Returns the parameters of the homes.
    pub fn params(self, instances: usize) -> Params {
        let base = Params::default();
        match self {
            Policy::Split => Params {
                sizing: GrantSizing::Split {
                    parts: instances as u64,
                },
                recall: false,
                joint_grants: false,
                standby_pct: 0,
                ..base
            },
            Policy::Swap => Params {
                sizing: GrantSizing::Exact,
                recall: false,
                joint_grants: false,
                standby_pct: 0,
                ..base
            },
            Policy::Sole => Params {
                joint_grants: false,
                ..base
            },
            Policy::NoStandby => Params {
                standby_pct: 0,
                ..base
            },
            Policy::ThinStandby => Params {
                standby_pct: 5,
                ..base
            },
            Policy::Demand => Params {
                sizing: GrantSizing::Demand { horizon_ms: 10_000 },
                ..base
            },
            Policy::NoRecall => Params {
                recall: false,
                ..base
            },
            Policy::LateCopies => Params {
                copy_delay_ms: 25,
                ..base
            },
            Policy::NoCopies => Params {
                copy_delay_ms: u64::MAX / 2,
                ..base
            },
            Policy::Chosen | Policy::ZoneHomes => base,
        }
    }

    /// Returns which instances an entry asks: the one home, its zone's, or itself.
    pub fn asks(self) -> Asks {
        match self {
            Policy::Split => Asks::Itself,
            Policy::ZoneHomes => Asks::OwnZone,
            _ => Asks::Home,
        }
    }
}

/// Which instances an entry asks for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asks {
    /// Itself.
    Itself,
    /// The first of its own zone.
    OwnZone,
    /// The home, then the standbys.
    Home,
}
