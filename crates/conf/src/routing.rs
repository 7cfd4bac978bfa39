//! The operators' routing configuration: which services handle which paths, for whom, and with which
//! limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryMode {
    /// A request may run any number of times.
    Idempotent,
    /// A request must run at most once.
    Never,
    /// The response is an event stream, which another run may continue after the last event received.
    Resumable,
}

/// The share of a route's requests that is sent to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficShare {
    /// The service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name that requests are addressed to.
    pub host: String,
    /// Prefix of the paths; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry_mode: RetryMode,
    /// Whether responses are event streams.
    pub streamed: bool,
    /// Maximum duration of a request until the end of its response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time to the response, or to its first event, in milliseconds.
    pub latency_objective_ms: u64,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// The services that handle the requests.
    pub traffic_split: Vec<TrafficShare>,
    /// Regions that requests may be sent to; empty if there is no restriction.
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Returns whether the route's requests go to more than one service.
    pub fn is_split(&self) -> bool {
        self.traffic_split.iter().filter(|s| s.weight > 0).count() > 1
    }

    /// Returns whether a part of the route's requests goes to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut shares = self.traffic_split.iter();
        shares.any(|s| s.weight > 0 && s.service == service)
    }

    /// Picks a service at random in proportion to the weights; `random` is uniform over all `u64` values.
    /// Returns `None` if the weights sum up to 0.
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.traffic_split.iter().map(|s| u64::from(s.weight)).sum();
        let mut offset = random % total.max(1);
        for share in &self.traffic_split {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }
}

/// The priority of the least urgent requests.
pub const MAX_PRIORITY: u8 = 9;

/// What is known of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Number of tokens that an engine can keep in memory, of running requests and cached prompts
    /// together; 0 if unknown.
    pub kv_capacity_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one of its upstreams accepts from all instances together; 0 if
    /// there is no limit.
    pub max_connections: u32,
    /// Path at which its upstreams answer health checks.
    pub health_path: String,
    /// Tokens in one event of a stream; 0 if unknown.
    pub tokens_per_event: u64,
    /// How long an upstream is cold after it started, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests per second that a cold upstream sustains from all instances together; 0 if there is no
    /// limit.
    pub cold_max_per_sec: f64,
    /// Set if its upstreams are model engines.
    pub engine: Option<Engine>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection stays open between requests, in milliseconds.
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

/// The account of a customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Name of the customer.
    pub name: String,
    /// API keys.
    pub api_keys: Vec<String>,
    /// Priority that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Prepaid amount, which limits the tokens that the customer may spend; `None` if there is no limit.
    pub prepaid_tokens: Option<u64>,
    /// Regions that the customer's requests may be sent to; empty if there is no restriction.
    pub allowed_regions: Vec<String>,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// The version. A configuration is replaced only by one with a higher version.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
    /// Accounts of the customers.
    pub accounts: Vec<Account>,
    routes: Vec<Route>,
    /// Indices into `routes` by host, then by path prefix.
    by_host: HashMap<String, HashMap<String, usize>>,
    /// Indices into `accounts` by API key.
    by_key: HashMap<String, usize>,
    has_several_priorities: bool,
    /// All combinations of a customer's and a route's priority, the most urgent first; empty if only the
    /// customer's decides.
    ranks: Vec<(u8, u8)>,
}

impl RoutingConfig {
    /// Creates a configuration from its parts.
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
        let by_route = routes.iter().map(|r| r.priority);
        let by_account = accounts.iter().filter_map(|a| a.priority);
        let priorities: BTreeSet<u8> = by_route.chain(by_account).collect();
        let ranks = priority_ranks(&routes, &accounts);
        RoutingConfig {
            version,
            services,
            limits,
            accounts,
            routes,
            by_host,
            by_key,
            has_several_priorities: priorities.len() > 1,
            ranks,
        }
    }

    /// Returns the routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of a host with the longest prefix that matches a path.
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

    /// Returns the regions that both the route and the customer with an API key allow for a request;
    /// empty if there is no restriction, `None` if they have no region in common.
    pub fn allowed_regions(&self, route: &Route, key: Option<&str>) -> Option<Vec<String>> {
        let account = key.and_then(|key| self.account_by_key(key));
        let by_account = account.map_or(&[][..], |a| &a.allowed_regions);
        if by_account.is_empty() || route.allowed_regions.is_empty() {
            return Some([by_account, &route.allowed_regions].concat());
        }
        let common = by_account
            .iter()
            .filter(|r| route.allowed_regions.contains(r));
        let common: Vec<String> = common.cloned().collect();
        (!common.is_empty()).then_some(common)
    }

    /// Returns the priority of a request: the customer's if it has one, otherwise the route's. Among
    /// customers with the same priority, the route's decides.
    pub fn priority(&self, route: &Route, key: Option<&str>) -> u8 {
        let account = key.and_then(|key| self.account_by_key(key));
        let customer = account.and_then(|a| a.priority).unwrap_or(route.priority);
        let rank = self.ranks.binary_search(&(customer, route.priority));
        rank.map_or(customer, |rank| rank as u8)
    }

    /// Returns whether its routes and customers have different priorities.
    pub fn has_several_priorities(&self) -> bool {
        self.has_several_priorities
    }

    /// Returns the account with an API key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|i| &self.accounts[*i])
    }

    /// Returns the prepaid amount of a customer; `None` if there is no limit or the customer is unknown.
    pub fn prepaid_tokens(&self, customer: &str) -> Option<u64> {
        let account = self.accounts.iter().find(|a| a.name == customer)?;
        account.prepaid_tokens
    }
}

/// Returns all combinations of a customer's and a route's priority, the most urgent first. They are empty if
/// no customer has a priority, if all routes have the same one, or if they are too many for the priorities that
/// engines know: only the customer's decides then.
fn priority_ranks(routes: &[Route], accounts: &[Account]) -> Vec<(u8, u8)> {
    let by_account: BTreeSet<u8> = accounts.iter().filter_map(|a| a.priority).collect();
    let by_route: BTreeSet<u8> = routes.iter().map(|r| r.priority).collect();
    if by_account.is_empty() || by_route.len() <= 1 {
        return Vec::new();
    }
    let of_route = |route: &u8| {
        let own = (*route, *route);
        let customers = by_account.iter().map(|customer| (*customer, *route));
        customers.chain([own]).collect::<Vec<_>>()
    };
    let ranks: BTreeSet<(u8, u8)> = by_route.iter().flat_map(of_route).collect();
    if ranks.len() > usize::from(MAX_PRIORITY) + 1 {
        return Vec::new();
    }
    ranks.into_iter().collect()
}
