//! The policies that a trial compares.

use budget::grant::GrantSizing;
use budget::shard::Params;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Every instance has an equal part of the budget for good: a baseline.
    EqualSplit,
    /// A compare-and-swap for each request: a baseline.
    CasPerRequest,
    /// Grants of a share of what is free, one home per account, standbys in the other zones.
    Default,
    /// As chosen, without standbys.
    NoStandby,
    /// As chosen, standbys with a small part.
    SmallStandby,
    /// As chosen, grants sized by demand over some seconds.
    DemandSizing,
    /// As chosen, every grant its holder's alone.
    NoJointGrants,
    /// As chosen, without recall from other holders.
    NoRecall,
    /// As chosen, every zone its own home.
    HomePerZone,
    /// As chosen, copies of bills after 25 ms.
    DelayedCopies,
    /// As chosen, no copies of bills: only the record counts.
    NoCopies,
}

/// All policies.
pub const POLICIES: &[(Policy, &str)] = &[
    (Policy::EqualSplit, "equal split"),
    (Policy::CasPerRequest, "swap per request"),
    (Policy::Default, "chosen"),
    (Policy::NoStandby, "no standby"),
    (Policy::SmallStandby, "standby 5 %"),
    (Policy::DemandSizing, "demand 10 s"),
    (Policy::NoJointGrants, "no joint grants"),
    (Policy::NoRecall, "no recall"),
    (Policy::HomePerZone, "home per zone"),
    (Policy::DelayedCopies, "copies after 25 ms"),
    (Policy::NoCopies, "no copies"),
];

impl Policy {
    /// Returns the parameters of the homes.
    pub fn params(self, instances: usize) -> Params {
        let base = Params::default();
        match self {
            Policy::EqualSplit => Params {
                sizing: GrantSizing::Split {
                    parts: instances as u64,
                },
                recall: false,
                joint_grants: false,
                standby_pct: 0,
                ..base
            },
            Policy::CasPerRequest => Params {
                sizing: GrantSizing::Exact,
                recall: false,
                joint_grants: false,
                standby_pct: 0,
                ..base
            },
            Policy::NoJointGrants => Params {
                joint_grants: false,
                ..base
            },
            Policy::NoStandby => Params {
                standby_pct: 0,
                ..base
            },
            Policy::SmallStandby => Params {
                standby_pct: 5,
                ..base
            },
            Policy::DemandSizing => Params {
                sizing: GrantSizing::Demand { horizon_ms: 10_000 },
                ..base
            },
            Policy::NoRecall => Params {
                recall: false,
                ..base
            },
            Policy::DelayedCopies => Params {
                copy_delay_ms: 25,
                ..base
            },
            Policy::NoCopies => Params {
                copy_delay_ms: u64::MAX / 2,
                ..base
            },
            Policy::Default | Policy::HomePerZone => base,
        }
    }

    /// Returns which instances an entry asks: the one home, its zone's, or itself.
    pub fn home_selection(self) -> HomeSelection {
        match self {
            Policy::EqualSplit => HomeSelection::Local,
            Policy::HomePerZone => HomeSelection::OwnZone,
            _ => HomeSelection::Home,
        }
    }
}

/// Which instances an entry asks for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeSelection {
    /// Itself.
    Local,
    /// The first of its own zone.
    OwnZone,
    /// The home, then the standbys.
    Home,
}
