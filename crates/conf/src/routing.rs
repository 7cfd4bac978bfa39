//! The operators' routes: which service answers which path, for whom, and within which bounds.

use std::collections::{BTreeMap, HashMap};

/// What may be done with a request besides sending it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryMode {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    Never,
    /// Its answer is a stream of events that another run may go on with after the last one.
    Resumable,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficShare {
    /// The service.
    pub service: String,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it belongs to.
    pub host: String,
    /// The beginning of its paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry_mode: RetryMode,
    /// Whether its answers are streams of events.
    pub streamed: bool,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time to the answer, or to its first event, in milliseconds.
    pub latency_objective_ms: u64,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// The services that answer it.
    pub traffic_split: Vec<TrafficShare>,
    /// Regions that its requests may reach; empty where they may reach all.
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Chooses a service by the weights; `random` is uniform over all values.
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.traffic_split.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = random % total.max(1);
        for share in &self.traffic_split {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one of its upstreams takes from all instances together.
    pub max_connections: u32,
    /// Tokens in one event of a stream; 0 when unknown.
    pub tokens_per_event: u64,
    /// How long one of its upstreams is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests a second that a cold one bears from all instances together; 0 when there is no such bound.
    pub cold_max_per_sec: f64,
}

/// What callers may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection stays open between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// One customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub api_keys: Vec<String>,
    /// Rank, instead of the route's; 0 goes first.
    pub priority: Option<u8>,
    /// Tokens that it may spend altogether; none for no bound.
    pub prepaid_tokens: Option<u64>,
    /// Regions that its requests may reach; empty where they may reach all.
    pub allowed_regions: Vec<String>,
}

/// All routes, services and customers of one version.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// The version; a higher one replaces a lower one, never the other way round.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// Customers.
    pub accounts: Vec<Account>,
    routes: Vec<Route>,
    /// By host, then by prefix: indices into `routes`.
    by_host: HashMap<String, HashMap<String, usize>>,
    /// By key: indices into `accounts`.
    by_key: HashMap<String, usize>,
}

impl RoutingConfig {
    /// Joins the parts of one version.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: RequestLimits,
        accounts: Vec<Account>,
    ) -> RoutingConfig {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            let host = by_host.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), i);
        }
        let mut by_key = HashMap::new();
        for (i, account) in accounts.iter().enumerate() {
            for key in &account.api_keys {
                by_key.insert(key.clone(), i);
            }
        }
        RoutingConfig {
            version,
            services,
            limits,
            accounts,
            routes,
            by_host,
            by_key,
        }
    }

    /// Returns the routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(i) = prefixes.get(&path[..=slash]) {
                return Some(&self.routes[*i]);
            }
            end = slash;
        }
        None
    }

    /// Returns the regions that a request on a route with a key may reach, empty where it may reach all; none where the
    /// route and the key's customer allow different ones.
    pub fn allowed_regions(&self, route: &Route, key: Option<&str>) -> Option<Vec<String>> {
        let customer = key.and_then(|key| self.account_by_key(key));
        let own = customer.map_or(&[][..], |a| &a.allowed_regions);
        if own.is_empty() || route.allowed_regions.is_empty() {
            return Some([own, &route.allowed_regions].concat());
        }
        let both = own.iter().filter(|r| route.allowed_regions.contains(r));
        let both: Vec<String> = both.cloned().collect();
        (!both.is_empty()).then_some(both)
    }

    /// Returns the customer that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|i| &self.accounts[*i])
    }

    /// Returns a customer's prepaid tokens; none when there is no bound.
    pub fn prepaid_tokens(&self, customer: &str) -> Option<u64> {
        let account = self.accounts.iter().find(|a| a.name == customer)?;
        account.prepaid_tokens
    }
}
