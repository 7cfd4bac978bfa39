//! State of one upstream, from the instance list, its load reports and the requests of this instance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection in milliseconds, before jitter; doubles with each consecutive one.
const MIN_EJECTION_MS: u64 = 2_000;
/// Maximum duration of an ejection in milliseconds, before jitter.
const MAX_EJECTION_MS: u64 = 30_000;
/// A load report older than this is ignored, in milliseconds.
const REPORT_STALE_MS: u64 = 10_000;

/// Identifies an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct UpstreamKey(pub u32);

/// What an upstream serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// An inference engine, which serves models.
    Engine,
    /// A plain service.
    Service,
}

/// Entry of an upstream in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Name; changes when the upstream restarts.
    pub id: String,
    /// What it serves.
    pub kind: UpstreamKind,
    /// HTTP address.
    pub url: String,
    /// Availability zone.
    pub zone: String,
    /// Models, or the service, that it serves.
    pub serves: Vec<String>,
    /// Whether it is leaving, and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}

impl Spec {
    /// Creates the entry of an engine that serves one model, without an address.
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

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Whether it takes no new requests.
    #[serde(default)]
    pub draining: bool,
}

/// An upstream with its state.
///
/// The operators' dump contains all fields except `id_hash`.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Entry in the instance list.
    pub spec: Spec,
    /// Hash of the name.
    #[serde(skip)]
    pub id_hash: u64,
    /// Model versions that it reports to serve, by model.
    pub versions: BTreeMap<String, String>,
    /// Last load report.
    pub load: Load,
    /// When the last load report was received, in milliseconds.
    pub load_at: Option<u64>,
    /// Requests of this instance that are in progress there.
    pub inflight: u32,
    /// Requests of this instance sent there since the last load report.
    pub since_report: u32,
    /// Consecutive failures since the last ejection.
    pub failures: u32,
    /// When the ejection ends, in milliseconds.
    pub ejected_until: u64,
    /// Ejections since the last successful request.
    pub ejections: u32,
    /// Whether it is leaving according to any source; never reset.
    pub leaving: bool,
}

impl Upstream {
    /// Creates an upstream of which only the list entry is known.
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

    /// Records a load report.
    pub fn record_load(&mut self, now: u64, load: Load) {
        self.load = load;
        self.load_at = Some(now);
        self.since_report = 0;
        self.leaving |= load.draining;
    }

    /// Returns the estimated number of requests at the upstream: those in its last report, if that is
    /// not stale, plus those sent since, but not less than this instance's requests in progress.
    pub fn occupancy(&self, now: u64) -> u32 {
        let fresh = self.load_at.is_some_and(|at| now < at + REPORT_STALE_MS);
        let reported = if fresh {
            self.load.running + self.load.waiting + self.since_report
        } else {
            0
        };
        reported.max(self.inflight)
    }

    /// Returns the number of requests that it can run concurrently; 1 if unknown.
    pub fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }

    /// Records that a request is sent to the upstream.
    pub fn record_start(&mut self) {
        self.inflight += 1;
        self.since_report += 1;
    }

    /// Records the end of a request, and ejects the upstream after repeated failures. `jitter` is a
    /// random number that extends the ejection to at most twice its duration.
    ///
    /// # Panics
    ///
    /// Panics if more requests end than were started: an end counted twice would let in more requests
    /// than the upstream can handle.
    pub fn record_end(&mut self, now: u64, ok: bool, jitter: u64) {
        assert!(self.inflight > 0, "{}: no request in flight", self.spec.id);
        self.inflight -= 1;
        if ok {
            self.failures = 0;
            self.ejections = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let duration = (MIN_EJECTION_MS << self.ejections.min(5)).min(MAX_EJECTION_MS);
            self.ejected_until = now + duration + jitter % duration;
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Returns whether it is ejected.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }
}
