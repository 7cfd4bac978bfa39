//! Settings of one process. Only its name, region and zone and the platform's address are required.

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

/// Settings that a process reads when it starts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, to which each start appends the id of its incarnation.
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
    /// Peer addresses of other instances, for a start while the platform is unreachable.
    pub peers: Option<Vec<SocketAddr>>,
    /// Key that operators must present; without one, only loopback clients are accepted.
    pub admin_key: Option<String>,
    /// Format of the log: `text` or `json`.
    pub log: Option<String>,
    /// Number of budget shards; must be the same in the whole deployment.
    pub shards: Option<u32>,
    /// Maximum size of a request's body, in bytes.
    pub body_limit: Option<u64>,
    /// Maximum duration of a planned stop, in seconds.
    pub drain_secs: Option<u64>,
    /// Maximum duration of a request, in seconds.
    pub request_secs: Option<u64>,
    /// How long a claim is kept, in seconds.
    pub claim_retention_secs: Option<u64>,
    /// Writes to the platform per second that the whole fleet may make.
    pub writes_per_sec: Option<u64>,
    /// Whether operators may disconnect this instance from others, for tests.
    pub faults: Option<bool>,
    /// How long a request whose caller has disconnected, or whose instance has failed, is kept running
    /// for the caller to resume it, in milliseconds.
    pub orphan_grace_ms: Option<u64>,
    /// Protocols of callers, upstreams and the platform: `openai` (the router's own interface) or
    /// `platform`.
    pub dialect: Option<String>,
    /// Settings of an instance in a fleet.
    pub fleet: Option<Fleet>,
}

/// Settings of an instance in a fleet, among them limits that apply to all instances together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Listener that reports whether the instance wants new connections.
    pub ready_listen: Option<SocketAddr>,
    /// Listener for metrics and the dump; they are not available if it is unset.
    pub metrics_listen: Option<SocketAddr>,
    /// Listener at which the instance forwards requests of others to upstreams that they can't reach.
    pub transit_listen: Option<SocketAddr>,
    /// Time from the stop signal until the process is killed, in seconds.
    pub stop_secs: Option<f64>,
    /// Maximum number of retries of a service's requests by all instances, as a share of its requests.
    pub retry_ratio: Option<f64>,
    /// Length of the window in which retries and requests are counted, in seconds.
    pub retry_window_secs: Option<f64>,
    /// Retries of all instances that are allowed per window in addition to that share.
    pub retry_slack: Option<f64>,
    /// Bandwidth of the instance's own link in each direction, in megabits per second; if unset, the link
    /// never counts as congested.
    pub link_mbps: Option<f64>,
    /// Memory limit of the process, in megabytes; if unset, memory does not limit the requests in
    /// progress, and on the router's own interface it is the machine's.
    pub memory_mb: Option<u64>,
    /// Maximum number of file descriptors of the process; if unset, they do not limit its connections.
    pub max_fds: Option<u64>,
    /// Shortest lease that the platform grants, in milliseconds.
    pub lease_least_ms: Option<u64>,
    /// Factor that multiplies the request rate which a cold upstream sustains, to get the limit for all
    /// instances together.
    pub cold_over: Option<f64>,
    /// Requests per second that are added to that limit.
    pub cold_slack: Option<f64>,
    /// The region of each availability zone, for routes and customers that are restricted to regions.
    pub zones: Option<BTreeMap<String, String>>,
    /// Time until service is back after a failure of all instances, in seconds. Tokens are held back for
    /// the customers' requests in that time.
    pub recovery_secs: Option<f64>,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all errors found.
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
                message: format!("{admin} is not a loopback address, which requires an admin_key"),
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

    /// Returns the maximum size of a request's body, in bytes.
    pub fn body_limit(&self) -> u64 {
        self.body_limit.unwrap_or(DEFAULT_BODY_LIMIT)
    }

    /// Returns the maximum duration of a planned stop, in milliseconds.
    pub fn drain_ms(&self) -> u64 {
        self.drain_secs.unwrap_or(DEFAULT_DRAIN_SECS) * 1000
    }

    /// Returns the maximum duration of a request, in milliseconds.
    pub fn request_ms(&self) -> u64 {
        self.request_secs.unwrap_or(DEFAULT_REQUEST_SECS) * 1000
    }

    /// Returns how long a claim is kept, in milliseconds.
    pub fn claim_retention_ms(&self) -> u64 {
        self.claim_retention_secs
            .unwrap_or(DEFAULT_CLAIM_RETENTION_SECS)
            * 1000
    }

    /// Returns the writes to the platform per second that the whole fleet may make.
    pub fn writes_per_sec(&self) -> u64 {
        self.writes_per_sec.unwrap_or(DEFAULT_WRITES_PER_SEC)
    }

    /// Returns how long a request without its caller is kept running, in milliseconds.
    pub fn orphan_grace_ms(&self) -> u64 {
        self.orphan_grace_ms.unwrap_or(DEFAULT_ORPHAN_GRACE_MS)
    }
}

fn any_loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
