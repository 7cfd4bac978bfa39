//! Settings of one process: all optional but its place and the platform's address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{self, ValidationError};
use crate::schema;

const DEFAULT_SHARDS: u32 = 16;
const DEFAULT_BODY_LIMIT: u64 = 4 << 20;
const DEFAULT_DRAIN_SECS: u64 = 300;
const DEFAULT_REQUEST_SECS: u64 = 600;
const DEFAULT_CLAIM_RETENTION_SECS: u64 = 86_400;
const DEFAULT_WRITES_PER_SEC: u64 = 100;
const DEFAULT_ORPHAN_GRACE_MS: u64 = 15_000;

/// What a process is told at its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance; each start adds its own incarnation to it.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the platform's key-value service.
    pub platform: String,
    /// Listener for callers.
    pub listen: Option<SocketAddr>,
    /// Listener for operators.
    pub admin_listen: Option<SocketAddr>,
    /// Listener for the other instances.
    pub peer_listen: Option<SocketAddr>,
    /// Other instances' peer addresses, for a start while the platform is out.
    pub peers: Option<Vec<SocketAddr>>,
    /// Key that operators must show; none restricts them to loopback.
    pub admin_key: Option<String>,
    /// Form of the logs: `text` or `json`.
    pub log: Option<String>,
    /// Number of budget shards; the same in the whole deployment.
    pub shards: Option<u32>,
    /// Largest body of a request, in bytes.
    pub body_limit: Option<u64>,
    /// Longest graceful stop, in seconds.
    pub drain_secs: Option<u64>,
    /// Longest request, in seconds.
    pub request_secs: Option<u64>,
    /// How long a claim is kept, in seconds.
    pub claim_retention_secs: Option<u64>,
    /// The fleet's share of the platform's writes, a second.
    pub writes_per_sec: Option<u64>,
    /// Whether operators may cut this instance from others, for tests.
    pub faults: Option<bool>,
    /// How long a vanished entry's stream waits for its caller, in milliseconds.
    pub orphan_grace_ms: Option<u64>,
    /// What callers, upstreams and the platform speak: `openai` (the own interface) or `platform`.
    pub dialect: Option<String>,
    /// Bounds that the instances keep together.
    pub fleet: Option<Fleet>,
}

/// Bounds that the instances of a fleet keep together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Listener that says whether new connections are wanted.
    pub ready_listen: Option<SocketAddr>,
    /// Listener for metrics and the dump; none means that there are none.
    pub metrics_listen: Option<SocketAddr>,
    /// Time from the sign to stop until the process is killed, in seconds.
    pub stop_secs: Option<f64>,
    /// Repetitions that a service gets from all instances, as a share of its requests.
    pub retry_ratio: Option<f64>,
    /// The span in which repetitions and requests are counted, in seconds.
    pub retry_window_secs: Option<f64>,
    /// Repetitions that all instances may make in a span besides the share.
    pub retry_slack: Option<f64>,
    /// Bandwidth of the instance's own link each way, in megabits a second; none means that it never
    /// counts as full.
    pub link_mbps: Option<f64>,
    /// Memory that the process may take, in megabytes; none means that requests under way are not
    /// bounded by it.
    pub memory_mb: Option<u64>,
    /// Shortest lease that the platform grants, in milliseconds.
    pub lease_least_ms: Option<u64>,
    /// Factor by which the rate that a cold upstream bears may be exceeded by all instances together.
    pub cold_over: Option<f64>,
    /// Requests a second that a cold upstream may get besides from all instances together.
    pub cold_slack: Option<f64>,
    /// The region of each availability zone, for routes and customers that are bound to regions.
    pub zones: Option<BTreeMap<String, String>>,
    /// Time in which service is to be back after a loss of all instances, in seconds: customers keep tokens for it.
    pub recovery_secs: Option<f64>,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(text: &str) -> Result<Settings, Vec<ValidationError>> {
        let value = check::parse(text, &schema::SETTINGS)?;
        let settings: Settings = serde_json::from_value(value).map_err(|e| {
            vec![ValidationError {
                path: String::new(),
                message: e.to_string(),
            }]
        })?;
        let admin = settings.admin_listen();
        if settings.admin_key.is_none() && !admin.ip().is_loopback() {
            return Err(vec![ValidationError {
                path: "/admin_listen".to_string(),
                message: format!("{admin} is not loopback, which needs an admin_key"),
            }]);
        }
        Ok(settings)
    }

    /// Returns the address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen.unwrap_or_else(any_loopback)
    }

    /// Returns the address for operators.
    pub fn admin_listen(&self) -> SocketAddr {
        self.admin_listen.unwrap_or_else(any_loopback)
    }

    /// Returns the address for the other instances.
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or_else(any_loopback)
    }

    /// Returns the number of budget shards.
    pub fn shards(&self) -> u32 {
        self.shards.unwrap_or(DEFAULT_SHARDS)
    }

    /// Returns the largest body of a request, in bytes.
    pub fn body_limit(&self) -> u64 {
        self.body_limit.unwrap_or(DEFAULT_BODY_LIMIT)
    }

    /// Returns the longest graceful stop, in milliseconds.
    pub fn drain_ms(&self) -> u64 {
        self.drain_secs.unwrap_or(DEFAULT_DRAIN_SECS) * 1000
    }

    /// Returns the longest request, in milliseconds.
    pub fn request_ms(&self) -> u64 {
        self.request_secs.unwrap_or(DEFAULT_REQUEST_SECS) * 1000
    }

    /// Returns how long a claim is kept, in milliseconds.
    pub fn claim_retention_ms(&self) -> u64 {
        self.claim_retention_secs
            .unwrap_or(DEFAULT_CLAIM_RETENTION_SECS)
            * 1000
    }

    /// Returns the fleet's share of the platform's writes, a second.
    pub fn writes_per_sec(&self) -> u64 {
        self.writes_per_sec.unwrap_or(DEFAULT_WRITES_PER_SEC)
    }

    /// Returns how long a vanished entry's stream waits for its caller, in milliseconds.
    pub fn orphan_grace_ms(&self) -> u64 {
        self.orphan_grace_ms.unwrap_or(DEFAULT_ORPHAN_GRACE_MS)
    }
}

fn any_loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
