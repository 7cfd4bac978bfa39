//! Budget policies, to be compared with each other.

use budget::grant::GrantSizing;
use budget::shard::Params;

/// A budget policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each instance gets an equal part of the budget once and for all: a baseline.
    EqualSplit,
    /// Each grant is exactly what the waiting requests need, so that about every request takes a
    /// compare-and-swap of the record: a baseline.
    CasPerRequest,
    /// The policy of `oriolehitch`: grants of a share of the free budget, one home per account, and
    /// standbys in the other zones.
    Default,
    /// `Default`, but standbys hold no tokens.
    NoStandby,
    /// `Default`, but standbys hold a smaller part of the free budget.
    SmallStandby,
    /// `Default`, but grants are sized by the demand projected over some seconds.
    DemandSizing,
    /// `Default`, but every grant belongs to its holder alone.
    NoJointGrants,
    /// `Default`, but without recalls from other holders.
    NoRecall,
    /// `Default`, but entries first ask the home or standby in their own zone.
    HomePerZone,
    /// `Default`, but copies of settlements are sent after 25 ms.
    DelayedCopies,
    /// `Default`, but without copies of settlements: only the record makes them durable.
    NoCopies,
}

/// All policies, with their labels in tables.
pub const POLICIES: &[(Policy, &str)] = &[
    (Policy::EqualSplit, "equal split"),
    (Policy::CasPerRequest, "compare-and-swap per request"),
    (Policy::Default, "default"),
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
    /// Returns the parameters of the shards.
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

    /// Returns which instances an entry asks for tokens.
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
    /// Only itself.
    Local,
    /// The home and the standbys, that of its own zone first.
    OwnZone,
    /// The home, then the standbys, that of its own zone first.
    Home,
}
