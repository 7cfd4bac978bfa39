//! Load figures as upstreams and instances report them.

use serde::{Deserialize, Serialize};

use crate::MAX_INFLIGHT;

/// Maximum work time that is believed, as a percentage of the usual one.
pub const MAX_WORK_TIME_PCT: u32 = 10_000;

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of waiting requests.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    #[serde(rename = "s")]
    pub slots: u32,
    /// How long work takes on its machine at present, as a percentage of the usual time; none if it does
    /// not say.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub work_time_pct: Option<u32>,
}

impl Load {
    /// Returns the load without a work time that can't be true, and with bounded counts; the other figures
    /// stay valid.
    #[must_use]
    pub fn checked(self) -> Load {
        let possible = |pct: &u32| (1..=MAX_WORK_TIME_PCT).contains(pct);
        Load {
            running: self.running.min(MAX_INFLIGHT),
            waiting: self.waiting.min(MAX_INFLIGHT),
            slots: self.slots.min(MAX_INFLIGHT),
            work_time_pct: self.work_time_pct.filter(possible),
        }
    }

    /// Returns the number of requests, running and waiting.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The load of one instance at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceLoad {
    /// Remaining prefill time of the instance's prompts, in milliseconds.
    pub pending_prefill_ms: f64,
    /// Number of the instance's requests in flight.
    pub inflight: u32,
}
