//! One upstream: what the instance list, its own reports and our own requests say of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Failures in a row after which an upstream is left alone for a while.
const EJECT_FAILURES: u32 = 3;
/// First time-out of an ejected upstream, in milliseconds; doubles each time.
const EJECT_MS: u64 = 2_000;
/// Longest time-out of an ejected upstream, in milliseconds.
const EJECT_MAX_MS: u64 = 30_000;
/// A load report older than this says nothing any more, in milliseconds.
const REPORT_STALE_MS: u64 = 10_000;

/// Names an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct UpstreamKey(pub u32);

/// What an upstream serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// Models.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream as the instance list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Its name; an upstream that restarts has a new one.
    pub id: String,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Its HTTP address.
    pub url: String,
    /// Its availability zone.
    pub zone: String,
    /// Models or the service that it serves.
    pub serves: Vec<String>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl Spec {
    /// Makes the entry of an engine that serves one model.
    pub fn engine(id: &str, zone: &str, model: &str) -> Spec {
        Spec {
            id: id.to_string(),
            kind: UpstreamKind::Engine,
            url: String::new(),
            zone: zone.to_string(),
            serves: vec![model.to_string()],
            leaving: false,
        }
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub draining: bool,
}

/// One upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// As the instance list shows it.
    pub spec: Spec,
    /// Hash of its name.
    #[serde(skip)]
    pub id_hash: u64,
    /// Versions of models that it says it serves.
    pub versions: BTreeMap<String, String>,
    /// Its last report.
    pub load: Load,
    /// When that came, in milliseconds.
    pub load_at: Option<u64>,
    /// Own requests that run there.
    pub inflight: u32,
    /// Own requests sent since the last report.
    pub since_report: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is left alone, in milliseconds.
    pub ejected_until: u64,
    /// How often it was ejected in a row.
    pub ejections: u32,
    /// Whether any source said that it is leaving; never taken back.
    pub leaving: bool,
}

impl Upstream {
    /// Makes an upstream of which only the list has spoken.
    pub fn new(spec: Spec) -> Upstream {
        Upstream {
            leaving: spec.leaving,
            id_hash: xxh3_64(spec.id.as_bytes()),
            spec,
            versions: BTreeMap::new(),
            load: Load::default(),
            load_at: None,
            inflight: 0,
            since_report: 0,
            failures: 0,
            ejected_until: 0,
            ejections: 0,
        }
    }

    /// Takes a load report.
    pub fn record_load(&mut self, now: u64, load: Load) {
        self.load = load;
        self.load_at = Some(now);
        self.since_report = 0;
        self.leaving |= load.draining;
    }

    /// Returns the requests that it probably has: its own word, aged by what we sent since.
    pub fn occupancy(&self, now: u64) -> u32 {
        let fresh = self.load_at.is_some_and(|at| now < at + REPORT_STALE_MS);
        let reported = if fresh {
            self.load.running + self.load.waiting + self.since_report
        } else {
            0
        };
        reported.max(self.inflight)
    }

    /// Returns the requests that it runs at once, as far as known.
    pub fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }

    /// Counts a request sent there.
    pub fn record_start(&mut self) {
        self.inflight += 1;
        self.since_report += 1;
    }

    /// Counts the end of a request.
    ///
    /// # Panics
    ///
    /// Panics when more requests end than began: an end counted twice would let in more than the
    /// upstream can bear.
    pub fn record_end(&mut self, now: u64, ok: bool, jitter: u64) {
        assert!(self.inflight > 0, "{}: an end too many", self.spec.id);
        self.inflight -= 1;
        if ok {
            self.failures = 0;
            self.ejections = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= EJECT_FAILURES {
            let wait = (EJECT_MS << self.ejections.min(5)).min(EJECT_MAX_MS);
            self.ejected_until = now + wait + jitter % wait;
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Returns whether it is left alone for a while.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }
}
